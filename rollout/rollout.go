// Package rollout schedules the loading of new model weights on targets. It
// decides which target loads next, how many load at once, and what to do after an
// order that was lost, rejected or is still in progress.
//
// The package does no I/O and takes the current time as an argument. The caller
// holds the lease, sends the orders and polls the targets for reports.
//
// # Usage
//
//	roll := rollout.New()
//	roll.Grace = bounds.WeightsGrace
//	for _, step := range roll.NextSteps(targets, named, now) { ... }
//	roll.HandleReply("i-7", rollout.Accepted, now)
//	roll.HandleReport("i-7", report, true, now)
package rollout

import (
	"slices"
	"sort"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

// Reply is a target's answer to an order.
type Reply int

// The replies.
const (
	// Lost means that no readable answer arrived. The target may still carry out
	// the order.
	Lost Reply = iota
	// Accepted means that the target is carrying out the order.
	Accepted
	// Done means that the target already has the weights.
	Done
	// Busy means that the target is carrying out another order, or that its order
	// sequence number differs from the expected one.
	Busy
	// Fenced means that another holder has sent orders with a higher fencing token.
	Fenced
	// Misdirected means that another target answers at the address, or that the
	// target's address is no longer known.
	Misdirected
)

// Weights is a version of a model's weights.
type Weights struct {
	Model   string
	Version uint64
}

// NamedWeights is a weights version that operators have requested ("named") for a
// model.
type NamedWeights struct {
	Weights
	// Learned is when this VM learned of the version. It is zero if the version was
	// named before, at an unknown time.
	Learned time.Time
	// Former holds the versions of the model that were named before this one, oldest
	// first. Only the newest version of a model has them.
	Former []NamedWeights
}

// Target is the state of a target that a roll depends on.
type Target struct {
	ID     string
	Models []Weights
	// Running is the last known number of requests in flight at the target.
	Running int
	// Unreachable is set when the target accepts no connections. The roll does not
	// wait for such a target.
	Unreachable bool
	// Resting is set when the target wants nothing from this VM for now. It gets no
	// polls and orders meanwhile, and counts as out of service.
	Resting bool
}

// version returns the target's version of a model, or false if the target does
// not have the model.
func (target *Target) version(model string) (uint64, bool) {
	for _, weights := range target.Models {
		if weights.Model == model {
			return weights.Version, true
		}
	}
	return 0, false
}

// Report is a target's status report.
type Report struct {
	// Busy is set while the target carries out an order.
	Busy bool
	// Sequence is the number of orders that the target has accepted.
	Sequence uint64
	Models   []Weights
}

// Order instructs a target to load weights at once. Running requests continue with the
// new weights.
type Order struct {
	Target string
	Weights
	// Holder and Token are the holder and the fencing token of the lease.
	Holder string
	Token  uint64
	// Sequence is the expected number of orders that the target has accepted before
	// this one.
	Sequence uint64
}

// Step is the next action for a target: a poll or an order.
type Step struct {
	Target string
	Weights
	// Poll requests a status report. If it is not set, the step is an order to
	// load the weights.
	Poll bool
	// Sequence is the number of orders that the target has accepted, for use in the
	// order.
	Sequence uint64
}

const (
	// pollInterval is the time between two polls of a target. Reports themselves
	// lag by some hundred milliseconds.
	pollInterval = 120 * time.Millisecond
	// reportLagLimit is the time after an order during which reports that do not
	// reflect the order are ignored, because they may predate it.
	reportLagLimit = 500 * time.Millisecond
	// retryDelay is how long a target gets no polls or orders after it did not
	// answer a poll or replied Fenced or Misdirected to an order.
	retryDelay = 500 * time.Millisecond
	// minLoadLimit is the number of targets that may load, or be out of service, at
	// once even if the divisors below allow fewer; of two targets, only one. With more
	// concurrent loads, each takes longer.
	minLoadLimit = 2
	// One target in loadingDivisor may load at once, and one in
	// outOfServiceDivisor may be out of service at once. A target is out of service
	// while it loads, or has loaded without having reported it yet.
	loadingDivisor      = 5
	outOfServiceDivisor = 3
	// paceShare is the fraction of Grace over which orders are spread. The rest is for
	// another VM to take over the lease and finish the roll.
	paceShare = 0.7
	// batchInterval is the minimum time between two batches of orders of a roll that is not
	// late: all VMs are notified of each, however many targets there are.
	batchInterval = 250 * time.Millisecond
	// assumedLoadTime is how long a target is assumed to be loading after an order.
	// The end of the load shows in its reports only later.
	assumedLoadTime = 400 * time.Millisecond
)

// ordered reports whether an order was sent and no report shows yet that it was lost.
func (state *targetState) ordered() bool {
	return state.sent || !state.orderedAt.IsZero()
}

// targetState is the progress of one target in a roll.
type targetState struct {
	desired      Weights
	sent         bool      // an order was returned as a step, and its reply is not known yet
	orderedAt    time.Time // when the reply to the order came or was lost; zero before
	polledAt     time.Time // when the target was last polled
	reportUsable bool      // a report without Busy came since the last order
	sequence     uint64    // as last reported
	retryAt      time.Time // no polls or orders before this time
}

// Roll is the state of the rolls of all models. It is not safe for concurrent use.
type Roll struct {
	// Grace is the platform's bound on the use of replaced weights. Orders are spread
	// over paceShare of it. If it is 0, orders are sent as fast as the limits allow.
	Grace settings.Span

	states  map[string]*targetState
	batchAt time.Time // when the last orders were returned
}

// New returns a Roll without any outstanding orders.
func New() *Roll {
	return &Roll{states: map[string]*targetState{}}
}

// CountOutdated returns the number of targets that lack a requested version.
func CountOutdated(targets []Target, named []NamedWeights) int {
	count := 0
	for i := range targets {
		if _, ok := missingWeights(&targets[i], named); ok {
			count++
		}
	}
	return count
}

// AnyReachable reports whether a target that lacks a requested version can be reached, and
// so ordered to load it.
func AnyReachable(targets []Target, named []NamedWeights) bool {
	return slices.ContainsFunc(targets, func(target Target) bool {
		_, lacks := missingWeights(&target, named)
		return lacks && !target.Unreachable
	})
}

// missingWeights returns the first requested version that a target lacks, or false
// if the target is up to date. Models that the target does not have are skipped.
func missingWeights(target *Target, named []NamedWeights) (NamedWeights, bool) {
	for _, weights := range named {
		if version, ok := target.version(weights.Model); ok && version < weights.Version {
			return weights, true
		}
	}
	return NamedWeights{}, false
}

// NextSteps returns the steps to carry out now, at most one for each target. Each order
// must be followed by HandleReply or Withdraw.
func (roll *Roll) NextSteps(targets []Target, named []NamedWeights, now time.Time) []Step {
	roll.prune(targets, named)
	var outdated []*Target
	for i := range targets {
		if _, ok := missingWeights(&targets[i], named); ok && !targets[i].Unreachable && !targets[i].Resting {
			outdated = append(outdated, &targets[i])
		}
	}
	// Start with the targets that have the oldest version: their deadline is the
	// earliest.
	sort.Slice(outdated, func(i, j int) bool {
		if first, second := outdatedVersion(outdated[i], named), outdatedVersion(outdated[j], named); first != second {
			return first < second
		}
		if outdated[i].Running != outdated[j].Running {
			return outdated[i].Running < outdated[j].Running
		}
		return outdated[i].ID < outdated[j].ID
	})
	late := roll.late(targets, named, now)
	budget := orderBudget{total: roll.limit(targets, late, now), byModel: roll.pace(targets, named, now)}
	if !late && now.Sub(roll.batchAt) < batchInterval {
		budget.total = 0
	}
	var steps []Step
	for _, target := range outdated {
		weights, _ := missingWeights(target, named)
		step, ok := roll.nextStep(target, weights, &budget, now)
		if !ok {
			continue
		}
		steps = append(steps, step)
		if !step.Poll {
			roll.batchAt = now
		}
	}
	return steps
}

// outdatedVersion returns the target's current version of the model that
// missingWeights returns.
func outdatedVersion(target *Target, named []NamedWeights) uint64 {
	weights, _ := missingWeights(target, named)
	version, _ := target.version(weights.Model)
	return version
}

// pace returns by model how many more targets should have been ordered by now if the
// orders for each version are spread evenly. A target that loads loses its cache entries,
// and the requests that need them slow down all others, so the loads are spread over the
// time that there is. A roll that is late, for example because its holder died, is
// only limited by limit. A further version does not put off the orders for the former one.
func (roll *Roll) pace(targets []Target, named []NamedWeights, now time.Time) map[string]int {
	due := map[string]int{}
	for _, newest := range named {
		for _, weights := range newest.requested() {
			due[newest.Model] = max(due[newest.Model], roll.due(targets, weights, now))
		}
	}
	return due
}

// requested returns the version and the former ones.
func (named NamedWeights) requested() []NamedWeights {
	return append(slices.Clip(named.Former), named)
}

// due returns how many more targets should have been ordered by now if the orders for the
// version are spread evenly.
func (roll *Roll) due(targets []Target, weights NamedWeights, now time.Time) int {
	reachable, remaining := roll.count(targets, weights)
	if roll.overdue(weights, now) {
		return remaining
	}
	duration := paceShare * time.Duration(roll.Grace).Seconds()
	return 1 + int(now.Sub(weights.Learned).Seconds()/duration*float64(reachable)) - (reachable - remaining)
}

// count returns the number of reachable targets with the model, and of those that lack the
// version and were not ordered to load one.
func (roll *Roll) count(targets []Target, weights NamedWeights) (reachable, remaining int) {
	for i := range targets {
		version, ok := targets[i].version(weights.Model)
		if !ok || targets[i].Unreachable {
			continue
		}
		reachable++
		if state, ok := roll.states[targets[i].ID]; version < weights.Version && !(ok && state.ordered()) {
			remaining++
		}
	}
	return reachable, remaining
}

// overdue reports whether the orders for the version should all have been sent.
func (roll *Roll) overdue(weights NamedWeights, now time.Time) bool {
	return now.Sub(weights.Learned).Seconds() >= paceShare*time.Duration(roll.Grace).Seconds()
}

// nextStep returns the next step for a target that lacks a requested version, or
// false if there is none now. budget is the number of orders that may still be
// sent; nextStep takes an order out of it.
func (roll *Roll) nextStep(target *Target, weights NamedWeights, budget *orderBudget, now time.Time) (Step, bool) {
	state, ok := roll.states[target.ID]
	switch {
	case !ok:
		state = &targetState{desired: weights.Weights}
		roll.states[target.ID] = state
	case !state.ordered():
		state.desired = weights.Weights // a newer version may have been requested
	}
	if state.sent || now.Before(state.retryAt) {
		return Step{}, false
	}
	step := Step{Target: target.ID, Weights: state.desired}
	if state.orderedAt.IsZero() && state.reportUsable {
		if !budget.take(weights.Model) {
			return Step{}, false
		}
		step.Sequence, state.sent = state.sequence, true
		return step, true
	}
	if now.Sub(state.polledAt) < pollInterval {
		return Step{}, false
	}
	state.polledAt = now
	step.Poll = true
	return step, true
}

// prune drops the state of targets that no longer exist or are up to date.
func (roll *Roll) prune(targets []Target, named []NamedWeights) {
	outdated := map[string]bool{}
	for i := range targets {
		if _, ok := missingWeights(&targets[i], named); ok {
			outdated[targets[i].ID] = true
		}
	}
	for id := range roll.states {
		if !outdated[id] {
			delete(roll.states, id)
		}
	}
}

// ForgetReports makes each target report again before its next order. It is called when
// another holder may have sent orders since.
func (roll *Roll) ForgetReports() {
	for _, state := range roll.states {
		state.reportUsable, state.polledAt = false, time.Time{}
	}
}

// Withdraw records that an order which NextSteps returned was not sent.
func (roll *Roll) Withdraw(id string) {
	if state, ok := roll.states[id]; ok {
		state.sent = false
	}
}

// HandleReply records a target's reply to an order.
func (roll *Roll) HandleReply(id string, reply Reply, now time.Time) {
	state, ok := roll.states[id]
	if !ok {
		return
	}
	state.sent = false
	switch reply {
	case Accepted, Done, Lost:
		state.orderedAt, state.reportUsable = now, false
	case Busy:
		state.reportUsable = false // poll for the sequence number again
		state.polledAt = now
	case Fenced, Misdirected:
		state.reportUsable = false
		state.retryAt = now.Add(retryDelay)
	}
}

// HandleReport records the result of a poll; ok is false if the target sent no report.
// It returns true if the target has the requested version.
func (roll *Roll) HandleReport(id string, report Report, ok bool, now time.Time) bool {
	state, found := roll.states[id]
	if !found {
		return false
	}
	if !ok {
		state.retryAt = now.Add(retryDelay)
		return false
	}
	for _, weights := range report.Models {
		if weights.Model == state.desired.Model && weights.Version >= state.desired.Version {
			delete(roll.states, id)
			return true
		}
	}
	state.sequence = report.Sequence
	switch {
	case state.orderedAt.IsZero():
		state.reportUsable = !report.Busy
	case !report.Busy && now.Sub(state.orderedAt) > reportLagLimit:
		// The order was lost, or another one replaced it: send it again.
		state.orderedAt, state.reportUsable = time.Time{}, true
	}
	return false
}
