package placement

import (
	"sync/atomic"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// homes is how many targets a prefix may spread over before any target
	// will do.
	homes = 4
	// homeBonus keeps VMs together at the same home: it is about the time to
	// compute one block, and less lets a passing load spread a prefix.
	homeBonus = 20 * time.Millisecond
	// zonePenalty is the round trip to another availability zone.
	zonePenalty = 2 * time.Millisecond
	// sharedAfter is how many earlier requests make a prefix a shared one.
	sharedAfter = 1
	// maxCandidates bounds the targets that are compared for one request.
	maxCandidates = 16
)

// PrefixAware is the product's policy.
type PrefixAware struct {
	beliefs *beliefs
	levels  levels
	turn    atomic.Uint64
}

// NewPrefixAware returns the policy with room for a number of believed blocks.
func NewPrefixAware(entries int) *PrefixAware {
	return &PrefixAware{beliefs: newBeliefs(entries)}
}

// candidate is a target with the number of blocks it is taken to hold.
type candidate struct {
	index int
	held  float64 // blocks
	bonus time.Duration
}

// candidates is a small list without allocation.
type candidates struct {
	items [maxCandidates]candidate
	count int
}

func (candidates *candidates) add(added candidate) {
	for i := range candidates.items[:candidates.count] {
		known := &candidates.items[i]
		if known.index == added.index {
			known.held = max(known.held, added.held)
			known.bonus = max(known.bonus, added.bonus)
			return
		}
	}
	if candidates.count < maxCandidates {
		candidates.items[candidates.count] = added
		candidates.count++
	}
}

// Choose implements Policy.
func (policy *PrefixAware) Choose(pool *Pool, request *Request, now time.Time) *State {
	if len(pool.states) == 0 {
		return nil
	}
	var found candidates
	key := policy.gather(pool, request, now, &found)
	policy.addHomes(pool, key, &found)
	policy.addSpill(pool, now, &found)
	if state := best(pool, request, now, &found); state != nil {
		return state
	}
	return leastLoaded(pool, request, now)
}

// homeKey is the level of nesting by which a request is placed.
type homeKey struct {
	hash   uint64
	blocks int
}

// gather adds the believed holders, deepest level first, and returns the level
// by which the request is placed: the deepest that other requests share.
func (policy *PrefixAware) gather(pool *Pool, request *Request, now time.Time, found *candidates) homeKey {
	clock := policy.beliefs.clock(now)
	shared := 0
	for level := len(request.Chain) - 1; level >= 0; level-- {
		seen, held := policy.beliefs.see(request.Chain[level], clock)
		if shared == 0 && seen >= sharedAfter {
			shared = level + 1
		}
		for _, holder := range held {
			if index := pool.indexOf(holder, clock); index >= 0 {
				found.add(candidate{index: index, held: float64(level + 1)})
			}
		}
	}
	if len(request.Chain) == 0 {
		return homeKey{}
	}
	predicted := policy.levels.predict(request.Seed, request.Boundary)
	policy.levels.note(request.Seed, shared)
	blocks := min(max(shared, predicted, 1), len(request.Chain))
	return homeKey{hash: uint64(request.Chain[blocks-1]), blocks: blocks}
}

// indexOf returns the index of a holder whose belief is still valid, or -1.
func (pool *Pool) indexOf(holder holder, clock uint32) int {
	if int(holder.id) >= len(pool.byID) {
		return -1
	}
	index := int(pool.byID[holder.id])
	if index < 0 || !holder.valid(pool.states[index], clock) {
		return -1
	}
	return index
}

// addHomes adds the targets with the highest rendezvous scores for the key.
func (policy *PrefixAware) addHomes(pool *Pool, key homeKey, found *candidates) {
	if key.hash == 0 {
		return
	}
	ranked := rank(pool.seeds, key.hash)
	for place, index := range ranked.indexes[:ranked.count] {
		added := candidate{index: index}
		if place == 0 {
			// Other VMs send the prefix here too, so that it is taken to be held
			// although this VM has not seen it.
			added.held = float64(key.blocks)
			added.bonus = homeBonus
		}
		found.add(added)
	}
}

// addSpill adds two targets in turn, so that load finds idle ones.
func (policy *PrefixAware) addSpill(pool *Pool, now time.Time, found *candidates) {
	turn := prefix.Mix(policy.turn.Add(1))
	count := uint64(len(pool.states))
	found.add(candidate{index: int(turn % count)})
	found.add(candidate{index: int((turn >> 32) % count)})
}

// best returns the usable candidate with the least cost that can be claimed.
func best(pool *Pool, request *Request, now time.Time, found *candidates) *State {
	for found.count > 0 {
		chosen, least := -1, time.Duration(0)
		for i, candidate := range found.items[:found.count] {
			state := pool.states[candidate.index]
			if !state.Usable(now) || request.tried(state) {
				continue
			}
			if cost := costOf(state, request, candidate, now); chosen < 0 || cost < least {
				chosen, least = i, cost
			}
		}
		if chosen < 0 {
			return nil
		}
		state := pool.states[found.items[chosen].index]
		if state.claim(now) {
			return state
		}
		found.count--
		found.items[chosen] = found.items[found.count]
	}
	return nil
}

// costOf estimates the time to first token at a target.
func costOf(state *State, request *Request, candidate candidate, now time.Time) time.Duration {
	missing := request.PromptTokens - int(candidate.held*prefix.BlockTokens)
	cost := state.Wait(now) + state.PrefillTime(max(0, missing)) - candidate.bonus
	if state.Zone != request.Zone {
		cost += zonePenalty
	}
	return cost
}

// ranking is the best indexes of a rendezvous, best first.
type ranking struct {
	indexes [homes]int
	scores  [homes]uint64
	count   int
}

// rank returns the seeds with the highest scores for the key (rendezvous
// hashing, Thaler and Ravishankar 1998).
func rank(seeds []uint64, key uint64) ranking {
	var ranked ranking
	for index, seed := range seeds {
		score := prefix.Mix(key ^ seed)
		if ranked.count == homes && score <= ranked.scores[homes-1] {
			continue
		}
		ranked.insert(index, score)
	}
	return ranked
}

func (ranked *ranking) insert(index int, score uint64) {
	if ranked.count < homes {
		ranked.count++
	}
	place := ranked.count - 1
	for place > 0 && ranked.scores[place-1] < score {
		ranked.indexes[place] = ranked.indexes[place-1]
		ranked.scores[place] = ranked.scores[place-1]
		place--
	}
	ranked.indexes[place] = index
	ranked.scores[place] = score
}

// Learn implements Policy. What the answer reports as cached was there; what it
// does not report was believed wrongly; all of it is there now.
func (policy *PrefixAware) Learn(state *State, request *Request, cached int, now time.Time) {
	clock := policy.beliefs.clock(now)
	hits := cached / prefix.BlockTokens
	state.observeHit(cached, request.PromptTokens)
	for level, hash := range request.Chain {
		former := policy.beliefs.hold(hash, state, clock)
		if former != 0 {
			age := time.Duration(clock-former) * time.Millisecond
			state.retain(age, level < hits)
		}
	}
}

// Matched implements Policy.
func (policy *PrefixAware) Matched(state *State, request *Request, now time.Time) int {
	clock := policy.beliefs.clock(now)
	for level := len(request.Chain) - 1; level >= 0; level-- {
		for _, held := range policy.beliefs.look(request.Chain[level]) {
			if held.valid(state, clock) {
				return (level + 1) * prefix.BlockTokens
			}
		}
	}
	return 0
}
