package history

import (
	"fmt"
	"slices"
	"time"
)

// checkWeights finds requests that began on older weights than others that were named
// longer than Bounds.Weights before, counted in one time without faults of the store and
// cuts. Whether the VM was in touch is judged when the request reached the target: it has no
// part in when that begins, other than by giving the request up.
func (history *History) checkWeights() []Violation {
	var violations []Violation
	for _, arrival := range history.Arrivals {
		for _, named := range history.Named {
			if named.Model != arrival.Model || named.Weights <= arrival.Weights || !history.Bounds.Weights.After(named.At).Before(arrival.Begun) {
				continue
			}
			if history.longestCalm(named.At, arrival.Begun) > time.Duration(history.Bounds.Weights) && history.InTouch(arrival.VM, arrival.At) {
				violations = append(violations, Violation{"VERSION", arrival.Begun, fmt.Sprintf("%s, sent by %s, begins at %s on weights %d, %v after %d were named, and %v after it arrived", arrival.Request, arrival.VM, arrival.Target, arrival.Weights, arrival.Begun.Sub(named.At), named.Weights, arrival.Begun.Sub(arrival.At))})
				break
			}
		}
	}
	return violations
}

// longestCalm returns the longest time between two times without faults of the store and
// cuts.
func (history *History) longestCalm(from, to time.Time) time.Duration {
	disturbed := slices.Clone(history.Disturbed)
	for _, cut := range history.Cuts {
		disturbed = append(disturbed, Interval{cut.From, cut.To})
	}
	slices.SortFunc(disturbed, func(a, b Interval) int { return a.From.Compare(b.From) })
	longest := time.Duration(0)
	for _, fault := range disturbed {
		if fault.From.After(to) {
			break
		}
		longest = max(longest, fault.From.Sub(from))
		if fault.To.After(from) {
			from = fault.To
		}
	}
	return max(longest, to.Sub(from))
}
