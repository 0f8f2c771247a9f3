// Package history checks what targets received and answered against the promises that
// hold for targets: those that leave, rest, name a limit, or are crashed by a part of
// prompts.
//
// A history is recorded where the targets are: each request that reached one, and what
// its answer said about further requests; and where the callers are: whether first tries
// were served. The checks are pure functions; the bounds are
// those of the users' platform. A VM that was restarted, paused or cut is excused for the
// time that Excused states.
//
// # Usage
//
//	history := &history.History{Arrivals: arrivals, Bounds: bounds, Excused: excused}
//	for _, violation := range history.Check() {
//		fmt.Println(violation)
//	}
package history

import (
	"fmt"
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

// Arrival is a request that reached a target, and its answer.
type Arrival struct {
	Request string // ID
	Target  string // start of a target
	Service string
	VM      string // that sent it
	// Sent is when the caller sent the request, At when it reached the target, and
	// Answered when the VM passed the head of the answer on; zero if it did not.
	Sent     time.Time
	At       time.Time
	Answered time.Time
	// Key is the key with which the caller sent it; empty if it is not known.
	Key string
	// Parts are the parts of the prompt that other requests may share.
	Parts []string

	// Leaving, RestUntil, Limit and Crashed are what the answer said: that the target
	// leaves, that it wants a rest, how many requests a second it takes, 0 for any
	// number; and whether the target crashed by this request.
	Leaving   bool
	RestUntil time.Time
	Limit     float64
	Crashed   bool

	// Model and Weights are the model and the version of its weights on which the
	// request began; empty if it did not, or needs none. Begun is when it did, which is
	// later than At if it waited.
	Model   string
	Weights uint64
	Begun   time.Time

	// Rejected states that the target had no room for the request, and Fell that it fell
	// over because it had rejected too many.
	Rejected, Fell bool
}

// Try is the first try of a request at a VM.
type Try struct {
	VM     string
	Sent   time.Time
	Served bool
}

// Cut is a time in which VMs reach no target, while callers, the store and the other VMs
// reach them.
type Cut struct {
	VMs      []string
	From, To time.Time
}

// Written states that a target wrote events of a stream to the VM.
type Written struct {
	Stream   string // request that began it
	Software string // version of the target's software
	At       time.Time
}

// Named states that new weights of a model were named.
type Named struct {
	Model   string
	Weights uint64 // version
	At      time.Time
}

// Departure states that the store confirmed that a target leaves or is gone.
type Departure struct {
	Target string // start of a target
	At     time.Time
}

// Interval is a time with a begin and an end.
type Interval struct{ From, To time.Time }

// Bounds are the times of the users' platform in which a VM must react.
type Bounds struct {
	// Contact is the time in touch after which a VM must know what others know.
	Contact settings.Span
	// Drain is the time after which a target that leaves gets nothing.
	Drain settings.Span
	// Weights is the time after which no request begins on older weights than those that
	// were named.
	Weights settings.Span
	// Configuration is the time after which a confirmed version is in force.
	Configuration settings.Span
}

const (
	// restDelay is how long after a target asked for a rest requests may still arrive
	// there, and maxInRest how many may arrive after that.
	restDelay = 500 * time.Millisecond
	maxInRest = 2
	// A limited target gets at most limitFactor times what its limit allows within
	// limitWindow, and limitSlack, from the VMs that passed on its word limitDelay
	// before.
	limitWindow = 4 * time.Second
	limitDelay  = 500 * time.Millisecond
	limitFactor = 1.5
	limitSlack  = 5
	// maxCrashing is how many requests with a part may reach targets later than
	// Bounds.Contact after the crash with the number blockingCrash.
	maxCrashing   = 3
	blockingCrash = 5
	// First tries at VMs that are cut from all targets may be served less than servedShare
	// times as often as those at others only if at most failedSlack and one in failedPart
	// of all fail there.
	servedShare = 2.0 / 3
	failedSlack = 10
	failedPart  = 50
)

// History is what targets received, in the order of arrival.
type History struct {
	Arrivals []Arrival
	Tries    []Try
	Cuts     []Cut
	Written  []Written // in the order of time
	Brittle  []Brittle
	Named    []Named // in the order of time
	// Departures are those that the store confirmed, one for each target.
	Departures []Departure
	// Disturbed are faults of the store, each until Bounds.Contact after its end, in the
	// order of time.
	Disturbed []Interval
	Accounts  []Accounts // in the order of time
	CacheUses []CacheUse
	Bounds    Bounds
	// Excused reports whether a VM was restarted or paused between two times.
	Excused func(vm string, from, to time.Time) bool
	// InTouch reports whether a VM and the store have run without a fault for
	// Bounds.Contact. A VM that is cut from targets alone is in touch.
	InTouch func(vm string, at time.Time) bool
}

// Violation is a broken promise.
type Violation struct {
	Rule string
	At   time.Time
	Text string
}

// String implements fmt.Stringer.
func (violation Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", violation.Rule, violation.At.Format("15:04:05.000"), violation.Text)
}

// Check returns all violations.
func (history *History) Check() []Violation {
	return slices.Concat(history.checkLeaving(), history.checkDepartures(), history.checkRests(), history.checkLimits(), history.checkParts(), history.checkCuts(), history.checkWeights(), history.checkFalls(), history.checkStreams(),
		history.checkIsolation(), history.checkKeys())
}

// pair is a target and a VM.
type pair struct{ target, vm string }

// checkLeaving finds requests that were sent later than Bounds.Drain after their VM had
// passed on that the target leaves.
func (history *History) checkLeaving() []Violation {
	learned := map[pair]time.Time{}
	for _, arrival := range history.Arrivals {
		key := pair{arrival.Target, arrival.VM}
		if at, known := learned[key]; arrival.Leaving && !arrival.Answered.IsZero() && (!known || arrival.Answered.Before(at)) {
			learned[key] = arrival.Answered
		}
	}
	var violations []Violation
	for _, arrival := range history.Arrivals {
		at, known := learned[pair{arrival.Target, arrival.VM}]
		if known && arrival.Sent.After(history.Bounds.Drain.After(at)) && !history.Excused(arrival.VM, at, arrival.At) {
			violations = append(violations, Violation{"DRAIN", arrival.At, fmt.Sprintf("%s reaches %s from %s, %v after the VM was told that it leaves", arrival.Request, arrival.Target, arrival.VM, arrival.Sent.Sub(at))})
		}
	}
	return violations
}

// checkDepartures finds requests that reached a target later than Bounds.Drain after the store
// had confirmed that it leaves, taken and sent on by a VM in touch. How the VM hears of it does
// not matter.
func (history *History) checkDepartures() []Violation {
	var violations []Violation
	for _, departure := range history.Departures {
		if history.disturbed(departure.At) {
			continue
		}
		for _, arrival := range history.Arrivals {
			if arrival.Target != departure.Target || !arrival.At.After(history.Bounds.Drain.After(departure.At)) {
				continue
			}
			if history.InTouch(arrival.VM, arrival.Sent) && history.InTouch(arrival.VM, arrival.At) && !history.isCut(arrival.VM, arrival.At.Add(-time.Duration(history.Bounds.Contact)), arrival.At) {
				violations = append(violations, Violation{"DRAIN", arrival.At, fmt.Sprintf("%s reaches %s from %s, %v after the store confirmed that it leaves, and %v after its caller sent it", arrival.Request, arrival.Target, arrival.VM, arrival.At.Sub(departure.At), arrival.At.Sub(arrival.Sent))})
			}
		}
	}
	return violations
}

// disturbed reports whether the store was disturbed at a time.
func (history *History) disturbed(at time.Time) bool {
	return slices.ContainsFunc(history.Disturbed, func(fault Interval) bool { return !fault.From.After(at) && fault.To.After(at) })
}

// checkRests finds rests in which more than maxInRest requests arrive from the VM that
// was asked for it.
func (history *History) checkRests() []Violation {
	var violations []Violation
	for _, asked := range history.Arrivals {
		if asked.RestUntil.IsZero() || asked.Answered.IsZero() || history.excusedOrCut(asked.VM, asked.Answered, asked.RestUntil) {
			continue
		}
		count := 0
		for _, arrival := range history.Arrivals {
			if arrival.Target == asked.Target && arrival.VM == asked.VM && arrival.At.After(asked.Answered.Add(restDelay)) && arrival.At.Before(asked.RestUntil) {
				count++
			}
		}
		if count > maxInRest {
			violations = append(violations, Violation{"BUDGET", asked.At, fmt.Sprintf("%d requests reach %s from %s in the rest until %s, allowed %d", count, asked.Target, asked.VM, asked.RestUntil.Format("15:04:05.000"), maxInRest)})
		}
	}
	return violations
}

// checkLimits finds windows in which a target gets more than its limit allows. The
// highest limit that it named before the end of a window counts.
func (history *History) checkLimits() []Violation {
	var violations []Violation
	for target, arrivals := range history.byTarget() {
		told := map[string]time.Time{}
		var first time.Time
		limit := 0.0
		var counted []time.Time
		for _, arrival := range arrivals {
			if at, known := told[arrival.VM]; known && arrival.At.Sub(at) >= limitDelay && arrival.At.After(history.Bounds.Contact.After(first)) && !history.excusedOrCut(arrival.VM, at, arrival.At) {
				counted = append(counted, arrival.At)
			}
			for len(counted) > 0 && arrival.At.Sub(counted[0]) > limitWindow {
				counted = counted[1:]
			}
			if allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack; limit > 0 && float64(len(counted)) > allowed {
				violations = append(violations, Violation{"LIMIT", arrival.At, fmt.Sprintf("%s, limited to %v a second, got %d requests in %v, allowed %.1f", target, limit, len(counted), limitWindow, allowed)})
				counted = nil
			}
			switch {
			case arrival.Limit == 0:
				told, first, limit, counted = map[string]time.Time{}, time.Time{}, 0, nil
			case arrival.Answered.IsZero():
			default:
				if first.IsZero() {
					first = arrival.Answered
				}
				if _, known := told[arrival.VM]; !known {
					told[arrival.VM] = arrival.Answered
				}
				limit = max(limit, arrival.Limit)
			}
		}
	}
	return violations
}

// checkParts finds parts of prompts that go on reaching targets after they crashed many.
func (history *History) checkParts() []Violation {
	crashes := map[string][]time.Time{}
	for _, arrival := range history.Arrivals {
		if !arrival.Crashed {
			continue
		}
		for _, part := range arrival.Parts {
			crashes[part] = append(crashes[part], arrival.At)
		}
	}
	var violations []Violation
	for part, times := range crashes {
		if len(times) < blockingCrash || history.answered(part) {
			continue
		}
		fifth, late := times[blockingCrash-1], 0
		for _, arrival := range history.Arrivals {
			if slices.Contains(arrival.Parts, part) && arrival.At.After(history.Bounds.Contact.After(fifth)) && !history.Excused(arrival.VM, history.Bounds.Contact.After(fifth), arrival.At) {
				late++
			}
		}
		if late > maxCrashing {
			violations = append(violations, Violation{"BUDGET", fifth, fmt.Sprintf("%d requests with the part %s reach targets after the fifth crash, allowed %d; %d crashes in all", late, part, maxCrashing, len(times))})
		}
	}
	return violations
}

// answered reports whether a request with the part was answered without a crash, which
// shows that the part crashes nothing.
func (history *History) answered(part string) bool {
	return slices.ContainsFunc(history.Arrivals, func(arrival Arrival) bool {
		return !arrival.Crashed && !arrival.Answered.IsZero() && slices.Contains(arrival.Parts, part)
	})
}

// checkCuts finds cuts in which first tries at the VMs that are cut fail although others
// serve.
func (history *History) checkCuts() []Violation {
	var violations []Violation
	for _, cut := range history.Cuts {
		var there, elsewhere share
		for _, try := range history.Tries {
			if !try.Sent.After(history.Bounds.Contact.After(cut.From)) || !try.Sent.Before(cut.To) || !history.InTouch(try.VM, try.Sent) {
				continue
			}
			switch {
			case slices.Contains(cut.VMs, try.VM):
				there.count(try.Served)
			case !history.isCut(try.VM, try.Sent, try.Sent):
				elsewhere.count(try.Served)
			}
		}
		allowed := failedSlack + float64(there.tries+elsewhere.tries)/failedPart
		if there.value() < servedShare*elsewhere.value() && float64(there.tries-there.served) > allowed {
			violations = append(violations, Violation{"RECOVER", cut.From, fmt.Sprintf("%d of %d first tries are served at %v, which are cut from all targets until %s, and %d of %d elsewhere; %.1f may fail", there.served, there.tries, cut.VMs, cut.To.Format("15:04:05.000"), elsewhere.served, elsewhere.tries, allowed)})
		}
	}
	return violations
}

// share is how many tries were served.
type share struct{ served, tries int }

func (share *share) count(served bool) {
	share.tries++
	if served {
		share.served++
	}
}

func (share *share) value() float64 {
	if share.tries == 0 {
		return 0
	}
	return float64(share.served) / float64(share.tries)
}

// isCut reports whether a VM was cut from all targets between two times.
func (history *History) isCut(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(history.Cuts, func(cut Cut) bool {
		return slices.Contains(cut.VMs, vm) && !cut.From.After(to) && !cut.To.Before(from)
	})
}

func (history *History) excusedOrCut(vm string, from, to time.Time) bool {
	return history.Excused(vm, from, to) || history.isCut(vm, from, to)
}

func (history *History) byTarget() map[string][]Arrival {
	targets := map[string][]Arrival{}
	for _, arrival := range history.Arrivals {
		targets[arrival.Target] = append(targets[arrival.Target], arrival)
	}
	return targets
}
