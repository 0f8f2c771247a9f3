package relay

import (
	"sync"
	"time"
)

// maxPartialEvent is how long an event may take to arrive from its first byte to its
// last. A sound target may pause for a second; callers abandon a stream after a gap of 2 s
// or more.
const maxPartialEvent = 1500 * time.Millisecond

// eventProgress tells a stream whose events arrive slowly from one that has stalled: a
// faulty target may send a byte now and then, but never completes an event. It is safe for
// concurrent use.
type eventProgress struct {
	mu sync.Mutex // guards partialSince
	// partialSince is when the first byte after the last complete event arrived; zero if
	// none did.
	partialSince time.Time
}

// recordData records that bytes arrived.
func (eventProgress *eventProgress) recordData(now time.Time) {
	eventProgress.mu.Lock()
	defer eventProgress.mu.Unlock()
	if eventProgress.partialSince.IsZero() {
		eventProgress.partialSince = now
	}
}

// recordComplete records that the head or an event is complete. Bytes of the next event
// that arrived with it count from the bytes that follow them.
func (eventProgress *eventProgress) recordComplete() {
	eventProgress.mu.Lock()
	defer eventProgress.mu.Unlock()
	eventProgress.partialSince = time.Time{}
}

// stalled reports whether an event has been incomplete for too long.
func (eventProgress *eventProgress) stalled(now time.Time) bool {
	eventProgress.mu.Lock()
	defer eventProgress.mu.Unlock()
	return !eventProgress.partialSince.IsZero() && now.Sub(eventProgress.partialSince) > maxPartialEvent
}
