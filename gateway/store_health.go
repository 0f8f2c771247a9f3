package gateway

import (
	"context"
	"sync"
	"time"
)

// failuresToUnavailable is the number of consecutive failed calls after which the
// store counts as unavailable. A single failure may be an interrupted watch, and the watches of
// all collections may be interrupted at once: of calls that overlap, one failure counts.
const failuresToUnavailable = 2

// storeHealth tracks whether the store answers this VM.
type storeHealth struct {
	mu         sync.Mutex // guards the fields below
	lastAnswer time.Time
	failures   int
	failedAt   time.Time // when the last failure that counts was recorded
	// watches holds the cancel functions of the watches in progress.
	watches map[*context.CancelFunc]bool
}

// recordAnswer records an answer from the store. It returns true if the store was
// unavailable until now. After a failure it cancels the watches in progress, because
// their connections may never deliver data again.
func (storeHealth *storeHealth) recordAnswer(now time.Time) bool {
	storeHealth.mu.Lock()
	defer storeHealth.mu.Unlock()
	wasUnavailable := storeHealth.failures >= failuresToUnavailable
	if storeHealth.failures > 0 {
		for cancel := range storeHealth.watches {
			(*cancel)()
		}
	}
	storeHealth.lastAnswer, storeHealth.failures = now, 0
	return wasUnavailable
}

// addWatch records a watch in progress. It returns the watch's context and a function
// to call when the watch has ended.
func (storeHealth *storeHealth) addWatch(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	storeHealth.mu.Lock()
	defer storeHealth.mu.Unlock()
	if storeHealth.watches == nil {
		storeHealth.watches = map[*context.CancelFunc]bool{}
	}
	storeHealth.watches[&cancel] = true
	return ctx, func() {
		cancel()
		storeHealth.mu.Lock()
		defer storeHealth.mu.Unlock()
		delete(storeHealth.watches, &cancel)
	}
}

// lastCallFailed reports whether the last call to the store failed.
func (storeHealth *storeHealth) lastCallFailed() bool {
	storeHealth.mu.Lock()
	defer storeHealth.mu.Unlock()
	return storeHealth.failures > 0
}

// recordFailure records a failed call that began at the given time. It returns the time of the
// store's last answer, and whether this failure makes the store unavailable.
func (storeHealth *storeHealth) recordFailure(began, now time.Time) (time.Time, bool) {
	storeHealth.mu.Lock()
	defer storeHealth.mu.Unlock()
	if storeHealth.failures > 0 && began.Before(storeHealth.failedAt) {
		return storeHealth.lastAnswer, false
	}
	storeHealth.failedAt = now
	storeHealth.failures++
	return storeHealth.lastAnswer, storeHealth.failures == failuresToUnavailable
}

// answerAge returns how long ago the store last answered; zero while it is available. It is
// the longest possible time if the store has not answered this VM yet.
func (storeHealth *storeHealth) answerAge(now time.Time) time.Duration {
	storeHealth.mu.Lock()
	defer storeHealth.mu.Unlock()
	if storeHealth.failures < failuresToUnavailable && !storeHealth.lastAnswer.IsZero() {
		return 0
	}
	return now.Sub(storeHealth.lastAnswer)
}
