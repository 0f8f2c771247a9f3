package placement

import (
	"sync/atomic"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// defaultPrefill is the assumed prefill time until a target's speed is observed.
	defaultPrefill = 20 * time.Microsecond // per token
	// runningCost is what one running request adds to the wait of the next.
	runningCost = 20 * time.Microsecond
	// reportHalfLife is the half-life of the weight of a load report.
	reportHalfLife = 150 * time.Millisecond
	// minBackoff is how long a target gets no requests after its first failure; the
	// time doubles with each further failure up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// trialInterval is the time between two trial requests to a failed target.
	trialInterval = 500 * time.Millisecond
	// defaultRetention is how long a block is assumed to stay cached.
	defaultRetention = 20 * time.Second
	// shareUnit is the value of State.uncachedShare that stands for all tokens.
	shareUnit    = 1024
	minRetention = 500 * time.Millisecond
	maxRetention = 10 * time.Minute
)

// State is one VM's record of a target. It is safe for concurrent use without
// locks.
type State struct {
	Name string
	Zone string

	id    uint16
	seed  uint64
	epoch atomic.Uint32 // incremented to invalidate all records of the target's cache

	incarnation   atomic.Uint64 // digest of the last one observed
	draining      atomic.Bool
	inFlight      atomic.Int64
	pendingTokens atomic.Int64 // tokens sent and not yet computed

	reportedQueue   atomic.Int64 // tokens queued for other VMs
	reportedRunning atomic.Int64
	reportedAt      atomic.Int64 // Unix nanoseconds

	failures        atomic.Int64
	backoffUntil    atomic.Int64 // Unix nanoseconds; 0 when healthy
	prefillPerToken atomic.Int64 // nanoseconds
	retention       atomic.Int64 // nanoseconds
	uncachedShare   atomic.Int64 // share of prompt tokens that are not cached, in 1/1024
}

func newState(id uint16, name, zone string) *State {
	state := &State{Name: name, Zone: zone, id: id, seed: prefix.Digest(name)}
	state.prefillPerToken.Store(int64(defaultPrefill))
	state.retention.Store(int64(defaultRetention))
	state.uncachedShare.Store(shareUnit)
	return state
}

// Usable reports whether the target may get new requests.
func (state *State) Usable(now time.Time) bool {
	if state.draining.Load() {
		return false
	}
	until := state.backoffUntil.Load()
	return until == 0 || now.UnixNano() >= until
}

// claim reserves the right to send a request. After a failure and its backoff, it
// admits one trial request per trialInterval until the target answers.
func (state *State) claim(now time.Time) bool {
	until := state.backoffUntil.Load()
	if until == 0 {
		return true
	}
	if now.UnixNano() < until {
		return false
	}
	return state.backoffUntil.CompareAndSwap(until, now.Add(trialInterval).UnixNano())
}

// SetDraining sets whether the target is draining.
func (state *State) SetDraining(draining bool) {
	state.draining.Store(draining)
}

// Draining reports whether the target is draining.
func (state *State) Draining() bool {
	return state.draining.Load()
}

// InFlight returns the number of this VM's requests at the target.
func (state *State) InFlight() int {
	return int(state.inFlight.Load())
}

// RecordFailure records that the target refused or broke a connection.
func (state *State) RecordFailure(now time.Time) {
	failures := state.failures.Add(1)
	backoff := maxBackoff
	if failures < 6 { // later ones exceed maxBackoff anyway, and the shift must not overflow
		backoff = min(minBackoff<<(failures-1), maxBackoff)
	}
	state.backoffUntil.Store(now.Add(backoff).UnixNano())
}

// RecordAnswer records that the target answered, and resets its backoff.
func (state *State) RecordAnswer() {
	if state.failures.Load() == 0 && state.backoffUntil.Load() == 0 {
		return
	}
	state.failures.Store(0)
	state.backoffUntil.Store(0)
}

// Healthy reports whether the target has not failed since it last answered.
func (state *State) Healthy() bool {
	return state.backoffUntil.Load() == 0
}

// ObserveIncarnation records the incarnation that answered. A new incarnation has
// an empty cache: ObserveIncarnation then invalidates the records of the target's
// cache and returns true.
func (state *State) ObserveIncarnation(incarnation string) bool {
	if incarnation == "" {
		return false
	}
	digest := prefix.Digest(incarnation)
	previous := state.incarnation.Swap(digest)
	if previous == digest || previous == 0 {
		return false
	}
	state.InvalidateCache()
	return true
}

// FromOtherProgram reports whether an answer comes from another program that took
// over the address of a stopped target: the answer carries no incarnation although
// an earlier answer of the target did.
func (state *State) FromOtherProgram(incarnation string) bool {
	return incarnation == "" && state.incarnation.Load() != 0
}

// InvalidateCache invalidates all records of the target's cache and discards the
// queue that it reported.
func (state *State) InvalidateCache() {
	state.epoch.Add(1)
	state.reportedQueue.Store(0)
}

// RecordLoad applies a load report: the numbers of prompt tokens queued and of requests
// running at the target, including those of other VMs.
func (state *State) RecordLoad(queuedTokens, running int, now time.Time) {
	others := max(0, int64(queuedTokens)-state.pendingTokens.Load())
	state.reportedQueue.Store(others)
	state.reportedRunning.Store(max(0, int64(running)-state.inFlight.Load()))
	state.reportedAt.Store(now.UnixNano())
}

// Wait estimates how long a new request would wait before its prefill begins.
func (state *State) Wait(now time.Time) time.Duration {
	queued := state.pendingTokens.Load()
	if reported := state.reportedQueue.Load(); reported > 0 {
		age := now.UnixNano() - state.reportedAt.Load()
		halvings := age / int64(reportHalfLife)
		if halvings < 32 {
			queued += reported * state.uncachedShare.Load() / shareUnit >> max(0, halvings)
		}
	}
	running := state.inFlight.Load() + state.reportedRunning.Load()
	return time.Duration(queued*state.prefillPerToken.Load()) + time.Duration(running)*runningCost
}

// PrefillTime estimates the time to compute a number of tokens.
func (state *State) PrefillTime(tokens int) time.Duration {
	return time.Duration(int64(tokens) * state.prefillPerToken.Load())
}

// minObservedTokens is the shortest prefill from which a target's speed is derived.
const minObservedTokens = 500

// observeSpeed adjusts the estimated prefill time per token. It moves half-way to
// a shorter observation, since waiting can only lengthen an observation, and only
// slowly to a longer one.
func (state *State) observeSpeed(tokens int, took time.Duration) {
	if tokens < minObservedTokens {
		return
	}
	observed := int64(took) / int64(tokens)
	known := state.prefillPerToken.Load()
	if observed < known {
		state.prefillPerToken.Store((known + observed) / 2)
		return
	}
	state.prefillPerToken.Store(known + min(observed-known, known)/64)
}

// observeCached adjusts the estimated share of prompt tokens that are not cached,
// which converts the reported queue into tokens to compute.
func (state *State) observeCached(cached, prompt int) {
	if prompt <= 0 {
		return
	}
	observed := int64(max(0, prompt-cached)) * shareUnit / int64(prompt)
	known := state.uncachedShare.Load()
	state.uncachedShare.Store(known + (observed-known)/8)
}

// observeRetention adjusts the estimate of how long blocks stay cached, given the
// age of one block and whether it was still cached.
func (state *State) observeRetention(age time.Duration, hit bool) {
	known := time.Duration(state.retention.Load())
	switch {
	case hit && age > known:
		known = age
	case !hit && age < known:
		known = (known + age) / 2
	default:
		return
	}
	state.retention.Store(int64(min(max(known, minRetention), maxRetention)))
}

// Flight is one request in flight at a target. Its methods are called by one
// goroutine.
type Flight struct {
	state      *State
	tokens     int64
	started    time.Time
	unqueued   bool // nothing else was queued when it began
	prefilling bool
}

// Begin counts a request that is sent now; tokens is the expected number of
// tokens to compute.
func (state *State) Begin(tokens int, now time.Time) Flight {
	queuedBefore := state.pendingTokens.Add(int64(tokens)) - int64(tokens)
	state.inFlight.Add(1)
	unqueued := queuedBefore == 0 && state.reportedQueue.Load() == 0
	return Flight{state: state, tokens: int64(tokens), started: now, unqueued: unqueued, prefilling: true}
}

// FirstToken records that the prefill is done.
func (flight *Flight) FirstToken(now time.Time) {
	if !flight.prefilling {
		return
	}
	flight.prefilling = false
	flight.state.pendingTokens.Add(-flight.tokens)
	if flight.unqueued {
		flight.state.observeSpeed(int(flight.tokens), now.Sub(flight.started))
	}
}

// End records that the request has ended.
func (flight *Flight) End() {
	if flight.prefilling {
		flight.prefilling = false
		flight.state.pendingTokens.Add(-flight.tokens)
	}
	flight.state.inFlight.Add(-1)
}
