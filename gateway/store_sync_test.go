package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/settings"
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

// The pattern: all VMs of a large fleet follow the registrations, and some are
// cut off from the others.
func TestSomeVMsFollowCloselyForAll(t *testing.T) {
	name := func(i int) string { return fmt.Sprint("vm-", i) }
	// late returns how many of so many VMs hear late, when each heard all others at
	// the start and is asked after a time.
	late := func(vms int, after time.Duration) int {
		count := 0
		for i := range vms {
			gateway := &Gateway{Settings: settings.EntryVM{Name: name(i)}, members: membership.NewTable(name(i), nil, start)}
			for j := range vms {
				if j != i {
					gateway.members.Heard(name(j), netip.AddrPort{}, 0, start)
				}
			}
			if gateway.mayHearLate(start.Add(after)) {
				count++
			}
		}
		return count
	}
	for _, test := range []struct {
		name  string
		vms   int
		after time.Duration
		want  int
	}{
		{"small fleet", closeFollowers, 0, 0},
		{"large fleet", 78, 0, 78 - closeFollowers},
		{"large fleet whose VMs are cut off from each other", 78, membership.AliveTime, 0},
	} {
		if got := late(test.vms, test.after); got != test.want {
			t.Errorf("%s: got %d VMs that hear late, want %d", test.name, got, test.want)
		}
	}
}
