package release

import (
	"maps"
	"math"
	"slices"
)

const (
	// minSamples is the number of answers of each side on a route from which on the new
	// version is judged there.
	minSamples = 10
	// deviations and minExcess are by how many standard deviations, and answers beyond
	// them, the bad answers must exceed those that the other versions lead to expect. The
	// test is repeated many times in each of many releases of good versions.
	deviations = 4
	minExcess  = 2
	// failureFloor and slowFloor are the least shares of failed and of slow answers that
	// are expected: few answers of the other versions do not show that there are none.
	failureFloor = 0.005
	slowFloor    = 0.03
	// usualPart is the part of the other versions' answers that is not slow. Answers are
	// slow if they take twice as long (slowBuckets) as those: the caches of new targets are
	// empty, which makes a sound version slower at first.
	usualPart   = 0.9
	slowBuckets = 2
	// minSlowShare is the least share of slow answers of a bad version.
	minSlowShare = 0.12
)

// Verdict is what the counts say of the new version.
type Verdict struct {
	// Bad is set if it answers worse than the others on Route; Reason says in which way.
	Bad    bool
	Route  string
	Reason string
	// Judged is set if there were enough answers on each route in use.
	Judged bool
	// Samples is the number of answers of the new version. Idle is set if the others
	// answer too little for a comparison.
	Samples float64
	Idle    bool
}

// The reasons for which a version is bad.
const (
	reasonFailures = "failures"
	reasonFirst    = "slow_first"
	reasonRest     = "slow_rest"
)

// Judge compares the new version with the others.
func Judge(table Table) Verdict {
	verdict := Verdict{Judged: true, Idle: true}
	routes := map[string]bool{}
	for key := range table {
		routes[key.Route] = true
	}
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		old, candidate := table[RouteSide{Route: route}], table[RouteSide{Route: route, New: true}]
		verdict.Samples += candidate.Answers
		if old.Answers >= minSamples {
			verdict.Idle = false
			verdict.Judged = verdict.Judged && candidate.Answers >= minSamples
		}
		if reason := compare(&old, &candidate); reason != "" && !verdict.Bad {
			verdict.Bad, verdict.Route, verdict.Reason = true, route, reason
		}
	}
	return verdict
}

// compare returns why the new version is bad on a route, or an empty reason.
func compare(old, candidate *Counts) string {
	switch {
	case exceeds(candidate.Bad, candidate.Answers, old.Bad, old.Answers, failureFloor):
		return reasonFailures
	case slower(&old.First, &candidate.First):
		return reasonFirst
	case slower(&old.Rest, &candidate.Rest):
		return reasonRest
	}
	return ""
}

// slower reports whether too many of the new version's latencies are slow.
func slower(old, candidate *Histogram) bool {
	if old.total() < minSamples {
		return false
	}
	limit := min(Buckets-1, old.quantile(usualPart)+slowBuckets)
	slow, all := candidate.above(limit), candidate.total()
	return slow >= minSlowShare*all && exceeds(slow, all, old.above(limit), old.total(), slowFloor)
}

// exceeds reports whether so many of the answers are bad that chance does not explain it,
// given those of the other versions.
func exceeds(bad, all, otherBad, otherAll, floor float64) bool {
	if all == 0 {
		return false
	}
	expected := max(floor, otherBad/max(1, otherAll))
	if expected >= 1 {
		return false
	}
	return bad > all*expected+deviations*math.Sqrt(all*expected*(1-expected))+minExcess
}
