package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// When a target dies with many requests in flight, the retries of a whole window
// are allowed at once, and further ones only after the window.
func TestWindowAllowsItsRetriesAtOnce(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	window := NewWindow(0.16, constant(5), start, start.Add(10*time.Second))
	for i := range 230 {
		window.RecordRequest(start.Add(time.Duration(i) * 43 * time.Millisecond))
	}
	now := start.Add(10 * time.Second)
	allowed := 0
	for range 100 {
		if window.Allow(now) {
			allowed++
		}
	}
	if allowed < 40 || allowed > 42 {
		t.Errorf("got %d retries at once, want a sixth of 230 requests plus 5", allowed)
	}
	if window.Allow(now.Add(5 * time.Second)) {
		t.Error("got another retry within the window, want none")
	}
	if !window.Allow(now.Add(11 * time.Second)) {
		t.Error("got no retry after the window, want some")
	}
}

// The sum of the retries of all VMs must stay within the platform's bound in any
// window: a fifth of the requests plus the reserve.
func TestWindowsOfAllVMsStayWithinTheBound(t *testing.T) {
	const vms, bound, reserve = 8, 0.2, 56.0
	start := time.Unix(1_700_000_000, 0)
	var windows [vms]*Window
	for i := range windows {
		windows[i] = NewWindow(bound*0.8, constant(reserve*0.8/vms), start, start.Add(10*time.Second))
	}
	random := rand.New(rand.NewPCG(1, 2))
	var requests, retries []time.Time
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(5 * time.Millisecond) {
		vm := random.IntN(vms)
		if random.IntN(2) == 0 {
			windows[vm].RecordRequest(now)
			requests = append(requests, now)
		}
		for range 3 { // more requests fail than may be retried
			if windows[vm].Allow(now) {
				retries = append(retries, now)
			}
		}
	}
	for _, end := range retries {
		from := end.Add(-10 * time.Second)
		got, total := countBetween(retries, from, end), max(countBetween(requests, from, end), countBetween(requests, from.Add(-10*time.Second), from))
		if limit := bound*float64(total) + reserve; float64(got) > limit {
			t.Fatalf("got %d retries of %d requests in 10 s, want at most %.0f", got, total, limit)
		}
	}
}

func countBetween(times []time.Time, from, until time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(until) {
			count++
		}
	}
	return count
}

// constant returns a reserve that does not change.
func constant(reserve float64) func() float64 {
	return func() float64 { return reserve }
}

// A retry that was not made leaves room for another one, but only in its own window.
func TestReturnedRetryMayBeMadeLater(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	window := NewWindow(0, constant(2), start, start.Add(10*time.Second))
	steps := []struct {
		after    time.Duration
		returned bool // the first retry is returned
		want     int  // retries that are then allowed
	}{{0, false, 2}, {9 * time.Second, true, 1}, {9500 * time.Millisecond, false, 0}, {10500 * time.Millisecond, true, 1}, {30 * time.Second, false, 2}}
	for _, step := range steps {
		now := start.Add(step.after)
		if step.returned {
			window.Return(start, now)
		}
		got := 0
		for window.Allow(now) {
			got++
		}
		if got != step.want {
			t.Errorf("after %s: got %d retries, want %d", step.after, got, step.want)
		}
	}
}
