package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// newFleet returns a roster for each VM of a fleet that prefers subsets if adaptive is set.
func newFleet(vms, targets int, adaptive bool) []*Roster {
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprint("vm-", i))
	}
	rosters := make([]*Roster, vms)
	for i := range rosters {
		rosters[i] = newRosterOf(targets)
		rosters[i].SetMemoryPressure(adaptive)
		rosters[i].UpdateSubsets(Peers{Self: names[i], Names: names, FleetSize: vms}, start)
	}
	return rosters
}

// idleConnections counts the connections that one VM opens to targets for requests that use
// none that was idle for over 1 s, each held for the time of a request.
type idleConnections struct {
	freeAt map[string][]time.Time
	opened int
}

func (idleConnections *idleConnections) use(target string, now, until time.Time) {
	kept := idleConnections.freeAt[target][:0]
	used := false
	for _, free := range idleConnections.freeAt[target] {
		switch {
		case !used && !free.After(now) && now.Sub(free) <= time.Second:
			used = true
		case free.After(now):
			kept = append(kept, free)
		}
	}
	if !used {
		idleConnections.opened++
	}
	idleConnections.freeAt[target] = append(kept, until)
}

// Guards against nearly each request opening a connection because a VM spreads its
// requests over all targets, and against some targets getting many more requests. The
// sizes and rates are those of the two customers.
func TestSubsetsSaveConnections(t *testing.T) {
	const seconds, requestMs = 20, 300
	for _, fleet := range []struct{ vms, targets, rate int }{{62, 90, 506}, {64, 60, 328}} {
		opened := map[bool]float64{}
		for _, adaptive := range []bool{false, true} {
			received, total := map[string]int{}, 0
			for i, roster := range newFleet(fleet.vms, fleet.targets, adaptive) {
				conns := &idleConnections{freeAt: map[string][]time.Time{}}
				var running []*Assignment
				random := rand.New(rand.NewPCG(1, uint64(i)))
				gap := float64(fleet.vms) / float64(fleet.rate) * float64(time.Second)
				for at := time.Duration(0); at < seconds*time.Second; at += time.Duration(gap * random.ExpFloat64()) {
					now := start.Add(at)
					for len(running) > 0 && now.Sub(running[0].assignedAt) >= requestMs*time.Millisecond {
						running[0].End()
						running = running[1:]
					}
					assignment := choose(t, roster, Criteria{Model: "m"}, now)
					running = append(running, assignment)
					conns.use(assignment.ID, now, now.Add(requestMs*time.Millisecond))
					received[assignment.ID]++
					total++
				}
				opened[adaptive] += float64(conns.opened)
			}
			opened[adaptive] /= float64(total)
			mean := float64(total) / float64(fleet.targets)
			for id, count := range received {
				if adaptive && float64(count) > 2*mean {
					t.Errorf("%+v: got %d requests at %s, want at most twice the mean %.0f", fleet, count, id, mean)
				}
			}
			if adaptive && len(received) != fleet.targets {
				t.Errorf("%+v: got requests at %d targets, want all", fleet, len(received))
			}
		}
		t.Logf("%+v: %.3f connections a request without subsets, %.3f with", fleet, opened[false], opened[true])
		if opened[true] > opened[false]/2 {
			t.Errorf("%+v: got %.3f connections a request, want at most half of %.3f", fleet, opened[true], opened[false])
		}
	}
}

// Guards against requests that are late at the preferred targets while others have room,
// and against a home that costs more being used because it is the home.
func TestSubsetIsLeftWhenNoMemberIsInTime(t *testing.T) {
	full := func(target *Target) {
		target.load, target.reportedAt = Load{Running: 8, Slots: 8}, start
	}
	tests := []struct {
		name string
		// change is applied to each preferred target but keep of them.
		change func(*Target)
		keep   int
		want   bool // a preferred target
	}{
		{name: "idle", change: func(*Target) {}, want: true},
		{name: "one left", change: full, keep: 1, want: true},
		{name: "all full", change: full},
		{name: "all unreachable", change: func(target *Target) { target.unreachable = true }},
		{name: "all rest", change: func(target *Target) { target.rest.extend(afterMs(1000), start) }},
		{name: "all late", change: func(target *Target) { target.pendingTokens = 20_000 }},
		{name: "old weights", change: func(target *Target) { target.entry.Models[0].Weights = 0 }},
		{name: "all late but in time", change: func(target *Target) { target.pendingTokens = 4_000 }, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roster := newFleet(62, 90, true)[3]
			members := map[string]bool{}
			for i, target := range roster.preferred["notes"].targets {
				members[target.entry.ID] = true
				if i >= test.keep {
					test.change(target)
				}
			}
			inTime := func(wait time.Duration) bool { return wait <= 125*time.Millisecond }
			for range 20 {
				if got := choose(t, roster, Criteria{Model: "m", NewestWeights: 1, InTime: inTime}, start); members[got.ID] != test.want {
					t.Fatalf("got %s, preferred %t, want %t", got.ID, members[got.ID], test.want)
				}
			}
		})
	}
}

// Guards against the home of a prefix being away from its prefix for the sake of
// connections, or used although it costs more.
func TestHomeTakesPrecedenceOverSubsetIfItCostsLess(t *testing.T) {
	roster := newFleet(62, 90, true)[3]
	members := map[string]bool{}
	for _, target := range roster.preferred["notes"].targets {
		members[target.entry.ID] = true
	}
	var criteria Criteria
	var home *Target
	for home == nil || members[home.entry.ID] {
		criteria = Criteria{Service: "notes", Model: "m", Prefix: criteria.Prefix + 1}
		home = roster.homes(roster.services["notes"], criteria, start)[0]
	}
	if got := choose(t, roster, criteria, start); got.ID != home.entry.ID {
		t.Errorf("got %s, want the idle home %s", got.ID, home.entry.ID)
	}
	home.pendingTokens = 10_000 // 180 ms
	if got := choose(t, roster, criteria, start); !members[got.ID] || got.Home != home.entry.Address {
		t.Errorf("got %s with home %s, want a preferred target while the home %s costs more", got.ID, got.Home, home.entry.ID)
	}
}

// Guards against a limit that is never found to be over: the VMs with a share of it need not
// prefer its target.
func TestLimitedTargetOutsideTheSubsetIsAskedAgain(t *testing.T) {
	roster := newFleet(62, 90, true)[3]
	var limited *Target
	for _, target := range roster.services["notes"] {
		if !slices.Contains(roster.preferred["notes"].targets, target) {
			limited = target
		}
	}
	limited.observeLimit(1, start)
	limited.limit.share = 1
	asked := 0
	for ms := 0; ms <= 4000; ms += 10 {
		assignment := choose(t, roster, Criteria{Model: "m"}, afterMs(ms))
		if assignment.ID == limited.entry.ID {
			asked++
		}
		assignment.End()
	}
	if asked == 0 {
		t.Error("got no request at the limited target within 4 s, want its limit asked again")
	}
}

// Guards against a subset that outlives what it was made of.
func TestSubsetFollowsVMsTargetsAndSwitch(t *testing.T) {
	roster := newRosterOf(90)
	alone, now := Peers{Self: "vm-1", FleetSize: 62}, start
	update := func(peers Peers) {
		now = now.Add(time.Second)
		roster.UpdateSubsets(peers, now)
	}
	count := func() int {
		if known, ok := roster.preferred["notes"]; ok {
			return len(known.targets)
		}
		return 0
	}
	check := func(step string, want int) {
		t.Helper()
		if got := count(); got != want {
			t.Errorf("%s: got %d preferred targets, want %d", step, got, want)
		}
	}
	update(alone)
	check("not adaptive", 0)
	roster.SetMemoryPressure(true)
	update(alone)
	check("no message of other VMs", 6)
	gone := roster.preferred["notes"].targets[0].entry
	roster.Remove(gone.ID, start)
	roster.UpdateSubsets(alone, now.Add(time.Second/2))
	check("a member left less than a second after the last change", 5)
	update(alone)
	check("it is replaced", 6)
	roster.Put(gone, start)
	update(alone)
	check("it is back", 6)
	for range 30 {
		choose(t, roster, Criteria{Model: "m"}, start)
	}
	update(alone)
	check("30 requests in flight", 12)
	update(Peers{Self: "vm-1", FleetSize: 1})
	check("no other VM", 0)
	update(alone)
	check("a fleet again", 12)
	roster.SetMemoryPressure(false)
	choose(t, roster, Criteria{Model: "m"}, start)
	update(alone)
	check("no longer adaptive", 0)
}
