package history

import (
	"fmt"
	"time"
)

// Brittle is a time in which the targets of a service say that they are brittle: one that
// has to turn away too many requests in a second falls over.
type Brittle struct {
	Service  string
	Targets  int
	From, To time.Time
}

const (
	// The targets of a service may fall over allowedFalls times, and as often as a
	// fallingPart of their number, in one time in which they are brittle.
	allowedFalls = 2
	fallingPart  = 10
	// fallWindow is the time whose rejections make a target fall over.
	fallWindow = time.Second
)

// checkFalls finds times in which targets that are brittle fall over too often.
func (history *History) checkFalls() []Violation {
	var violations []Violation
	for _, brittle := range history.Brittle {
		falls := 0
		for _, arrival := range history.Arrivals {
			if arrival.Fell && arrival.Service == brittle.Service && !arrival.At.Before(brittle.From) && !arrival.At.After(brittle.To) && history.rejectedInTouch(arrival) {
				falls++
			}
		}
		if allowed := allowedFalls + float64(brittle.Targets)/fallingPart; float64(falls) > allowed {
			violations = append(violations, Violation{"LIMIT", brittle.From, fmt.Sprintf("targets of %s, brittle until %s, fall over %d times, allowed %.1f", brittle.Service, brittle.To.Format("15:04:05.000"), falls, allowed)})
		}
	}
	return violations
}

// rejectedInTouch reports whether most of what a target rejected before it fell over
// came from VMs in touch.
func (history *History) rejectedInTouch(fall Arrival) bool {
	inTouch, all := 0, 0
	for _, arrival := range history.Arrivals {
		if !arrival.Rejected || arrival.Target != fall.Target || arrival.At.After(fall.At) || fall.At.Sub(arrival.At) > fallWindow {
			continue
		}
		all++
		if history.InTouch(arrival.VM, arrival.At) {
			inTouch++
		}
	}
	return 2*inTouch > all
}
