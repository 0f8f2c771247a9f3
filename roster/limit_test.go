package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// limitedFleet is VMs in virtual time that share one limited target of a service. The
// other target of the service takes whatever the limited one does not.
type limitedFleet struct {
	vms      []*Roster
	now      time.Time
	arrivals []time.Time
}

func newLimitedFleet(vms int, start time.Time) *limitedFleet {
	fleet := &limitedFleet{now: start}
	for range vms {
		roster := New("a")
		roster.Put(Entry{ID: "limited", Service: "s", Zone: "a", StartTime: 1}, start)
		roster.Put(Entry{ID: "other", Service: "s", Zone: "a", StartTime: 1}, start)
		fleet.vms = append(fleet.vms, roster)
	}
	return fleet
}

// setShares gives the first VMs equal shares, as the rendezvous order does.
func (fleet *limitedFleet) setShares() {
	for i, vm := range fleet.vms {
		vm.SetLimitShares(func(_, _ string, rate float64) float64 {
			holders := min(LimitHolders(rate), len(fleet.vms))
			if i >= holders {
				return 0
			}
			return 1 / float64(holders)
		}, fleet.now)
	}
}

// tell tells all VMs of the limit.
func (fleet *limitedFleet) tell(rate float64) {
	for _, vm := range fleet.vms {
		vm.MergeLimit(Limit{Target: "limited", StartTime: 1, Rate: rate, Learned: fleet.now})
	}
}

// send sends a request by the VM, which prefers the limited target.
func (fleet *limitedFleet) send(vm *Roster) {
	assignment, ok := vm.Choose(Criteria{Service: "s", Tried: []string{"other"}}, fleet.now)
	if !ok {
		return
	}
	fleet.arrivals = append(fleet.arrivals, fleet.now)
	assignment.End()
}

// Guards against more requests at a target than its limit allows over all VMs: in no
// 4 s more than one and a half times the limit and five. Targets get most of what they
// take.
func TestLimitHoldsOverAllVMs(t *testing.T) {
	const length, window, step = 60 * time.Second, 4 * time.Second, 10 * time.Millisecond
	for _, vms := range []int{1, 6, 8, 78, 295} {
		for _, rate := range []float64{0.05, 0.5, 1, 2.3, 3.3, 20, 100} {
			t.Run(fmt.Sprintf("%d VMs, limit %v", vms, rate), func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, uint64(vms)))
				start := time.Unix(1000, 0)
				fleet := newLimitedFleet(vms, start)
				fleet.tell(rate)
				for fleet.now.Sub(start) < length {
					if fleet.now.Sub(start)%(200*time.Millisecond) == 0 {
						fleet.setShares()
					}
					for range vms/4 + 4 { // far more than the limit
						fleet.send(fleet.vms[random.IntN(vms)])
					}
					fleet.now = fleet.now.Add(step)
				}
				allowed := int(1.5*rate*window.Seconds()) + 5
				first := 0
				for last, arrived := range fleet.arrivals {
					for arrived.Sub(fleet.arrivals[first]) > window {
						first++
					}
					if got := last - first + 1; got > allowed {
						t.Fatalf("got %d requests in %v, want %d at most", got, window, allowed)
					}
				}
				if got, want := float64(len(fleet.arrivals)), 0.8*rate*length.Seconds()-2; got < want {
					t.Errorf("got %v requests in all, want %v at least", got, want)
				}
			})
		}
	}
}

// A target that no longer names its limit gets its share of requests again.
func TestLimitEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	fleet := newLimitedFleet(1, start)
	vm := fleet.vms[0]
	observe := func(rate float64) bool {
		assignment, ok := vm.Choose(Criteria{Service: "s", Tried: []string{"other"}}, fleet.now)
		if !ok {
			t.Fatal("got no target, want the limited one")
		}
		defer assignment.End()
		_, changed := assignment.ObserveLimit(rate, fleet.now)
		return changed
	}
	if !observe(0.5) {
		t.Error("got no change, want the limit")
	}
	fleet.now = fleet.now.Add(limitEndDelay / 2)
	if _, changed := vm.MergeLimit(Limit{Target: "limited", StartTime: 1, Learned: fleet.now}); changed {
		t.Error("got the limit ended by an answer that was overtaken, want it kept")
	}
	if _, ok := vm.Choose(Criteria{Service: "s", Tried: []string{"other"}}, fleet.now); ok {
		t.Error("got the limited target, want none before the VM has a share")
	}
	fleet.setShares()
	fleet.now = fleet.now.Add(5 * time.Second)
	if assignment, ok := vm.Choose(Criteria{Service: "s"}, fleet.now); !ok || assignment.ID != "limited" {
		t.Errorf("got %+v, want the limited target: it must be asked whether its limit holds", assignment)
	}
	fleet.now = fleet.now.Add(5 * time.Second)
	if !observe(0) {
		t.Error("got no change, want the end of the limit")
	}
	if limits := vm.Limits(fleet.now); len(limits) != 1 || limits[0].Rate != 0 {
		t.Errorf("got %+v to be told, want the end", limits)
	}
	for range 20 {
		fleet.send(vm)
	}
	if got := len(fleet.arrivals); got != 20 {
		t.Errorf("got %d of 20 requests sent, want all", got)
	}
}

// A limit is that of one start, the newest word counts, and a registration that comes
// back does not end it.
func TestLimitBelongsToOneStart(t *testing.T) {
	now := time.Unix(1000, 0)
	vm := newLimitedFleet(1, now).vms[0]
	rate := func() float64 {
		for _, entry := range vm.Limits(now) {
			return entry.Rate
		}
		return 0
	}
	for _, test := range []struct {
		word Limit
		want float64
	}{
		{Limit{Target: "limited", StartTime: 2, Rate: 9, Learned: now}, 0},
		{Limit{Target: "unknown", StartTime: 1, Rate: 9, Learned: now}, 0},
		{Limit{Target: "limited", StartTime: 1, Rate: 4, Learned: now}, 4},
		{Limit{Target: "limited", StartTime: 1, Rate: 7, Learned: now.Add(-time.Second)}, 4},
		{Limit{Target: "limited", StartTime: 1, Rate: -1, Learned: now.Add(time.Second)}, 4},
	} {
		vm.MergeLimit(test.word)
		if got := rate(); got != test.want {
			t.Errorf("after %+v: got limit %v, want %v", test.word, got, test.want)
		}
	}
	vm.Remove("limited", now)
	vm.Sweep(now)
	vm.Put(Entry{ID: "limited", Service: "s", Zone: "a", StartTime: 1}, now)
	if got := rate(); got != 4 {
		t.Errorf("got limit %v after the registration came back, want 4", got)
	}
	vm.Put(Entry{ID: "limited", Service: "s", Zone: "a", StartTime: 2}, now)
	if got := rate(); got != 0 {
		t.Errorf("got limit %v after the next start, want none", got)
	}
}

// Requests for which all targets are at their limits learn when the next may be sent.
func TestLimitEndOfService(t *testing.T) {
	start := time.Unix(1000, 0)
	fleet := newLimitedFleet(1, start)
	vm := fleet.vms[0]
	fleet.tell(0.5)
	if _, limited := vm.LimitEnd("s", start); limited {
		t.Error("got the service limited, want the other target")
	}
	vm.Remove("other", start)
	if end, limited := vm.LimitEnd("s", start); !limited || !end.IsZero() {
		t.Errorf("got %v, limited %t, want limited with no time: the VM has no share yet", end, limited)
	}
	fleet.setShares()
	if end, limited := vm.LimitEnd("s", start); !limited || end.Sub(start) != 2*time.Second {
		t.Errorf("got %v, limited %t, want limited for 2 s", end.Sub(start), limited)
	}
}
