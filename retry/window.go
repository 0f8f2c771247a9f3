package retry

import (
	"sync"
	"time"
)

// slotCount is the number of slots into which a window is divided.
const slotCount = 50

// Window is a sliding window that allows retries up to a share of its requests,
// plus a reserve. Unlike a Budget, it allows all of them at once, as when a target
// dies with many requests in flight. It is safe for concurrent use.
type Window struct {
	share        float64        // retries per request
	reserve      func() float64 // retries per window, whatever the number of requests
	slotDuration time.Duration

	mu          sync.Mutex // guards the fields below
	currentSlot int64      // number of the newest slot, counted from the Unix epoch
	requests    [slotCount]int
	retries     [slotCount]int
	// totals over all slots
	totalRequests int
	totalRetries  int
}

// NewWindow returns an empty sliding window with the length of the period between
// from and until. reserve returns the reserve in force.
func NewWindow(share float64, reserve func() float64, from, until time.Time) *Window {
	return &Window{share: share, reserve: reserve, slotDuration: max(time.Millisecond, until.Sub(from)/slotCount)}
}

// RecordRequest counts the first attempt of a request.
func (window *Window) RecordRequest(now time.Time) {
	window.mu.Lock()
	defer window.mu.Unlock()
	slot := window.advance(now)
	window.requests[slot]++
	window.totalRequests++
}

// Allow counts a retry. It returns false, and counts nothing, when the window
// already holds the maximum number of retries.
func (window *Window) Allow(now time.Time) bool {
	window.mu.Lock()
	defer window.mu.Unlock()
	slot := window.advance(now)
	if float64(window.totalRetries+1) > window.share*float64(window.totalRequests)+window.reserve() {
		return false
	}
	window.retries[slot]++
	window.totalRetries++
	return true
}

// Return takes back a retry that Allow counted at the given time and that was not made.
func (window *Window) Return(allowedAt, now time.Time) {
	window.mu.Lock()
	defer window.mu.Unlock()
	window.advance(now)
	slot := allowedAt.UnixNano() / int64(window.slotDuration)
	if window.currentSlot-slot >= slotCount || window.retries[slot%slotCount] == 0 {
		return // it is no longer in the window
	}
	window.retries[slot%slotCount]--
	window.totalRetries--
}

// advance clears the slots that are no longer in the window and returns the index
// of the current one. The caller holds mu.
func (window *Window) advance(now time.Time) int {
	current := now.UnixNano() / int64(window.slotDuration)
	if window.currentSlot == 0 || current-window.currentSlot >= slotCount {
		window.requests, window.retries = [slotCount]int{}, [slotCount]int{}
		window.totalRequests, window.totalRetries = 0, 0
		window.currentSlot = current
	}
	for window.currentSlot < current {
		window.currentSlot++
		expired := int(window.currentSlot % slotCount)
		window.totalRequests -= window.requests[expired]
		window.totalRetries -= window.retries[expired]
		window.requests[expired], window.retries[expired] = 0, 0
	}
	return int(window.currentSlot % slotCount)
}
