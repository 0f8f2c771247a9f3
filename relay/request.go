package relay

import (
	"time"

	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/target"
)

// Request is one request as a caller sent it. Its body is opaque.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is without the query, Target with it, as they were sent.
	Path   string
	Target string
	// Fields are the header fields to be passed on.
	Fields []target.Field
	Body   []byte
	// Key is the caller's key; empty when none came.
	Key     string
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero when it did not say.
	Deadline time.Time
	// After is the id of the last event that the caller has.
	After string
	// Prompt is nil for requests that are not for a model.
	Prompt *Prompt
}

// Prompt describes a request's prompt.
type Prompt struct {
	Model string
	// Input and Output are the prompt's tokens and the most tokens of the answer.
	Input  int
	Output int
	// Parts are in order; requests share parts, but for the last one.
	Parts []Part
}

// Part is a piece of a prompt that has an identity.
type Part struct {
	ID     string
	Tokens int
}

// shared returns the identity of the parts that other requests have too, under
// a wall; 0 when there are none.
func (prompt *Prompt) shared(wall string) uint64 {
	if len(prompt.Parts) < 2 {
		return 0
	}
	last := prompt.Parts[len(prompt.Parts)-2]
	return uint64(prefix.Seed(wall, prompt.Model, last.ID))
}

// mostOwn is the part of a prompt, shared by no other request, up to which it is
// saved in a store of KV cache: what nobody else asks for takes the room of what
// others do. docs/MEASUREMENTS.md has the figures.
const mostOwn = 0.7

// worthSaving reports whether enough of the prompt is shared for a store of KV cache
// to keep it.
func (prompt *Prompt) worthSaving() bool {
	return float64(prompt.own()) <= mostOwn*float64(prompt.Input)
}

// own returns the tokens that no other request shares.
func (prompt *Prompt) own() int {
	tokens := prompt.Input
	for i, part := range prompt.Parts {
		if i < len(prompt.Parts)-1 {
			tokens -= part.Tokens
		}
	}
	return max(0, tokens)
}

// Answer takes the answer to a request. Errors mean that the caller is gone.
type Answer interface {
	// Start sends the head. It is called once, before Write.
	Start(head target.Head) error
	// Write sends a whole body, or one event of a stream.
	Write(text []byte) error
}
