package placement

import (
	"sync/atomic"
	"time"
)

// stateless is embedded by policies that do not track caches.
type stateless struct{}

// Learn implements Policy.
func (stateless) Learn(*State, *Request, int, time.Time) {}

// Matched implements Policy.
func (stateless) Matched(*State, *Request, time.Time) int { return 0 }

// RoundRobin is a baseline: it chooses the targets in turn.
type RoundRobin struct {
	stateless
	counter atomic.Uint64
}

// Choose implements Policy.
func (policy *RoundRobin) Choose(pool *Pool, request *Request, now time.Time) *State {
	count := uint64(len(pool.states))
	first := policy.counter.Add(1)
	for i := range count {
		state := pool.states[(first+i)%count]
		if state.Usable(now) && !request.tried(state) && state.claim(now) {
			return state
		}
	}
	return nil
}

// LeastLoaded is a baseline: it chooses the target with the shortest estimated wait.
type LeastLoaded struct {
	stateless
}

// Choose implements Policy.
func (policy *LeastLoaded) Choose(pool *Pool, request *Request, now time.Time) *State {
	return leastLoaded(pool, request, now)
}

func leastLoaded(pool *Pool, request *Request, now time.Time) *State {
	var chosen *State
	var least time.Duration
	for _, state := range pool.states {
		if !state.Usable(now) || request.tried(state) {
			continue
		}
		if wait := state.Wait(now); chosen == nil || wait < least {
			chosen, least = state, wait
		}
	}
	if chosen == nil || !chosen.claim(now) {
		return nil
	}
	return chosen
}

// HashOnly is a baseline: it chooses the first usable home of the prompt's first block.
type HashOnly struct {
	stateless
}

// Choose implements Policy.
func (policy *HashOnly) Choose(pool *Pool, request *Request, now time.Time) *State {
	key := uint64(request.Seed)
	if len(request.Chain) > 0 {
		key = uint64(request.Chain[0])
	}
	ranked := rendezvousRank(pool.seeds, key)
	for _, index := range ranked.indexes[:ranked.count] {
		state := pool.states[index]
		if state.Usable(now) && !request.tried(state) && state.claim(now) {
			return state
		}
	}
	return leastLoaded(pool, request, now)
}
