// Package placement decides which target runs a request.
//
// Every VM computes the same home targets for a prefix by rendezvous hashing, so
// that VMs agree without exchanging messages. Among the homes and the targets
// expected to have the prefix cached, the policy chooses the one with the least
// estimated time to first token: its wait plus the time to compute the tokens that
// it has not cached. The index of cached blocks is bounded in memory and corrected
// by what each answer reports. A new incarnation or new weights of a target
// invalidate all that is recorded of its cache.
//
// The package does no I/O and takes the time as an argument.
// docs/design/placement.md compares the alternatives.
//
// # Usage
//
//	table := placement.NewTable()
//	states := []*placement.State{table.State("engine-1", "zone-a")}
//	pool := placement.NewPool(states)
//	policy := placement.NewPrefixAware(placement.DefaultIndexEntries)
//	state := policy.Choose(pool, &request, now)
//	flight := state.Begin(uncachedTokens, now)
//	...
//	flight.FirstToken(now)
//	flight.End()
//	policy.Learn(state, &request, cachedTokens, now)
package placement

import (
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// Request holds the properties of a request by which a policy chooses.
type Request struct {
	// Seed is the hash from which the chain starts.
	Seed prefix.Hash
	// Boundary is the number of full blocks before the request's last message,
	// 0 when the request has no such structure.
	Boundary int
	// Chain holds the hashes of the prompt's full blocks.
	Chain []prefix.Hash
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// Zone is the availability zone of the VM.
	Zone string
	// Tried holds the targets that failed this request or must not run it.
	Tried []*State
}

func (request *Request) tried(state *State) bool {
	for _, tried := range request.Tried {
		if tried == state {
			return true
		}
	}
	return false
}

// Policy chooses targets. Implementations are safe for concurrent use.
type Policy interface {
	// Choose returns the target for a request, or nil when none is usable.
	Choose(pool *Pool, request *Request, now time.Time) *State
	// Learn records that a target answered and how many prompt tokens it had cached.
	Learn(state *State, request *Request, cached int, now time.Time)
	// Matched returns how many prompt tokens a target is expected to have cached.
	Matched(state *State, request *Request, now time.Time) int
}

// Pool holds the targets that serve one model at one weights version.
type Pool struct {
	states []*State
	seeds  []uint64
	byID   []int32 // index of a state by its id, or -1
}

// States returns the targets of the pool.
func (pool *Pool) States() []*State {
	return pool.states
}

// Usable returns the number of targets that may get requests.
func (pool *Pool) Usable(now time.Time) int {
	count := 0
	for _, state := range pool.states {
		if state.Usable(now) {
			count++
		}
	}
	return count
}

// NewPool returns a pool of the states.
func NewPool(states []*State) *Pool {
	pool := &Pool{states: states, seeds: make([]uint64, len(states))}
	for i, state := range states {
		pool.seeds[i] = state.seed
		for len(pool.byID) <= int(state.id) {
			pool.byID = append(pool.byID, -1)
		}
		pool.byID[state.id] = int32(i)
	}
	return pool
}

// Table holds one State for each target, which all of its pools share. It is
// safe for concurrent use.
type Table struct {
	mu     sync.Mutex // guards states and nextID
	states map[string]*State
	nextID uint16
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{states: map[string]*State{}}
}

// State returns the state of a target and creates it on first use.
func (table *Table) State(name, zone string) *State {
	table.mu.Lock()
	defer table.mu.Unlock()
	state, ok := table.states[name]
	if !ok {
		table.nextID++
		state = newState(table.nextID, name, zone)
		table.states[name] = state
	}
	return state
}

// Retain removes the targets that are not in names.
func (table *Table) Retain(names map[string]bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for name := range table.states {
		if !names[name] {
			delete(table.states, name)
		}
	}
}

// All returns the states of all targets.
func (table *Table) All() []*State {
	table.mu.Lock()
	defer table.mu.Unlock()
	states := make([]*State, 0, len(table.states))
	for _, state := range table.states {
		states = append(states, state)
	}
	return states
}
