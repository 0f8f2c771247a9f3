package objects

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// decodeAnswer decodes an answer of the platform. In a list and in the event of a watch, an
// object that cannot be decoded does not affect the others.
func decodeAnswer(text []byte, result any) error {
	err := errors.Wrap(json.Unmarshal(text, result), "decode platform answer")
	if err == nil {
		return nil
	}
	answer := gjson.ParseBytes(text)
	switch result := result.(type) {
	case *List:
		items := answer.Get("items")
		if !items.IsArray() {
			return err
		}
		*result = List{}
		items.ForEach(func(_, item gjson.Result) bool {
			result.Items = append(result.Items, decodeObject(item))
			return true
		})
		return decodeVersion(answer.Get("metadata.resourceVersion"), &result.Metadata.ResourceVersion)
	case *WatchEvent:
		object := answer.Get("object")
		if !object.IsObject() {
			return err
		}
		*result = WatchEvent{Type: EventType(answer.Get("type").String()), Object: decodeObject(object)}
		return decodeVersion(object.Get("metadata.resourceVersion"), &result.Object.Metadata.ResourceVersion)
	}
	return err
}

// decodeObject decodes one object. If it cannot be decoded as a whole, only its name and its
// version are, and its spec is kept as it is: who decodes the spec rejects it.
//
// gjson neither validates nor descends into values, so that deep nesting costs no memory.
func decodeObject(text gjson.Result) Object {
	var object Object
	if json.Unmarshal([]byte(text.Raw), &object) == nil {
		return object
	}
	object = Object{Metadata: Metadata{Name: text.Get("metadata.name").String()}, Spec: json.RawMessage(text.Get("spec").Raw)}
	// A version that cannot be read stays 0, which is older than any.
	_ = decodeVersion(text.Get("metadata.resourceVersion"), &object.Metadata.ResourceVersion)
	return object
}

func decodeVersion(text gjson.Result, version *Version) error {
	return errors.Wrap(json.Unmarshal([]byte(text.Raw), version), "decode the version of the platform's answer")
}
