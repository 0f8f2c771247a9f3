package rollout

import "time"

// limit returns how many more targets may load now without too many being out of
// service at once. If targets rest for so long that the roll gets late, one target may
// load at a time nevertheless.
func (roll *Roll) limit(targets []Target, late bool, now time.Time) int {
	loading, ordered, resting, reachable := 0, 0, 0, 0
	for i := range targets {
		if targets[i].Unreachable {
			continue
		}
		reachable++
		state, ok := roll.states[targets[i].ID]
		if !ok || !state.ordered() {
			if targets[i].Resting {
				resting++
			}
			continue
		}
		ordered++
		if state.sent || now.Sub(state.orderedAt) < assumedLoadTime {
			loading++
		}
	}
	limit := max(1, min(minLoadLimit, reachable-1)) // of two targets, one stays in service
	allowed := min(max(limit, reachable/loadingDivisor)-loading, max(limit, reachable/outOfServiceDivisor)-ordered-resting)
	if late && ordered == 0 {
		return max(1, allowed)
	}
	return allowed
}

// late reports whether a target lacks a version for which the orders should all have been
// sent.
func (roll *Roll) late(targets []Target, named []NamedWeights, now time.Time) bool {
	for _, newest := range named {
		for _, weights := range newest.requested() {
			if _, remaining := roll.count(targets, weights); remaining > 0 && roll.overdue(weights, now) {
				return true
			}
		}
	}
	return false
}

// orderBudget is how many more targets may be ordered to load now: in all, and by model.
type orderBudget struct {
	total   int
	byModel map[string]int
}

// take takes one order out of the budget, or returns false if there is none left.
func (orderBudget *orderBudget) take(model string) bool {
	if orderBudget.total <= 0 || orderBudget.byModel[model] <= 0 {
		return false
	}
	orderBudget.total--
	orderBudget.byModel[model]--
	return true
}
