// Package origin keeps and finds where streams began.
//
// Targets of several software versions may serve side by side in one service, and a
// stream may go on only at the version that began it. A caller whose connection broke
// takes its stream up at any VM and names the request that brought the first event. The
// VM that began the stream may be gone by then, so it sends a Record to a few other VMs,
// the holders of the request ID. All VMs compute the same holders from the same list of
// VMs. The VM that is asked to go on with the stream decides by its own knowledge and the
// holders' answers.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	table := origin.NewTable(8192)
//	table.Put(record, now)
//	for _, holder := range origin.Holders(record.RequestID, vms, 3) {
//		outbox.Add(holder, record, now.Add(20*time.Millisecond))
//	}
//
//	// At the VM where the stream is taken up:
//	evidence := origin.Evidence{Since: since, Own: own, OtherVMs: true, Answers: answers}
//	began, knowledge := evidence.Decide(service)
package origin

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// MaxIDBytes is the maximum length of a request ID that is kept or sent.
	MaxIDBytes = 64
	// MaxNameBytes is the maximum length of a service's or a software version's name.
	MaxNameBytes = 64
	// digestBytes is the part of a digest that replaces a longer ID.
	digestBytes  = 16
	digestPrefix = "sha256:"
)

// Origin is where a stream began.
type Origin struct {
	Service  string
	Software string // the version of the target's software
}

// Record states where the stream of a request began.
type Record struct {
	// RequestID is at most MaxIDBytes long; ID shortens longer ones.
	RequestID string
	// Attempt is the number of the request's attempt at a target that brought the first
	// event.
	Attempt int
	Origin  Origin
	// Until is when the record expires.
	Until time.Time
}

// Query asks a VM where a stream began.
type Query struct {
	RequestID string
	// Service is the service that would go on with the stream.
	Service string
	// Since is the earliest time at which the stream can have begun.
	Since time.Time
	// Forward is set when the receiver asks the holders of its availability zone too.
	Forward bool
}

// ID returns the request ID as it is kept and sent. Callers choose request IDs, so one
// that is longer than MaxIDBytes, or that the wire cannot carry because it is not valid
// UTF-8, is replaced by its digest.
func ID(requestID string) string {
	if len(requestID) <= MaxIDBytes && utf8.ValidString(requestID) {
		return requestID
	}
	digest := sha256.Sum256([]byte(requestID))
	return digestPrefix + hex.EncodeToString(digest[:digestBytes])
}

// Valid reports whether the record may be kept and sent: its request ID is one that ID
// returns, and its names are not too long.
func (record Record) Valid() bool {
	return record.RequestID != "" && ID(record.RequestID) == record.RequestID &&
		validName(record.Origin.Service) && validName(record.Origin.Software)
}

func validName(name string) bool {
	return len(name) <= MaxNameBytes && utf8.ValidString(name)
}

// Holders returns up to count of the VMs, in the rendezvous order of the request ID: the
// order of the others stays the same when a VM is added or removed.
func Holders(requestID string, vms []string, count int) []string {
	type candidate struct {
		vm    string
		score uint64
	}
	key := prefix.Digest(requestID)
	candidates := make([]candidate, len(vms))
	for i, vm := range vms {
		candidates[i] = candidate{vm, prefix.Mix(key ^ prefix.Digest(vm))}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	holders := make([]string, min(count, len(candidates)))
	for i := range holders {
		holders[i] = candidates[i].vm
	}
	return holders
}
