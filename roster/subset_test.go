package roster

import (
	"fmt"
	"math/rand/v2"
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

// use takes a connection for a request until a time, or opens one if none is free that was
// idle for 1 s at most, and returns the times at which the target's connections are free.
func use(freeAt []time.Time, now, until time.Time) (after []time.Time, opened int) {
	for i, free := range freeAt {
		if !free.After(now) && now.Sub(free) <= time.Second {
			freeAt[i] = until
			return freeAt, 0
		}
	}
	return append(freeAt, until), 1
}

// members returns the IDs of the targets that a VM prefers.
func members(roster *Roster) map[string]bool {
	members := map[string]bool{}
	for _, target := range roster.preferred["notes"].targets {
		members[target.entry.ID] = true
	}
	return members
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
				freeAt := map[string][]time.Time{}
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
					after, count := use(freeAt[assignment.ID], now, now.Add(requestMs*time.Millisecond))
					freeAt[assignment.ID], opened[adaptive] = after, opened[adaptive]+float64(count)
					received[assignment.ID]++
					total++
				}
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
// and against limits of other targets that are never found to be over: the VMs with a share
// of a limit need not prefer its target.
func TestSubsetIsLeftWhenNoMemberIsInTime(t *testing.T) {
	full := func(target *Target) {
		target.load, target.reportedAt = Load{Running: 8, Slots: 8}, start
	}
	tests := []struct {
		name string
		// change is applied to each preferred target but keep of them.
		change func(*Target)
		keep   int
		// limited other targets must be asked again.
		limited bool
		want    bool // a preferred target
	}{
		{name: "idle", change: func(*Target) {}, want: true},
		{name: "one left", change: full, keep: 1, want: true},
		{name: "all full", change: full},
		{name: "all unreachable", change: func(target *Target) { target.unreachable = true }},
		{name: "all rest", change: func(target *Target) { target.rest.extend(afterMs(1000), start) }},
		{name: "all late", change: func(target *Target) { target.pendingTokens = 20_000 }},
		{name: "old weights", change: func(target *Target) { target.entry.Models[0].Weights = 0 }},
		{name: "limits to be asked again", change: func(*Target) {}, limited: true},
		{name: "all late but in time", change: func(target *Target) { target.pendingTokens = 4_000 }, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roster := newFleet(62, 90, true)[3]
			members := members(roster)
			for i, target := range roster.preferred["notes"].targets {
				if i >= test.keep {
					test.change(target)
				}
			}
			for _, target := range roster.targets {
				if test.limited && !members[target.entry.ID] {
					target.observeLimit(30, afterMs(-3000))
					target.limit.share = 1
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
	members := members(roster)
	var criteria Criteria
	var home *Target
	for home == nil || members[home.entry.ID] {
		criteria = Criteria{Service: "notes", Model: "m", Prefix: criteria.Prefix + 1}
		home = roster.homes(roster.services["notes"], criteria, nil, start)[0]
	}
	if got := choose(t, roster, criteria, start); got.ID != home.entry.ID {
		t.Errorf("got %s, want the idle home %s", got.ID, home.entry.ID)
	}
	home.pendingTokens = 10_000 // 180 ms
	if got := choose(t, roster, criteria, start); !members[got.ID] || got.Home != home.entry.Address {
		t.Errorf("got %s with home %s, want a preferred target while the home %s costs more", got.ID, got.Home, home.entry.ID)
	}
}

// Guards against a subset that outlives what it was made of.
func TestSubsetFollowsVMsTargetsAndSwitch(t *testing.T) {
	roster := newRosterOf(90)
	gone := ""
	none := func() {}
	for i, step := range []struct {
		name      string
		change    func()
		fleetSize int
		want      int // preferred targets
	}{
		{"not adaptive", none, 62, 0},
		{"no message of other VMs", func() { roster.SetMemoryPressure(true) }, 62, 6},
		{"a member left", func() { gone = roster.preferred["notes"].members[0]; roster.Remove(gone, start) }, 62, 6},
		{"it is back", func() { roster.Put(engineEntry(gone, "a", 1), start) }, 62, 6},
		{"30 requests in flight", func() {
			for range 30 {
				choose(t, roster, Criteria{Model: "m"}, start)
			}
		}, 62, 12},
		{"no other VM", none, 1, 0},
		{"no longer adaptive", func() { roster.SetMemoryPressure(false) }, 62, 0},
	} {
		step.change()
		if roster.UpdateSubsets(Peers{Self: "vm-1", FleetSize: step.fleetSize}, afterMs(1000*i)); roster.Preferred() != step.want {
			t.Errorf("%s: got %d preferred targets, want %d", step.name, roster.Preferred(), step.want)
		}
	}
}
