package gateway

import (
	"testing"
	"time"
)

// The pattern: a roll of weights changes each registration, and all VMs of a
// large fleet follow them.
func TestLargeFleetsCallTheStoreLess(t *testing.T) {
	const (
		// drainBound is the time in which a leaving target may get new work.
		drainBound = 2 * time.Second
		callTime   = 500 * time.Millisecond // of a slow store
		mostCalls  = 65.0                   // of a fleet of up to 70 VMs, a second
	)
	for _, vms := range []int{1, 8, 30, 70, 340} {
		got := gatherFor(vms)
		if got+callTime >= drainBound {
			t.Errorf("%d VMs: got a pause of %v, want one that leaves time for a call within %v", vms, got, drainBound)
		}
		if calls := float64(vms) / got.Seconds(); vms <= 70 && calls > mostCalls {
			t.Errorf("%d VMs: got %.0f calls a second, want %.0f at most", vms, calls, mostCalls)
		}
	}
}
