package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// roomHorizon is the time within which the wait is brought to the aimed one. It is
	// longer than it takes until VMs know of each other's requests.
	roomHorizon = 400 * time.Millisecond
	// minRoom is the least part of the room that is used while requests wait too long.
	minRoom = 0.3
	// idleRoom is by how much more is admitted when nothing waits: targets then take
	// more than they are known to.
	idleRoom = 2
	// toleratedPart is the part of the admitted tokens that targets may turn away before
	// less is admitted: single targets are full now and then. In the balance about a tenth
	// is turned away, which shows that no room is unused.
	toleratedPart = 0.01
	// fillSteps is the number of bisections with which a level is found.
	fillSteps = 40
)

// tokens returns the tokens a second that may be admitted.
func (room Room) tokens() float64 {
	factor := 1 + (room.AimedWait-room.Wait).Seconds()/roomHorizon.Seconds()
	if half := room.AimedWait / 2; room.Wait < half {
		factor += idleRoom * float64(half-room.Wait) / float64(room.AimedWait)
	}
	return room.TokensPerSecond * max(minRoom, factor)
}

// placeable returns the tokens a second that targets are found to have places for, slots
// or memory; infinite if they turn nearly nothing away.
func (demand *Demand) placeable() float64 {
	away := demand.TurnedAway / max(1, demand.Placed+demand.TurnedAway)
	if away <= toleratedPart {
		return math.Inf(1)
	}
	return demand.Placed * (1 + toleratedPart/away)
}

// plan is which part of the requests is admitted.
type plan struct {
	parts map[key]float64
	// full is the level at which the room ends; all requests of lower levels are
	// admitted. hasFull is not set if there is room for all.
	full    Level
	hasFull bool
}

// part returns the part of the requests with a key that is admitted. Those that nobody
// asked for before are admitted as if there were few.
func (plan *plan) part(asked key) float64 {
	if part, ok := plan.parts[asked]; ok {
		return part
	}
	if plan.hasFull && asked.level > plan.full {
		return 0
	}
	return 1
}

// newPlan divides the room. Levels are served in order. The accounts of the level at
// which the room ends get equal parts for their weight, of what they get at all levels,
// and none more than it asks for. demands are ordered by level.
func newPlan(demands []Count, weights map[uint32]float64, tokens float64) plan {
	created := plan{parts: make(map[key]float64, len(demands))}
	left := tokens
	granted := map[uint32]float64{}
	for len(demands) > 0 {
		level, sum := leading(demands)
		demands = demands[len(level):]
		if sum > left {
			created.full, created.hasFull = level[0].Level, true
			created.fill(level, granted, weights, left)
			break
		}
		left -= sum
		for _, demand := range level {
			created.parts[demand.key()] = 1
			granted[demand.Account] += demand.Asked
		}
	}
	return created
}

// leading returns the demands of the first level and their sum.
func leading(demands []Count) (level []Count, sum float64) {
	for i, demand := range demands {
		if demand.Level != demands[0].Level {
			return demands[:i], sum
		}
		sum += demand.Asked
	}
	return demands, sum
}

// fill divides the room that is left for a level. granted is what accounts get at lower
// levels.
func (plan *plan) fill(level []Count, granted, weights map[uint32]float64, left float64) {
	mean := meanWeight(weights)
	shares := func(line float64) (sum float64) {
		for _, demand := range level {
			share := min(demand.Asked, max(0, weightOf(demand.Account, weights, mean)*line-granted[demand.Account]))
			sum += share
			if demand.Asked > 0 {
				plan.parts[demand.key()] = share / demand.Asked
			}
		}
		return sum
	}
	low, high := 0.0, 1.0
	for shares(high) < left && high < math.MaxFloat64/4 {
		high *= 2
	}
	for range fillSteps {
		middle := (low + high) / 2
		if shares(middle) < left {
			low = middle
		} else {
			high = middle
		}
	}
	shares(low)
}

func weightOf(account uint32, weights map[uint32]float64, mean float64) float64 {
	if account == restAccount {
		return restWeight * mean
	}
	if weight, ok := weights[account]; ok {
		return weight
	}
	return mean
}

// meanWeight returns the weight of accounts without one.
func meanWeight(weights map[uint32]float64) float64 {
	sum := 0.0
	for _, account := range slices.Sorted(maps.Keys(weights)) {
		sum += weights[account]
	}
	if sum <= 0 {
		return 1
	}
	return sum / float64(len(weights))
}
