// Package release decides how requests move to a new software version of a service when
// an operator orders its release, and whether the version is kept.
//
// A Tracker is what one VM knows of the orders: it decides at each request which versions
// may get it, and counts what their answers are like. One VM, the leader, takes the next
// steps with a Plan. VMs tell each other Words: the order, its stage and the counts. A
// version that answers worse than the one before it, by failures or by latency on any
// route, is bad; whichever VM finds that out, all stop using the version, with or without
// a leader.
//
// A stage is valid only for MaxAge after its leader issued it. A VM that does not know a
// valid one sends nothing to the new version: it may have been paused or cut off while the
// version was found to be bad.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	tracker := release.NewTracker(bounds, rand.Float64)
//	tracker.Put(order, now)
//	admission := tracker.Admit("notes", "sum", false, now)
//	sample := tracker.Begin("notes", "sum", "v2", now)
//	sample.End(false, now)
//
//	plan := release.NewPlan(order, bounds)
//	step := plan.Next(input, now)
package release

import (
	"strconv"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

// State is the state of an order as the operator reads it. It is empty before the first
// state was written.
type State string

// The states.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Ended reports whether the state is final.
func (state State) Ended() bool {
	return state == Completed || state == RolledBack
}

// Order is an operator's request to release a software version.
type Order struct {
	// Name is that of the object in the store, Created the revision that created it and
	// Revision the newest known one.
	Name     string
	Created  uint64
	Revision uint64
	Service  string
	// To is the software version to release.
	To string
	// Duration is the time from the order within which it has to end.
	Duration settings.Span
	State    State
}

// ID identifies the order: the same object may later ask for another version, or be
// deleted and created again.
func (order *Order) ID() string {
	return order.Name + "/" + strconv.FormatUint(order.Created, 10) + "/" + order.To
}

// Stage is how far an order has come.
type Stage int

// The stages, in their order.
const (
	// Waiting: the new version gets no requests.
	Waiting Stage = iota
	// Trial: it gets a share that is within the bound for a bad version.
	Trial
	// Expanded: it gets a larger share for a short time, to be judged under load.
	Expanded
	// Cutover: it gets all new requests while those at other versions end.
	Cutover
)

// String returns the stage's name for logs and the store.
func (stage Stage) String() string {
	return [...]string{"waiting", "trial", "expanded", "cutover"}[stage]
}

// StageOf returns the stage with a name; Waiting if there is none.
func StageOf(name string) Stage {
	for stage := Waiting; stage <= Cutover; stage++ {
		if stage.String() == name {
			return stage
		}
	}
	return Waiting
}

const (
	// trialPart is the part of the exposure bound that the trial uses up if it lasts for
	// the whole order, trialReserve that of the requests beyond the share, which services
	// with few requests need to be judged. The rest is left for the later stages: a
	// version may turn bad there.
	trialPart    = 0.6
	trialReserve = 0.5
	// maxTrialShare is the largest share in the trial, and rateKnownAfter how long the
	// requests of a service are counted before their rate is used.
	maxTrialShare  = 0.5
	rateKnownAfter = 2 * time.Second
	// expandedShare is the share in the stage Expanded.
	expandedShare = 0.3
	// MaxAge is how long a stage is valid after its leader issued it.
	MaxAge = time.Second
)

// Share returns the share of the requests that the new version gets in a stage, given the
// requests a second of all VMs, or 0 if they are not known.
func (order *Order) Share(stage Stage, bounds settings.Bounds, rate float64) float64 {
	switch stage {
	case Trial:
		share := trialPart * bounds.ExposureShare
		if rate > 0 {
			share += trialReserve * bounds.ExposureReserve / (rate * time.Duration(order.Duration).Seconds())
		}
		return min(share, maxTrialShare)
	case Expanded:
		return expandedShare
	case Cutover:
		return 1
	}
	return 0
}
