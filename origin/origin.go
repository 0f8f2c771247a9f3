// Package origin declares the facts that VMs share about the streams they begin: the
// service and the software version of the target that writes them.
package origin

import "time"

// Origin is the service and the software version that began a stream.
type Origin struct {
	Service  string
	Software string
}

// Record is the origin of one attempt to begin a stream.
type Record struct {
	// RequestID identifies the request that began the stream, and its client account.
	RequestID string
	// Attempt counts the attempts of the request. The last one brings the first event.
	Attempt int
	Origin  Origin
	// Until is the time after which the record may be forgotten.
	Until time.Time
}

// Knowledge states what is known of a stream's origin.
type Knowledge int

// The states of knowledge.
const (
	// Unknown: any of several software versions may have begun the stream.
	Unknown Knowledge = iota
	// Known: the origin is known.
	Known
	// Single: the origin is not known, but only one software version can have begun
	// the stream.
	Single
)
