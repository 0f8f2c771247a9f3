package release

import (
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

// The parts of an order's duration at which its stages change. They leave time for
// another VM to take over from a leader that fails, and find versions that turn bad in
// the first half.
const (
	// A judged version leaves the trial after trialEnd, but not before it was on trial for
	// minTrial; one on a route of which there are too few answers after longTrialEnd, if
	// there are sparseSamples on all routes together.
	trialEnd      = 0.5
	minTrial      = 0.15
	longTrialEnd  = 0.7
	sparseSamples = minSamples / 2
	// expandedPart is the duration of the stage Expanded, maxCutover that of Cutover.
	expandedPart = 0.05
	maxCutover   = 0.25
	// lastEnd is when an order ends whatever its stage.
	lastEnd = 0.93
)

// minCutover is the least duration of the stage Cutover: until all VMs know of it.
const minCutover = 700 * time.Millisecond

// Input is what the leader knows when it takes the next step.
type Input struct {
	// Ordered is when the order was first known.
	Ordered time.Time
	// NewTargets is the number of targets of the new version.
	NewTargets int
	Verdict    Verdict
	// FoundBad is set if any VM found the version to be bad.
	FoundBad bool
	// OldInFlight is the number of requests at targets of other versions, as far as
	// Complete says that all VMs have lately told theirs.
	OldInFlight int
	Complete    bool
}

// Step is the leader's next step. State is set if the order ends, and Reason says why.
type Step struct {
	Stage  Stage
	State  State
	Reason string
}

// Plan takes the steps of one order. It goes on from a stage that another leader stored.
type Plan struct {
	order  Order
	bounds settings.Bounds
	stage  Stage
	since  time.Time // when this leader saw the stage begin; zero before its first step
}

// NewPlan returns a plan that begins in the given stage.
func NewPlan(order Order, bounds settings.Bounds, stage Stage) *Plan {
	return &Plan{order: order, bounds: bounds, stage: stage}
}

// Stage returns the stage in force.
func (plan *Plan) Stage() Stage {
	return plan.stage
}

// Enter records that a stage was stored and is in force.
func (plan *Plan) Enter(stage Stage, now time.Time) {
	plan.stage, plan.since = stage, now
}

// Next returns the next step. A higher stage takes effect only with Enter.
func (plan *Plan) Next(input Input, now time.Time) Step {
	if plan.since.IsZero() {
		plan.since = now
	}
	step := Step{Stage: plan.stage}
	if input.FoundBad || input.Verdict.Bad {
		step.State, step.Reason = RolledBack, "bad"
		return step
	}
	elapsed, inStage := plan.part(input.Ordered, now), plan.part(plan.since, now)
	switch plan.stage {
	case Waiting:
		if input.NewTargets > 0 {
			step.Stage = Trial
		}
	case Trial:
		judged := elapsed >= trialEnd && inStage >= minTrial && input.Verdict.Judged
		sparse := elapsed >= longTrialEnd && inStage >= minTrial && input.Verdict.Samples >= sparseSamples
		if judged && (input.Verdict.Samples > 0 || input.Verdict.Idle) || sparse {
			step.Stage = Expanded
		}
	case Expanded:
		if inStage >= expandedPart {
			step.Stage = Cutover
		}
	case Cutover:
		return plan.nextInCutover(input, elapsed, inStage, now)
	}
	if elapsed >= lastEnd {
		step.Stage, step.State, step.Reason = plan.stage, RolledBack, "not judged in time"
	}
	return step
}

// nextInCutover returns the next step while all requests go to the new version.
func (plan *Plan) nextInCutover(input Input, elapsed, inStage float64, now time.Time) Step {
	step := Step{Stage: Cutover}
	if now.Sub(plan.since) < minCutover && elapsed < lastEnd {
		return step
	}
	switch {
	case input.Complete && input.OldInFlight == 0:
		step.State, step.Reason = Completed, "other versions idle"
	case inStage >= maxCutover || elapsed >= lastEnd:
		step.State, step.Reason = Completed, "time over"
	}
	return step
}

// part returns the part of the order's duration that has passed since a time.
func (plan *Plan) part(since, now time.Time) float64 {
	return now.Sub(since).Seconds() / time.Duration(plan.order.Duration).Seconds()
}
