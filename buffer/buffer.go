// Package buffer bounds the memory in which a VM holds what others send it until it is
// passed on: answers of targets, incomplete events, and bodies of callers.
//
// All of them share one Budget. A single text is bounded by what the budget has left:
// however many targets send without end, each of their answers is given up as soon as it
// holds more than is free, and the largest ones first. Texts of up to FreeSize bytes are
// not counted, so that the usual requests are served meanwhile; those of callers count
// as memory of their connections (package occupancy).
//
// # Usage
//
//	budget := buffer.NewBudget(16 << 20)
//	share := budget.Share()
//	defer share.Close()
//	text, err := share.ReadAll(body, maxAnswer)
//	if errors.Is(err, buffer.ErrFull) { ... }
package buffer

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrFull is returned for a text that would hold more memory than is left.
var ErrFull = errors.New("the text holds more memory than this VM has left for texts")

// ErrTooLong is returned for a text that is longer than it may be.
var ErrTooLong = errors.New("the text is too long")

const (
	// FreeSize is the size, in bytes, up to which a text is not counted.
	FreeSize = 16 << 10
	// firstSize is the size of the buffer into which a text of unknown length is read
	// first.
	firstSize = 4 << 10
)

// Budget is the memory for all texts. It is safe for concurrent use.
type Budget struct {
	// OnDenied, if set, is called with the size of a text that was not given what it
	// needed. It is set before the first share.
	OnDenied func(size int64)

	limit int64

	mu     sync.Mutex // guards the fields below
	used   int64
	most   int64
	denied int64
}

// NewBudget returns a budget of the number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Usage is the use of a budget.
type Usage struct {
	Bytes  int64 // in use
	Most   int64 // the largest number of bytes that were in use at once
	Denied int64 // how often a text was not given what it needed
}

// Usage returns the use of the budget.
func (budget *Budget) Usage() Usage {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	return Usage{Bytes: budget.used, Most: budget.most, Denied: budget.denied}
}

// Share returns the share of one text, which is empty at first. A nil budget is not
// bounded.
func (budget *Budget) Share() *Share {
	return &Share{budget: budget}
}

// resize changes what a text holds from one number of counted bytes to another. It returns
// false if less than that would be left.
func (budget *Budget) resize(from, to int64) bool {
	if budget.tryResize(from, to) {
		return true
	}
	if budget.OnDenied != nil {
		budget.OnDenied(to)
	}
	return false
}

func (budget *Budget) tryResize(from, to int64) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	used := budget.used + to - from
	if to > from && to > budget.limit-used {
		budget.denied++
		return false
	}
	budget.used, budget.most = used, max(budget.most, used)
	return true
}

// Holder bounds what the connection holds to which a text belongs.
type Holder interface {
	// Grow adds bytes. It returns false, and adds nothing, if there is no room.
	Grow(bytes int64, now time.Time) bool
}

// Share is the part of a budget that one text holds. It is not safe for concurrent use.
type Share struct {
	// Holder, if set, is asked for all bytes of the text, those up to FreeSize as well. It
	// gets them back when the request ends.
	Holder Holder

	budget *Budget
	size   int   // the largest so far, as the holder knows it
	held   int64 // bytes that are counted
}

// Resize sets the size of the text in bytes. It returns false, and leaves the share as it
// is, if the budget does not have what the text needs.
func (share *Share) Resize(size int) bool {
	counted := int64(size)
	if size <= FreeSize {
		counted = 0
	}
	if share == nil || !share.grow(size) {
		return share == nil
	}
	if share.budget == nil || counted == share.held {
		return true
	}
	if !share.budget.resize(share.held, counted) {
		return false
	}
	share.held = counted
	return true
}

// grow asks the holder for what the text needs beyond its largest size so far.
func (share *Share) grow(size int) bool {
	if share.Holder == nil || size <= share.size {
		return true
	}
	if !share.Holder.Grow(int64(size-share.size), time.Now()) {
		return false
	}
	share.size = size
	return true
}

// Close returns what the text holds.
func (share *Share) Close() {
	share.Resize(0)
}

// ReadAll reads a text of up to maxLength bytes. The error is ErrFull or ErrTooLong, or
// that of the reader. The text read so far is returned in any case.
func (share *Share) ReadAll(reader io.Reader, maxLength int) ([]byte, error) {
	if !share.Resize(firstSize) {
		return nil, ErrFull
	}
	text := make([]byte, 0, firstSize)
	for {
		if len(text) == cap(text) {
			size := min(2*cap(text), maxLength+1)
			if !share.Resize(size) {
				return text, ErrFull
			}
			text = append(make([]byte, 0, size), text...)
		}
		count, err := reader.Read(text[len(text):cap(text)])
		text = text[:len(text)+count]
		switch {
		case len(text) > maxLength:
			return text[:maxLength], ErrTooLong
		case errors.Is(err, io.EOF):
			return text, nil
		case err != nil:
			return text, err
		}
	}
}
