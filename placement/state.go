package placement

import (
	"sync/atomic"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// defaultPrefill is assumed until a target's speed was observed.
	defaultPrefill = 20 * time.Microsecond // a token
	// runningCost is what one running request adds to the wait of the next.
	runningCost = 20 * time.Microsecond
	// reportHalfLife is how fast a load report loses its meaning.
	reportHalfLife = 150 * time.Millisecond
	// firstPause is how long a target rests after its first failure; it
	// doubles with each further one up to lastPause.
	firstPause = 100 * time.Millisecond
	lastPause  = 3 * time.Second
	// probeInterval is the time between two trial requests.
	probeInterval = 500 * time.Millisecond
	// defaultRetention is how long a block is assumed to stay cached.
	defaultRetention = 20 * time.Second
	// freshUnit is the unit of State.fresh.
	freshUnit    = 1024
	minRetention = 500 * time.Millisecond
	maxRetention = 10 * time.Minute
)

// State is what a VM knows of one target. It is safe for concurrent use and
// holds no locks.
type State struct {
	Name string
	Zone string

	id    uint16
	seed  uint64
	epoch atomic.Uint32 // changes when all belief about the target is void

	incarnation atomic.Uint64 // digest of the last one seen
	draining    atomic.Bool
	inFlight    atomic.Int64
	pending     atomic.Int64 // tokens sent and not yet computed

	reportedQueue   atomic.Int64 // tokens queued for other VMs
	reportedRunning atomic.Int64
	reportedAt      atomic.Int64 // Unix nanoseconds

	failures  atomic.Int64
	restUntil atomic.Int64 // Unix nanoseconds; 0 when healthy
	prefill   atomic.Int64 // nanoseconds a token
	retention atomic.Int64 // nanoseconds
	fresh     atomic.Int64 // share of prompt tokens that are not cached, in 1/1024
}

func newState(id uint16, name, zone string) *State {
	state := &State{Name: name, Zone: zone, id: id, seed: prefix.Digest(name)}
	state.prefill.Store(int64(defaultPrefill))
	state.retention.Store(int64(defaultRetention))
	state.fresh.Store(freshUnit)
	return state
}

// Usable reports whether the target may get new work.
func (state *State) Usable(now time.Time) bool {
	if state.draining.Load() {
		return false
	}
	rest := state.restUntil.Load()
	return rest == 0 || now.UnixNano() >= rest
}

// claim takes the right to send a request. After failures, one request in each
// probe interval may try the target again.
func (state *State) claim(now time.Time) bool {
	rest := state.restUntil.Load()
	if rest == 0 {
		return true
	}
	if now.UnixNano() < rest {
		return false
	}
	return state.restUntil.CompareAndSwap(rest, now.Add(probeInterval).UnixNano())
}

// SetDraining says whether the target is leaving.
func (state *State) SetDraining(draining bool) {
	state.draining.Store(draining)
}

// Draining reports whether the target is leaving.
func (state *State) Draining() bool {
	return state.draining.Load()
}

// InFlight returns the number of requests of this VM at the target.
func (state *State) InFlight() int {
	return int(state.inFlight.Load())
}

// Failed notes that the target broke a connection or refused it.
func (state *State) Failed(now time.Time) {
	failures := state.failures.Add(1)
	pause := lastPause
	if failures < 6 {
		pause = min(firstPause<<(failures-1), lastPause)
	}
	state.restUntil.Store(now.Add(pause).UnixNano())
}

// Answered notes a sign of life.
func (state *State) Answered() {
	if state.failures.Load() == 0 && state.restUntil.Load() == 0 {
		return
	}
	state.failures.Store(0)
	state.restUntil.Store(0)
}

// Healthy reports whether the target has not failed since it last answered.
func (state *State) Healthy() bool {
	return state.restUntil.Load() == 0
}

// Identify notes the incarnation that answered. A new one has an empty cache:
// it returns true when all belief about the target was dropped.
func (state *State) Identify(incarnation string) bool {
	if incarnation == "" {
		return false
	}
	digest := prefix.Digest(incarnation)
	former := state.incarnation.Swap(digest)
	if former == digest || former == 0 {
		return false
	}
	state.Forget()
	return true
}

// Stranger reports whether an answer is another program's, which took over the
// address of a target that is gone: it names no incarnation, and the target did.
func (state *State) Stranger(incarnation string) bool {
	return incarnation == "" && state.incarnation.Load() != 0
}

// Forget drops all belief about the target.
func (state *State) Forget() {
	state.epoch.Add(1)
	state.reportedQueue.Store(0)
}

// Report takes a load report: the prompt tokens queued at the target and the
// requests running there, for all VMs.
func (state *State) Report(queuedTokens, running int, now time.Time) {
	others := max(0, int64(queuedTokens)-state.pending.Load())
	state.reportedQueue.Store(others)
	state.reportedRunning.Store(max(0, int64(running)-state.inFlight.Load()))
	state.reportedAt.Store(now.UnixNano())
}

// Wait estimates how long new work would wait before its prefill begins.
func (state *State) Wait(now time.Time) time.Duration {
	queued := state.pending.Load()
	if reported := state.reportedQueue.Load(); reported > 0 {
		age := now.UnixNano() - state.reportedAt.Load()
		halvings := age / int64(reportHalfLife)
		if halvings < 32 {
			queued += reported * state.fresh.Load() / freshUnit >> max(0, halvings)
		}
	}
	running := state.inFlight.Load() + state.reportedRunning.Load()
	return time.Duration(queued*state.prefill.Load()) + time.Duration(running)*runningCost
}

// PrefillTime estimates the computation of a number of tokens.
func (state *State) PrefillTime(tokens int) time.Duration {
	return time.Duration(int64(tokens) * state.prefill.Load())
}

// minSpeedTokens is the shortest computation that tells a target's speed.
const minSpeedTokens = 500

// observeSpeed follows the target's prefill speed: down at once, since waiting
// only ever lengthens an observation, and up slowly.
func (state *State) observeSpeed(tokens int, took time.Duration) {
	if tokens < minSpeedTokens {
		return
	}
	observed := int64(took) / int64(tokens)
	known := state.prefill.Load()
	if observed < known {
		state.prefill.Store((known + observed) / 2)
		return
	}
	state.prefill.Store(known + min(observed-known, known)/64)
}

// observeHit follows the share of prompt tokens that the target computes, which
// turns the queue that it reports into work.
func (state *State) observeHit(cached, prompt int) {
	if prompt <= 0 {
		return
	}
	observed := int64(max(0, prompt-cached)) * freshUnit / int64(prompt)
	known := state.fresh.Load()
	state.fresh.Store(known + (observed-known)/8)
}

// retain follows how long blocks stay cached, from one block's age and whether
// it was still there.
func (state *State) retain(age time.Duration, hit bool) {
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

// Flight is one request at a target. Methods are called by one goroutine.
type Flight struct {
	state   *State
	tokens  int64
	started time.Time
	alone   bool
	waiting bool
}

// Begin counts a request that is sent now; tokens is the prefill expected.
func (state *State) Begin(tokens int, now time.Time) Flight {
	ahead := state.pending.Add(int64(tokens)) - int64(tokens)
	state.inFlight.Add(1)
	alone := ahead == 0 && state.reportedQueue.Load() == 0
	return Flight{state: state, tokens: int64(tokens), started: now, alone: alone, waiting: true}
}

// FirstToken notes that the prefill is done.
func (flight *Flight) FirstToken(now time.Time) {
	if !flight.waiting {
		return
	}
	flight.waiting = false
	flight.state.pending.Add(-flight.tokens)
	if flight.alone {
		flight.state.observeSpeed(int(flight.tokens), now.Sub(flight.started))
	}
}

// End notes that the request left the target.
func (flight *Flight) End() {
	if flight.waiting {
		flight.waiting = false
		flight.state.pending.Add(-flight.tokens)
	}
	flight.state.inFlight.Add(-1)
}
