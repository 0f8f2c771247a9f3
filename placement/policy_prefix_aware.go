package placement

import (
	"sync/atomic"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// homeCount is the number of homes of a prefix: the targets with the highest
	// rendezvous scores, over which the prefix may spread under load.
	homeCount = 4
	// homeBonus makes VMs prefer the same home. It is about the time to compute one
	// block; with less, a short load peak spreads a prefix over several targets.
	homeBonus = 20 * time.Millisecond
	// zonePenalty is the round trip to another availability zone.
	zonePenalty = 2 * time.Millisecond
	// sharedThreshold is the minimum number of earlier requests for a prefix to count
	// as shared.
	sharedThreshold = 1
	// maxCandidates bounds the number of targets compared for one request.
	maxCandidates = 16
)

// PrefixAware is the default policy: it weighs cached prefixes against load.
type PrefixAware struct {
	index   *cacheIndex
	depths  depthStats
	counter atomic.Uint64
}

// NewPrefixAware returns a policy whose index has room for the number of blocks.
func NewPrefixAware(entries int) *PrefixAware {
	return &PrefixAware{index: newCacheIndex(entries)}
}

// candidate is a target with the number of blocks that it is expected to have cached.
type candidate struct {
	index        int
	cachedBlocks float64
	bonus        time.Duration
}

// candidates is a fixed-size list that needs no allocation.
type candidates struct {
	entries [maxCandidates]candidate
	count   int
}

func (candidates *candidates) add(added candidate) {
	for i := range candidates.entries[:candidates.count] {
		existing := &candidates.entries[i]
		if existing.index == added.index {
			existing.cachedBlocks = max(existing.cachedBlocks, added.cachedBlocks)
			existing.bonus = max(existing.bonus, added.bonus)
			return
		}
	}
	if candidates.count < maxCandidates {
		candidates.entries[candidates.count] = added
		candidates.count++
	}
}

// Choose implements Policy.
func (policy *PrefixAware) Choose(pool *Pool, request *Request, now time.Time) *State {
	if len(pool.states) == 0 {
		return nil
	}
	var found candidates
	key := policy.addHolders(pool, request, now, &found)
	policy.addHomes(pool, key, &found)
	policy.addSampled(pool, now, &found)
	if state := claimCheapest(pool, request, now, &found); state != nil {
		return state
	}
	return leastLoaded(pool, request, now)
}

// placementKey is the prefix, in number of blocks, by which a request is placed.
type placementKey struct {
	hash   uint64
	blocks int
}

// addHolders counts the request and adds the targets expected to have blocks of the
// prompt, those of the longest prefix first. It returns the prefix by which the request
// is placed: the longest that earlier requests share or that depthStats predicts.
func (policy *PrefixAware) addHolders(pool *Pool, request *Request, now time.Time, found *candidates) placementKey {
	clock := policy.index.millis(now)
	shared := 0
	for level := len(request.Chain) - 1; level >= 0; level-- {
		requests, holders := policy.index.countRequest(request.Chain[level], clock)
		if shared == 0 && requests >= sharedThreshold {
			shared = level + 1
		}
		for _, holder := range holders {
			if index := pool.indexOf(holder, clock); index >= 0 {
				found.add(candidate{index: index, cachedBlocks: float64(level + 1)})
			}
		}
	}
	if len(request.Chain) == 0 {
		return placementKey{}
	}
	predicted := policy.depths.predict(request.Seed, request.Boundary)
	policy.depths.record(request.Seed, shared)
	blocks := min(max(shared, predicted, 1), len(request.Chain))
	return placementKey{hash: uint64(request.Chain[blocks-1]), blocks: blocks}
}

// indexOf returns the pool index of a holder whose record is still valid, or -1.
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
func (policy *PrefixAware) addHomes(pool *Pool, key placementKey, found *candidates) {
	if key.hash == 0 {
		return
	}
	ranked := rendezvousRank(pool.seeds, key.hash)
	for position, index := range ranked.indexes[:ranked.count] {
		added := candidate{index: index}
		if position == 0 {
			// Other VMs send the prefix here too, so it is expected to be cached
			// although this VM has not sent it.
			added.cachedBlocks = float64(key.blocks)
			added.bonus = homeBonus
		}
		found.add(added)
	}
}

// addSampled adds two pseudo-random targets, so that idle ones are found under load.
func (policy *PrefixAware) addSampled(pool *Pool, now time.Time, found *candidates) {
	random := prefix.Mix(policy.counter.Add(1))
	count := uint64(len(pool.states))
	found.add(candidate{index: int(random % count)})
	found.add(candidate{index: int((random >> 32) % count)})
}

// claimCheapest claims the usable candidate with the least cost. If a claim fails,
// it tries the next one; it returns nil when none is left.
func claimCheapest(pool *Pool, request *Request, now time.Time, found *candidates) *State {
	for found.count > 0 {
		chosen, least := -1, time.Duration(0)
		for i, candidate := range found.entries[:found.count] {
			state := pool.states[candidate.index]
			if !state.Usable(now) || request.tried(state) {
				continue
			}
			if cost := estimateCost(state, request, candidate, now); chosen < 0 || cost < least {
				chosen, least = i, cost
			}
		}
		if chosen < 0 {
			return nil
		}
		state := pool.states[found.entries[chosen].index]
		if state.claim(now) {
			return state
		}
		found.count--
		found.entries[chosen] = found.entries[found.count]
	}
	return nil
}

// estimateCost estimates the time to first token at a target.
func estimateCost(state *State, request *Request, candidate candidate, now time.Time) time.Duration {
	missing := request.PromptTokens - int(candidate.cachedBlocks*prefix.BlockTokens)
	cost := state.Wait(now) + state.PrefillTime(max(0, missing)) - candidate.bonus
	if state.Zone != request.Zone {
		cost += zonePenalty
	}
	return cost
}

// ranking holds the indexes with the highest rendezvous scores, highest first.
type ranking struct {
	indexes [homeCount]int
	scores  [homeCount]uint64
	count   int
}

// rendezvousRank returns the seeds with the highest scores for the key (rendezvous
// hashing, Thaler and Ravishankar 1998).
func rendezvousRank(seeds []uint64, key uint64) ranking {
	var ranked ranking
	for index, seed := range seeds {
		score := prefix.Mix(key ^ seed)
		if ranked.count == homeCount && score <= ranked.scores[homeCount-1] {
			continue
		}
		ranked.insert(index, score)
	}
	return ranked
}

func (ranked *ranking) insert(index int, score uint64) {
	if ranked.count < homeCount {
		ranked.count++
	}
	position := ranked.count - 1
	for position > 0 && ranked.scores[position-1] < score {
		ranked.indexes[position] = ranked.indexes[position-1]
		ranked.scores[position] = ranked.scores[position-1]
		position--
	}
	ranked.indexes[position] = index
	ranked.scores[position] = score
}

// Learn implements Policy. It records that the target now has all blocks of the
// prompt. It also adjusts the retention estimate: the index was right about blocks
// that the answer reports as cached, and wrong about the others.
func (policy *PrefixAware) Learn(state *State, request *Request, cached int, now time.Time) {
	clock := policy.index.millis(now)
	cachedBlocks := cached / prefix.BlockTokens
	state.observeCached(cached, request.PromptTokens)
	for level, hash := range request.Chain {
		previous := policy.index.recordHolder(hash, state, clock)
		if previous != 0 {
			age := time.Duration(clock-previous) * time.Millisecond
			state.observeRetention(age, level < cachedBlocks)
		}
	}
}

// Matched implements Policy.
func (policy *PrefixAware) Matched(state *State, request *Request, now time.Time) int {
	clock := policy.index.millis(now)
	for level := len(request.Chain) - 1; level >= 0; level-- {
		for _, holder := range policy.index.holdersOf(request.Chain[level]) {
			if holder.valid(state, clock) {
				return (level + 1) * prefix.BlockTokens
			}
		}
	}
	return 0
}
