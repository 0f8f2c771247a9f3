// Package completion reads and writes the OpenAI-compatible completion
// messages: requests, stream chunks and whole answers.
//
// Requests are not decoded into values and encoded again: the members that
// matter are found in the caller's text and the rest is passed on as it came.
//
// # Usage
//
//	request, err := completion.Parse(body, completion.Chat, nil)
//	forwarded := request.Forward(completion.Additions{Salt: salt}, nil)
package completion

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/bramleygw/bramleygw/prefix"
)

// Form is one of the two request forms.
type Form int

// The forms.
const (
	Chat Form = iota
	Text
)

// Path returns the HTTP path of the form.
func (form Form) Path() string {
	if form == Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// DefaultMaxTokens is the output bound of a request that names none.
const DefaultMaxTokens = 256

// MaxOutputTokens is the largest output bound that a request may name.
const MaxOutputTokens = 1 << 20

// Request is a parsed request.
type Request struct {
	Form      Form
	Model     string
	Stream    bool
	Usage     bool // usage wanted in the stream
	MaxTokens int
	// Prompt is the text that the engine sees, roles included. It is for
	// hashing and counting; it holds JSON string escapes.
	Prompt []byte
	// Shared is the length of the prompt before its last message, in bytes; 0
	// in a request without messages.
	Shared int

	body []byte
}

// Parse checks the body and finds the members that matter. The prompt is
// appended to buffer. The request keeps the body.
func Parse(body []byte, form Form, buffer []byte) (Request, error) {
	if !gjson.ValidBytes(body) {
		return Request{}, errors.New("the body is not valid JSON; send one JSON object")
	}
	root := gjson.ParseBytes(body)
	if !root.IsObject() {
		return Request{}, errors.New("the body must be a JSON object")
	}
	if buffer == nil {
		buffer = make([]byte, 0, len(body))
	}
	request := Request{Form: form, MaxTokens: DefaultMaxTokens, body: body, Prompt: buffer}
	var fault error
	root.ForEach(func(name, value gjson.Result) bool {
		fault = request.take(name.Str, value)
		return fault == nil
	})
	if fault != nil {
		return Request{}, fault
	}
	if request.Model == "" {
		return Request{}, errors.New("model must name a model; GET /v1/models lists them")
	}
	if len(request.Prompt) == len(buffer) {
		return Request{}, errors.Newf("%s must not be empty", form.promptMember())
	}
	return request, nil
}

func (form Form) promptMember() string {
	if form == Chat {
		return "messages"
	}
	return "prompt"
}

func (request *Request) take(name string, value gjson.Result) error {
	switch name {
	case "model":
		if value.Type != gjson.String {
			return errors.New("model must be a string")
		}
		request.Model = value.Str
	case "stream":
		if !value.IsBool() && value.Type != gjson.Null {
			return errors.New("stream must be true or false")
		}
		request.Stream = value.Bool()
	case "stream_options":
		request.Usage = value.Get("include_usage").Bool()
	case "n":
		if value.Num != 1 {
			return errors.New("n must be 1; send one request for each answer")
		}
	case "max_tokens", "max_completion_tokens":
		return request.takeMaxTokens(name, value)
	case request.Form.promptMember():
		return request.takePrompt(value)
	}
	return nil
}

func (request *Request) takeMaxTokens(name string, value gjson.Result) error {
	if value.Type == gjson.Null {
		return nil
	}
	if value.Type != gjson.Number || value.Num != math.Trunc(value.Num) || value.Num < 1 || value.Num > MaxOutputTokens {
		return errors.Newf("%s must be a whole number from 1 to %d", name, MaxOutputTokens)
	}
	request.MaxTokens = int(value.Num)
	return nil
}

func (request *Request) takePrompt(value gjson.Result) error {
	if request.Form == Text {
		if value.Type != gjson.String {
			return errors.New("prompt must be a string; send one request for each prompt")
		}
		request.Prompt = append(request.Prompt, inner(value.Raw)...)
		return nil
	}
	if !value.IsArray() {
		return errors.New("messages must be an array")
	}
	var fault error
	value.ForEach(func(_, message gjson.Result) bool {
		request.Shared = len(request.Prompt)
		fault = request.takeMessage(message)
		return fault == nil
	})
	return fault
}

// takeMessage appends a message's role and content to the prompt.
func (request *Request) takeMessage(message gjson.Result) error {
	var role, content gjson.Result
	message.ForEach(func(name, value gjson.Result) bool {
		switch name.Str {
		case "role":
			role = value
		case "content":
			content = value
		}
		return true
	})
	if role.Type != gjson.String {
		return errors.New("each message must have a role")
	}
	request.Prompt = append(request.Prompt, role.Str...)
	request.Prompt = append(request.Prompt, '\n')
	if content.Type == gjson.String {
		request.Prompt = append(request.Prompt, inner(content.Raw)...)
	} else {
		request.Prompt = append(request.Prompt, content.Raw...)
	}
	request.Prompt = append(request.Prompt, '\n')
	return nil
}

// inner returns a JSON string's text without its quotes, escapes kept.
func inner(raw string) string {
	if len(raw) < 2 {
		return ""
	}
	return raw[1 : len(raw)-1]
}

// PromptTokens estimates the prompt's length in tokens.
func (request *Request) PromptTokens() int {
	return prefix.Tokens(len(request.Prompt))
}

// Additions are the members that a VM sets in a forwarded request.
type Additions struct {
	// Salt keeps cache entries of accounts apart inside the engine.
	Salt string
	// Priority orders requests on a busy engine; lower goes first.
	Priority int
}

// replaced are the members that a caller may not set for the engine.
var replaced = map[string]bool{
	"stream": true, "stream_options": true, "cache_salt": true, "priority": true, "user": true,
	"max_tokens": true, "max_completion_tokens": true,
}

// forwardMargin is room for the members that a VM sets, in bytes.
const forwardMargin = 256

// Forward appends to buffer the body for the engine: the caller's members but
// for those that the VM sets itself. It always asks for a stream with usage.
func (request *Request) Forward(additions Additions, buffer []byte) []byte {
	if buffer == nil {
		buffer = make([]byte, 0, len(request.body)+forwardMargin)
	}
	buffer = append(buffer, '{')
	gjson.ParseBytes(request.body).ForEach(func(name, value gjson.Result) bool {
		if replaced[name.Str] {
			return true
		}
		buffer = append(buffer, name.Raw...)
		buffer = append(buffer, ':')
		buffer = append(buffer, value.Raw...)
		buffer = append(buffer, ',')
		return true
	})
	buffer = append(buffer, `"stream":true,"stream_options":{"include_usage":true},"max_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(request.MaxTokens), 10)
	buffer = append(buffer, `,"priority":`...)
	buffer = strconv.AppendInt(buffer, int64(additions.Priority), 10)
	buffer = append(buffer, `,"cache_salt":`...)
	buffer = strconv.AppendQuote(buffer, additions.Salt)
	return append(buffer, '}')
}

// Usage counts an answer's tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails tells how much of the prompt the engine found in its cache.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Cached returns the number of cached prompt tokens.
func (usage Usage) Cached() int {
	if usage.Details == nil {
		return 0
	}
	return usage.Details.CachedTokens
}

// Choice is one answer or one piece of it.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message or a piece of one.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Answer is a whole answer or one chunk of a stream.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Chunk is what a VM needs of one stream event.
type Chunk struct {
	// Text is the piece of the answer.
	Text string
	// Finish is the finish reason, in the last piece.
	Finish string
	// Usage is set in the event that carries it.
	Usage *Usage
}

// ParseChunk reads the data of one stream event.
func ParseChunk(data []byte) (Chunk, error) {
	if !gjson.ValidBytes(data) {
		return Chunk{}, errors.New("stream event is not valid JSON")
	}
	root := gjson.ParseBytes(data)
	var chunk Chunk
	choice := root.Get("choices.0")
	if choice.Exists() {
		chunk.Text = choice.Get("delta.content").String() + choice.Get("text").String()
		chunk.Finish = choice.Get("finish_reason").String()
	}
	if usage := root.Get("usage"); usage.IsObject() {
		chunk.Usage = &Usage{}
		if err := json.Unmarshal([]byte(usage.Raw), chunk.Usage); err != nil {
			return Chunk{}, errors.Wrap(err, "usage in stream event")
		}
	}
	return chunk, nil
}

// Whole returns the encoded answer of a request that asked for no stream.
func Whole(form Form, id, model string, created int64, text, finish string, usage Usage) []byte {
	answer := Answer{ID: id, Created: created, Model: model, Usage: &usage}
	choice := Choice{FinishReason: &finish}
	if form == Chat {
		answer.Object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		answer.Object = "text_completion"
		choice.Text = text
	}
	answer.Choices = []Choice{choice}
	encoded, _ := json.Marshal(answer) // plain values: cannot fail
	return encoded
}

var (
	streamOn  = []byte(`"stream":true,"stream_options":{"include_usage":true},`)
	streamOff = []byte(`"stream":false,`)
)

// Unstream returns a body made by Forward that asks for the whole answer.
func Unstream(forwarded []byte) []byte {
	at := bytes.LastIndex(forwarded, streamOn)
	if at < 0 {
		return forwarded
	}
	whole := make([]byte, 0, len(forwarded))
	whole = append(whole, forwarded[:at]...)
	whole = append(whole, streamOff...)
	return append(whole, forwarded[at+len(streamOn):]...)
}
