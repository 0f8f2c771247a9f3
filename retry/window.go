package retry

import (
	"sync"
	"time"
)

// slots is the number of parts in which a window is counted.
const slots = 50

// Window allows retries up to a share of the requests of the last window, and a
// reserve. Unlike a Budget it lets them all come at once, as when a target dies
// with many requests. It is safe for concurrent use.
type Window struct {
	share   float64
	reserve float64
	slot    time.Duration

	mu       sync.Mutex // guards the fields below
	now      int64      // the slot that is counted
	requests [slots]int
	retries  [slots]int
	// sums of the slots
	requested int
	retried   int
}

// NewWindow returns a window that ends at each moment and begins at the time
// that is as long before it as from is before until.
func NewWindow(share, reserve float64, from, until time.Time) *Window {
	return &Window{share: share, reserve: reserve, slot: max(time.Millisecond, until.Sub(from)/slots)}
}

// Request notes a first try.
func (window *Window) Request(now time.Time) {
	window.mu.Lock()
	defer window.mu.Unlock()
	slot := window.turn(now)
	window.requests[slot]++
	window.requested++
}

// Allow counts a retry; false when there were too many in the window.
func (window *Window) Allow(now time.Time) bool {
	window.mu.Lock()
	defer window.mu.Unlock()
	slot := window.turn(now)
	if float64(window.retried+1) > window.share*float64(window.requested)+window.reserve {
		return false
	}
	window.retries[slot]++
	window.retried++
	return true
}

// turn drops the slots that have left the window and returns the current one.
// The caller holds mu.
func (window *Window) turn(now time.Time) int {
	current := now.UnixNano() / int64(window.slot)
	if window.now == 0 || current-window.now >= slots {
		window.requests, window.retries = [slots]int{}, [slots]int{}
		window.requested, window.retried = 0, 0
		window.now = current
	}
	for window.now < current {
		window.now++
		left := int(window.now % slots)
		window.requested -= window.requests[left]
		window.retried -= window.retries[left]
		window.requests[left], window.retries[left] = 0, 0
	}
	return int(window.now % slots)
}
