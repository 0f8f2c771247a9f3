package operator

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/refusal"
)

// resource is a kind of object that operators can write directly, and the path of
// its collection.
type resource struct {
	path string
	kind catalog.Kind
}

var resources = []resource{
	{"client_accounts", catalog.KindAccount},
	{"models", catalog.KindModel},
	{"routes", catalog.KindRoute},
	{"targets", catalog.KindTarget},
	{"objectives", catalog.KindObjective},
	{"quarantines", catalog.KindQuarantine},
}

const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// Item is an object in the requests and responses of the API.
type Item struct {
	Name    string          `json:"name"`
	Version objects.Version `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

// Page is one page of a collection.
type Page struct {
	Items []Item `json:"items"`
	// Next is the value of the query parameter after that requests the next
	// page. It is empty on the last page.
	Next string `json:"next,omitempty"`
}

// change is the request body of a write.
type change struct {
	Name string `json:"name"`
	// Version is the object version that the change is based on. Updates
	// require it.
	Version objects.Version `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

func (call *call) resource(resource resource, name string) (any, error) {
	switch {
	case call.IsGet() && name == "":
		return call.list(resource.kind)
	case call.IsGet():
		return call.get(resource.kind, name)
	case call.IsPost() && name == "":
		return call.create(resource.kind)
	case call.IsPut() && name != "":
		return call.update(resource.kind, name)
	case call.IsDelete() && name != "":
		return call.remove(resource.kind, name)
	}
	return nil, refusal.New(refusal.MethodNotAllowed, "use GET, POST on the collection, or GET, PUT, DELETE on an object")
}

func itemOf(object catalog.Object) Item {
	return Item{Name: object.Name(), Version: object.Version, Spec: object.Spec}
}

func (call *call) list(kind catalog.Kind) (Page, error) {
	objects := call.server.Fleet.Catalog().ObjectsOf(kind)
	sort.Slice(objects, func(i, j int) bool { return objects[i].ID < objects[j].ID })
	limit := call.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = defaultPageSize
	}
	after := string(call.QueryArgs().Peek("after"))
	page := Page{Items: []Item{}}
	for _, object := range objects {
		if after != "" && object.Name() <= after {
			continue
		}
		if len(page.Items) == min(limit, maxPageSize) {
			page.Next = page.Items[len(page.Items)-1].Name
			break
		}
		page.Items = append(page.Items, itemOf(object))
	}
	return page, nil
}

func (call *call) get(kind catalog.Kind, name string) (Item, error) {
	object, ok := call.server.Fleet.Catalog().Object(kind, name)
	if !ok {
		return Item{}, objects.ErrNotFound
	}
	return itemOf(object), nil
}

// readChange decodes the change in the request body, sets the name in its spec and
// validates the spec for the kind. A name that is not empty is the one in the path,
// which the body must not contradict.
func (call *call) readChange(kind catalog.Kind, name string) (change, error) {
	var sent change
	decoder := json.NewDecoder(strings.NewReader(string(call.PostBody())))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&sent); err != nil {
		return change{}, refusal.New(refusal.BadRequest, "the body must be {name, version, spec}: "+err.Error())
	}
	if name != "" && sent.Name != "" && sent.Name != name {
		return change{}, refusal.New(refusal.BadRequest, "the name in the body is not the one in the path; names cannot change")
	}
	if name != "" {
		sent.Name = name
	}
	spec, err := withName(sent.Spec, sent.Name)
	if err != nil {
		return change{}, err
	}
	sent.Spec = spec
	if err := catalog.Check(kind, sent.Spec); err != nil {
		return change{}, refusal.New(refusal.BadRequest, err.Error())
	}
	return sent, nil
}

// withName returns the spec with its name member set to the object's name.
func withName(spec json.RawMessage, name string) (json.RawMessage, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(spec, &members); err != nil {
		return nil, refusal.New(refusal.BadRequest, "spec must be a JSON object")
	}
	members["name"] = json.RawMessage(strconv.Quote(name))
	return json.Marshal(members)
}

func (call *call) create(kind catalog.Kind) (any, error) {
	sent, err := call.readChange(kind, "")
	if err != nil {
		return nil, err
	}
	call.SetStatusCode(fasthttp.StatusCreated)
	return call.write(kind, sent.Name, 0, sent.Spec)
}

func (call *call) update(kind catalog.Kind, name string) (any, error) {
	sent, err := call.readChange(kind, name)
	if err != nil {
		return nil, err
	}
	if sent.Version == 0 {
		return nil, refusal.New(refusal.BadRequest, "version must be the one that you read; read the object first")
	}
	return call.write(kind, name, sent.Version, sent.Spec)
}

// write writes an audit record and then creates (version 0) or updates the object.
func (call *call) write(kind catalog.Kind, name string, version objects.Version, spec json.RawMessage) (Item, error) {
	verb := "update"
	if version == 0 {
		verb = "create"
	}
	if err := call.audit(verb, kind, name, version); err != nil {
		return Item{}, err
	}
	object, err := call.server.Fleet.Write(call.context, kind, name, version, spec)
	if errors.Is(err, objects.ErrConflict) {
		return Item{}, call.conflict(kind, name, spec)
	}
	if err != nil {
		return Item{}, err
	}
	return itemOf(object), nil
}

func (call *call) remove(kind catalog.Kind, name string) (any, error) {
	version, err := strconv.ParseUint(string(call.QueryArgs().Peek("version")), 10, 64)
	if err != nil || version == 0 {
		return nil, refusal.New(refusal.BadRequest, "give ?version= with the version that you read; read the object first")
	}
	if err := call.audit("delete", kind, name, objects.Version(version)); err != nil {
		return nil, err
	}
	err = call.server.Fleet.Delete(call.context, kind, name, objects.Version(version))
	if errors.Is(err, objects.ErrConflict) {
		return nil, call.conflict(kind, name, nil)
	}
	if err != nil {
		return nil, err
	}
	return Item{Name: name}, nil
}

// conflict returns a refusal that lists how the stored object differs from the
// refused change.
func (call *call) conflict(kind catalog.Kind, name string, spec json.RawMessage) error {
	stored, err := call.server.Platform.Get(call.context, objects.Configs, catalog.ID(kind, name))
	if err != nil {
		return objects.ErrConflict
	}
	message := fmt.Sprintf("%s %s was changed meanwhile and is at version %s", kind, name, stored.Metadata.ResourceVersion)
	if differences := differences(stored.Spec, spec); len(differences) > 0 {
		message += " (" + strings.Join(differences, ", ") + ")"
	}
	return refusal.New(refusal.Conflict, message+"; read it again and repeat your change")
}

// differences lists the members of the stored object whose values differ from
// those sent.
func differences(stored, sent json.RawMessage) []string {
	var current, requested map[string]json.RawMessage
	if json.Unmarshal(stored, &current) != nil || json.Unmarshal(sent, &requested) != nil {
		return nil
	}
	var lines []string
	for name, value := range current {
		if string(value) != string(requested[name]) {
			lines = append(lines, fmt.Sprintf("%s is %s", name, value))
		}
	}
	sort.Strings(lines)
	return lines
}

// Audit is the record of a change, written before the change is made.
type Audit struct {
	Operator string          `json:"operator"`
	VM       string          `json:"vm"`
	Verb     string          `json:"verb"`
	Object   string          `json:"object"`
	Version  objects.Version `json:"from_version"`
	At       time.Time       `json:"at"`
}

// audit writes an audit record of a requested change. If it fails, the change must
// not be made.
func (call *call) audit(verb string, kind catalog.Kind, name string, version objects.Version) error {
	now := time.Now().UTC()
	record := Audit{Operator: call.operator, VM: call.server.VM, Verb: verb, Object: catalog.ID(kind, name), Version: version, At: now}
	id := fmt.Sprintf("%s-%s-%d", now.Format("20060102T150405"), call.server.VM, now.UnixNano())
	_, err := call.server.Platform.Create(call.context, objects.Audits, id, record)
	if errors.Is(err, objects.ErrUnknown) {
		_, err = call.server.Platform.Create(call.context, objects.Audits, id, record)
	}
	if errors.Is(err, objects.ErrExists) {
		return nil // the first attempt created the record, and only its response was lost
	}
	if err != nil {
		return refusal.New(refusal.PlatformUnavailable, "the change cannot be recorded, as the platform does not answer; nothing was changed, retry later")
	}
	return nil
}

// audits returns the newest audit records, at most defaultPageSize, newest first.
func (call *call) audits() (any, error) {
	list, err := call.server.Platform.List(call.context, objects.Audits)
	if err != nil {
		return nil, err
	}
	page := Page{Items: []Item{}}
	for i := len(list.Items) - 1; i >= 0 && len(page.Items) < defaultPageSize; i-- {
		item := list.Items[i]
		page.Items = append(page.Items, Item{Name: item.Metadata.Name, Version: item.Metadata.ResourceVersion, Spec: item.Spec})
	}
	return page, nil
}
