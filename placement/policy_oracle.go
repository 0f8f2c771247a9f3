package placement

import (
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// Caches knows what targets really hold and how busy they really are. Only a
// bench can have it.
type Caches interface {
	// Match returns the cached tokens of a chain at a target.
	Match(target string, chain []prefix.Hash) int
	// Backlog returns the time that new work waits at a target.
	Backlog(target string) time.Duration
}

// Oracle is the limit for other policies: it sees the caches.
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
		pending := time.Duration(state.pending.Load()) * defaultPrefill
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
