package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/target"
)

// Request is one request as a caller sent it. Its body is opaque.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path excludes the query, PathAndQuery includes it. Both are as the caller
	// sent them.
	Path         string
	PathAndQuery string
	// Fields are the header fields to be forwarded.
	Fields []target.Field
	Body   []byte
	// Key is the caller's key; empty if the request has none.
	Key     string
	Arrived time.Time
	// Deadline is the time until which the caller waits; zero if the caller did not
	// state it.
	Deadline time.Time
	// LastEventID is the ID of the last event that the caller received.
	LastEventID string
	// Resumes is the ID of the earlier request of the caller that brought the first
	// event of the stream which this request takes up; empty if the caller named none.
	Resumes string
	// Prompt is nil for requests that are not for a model.
	Prompt *Prompt
}

// Prompt describes a request's prompt.
type Prompt struct {
	Model string
	// Input is the number of prompt tokens, Output the maximum number of answer
	// tokens.
	Input  int
	Output int
	// Parts are in prompt order. Requests may share all parts except the last one.
	Parts []Part
}

// Part is a piece of a prompt that has an ID.
type Part struct {
	ID     string
	Tokens int
}

// sharedPrefix returns the identity of the parts that other requests may share,
// within a cache scope. It is 0 if there are none.
func (prompt *Prompt) sharedPrefix(scope routing.Scope) uint64 {
	if len(prompt.Parts) < 2 {
		return 0
	}
	last := prompt.Parts[len(prompt.Parts)-2]
	return uint64(prefix.Seed(string(scope), prompt.Model, last.ID))
}

// sharedParts returns the IDs of the parts that other requests may share, each once.
// There are none if the request has no prompt.
func (request *Request) sharedParts() []string {
	if request.Prompt == nil {
		return nil
	}
	var ids []string
	for i, part := range request.Prompt.Parts {
		if i < len(request.Prompt.Parts)-1 && !slices.Contains(ids, part.ID) {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// maxLoggedParts is the maximum length, in bytes, of the logged IDs of parts: they are
// text of the caller, and log lines are bounded.
const maxLoggedParts = 256

// loggedParts returns the IDs of the shared parts for the log.
func (request *Request) loggedParts() string {
	return loggedPart(strings.Join(request.sharedParts(), ","))
}

func loggedPart(text string) string {
	return text[:min(len(text), maxLoggedParts)]
}

// maxUnsharedFraction is the largest unshared fraction with which a prompt is still
// saved in a KV cache store. Saved tokens that no other request shares take the
// space of shared ones. docs/MEASUREMENTS.md has the figures.
const maxUnsharedFraction = 0.7

// worthSaving reports whether enough of the prompt is shared to save it in a KV
// cache store.
func (prompt *Prompt) worthSaving() bool {
	return float64(prompt.unsharedTokens()) <= maxUnsharedFraction*float64(prompt.Input)
}

// unsharedTokens returns the number of tokens that no other request shares.
func (prompt *Prompt) unsharedTokens() int {
	tokens := prompt.Input
	for i, part := range prompt.Parts {
		if i < len(prompt.Parts)-1 {
			tokens -= part.Tokens
		}
	}
	return max(0, tokens)
}

// Answer receives the answer to a request. Errors mean that the caller
// disconnected.
type Answer interface {
	// CallerLeft reports whether the caller has closed its connection. The context of
	// the request may end only later.
	CallerLeft() bool
	// Start sends the head. It is called once, before Write.
	Start(head target.Head) error
	// Write sends a complete body, or one event of a stream.
	Write(text []byte) error
}
