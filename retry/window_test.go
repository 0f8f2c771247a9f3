package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A target dies with many requests: all of them may go elsewhere at once, and
// then no more for a window.
func TestWindowLetsAWindowsRetriesComeAtOnce(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	window := NewWindow(0.16, 5, start, start.Add(10*time.Second))
	for i := range 230 {
		window.Request(start.Add(time.Duration(i) * 43 * time.Millisecond))
	}
	now := start.Add(10 * time.Second)
	allowed := 0
	for range 100 {
		if window.Allow(now) {
			allowed++
		}
	}
	if allowed < 40 || allowed > 42 {
		t.Errorf("got %d retries at once, want a sixth of 230 and 5", allowed)
	}
	if window.Allow(now.Add(5 * time.Second)) {
		t.Error("got another retry within the window, want none")
	}
	if !window.Allow(now.Add(11 * time.Second)) {
		t.Error("got no retry after the window, want some")
	}
}

// Over all VMs and in any window the platform's bound holds: a fifth of the
// requests and the reserve.
func TestWindowsOfAllVMsKeepTheBound(t *testing.T) {
	const vms, bound, reserve = 8, 0.2, 56.0
	start := time.Unix(1_700_000_000, 0)
	var windows [vms]*Window
	for i := range windows {
		windows[i] = NewWindow(bound*0.8, reserve*0.8/vms, start, start.Add(10*time.Second))
	}
	random := rand.New(rand.NewPCG(1, 2))
	var requests, retries []time.Time
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(5 * time.Millisecond) {
		vm := random.IntN(vms)
		if random.IntN(2) == 0 {
			windows[vm].Request(now)
			requests = append(requests, now)
		}
		for range 3 { // more fail than may be sent again
			if windows[vm].Allow(now) {
				retries = append(retries, now)
			}
		}
	}
	for _, end := range retries {
		from := end.Add(-10 * time.Second)
		got, of := within(retries, from, end), max(within(requests, from, end), within(requests, from.Add(-10*time.Second), from))
		if limit := bound*float64(of) + reserve; float64(got) > limit {
			t.Fatalf("got %d retries of %d requests in 10 s, want at most %.0f", got, of, limit)
		}
	}
}

func within(times []time.Time, from, until time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(until) {
			count++
		}
	}
	return count
}
