// Package completion parses and encodes the OpenAI-compatible completion API:
// requests, stream chunks and complete answers.
//
// Requests are not decoded into values and encoded again: the relevant members are
// located in the caller's text, and the rest is forwarded unchanged.
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

// Form is the API to which a request belongs.
type Form int

// The forms.
const (
	Chat Form = iota // chat completions, with a list of messages
	Text             // text completions, with a prompt string
)

// Path returns the HTTP path of the API.
func (form Form) Path() string {
	if form == Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// DefaultMaxTokens is the output limit of a request that sets none, in tokens.
const DefaultMaxTokens = 256

// MaxOutputTokens is the maximum output limit that a request may set, in tokens.
const MaxOutputTokens = 1 << 20

// Request is a parsed request.
type Request struct {
	Form         Form
	Model        string
	Stream       bool
	IncludeUsage bool // whether the stream includes the usage
	MaxTokens    int  // output limit
	// Prompt is the prompt as the engine sees it, including the roles. It is used
	// for hashing and for estimating tokens; JSON string escapes are not decoded.
	Prompt []byte
	// SharedPrefixBytes is the length of the prompt before its last message, in
	// bytes: the part that other requests may share. It is 0 in a request without
	// messages.
	SharedPrefixBytes int

	body []byte
}

// Parse validates the body and parses the relevant members. It appends the prompt
// to buffer. The request retains the body. The errors state what the caller has to
// correct.
func Parse(body []byte, form Form, buffer []byte) (Request, error) {
	if !json.Valid(body) { // unlike gjson, it bounds the nesting
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
	var parseErr error
	root.ForEach(func(name, value gjson.Result) bool {
		parseErr = request.parseMember(name.Str, value)
		return parseErr == nil
	})
	if parseErr != nil {
		return Request{}, parseErr
	}
	if request.Model == "" {
		return Request{}, errors.New("model must name a model; GET /v1/models lists them")
	}
	if len(request.Prompt) == len(buffer) {
		return Request{}, errors.Newf("%s must not be empty", form.promptMember())
	}
	return request, nil
}

// promptMember returns the name of the JSON member that holds the prompt.
func (form Form) promptMember() string {
	if form == Chat {
		return "messages"
	}
	return "prompt"
}

// parseMember parses one member of the body and ignores members that are not
// relevant.
func (request *Request) parseMember(name string, value gjson.Result) error {
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
		request.IncludeUsage = value.Get("include_usage").Bool()
	case "n":
		if value.Num != 1 {
			return errors.New("n must be 1; send one request for each answer")
		}
	case "max_tokens", "max_completion_tokens":
		return request.parseMaxTokens(name, value)
	case request.Form.promptMember():
		return request.parsePrompt(value)
	}
	return nil
}

func (request *Request) parseMaxTokens(name string, value gjson.Result) error {
	if value.Type == gjson.Null {
		return nil
	}
	if value.Type != gjson.Number || value.Num != math.Trunc(value.Num) || value.Num < 1 || value.Num > MaxOutputTokens {
		return errors.Newf("%s must be a whole number from 1 to %d", name, MaxOutputTokens)
	}
	request.MaxTokens = int(value.Num)
	return nil
}

func (request *Request) parsePrompt(value gjson.Result) error {
	if request.Form == Text {
		if value.Type != gjson.String {
			return errors.New("prompt must be a string; send one request for each prompt")
		}
		request.Prompt = append(request.Prompt, unquoted(value.Raw)...)
		return nil
	}
	if !value.IsArray() {
		return errors.New("messages must be an array")
	}
	var parseErr error
	value.ForEach(func(_, message gjson.Result) bool {
		request.SharedPrefixBytes = len(request.Prompt)
		parseErr = request.appendMessage(message)
		return parseErr == nil
	})
	return parseErr
}

// appendMessage appends the role and the content of a message to the prompt.
func (request *Request) appendMessage(message gjson.Result) error {
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
		request.Prompt = append(request.Prompt, unquoted(content.Raw)...)
	} else {
		request.Prompt = append(request.Prompt, content.Raw...)
	}
	request.Prompt = append(request.Prompt, '\n')
	return nil
}

// unquoted returns a JSON string without its quotes. It does not decode escapes.
func unquoted(raw string) string {
	if len(raw) < 2 {
		return ""
	}
	return raw[1 : len(raw)-1]
}

// PromptTokens estimates the prompt's length in tokens.
func (request *Request) PromptTokens() int {
	return prefix.Tokens(len(request.Prompt))
}

// Additions are values that the VM sets in a forwarded request.
type Additions struct {
	// Salt separates the cache entries of different accounts in the engine.
	Salt string
	// Priority orders the requests of a busy engine; lower values go first.
	Priority int
}

// overridden holds the members that Forward drops from the caller's body because
// callers must not set them for the engine.
var overridden = map[string]bool{
	"stream": true, "stream_options": true, "cache_salt": true, "priority": true, "user": true,
	"max_tokens": true, "max_completion_tokens": true,
}

// forwardOverhead is the buffer space for the members that Forward adds, in bytes.
const forwardOverhead = 256

// Forward appends the body for the engine to buffer: the caller's members, except
// for those that the VM sets itself. The body always requests a stream with usage.
func (request *Request) Forward(additions Additions, buffer []byte) []byte {
	if buffer == nil {
		buffer = make([]byte, 0, len(request.body)+forwardOverhead)
	}
	buffer = append(buffer, '{')
	gjson.ParseBytes(request.body).ForEach(func(name, value gjson.Result) bool {
		if overridden[name.Str] {
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

// Usage holds the token counts of an answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails holds the number of prompt tokens that the engine found in its
// cache.
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

// Choice is one answer to a request, or a chunk of it.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message, or a chunk of one.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Answer is a complete answer, or one chunk of a stream.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Chunk holds the relevant fields of one stream event.
type Chunk struct {
	// Text is the part of the answer's text in this chunk.
	Text string
	// FinishReason is the finish reason; set in the last chunk of the answer.
	FinishReason string
	// Usage is set in the event that contains it, nil in others.
	Usage *Usage
}

// ParseChunk parses the data of one stream event.
func ParseChunk(data []byte) (Chunk, error) {
	if !gjson.ValidBytes(data) {
		return Chunk{}, errors.New("stream event is not valid JSON")
	}
	root := gjson.ParseBytes(data)
	var chunk Chunk
	choice := root.Get("choices.0")
	if choice.Exists() {
		chunk.Text = choice.Get("delta.content").String() + choice.Get("text").String()
		chunk.FinishReason = choice.Get("finish_reason").String()
	}
	if usage := root.Get("usage"); usage.IsObject() {
		chunk.Usage = &Usage{}
		if err := json.Unmarshal([]byte(usage.Raw), chunk.Usage); err != nil {
			return Chunk{}, errors.Wrap(err, "usage in stream event")
		}
	}
	return chunk, nil
}

// EncodeAnswer encodes the complete answer to a request without streaming. The
// created time is in seconds since the Unix epoch.
func EncodeAnswer(form Form, id, model string, created int64, text, finish string, usage Usage) []byte {
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
	encoded, _ := json.Marshal(answer) // cannot fail: the answer holds only strings and numbers
	return encoded
}

var (
	streamEnabled  = []byte(`"stream":true,"stream_options":{"include_usage":true},`)
	streamDisabled = []byte(`"stream":false,`)
)

// WithoutStreaming changes a body made by Forward to request a complete answer
// instead of a stream. It returns the result and does not modify its argument.
func WithoutStreaming(forwarded []byte) []byte {
	at := bytes.LastIndex(forwarded, streamEnabled)
	if at < 0 {
		return forwarded
	}
	body := make([]byte, 0, len(forwarded))
	body = append(body, forwarded[:at]...)
	body = append(body, streamDisabled...)
	return append(body, forwarded[at+len(streamEnabled):]...)
}
