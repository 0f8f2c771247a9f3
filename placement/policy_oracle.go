package placement

import (
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// Caches gives the actual caches and queues of targets. Only a bench can provide it.
type Caches interface {
	// Match returns the number of tokens of a chain that a target has cached.
	Match(target string, chain []prefix.Hash) int
	// Backlog returns how long new requests wait at a target.
	Backlog(target string) time.Duration
}

// Oracle is the upper bound for other policies: it reads the actual caches.
type Oracle struct {
	stateless
	// Caches must be set before use.
	Caches Caches
}

// Choose implements Policy.
func (policy *Oracle) Choose(pool *Pool, request *Request, now time.Time) *State {
	var chosen *State
	var least time.Duration
	for _, state := range pool.states {
		if !state.Usable(now) || request.tried(state) {
			continue
		}
		missing := request.PromptTokens - policy.Caches.Match(state.Name, request.Chain)
		pending := time.Duration(state.pendingTokens.Load()) * defaultPrefill
		wait := max(policy.Caches.Backlog(state.Name), pending)
		cost := wait + time.Duration(missing)*defaultPrefill
		if state.Zone != request.Zone {
			cost += zonePenalty
		}
		if chosen == nil || cost < least {
			chosen, least = state, cost
		}
	}
	if chosen == nil || !chosen.claim(now) {
		return nil
	}
	return chosen
}

// Matched implements Policy.
func (policy *Oracle) Matched(state *State, request *Request, _ time.Time) int {
	return policy.Caches.Match(state.Name, request.Chain)
}
