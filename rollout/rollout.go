// Package rollout brings targets to the newest weights that operators named:
// which target takes them next, how many at once, and what to do after an order
// that was lost, refused or is still being carried out.
//
// The package does no I/O and takes the time as an argument. Its owner holds the
// lease, sends the orders and asks the targets for reports.
//
// # Usage
//
//	roll := rollout.New()
//	for _, step := range roll.Next(targets, named, now) { ... }
//	roll.Replied("i-7", rollout.Accepted, now)
//	roll.Reported("i-7", report, now)
package rollout

import (
	"sort"
	"time"
)

// Mode says what happens to requests that run when new weights are loaded.
type Mode int

// The modes.
const (
	// Finish lets them finish first.
	Finish Mode = iota
	// Continue lets them go on under the new weights; what they make then is
	// worth nothing.
	Continue
)

// Reply is a target's answer to an order.
type Reply int

// The replies.
const (
	// Lost: no answer, or none that can be read; the order may be carried out.
	Lost Reply = iota
	// Accepted: the order is being carried out.
	Accepted
	// Done: the target has the weights already.
	Done
	// Busy: another order is being carried out, or the target's count of orders
	// is not the expected one.
	Busy
	// Fenced: another holder has given orders with a higher token.
	Fenced
	// Gone: another target answers at the address.
	Gone
)

// Weights is a version of a model's weights.
type Weights struct {
	Model   string
	Version uint64
}

// Named is a version that operators named.
type Named struct {
	Weights
	// Learned is when this VM learned of it.
	Learned time.Time
}

// Target is a target as far as a roll needs to know it.
type Target struct {
	ID     string
	Models []Weights
	// Running is the number of requests there, as far as it is known.
	Running int
	// Down targets accept no connections: they are not waited for.
	Down bool
}

// version returns the target's version of a model; false when it has not got it.
func (target *Target) version(model string) (uint64, bool) {
	for _, weights := range target.Models {
		if weights.Model == model {
			return weights.Version, true
		}
	}
	return 0, false
}

// Report is what a target says of itself.
type Report struct {
	// Busy is set while an order is carried out.
	Busy bool
	// Sequence counts the orders that were accepted.
	Sequence uint64
	Models   []Weights
}

// Order tells a target to load weights.
type Order struct {
	Target string
	Weights
	Mode Mode
	// Holder and Token are the lease's.
	Holder string
	Token  uint64
	// Sequence is what the target's count of orders must be.
	Sequence uint64
}

// Step is what to do next with a target.
type Step struct {
	Target string
	Weights
	// Ask wants a report; otherwise the order is to be given in the mode.
	Ask  bool
	Mode Mode
	// Sequence is the target's count of orders, for the order.
	Sequence uint64
}

const (
	// pollInterval is the time between two questions for a report, which lags by
	// some hundred milliseconds itself.
	pollInterval = 120 * time.Millisecond
	// settleTime is how long after an order a report that shows no sign of it is
	// not believed yet.
	settleTime = 500 * time.Millisecond
	// restTime is how long a target that did not answer is left alone.
	restTime = 500 * time.Millisecond
	// hurryTime is how long after weights were named running requests are no
	// longer waited for.
	hurryTime = 3500 * time.Millisecond
	// smallRoll is the number of targets that may always load at once: beyond
	// it loading takes longer.
	smallRoll = 2
	// rollShare is the part of the targets that may load at once, and outShare the
	// part that may be without work at once: those that finish what runs, load,
	// or have loaded and not told it yet.
	rollShare = 5
	outShare  = 3
	// loadTime is how long an order is taken to load; reports tell it later.
	loadTime = 400 * time.Millisecond
)

// phase is where a target stands in a roll.
type phase struct {
	wanted   Weights
	ordered  time.Time // zero before the order
	asked    time.Time
	reported bool // a report came since the last order or rest
	sequence uint64
	rest     time.Time
}

// Roll is the state of all rolls. It is used by one goroutine.
type Roll struct {
	phases map[string]*phase
}

// New returns a roll that knows of no orders.
func New() *Roll {
	return &Roll{phases: map[string]*phase{}}
}

// Behind returns the number of targets that lack named weights.
func Behind(targets []Target, named []Named) int {
	count := 0
	for i := range targets {
		if _, ok := wanted(&targets[i], named); ok {
			count++
		}
	}
	return count
}

// wanted returns the weights that a target lacks.
func wanted(target *Target, named []Named) (Named, bool) {
	for _, weights := range named {
		if version, ok := target.version(weights.Model); ok && version < weights.Version {
			return weights, true
		}
	}
	return Named{}, false
}

// Next returns what to do now, at most one step for each target.
func (roll *Roll) Next(targets []Target, named []Named, now time.Time) []Step {
	roll.forget(targets, named)
	var behind []*Target
	for i := range targets {
		if _, ok := wanted(&targets[i], named); ok && !targets[i].Down {
			behind = append(behind, &targets[i])
		}
	}
	// Those that are furthest behind first: their time runs out first.
	sort.Slice(behind, func(i, j int) bool {
		if first, second := oldest(behind[i], named), oldest(behind[j], named); first != second {
			return first < second
		}
		if behind[i].Running != behind[j].Running {
			return behind[i].Running < behind[j].Running
		}
		return behind[i].ID < behind[j].ID
	})
	free := roll.free(targets, now)
	var steps []Step
	for _, target := range behind {
		weights, _ := wanted(target, named)
		if step, ok := roll.step(target, weights, &free, now); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// oldest returns the version of the model for which a target is behind.
func oldest(target *Target, named []Named) uint64 {
	weights, _ := wanted(target, named)
	version, _ := target.version(weights.Model)
	return version
}

// free returns how many targets may begin.
func (roll *Roll) free(targets []Target, now time.Time) int {
	loading, out, up := 0, 0, 0
	for i := range targets {
		if targets[i].Down {
			continue
		}
		up++
		known, ok := roll.phases[targets[i].ID]
		if !ok || known.ordered.IsZero() {
			continue
		}
		out++
		if now.Sub(known.ordered) < loadTime {
			loading++
		}
	}
	small := max(1, min(smallRoll, up-1)) // one goes on serving where there are two
	return min(max(small, up/rollShare)-loading, max(small, up/outShare)-out)
}

// step returns what to do with a target that lacks weights. free is the number
// of targets that may begin.
func (roll *Roll) step(target *Target, weights Named, free *int, now time.Time) (Step, bool) {
	known, ok := roll.phases[target.ID]
	switch {
	case !ok:
		known = &phase{wanted: weights.Weights}
		roll.phases[target.ID] = known
	case known.ordered.IsZero():
		known.wanted = weights.Weights // newer ones may have been named
	}
	if now.Before(known.rest) {
		return Step{}, false
	}
	step := Step{Target: target.ID, Weights: known.wanted}
	if known.ordered.IsZero() && known.reported {
		if *free <= 0 {
			return Step{}, false
		}
		*free--
		step.Sequence = known.sequence
		if now.Sub(weights.Learned) > hurryTime {
			step.Mode = Continue
		}
		return step, true
	}
	if now.Sub(known.asked) < pollInterval {
		return Step{}, false
	}
	known.asked = now
	step.Ask = true
	return step, true
}

// forget drops targets that are gone and weights that are no longer wanted.
func (roll *Roll) forget(targets []Target, named []Named) {
	listed := map[string]bool{}
	for i := range targets {
		if _, ok := wanted(&targets[i], named); ok {
			listed[targets[i].ID] = true
		}
	}
	for id := range roll.phases {
		if !listed[id] {
			delete(roll.phases, id)
		}
	}
}

// Replied takes a target's answer to an order.
func (roll *Roll) Replied(id string, reply Reply, now time.Time) {
	known, ok := roll.phases[id]
	if !ok {
		return
	}
	switch reply {
	case Accepted, Done, Lost:
		known.ordered, known.reported = now, false
	case Busy:
		known.reported = false // ask for the count again
		known.asked = now
	case Fenced, Gone:
		known.reported = false
		known.rest = now.Add(restTime)
	}
}

// Reported takes a target's report; false in ok means that none came. It
// returns whether the target has the weights that it should have.
func (roll *Roll) Reported(id string, report Report, ok bool, now time.Time) bool {
	known, found := roll.phases[id]
	if !found {
		return false
	}
	if !ok {
		known.rest = now.Add(restTime)
		return false
	}
	for _, weights := range report.Models {
		if weights.Model == known.wanted.Model && weights.Version >= known.wanted.Version {
			delete(roll.phases, id)
			return true
		}
	}
	known.sequence = report.Sequence
	switch {
	case known.ordered.IsZero():
		known.reported = !report.Busy
	case !report.Busy && now.Sub(known.ordered) > settleTime:
		// The order was lost or replaced: begin again.
		known.ordered, known.reported = time.Time{}, true
	}
	return false
}
