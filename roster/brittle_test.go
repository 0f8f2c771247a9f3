package roster

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var brittleSeed = flag.Uint64("brittle-seed", 1, "seed of the simulations of brittle targets")

func steady(demand float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return demand }
}

// bursts returns half the capacity, and one and a half times the capacity for one second
// of four.
func bursts(at time.Duration) float64 {
	if at%(4*time.Second) > 3*time.Second {
		return 1.5
	}
	return 0.5
}

var brittleDemands = []struct {
	name   string
	demand func(time.Duration) float64
	// refused is the part that may be refused beyond that of targets that are not
	// brittle and let more requests wait; late is that of large fleets with small targets.
	refused, late float64
}{
	{"half", steady(0.5), 0.05, 0.2}, {"0.8", steady(0.8), 0.2, 0.4}, {"full", steady(1), 1, 1}, {"1.5", steady(1.5), 1, 1}, {"bursts", bursts, 1, 1},
}

var allBrittle = flag.Bool("brittle-all", false, "simulate the largest fleets at all demands, which takes minutes with -race")

// allDemands are the names of brittleDemands.
var allDemands = []string{"half", "0.8", "full", "1.5", "bursts"}

// playBrittle plays a fleet at the demands of the names.
func playBrittle(t *testing.T, fleet brittleCase, demands ...string) {
	for _, demand := range brittleDemands {
		if !slices.Contains(demands, demand.name) {
			continue
		}
		played := fleet
		played.demand, played.restart = demand.demand, true
		t.Run(fmt.Sprintf("%d VMs, %d targets, demand %s, tolerance %d", fleet.vms, fleet.targets, demand.name, fleet.tolerance), func(t *testing.T) {
			t.Parallel()
			brittle := runBrittle(played, *brittleSeed)
			sound := played
			sound.sound = true
			reference := runBrittle(sound, *brittleSeed)
			got, most := brittle.refusedShare(), reference.refusedShare()+demand.refused
			if fleet.vms > 10 && fleet.slots < 10 {
				most = reference.refusedShare() + demand.late
			}
			t.Logf("%d falls, %d of %d rejected, %.3f refused; not brittle: %.3f refused", brittle.falls, brittle.rejected, brittle.sent, got, reference.refusedShare())
			if got, most := brittle.falls, 2+fleet.targets/10; got > most {
				t.Errorf("got %d falls, want %d at most", got, most)
			}
			if got > most {
				t.Errorf("got %.3f of the requests refused, want %.3f at most", got, most)
			}
		})
	}
}

// Guards against brittle targets that fall over because the VMs together make them
// reject more requests a second than they bear.
func TestBrittleTargetsStayUp(t *testing.T) {
	for _, fleet := range []brittleCase{
		{vms: 6, targets: 4, slots: 6, queue: 24, serviceTime: 100 * time.Millisecond, tolerance: 3},
		{vms: 6, targets: 4, slots: 6, queue: 24, serviceTime: 100 * time.Millisecond, tolerance: 10},
		{vms: 78, targets: 30, slots: 24, queue: 72, serviceTime: time.Second, streams: true, tolerance: 3},
	} {
		playBrittle(t, fleet, allDemands...)
	}
	playBrittle(t, streamsOfEightVMs, allDemands[:4]...)
	playBrittle(t, smallBrittleTargets(78, 10), allDemands[:4]...)
	largest := brittleCase{vms: 295, targets: 20, slots: 24, queue: 72, serviceTime: 2 * time.Second, streams: true, tolerance: 3}
	if *allBrittle {
		playBrittle(t, largest, allDemands...)
		playBrittle(t, smallBrittleTargets(295, 10), allDemands[:4]...)
		return
	}
	playBrittle(t, largest, "1.5")
	playBrittle(t, smallBrittleTargets(295, 10), "0.8")
}

var streamsOfEightVMs = brittleCase{vms: 8, targets: 9, slots: 32, queue: 64, serviceTime: time.Second, streams: true, tolerance: 3}

// smallBrittleTargets returns a large fleet that learns loads later than its targets fill.
func smallBrittleTargets(vms, tolerance int) brittleCase {
	return brittleCase{vms: vms, targets: 4 + 8*(vms/295), slots: 6, queue: 24, serviceTime: 100 * time.Millisecond, tolerance: tolerance}
}

// Guards against the same where loads are known later than targets fill, and few
// rejections fell them or the demand comes in bursts.
func TestBrittleTargetsThatFillBeforeVMsKnow(t *testing.T) {
	playBrittle(t, streamsOfEightVMs, "bursts")
	for _, vms := range []int{78, 295} {
		playBrittle(t, smallBrittleTargets(vms, 3), allDemands...)
		playBrittle(t, smallBrittleTargets(vms, 10), "bursts")
	}
}

// A target's word that it is brittle belongs to one start, counts for starts of its
// service that have not answered yet, and ends when answers no longer name it.
func TestBrittleBelongsToOneStart(t *testing.T) {
	now := time.Unix(1000, 0)
	vm := New("a")
	vm.Put(Entry{ID: "one", Service: "s", StartTime: 1}, now)
	vm.Put(Entry{ID: "other", Service: "s", StartTime: 1}, now)
	assign := func() Assignment {
		assignment, ok := vm.Choose(Criteria{Service: "s", Tried: []string{"other"}}, now)
		if !ok {
			t.Fatal("got no target, want one")
		}
		assignment.End()
		return assignment
	}
	if _, changed := vm.MergeBrittle(Brittle{Target: "one", StartTime: 2, Tolerance: 3, Learned: now}, now); changed {
		t.Error("got the word of another start taken, want it ignored")
	}
	assignment := assign()
	if change, changed := assignment.ObserveTolerance(3, now); !changed || change.Tolerance != 3 {
		t.Errorf("got %+v, %t, want the tolerance", change, changed)
	}
	if got := vm.targets["other"].tolerance(); got != 3 {
		t.Errorf("got tolerance %v for a start that has not answered, want that of its service", got)
	}
	now = now.Add(limitEndDelay)
	assignment = assign()
	if _, changed := assignment.ObserveTolerance(0, now); !changed {
		t.Error("got no change, want the end")
	}
	if words := vm.BrittleTargets(now); len(words) != 1 || words[0].Tolerance != 0 {
		t.Errorf("got %+v to be told, want the end", words)
	}
	if got := vm.targets["other"].tolerance(); got != 0 {
		t.Errorf("got tolerance %v, want none", got)
	}
}

// A request that a brittle target rejected does not go on to another one that is more
// than half full, and a VM sends nothing more to a target that rejected its share.
func TestRejectedRequestDoesNotFellTheNextTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	vm := New("a")
	vm.SetFleetSize(1)
	word := func(id string, running int) {
		vm.MergeBrittle(Brittle{Target: id, StartTime: 1, Tolerance: 2, Learned: now, Load: Load{Running: running, Slots: 10}, LoadAt: now, Admitted: 1}, now)
	}
	for _, id := range []string{"one", "other"} {
		vm.Put(Entry{ID: id, Service: "s", StartTime: 1}, now)
		word(id, 9)
	}
	first, ok := vm.Choose(Criteria{Service: "s", Tried: []string{"other"}}, now)
	if !ok {
		t.Fatal("got no target, want the one with room")
	}
	first.RecordRejection(now)
	retried := Criteria{Service: "s", Tried: []string{"one"}, Rejected: true}
	if got, ok := vm.Choose(retried, now); ok {
		t.Errorf("got %s, want no target for the rejected request", got.ID)
	}
	now = now.Add(2 * loadTimeError)
	word("other", 4)
	if _, ok := vm.Choose(retried, now); !ok {
		t.Error("got no target, want the one that is less than half full")
	}
	first.RecordRejection(now)
	now = now.Add(2 * loadTimeError)
	word("one", 0)
	if _, ok := vm.Choose(Criteria{Service: "s", Tried: []string{"other"}}, now); ok {
		t.Error("got the target that rejected this VM's share, want none")
	}
	now = now.Add(brittleRejectionTime)
	if _, ok := vm.Choose(Criteria{Service: "s", Tried: []string{"other"}}, now); !ok {
		t.Error("got no target a second later, want one")
	}
}
