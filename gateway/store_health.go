package gateway

import (
	"context"
	"sync"
	"time"
)

// failuresToLose is the number of calls in a row that fail until the store is
// taken for lost: a single one may be a watch that was cut.
const failuresToLose = 2

// storeHealth is whether the store answers this VM.
type storeHealth struct {
	mu       sync.Mutex // guards the fields below
	heard    time.Time
	failures int
	// waiting are the watches that wait for changes, with what ends them.
	waiting map[*context.CancelFunc]bool
}

// answered notes an answer; true when the store had been lost. After a failure it
// ends the watches that wait: they may do so on connections that stay silent.
func (health *storeHealth) answered(now time.Time) bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	lost := health.failures >= failuresToLose
	if health.failures > 0 {
		for cancel := range health.waiting {
			(*cancel)()
		}
	}
	health.heard, health.failures = now, 0
	return lost
}

// wait notes a watch that waits and returns its context, and what to call once it
// has ended.
func (health *storeHealth) wait(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	health.mu.Lock()
	defer health.mu.Unlock()
	if health.waiting == nil {
		health.waiting = map[*context.CancelFunc]bool{}
	}
	health.waiting[&cancel] = true
	return ctx, func() {
		cancel()
		health.mu.Lock()
		defer health.mu.Unlock()
		delete(health.waiting, &cancel)
	}
}

// doubtful reports whether the last call to the store failed.
func (health *storeHealth) doubtful() bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	return health.failures > 0
}

// failed notes a failure. It returns when the store was last heard, and whether
// it is lost from now on.
func (health *storeHealth) failed() (time.Time, bool) {
	health.mu.Lock()
	defer health.mu.Unlock()
	health.failures++
	return health.heard, health.failures == failuresToLose
}

// silence returns for how long the store has not answered; zero while it works.
func (health *storeHealth) silence(now time.Time) time.Duration {
	health.mu.Lock()
	defer health.mu.Unlock()
	if health.failures < failuresToLose {
		return 0
	}
	return now.Sub(health.heard)
}
