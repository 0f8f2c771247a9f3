package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

var start = time.Unix(1_700_000_000, 0)

// engine simulates a target in virtual time. It finishes its running requests,
// then loads.
type engine struct {
	version  uint64
	sequence uint64
	loading  uint64    // version being loaded; 0 if none
	doneAt   time.Time // when the load ends
}

// simulation runs a roll against engines whose reports lag.
type simulation struct {
	engines    map[string]*engine
	history    []map[string]Report // the engines' reports at each tick
	now        time.Time
	roll       *Roll
	maxLoading int // maximum number of engines draining or loading at once
	orders     int // number of orders sent
	// orderFault, if set, returns the fault of an order, given its number. The reply
	// is lost if answered is false; if delay is positive, the order takes effect
	// after the delay and its reply is lost.
	orderFault func(order int) (answered bool, delay time.Duration)
	delayed    []delayedOrder
}

type delayedOrder struct {
	at       time.Time
	target   string
	version  uint64
	sequence uint64
}

const (
	tick             = 25 * time.Millisecond
	drainAndLoadTime = 500 * time.Millisecond
	reportLag        = 8 // ticks
)

// grace is the platform's bound on the use of replaced weights.
const grace = 6 * time.Second

func newSimulation(count int, version uint64) *simulation {
	simulation := &simulation{engines: map[string]*engine{}, now: start, roll: New()}
	simulation.roll.Grace = settings.Span(grace)
	for i := range count {
		simulation.engines[fmt.Sprintf("e%02d", i)] = &engine{version: version}
	}
	return simulation
}

func (simulation *simulation) targets() []Target {
	var targets []Target
	for id, engine := range simulation.engines {
		targets = append(targets, Target{ID: id, Models: []Weights{{"m", engine.version}}})
	}
	return targets
}

// deliver delivers an order to an engine and returns the engine's reply.
func (simulation *simulation) deliver(id string, version, sequence uint64) Reply {
	engine := simulation.engines[id]
	switch {
	case engine.version == version:
		return Done
	case engine.loading != 0 || engine.sequence != sequence:
		return Busy
	}
	engine.loading, engine.doneAt = version, simulation.now.Add(drainAndLoadTime)
	engine.sequence++
	return Accepted
}

func (simulation *simulation) step(named []NamedWeights) {
	for i, order := range simulation.delayed {
		if order.target != "" && !simulation.now.Before(order.at) {
			simulation.deliver(order.target, order.version, order.sequence)
			simulation.delayed[i].target = ""
		}
	}
	reports, loading := map[string]Report{}, 0
	for id, engine := range simulation.engines {
		if engine.loading != 0 && !simulation.now.Before(engine.doneAt) {
			engine.version, engine.loading = engine.loading, 0
		}
		if engine.loading != 0 {
			loading++
		}
		reports[id] = Report{Busy: engine.loading != 0, Sequence: engine.sequence, Models: []Weights{{"m", engine.version}}}
	}
	simulation.maxLoading = max(simulation.maxLoading, loading)
	simulation.history = append(simulation.history, reports)
	visible := simulation.history[max(0, len(simulation.history)-1-reportLag)]
	for _, step := range simulation.roll.NextSteps(simulation.targets(), named, simulation.now) {
		if step.Poll {
			simulation.roll.HandleReport(step.Target, visible[step.Target], true, simulation.now)
			continue
		}
		simulation.sendOrder(step)
	}
	simulation.now = simulation.now.Add(tick)
}

func (simulation *simulation) sendOrder(step Step) {
	simulation.orders++
	answered, delay := true, time.Duration(0)
	if simulation.orderFault != nil {
		answered, delay = simulation.orderFault(simulation.orders)
	}
	if delay > 0 {
		simulation.delayed = append(simulation.delayed, delayedOrder{simulation.now.Add(delay), step.Target, step.Version, step.Sequence})
		simulation.roll.HandleReply(step.Target, Lost, simulation.now)
		return
	}
	reply := simulation.deliver(step.Target, step.Version, step.Sequence)
	if !answered {
		reply = Lost
	}
	simulation.roll.HandleReply(step.Target, reply, simulation.now)
}

// runUntilUpdated runs the simulation until all engines have the version and
// returns how long it took.
func (simulation *simulation) runUntilUpdated(t *testing.T, named []NamedWeights, bound time.Duration) time.Duration {
	t.Helper()
	started := simulation.now
	for simulation.now.Sub(started) < bound {
		simulation.step(named)
		if CountOutdated(simulation.targets(), named) == 0 {
			return simulation.now.Sub(started)
		}
	}
	t.Fatalf("got %d of %d targets outdated after %v, want none", CountOutdated(simulation.targets(), named), len(simulation.engines), bound)
	return 0
}

func named(version uint64, learned time.Time) []NamedWeights {
	return []NamedWeights{{Weights: Weights{"m", version}, Learned: learned}}
}

// bound is the time in which the platform requires requested weights to be loaded,
// less the time to learn of them.
const bound = 5 * time.Second

func TestRollUpdatesAllTargetsInTimeAndLimitsConcurrentLoads(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 12, 60} {
		simulation := newSimulation(count, 1)
		took := simulation.runUntilUpdated(t, named(2, start), bound)
		if limit := max(1, min(minLoadLimit, count-1), count/outOfServiceDivisor); simulation.maxLoading > limit {
			t.Errorf("%d targets: got %d draining or loading at once, want at most %d", count, simulation.maxLoading, limit)
		}
		if simulation.orders != count {
			t.Errorf("%d targets: got %d orders, want one each", count, simulation.orders)
		}
		t.Logf("%d targets took %v", count, took)
	}
}

// A fleet whose engines hold hot prefixes gets new weights. Each engine that loads loses
// its cache, so engines must load evenly over the time that there is, not all at once.
func TestLoadsAreSpreadOverTheGracePeriod(t *testing.T) {
	for _, count := range []int{9, 18, 60, 153} {
		simulation := newSimulation(count, 1)
		const half = grace * 35 / 100 // of paceShare
		for simulation.now.Sub(start) < half {
			simulation.step(named(2, start))
		}
		if got, want := simulation.orders, count/2+2; got > want {
			t.Errorf("%d targets: got %d orders in half the time, want %d at most", count, got, want)
		}
		simulation.runUntilUpdated(t, named(2, start), grace-half)
	}
}

// Guards against requests that targets reject: the holder tells all VMs before each batch of
// orders, and in a large fleet VMs missed some of 30 notices a second.
func TestOrdersOfManyTargetsAreSentInBatches(t *testing.T) {
	simulation := newSimulation(153, 1)
	batches := 0
	for simulation.now.Sub(start) < grace {
		before := simulation.orders
		simulation.step(named(2, start))
		if simulation.orders > before {
			batches++
		}
	}
	if got, want := batches, 1+int(grace/batchInterval); got > want {
		t.Errorf("got %d batches, want %d at most", got, want)
	}
	if got := CountOutdated(simulation.targets(), named(2, start)); got != 0 {
		t.Errorf("got %d targets outdated after %v, want none", got, grace)
	}
}

// The holder of the lease dies in the middle of a roll, and another VM, which knows
// nothing of its orders, takes over late. It must not keep to the pace.
func TestLateRollIsNotPaced(t *testing.T) {
	const takeover = 4500 * time.Millisecond
	for _, count := range []int{9, 18, 60, 153} {
		simulation := newSimulation(count, 1)
		for i := range count / 2 {
			simulation.engines[fmt.Sprintf("e%02d", i)].version = 2
		}
		simulation.now = start.Add(takeover)
		took := simulation.runUntilUpdated(t, named(2, start), bound)
		if want := 3500 * time.Millisecond; took > want {
			t.Errorf("%d targets: got the rest loaded in %v, want %v at most", count, took, want)
		}
		t.Logf("%d targets: the rest took %v", count, took)
	}
}

// Guards against requests that begin on replaced weights, and against refused ones where
// only targets with such weights are left: a roll that stood still while another version
// was named began anew with the pace of that version.
func TestNewVersionDoesNotDelayTargetsThatLackFormerOne(t *testing.T) {
	const secondAfter, takeover = 2500 * time.Millisecond, 3 * time.Second
	for _, count := range []int{9, 18, 60, 153} {
		simulation := newSimulation(count, 1)
		requested := named(3, start.Add(secondAfter))
		requested[0].Former = named(2, start)
		simulation.now = start.Add(takeover)
		for simulation.now.Sub(start) < grace {
			simulation.step(requested)
		}
		if got := CountOutdated(simulation.targets(), requested[0].Former); got != 0 {
			t.Errorf("%d targets: got %d without the former version %v after it was named, want none", count, got, grace)
		}
	}
}

// Operators request another version while the previous one is being loaded. The
// roll must not wait for targets that have already loaded the previous one.
func TestNewVersionRequestedDuringRoll(t *testing.T) {
	simulation := newSimulation(9, 1)
	for range 60 {
		simulation.step(named(2, start))
	}
	simulation.runUntilUpdated(t, named(3, simulation.now), bound)
}

func TestOldestVersionsAreUpdatedFirst(t *testing.T) {
	roll := New()
	targets := []Target{
		{ID: "a", Models: []Weights{{"m", 2}}}, {ID: "b", Models: []Weights{{"m", 2}}},
		{ID: "c", Models: []Weights{{"m", 1}}, Running: 9},
	}
	steps := roll.NextSteps(targets, named(3, start), start)
	if len(steps) == 0 || steps[0].Target != "c" {
		t.Errorf("got steps %+v, want the target with the oldest weights first", steps)
	}
}

// An order whose reply is lost may take effect at once, seconds later, or never.
func TestRollRecoversFromLostRepliesAndDelayedOrders(t *testing.T) {
	tests := []struct {
		name       string
		orderFault func(order int) (bool, time.Duration)
	}{
		{"replies lost", func(order int) (bool, time.Duration) { return order%2 == 0, 0 }},
		{"order delayed", func(order int) (bool, time.Duration) {
			if order%2 == 0 {
				return true, 0
			}
			return false, 3 * time.Second
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulation := newSimulation(9, 1)
			simulation.orderFault = test.orderFault
			simulation.runUntilUpdated(t, named(2, start), 2*bound)
			for range 200 { // delayed orders must not restore old weights
				simulation.step(named(2, start))
			}
			simulation.runUntilUpdated(t, named(3, simulation.now), 2*bound)
			for id, engine := range simulation.engines {
				if engine.version != 3 {
					t.Errorf("%s: got version %d, want 3", id, engine.version)
				}
			}
		})
	}
}

func TestUnresponsiveTargetDoesNotBlockOthers(t *testing.T) {
	simulation := newSimulation(9, 1)
	unresponsive := Target{ID: "unresponsive", Models: []Weights{{"m", 1}}}
	for range 200 {
		targets := append(simulation.targets(), unresponsive)
		for _, step := range simulation.roll.NextSteps(targets, named(2, start), simulation.now) {
			switch {
			case step.Target == "unresponsive":
				simulation.roll.HandleReport("unresponsive", Report{}, false, simulation.now)
			case step.Poll:
				engine := simulation.engines[step.Target]
				simulation.roll.HandleReport(step.Target, Report{Busy: engine.loading != 0, Sequence: engine.sequence, Models: []Weights{{"m", engine.version}}}, true, simulation.now)
			default:
				simulation.sendOrder(step)
			}
		}
		simulation.step(named(2, start))
	}
	if got := CountOutdated(simulation.targets(), named(2, start)); got != 0 {
		t.Errorf("got %d reachable targets outdated, want 0", got)
	}
}

func TestNoStepsRightAfterFencedReply(t *testing.T) {
	roll := New()
	targets := []Target{{ID: "a", Models: []Weights{{"m", 1}}}}
	roll.NextSteps(targets, named(2, start), start)
	roll.HandleReport("a", Report{Sequence: 4, Models: []Weights{{"m", 1}}}, true, start)
	steps := roll.NextSteps(targets, named(2, start), start.Add(tick))
	if len(steps) != 1 || steps[0].Poll || steps[0].Sequence != 4 {
		t.Fatalf("got %+v, want an order that expects sequence 4", steps)
	}
	roll.HandleReply("a", Fenced, start.Add(tick))
	if steps := roll.NextSteps(targets, named(2, start), start.Add(2*tick)); len(steps) != 0 {
		t.Errorf("got %+v right after a Fenced reply, want no steps", steps)
	}
}
