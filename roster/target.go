package roster

import (
	"math"
	"net/netip"
	"time"
)

const (
	// movedRest is how long a target rests whose instance or weights were not the
	// expected ones; the platform's lists tell more by then.
	movedRest = 250 * time.Millisecond
	// quietTime is how long a target with work may send nothing until it is asked
	// whether it still accepts connections, and quietPause the time between two
	// such questions.
	quietTime  = 250 * time.Millisecond
	quietPause = 500 * time.Millisecond
	// firstProbe is when an unreachable target is probed again; the pause doubles
	// up to lastProbe.
	firstProbe = 100 * time.Millisecond
	lastProbe  = time.Second
	// maxDoublings bounds the exponent of the pause.
	maxDoublings = 8
	// trialPause is the time between two requests that try a target which failed
	// too many.
	trialPause = 500 * time.Millisecond
	// outcomeWeight is how much one outcome moves the failure share: about
	// sixteen requests count.
	outcomeWeight = 1.0 / 16
	// greyShare is the failure share from which on a target is ejected, unless no
	// other is left: well above what a service's own failures reach by chance.
	greyShare = 0.4
	// greyRest is how long an ejected target rests before one request tries it.
	greyRest = time.Second
	// loadTime is how long a load report counts in full.
	loadTime = 250 * time.Millisecond
	// loadFades is the time constant with which a reported queue is forgotten: it
	// lasts while as much comes as is done. After forgetLoad it counts no more.
	loadFades  = time.Second
	forgetLoad = 5 * time.Second
)

// Load is what a target says of itself in an answer.
type Load struct {
	Running int
	Waiting int
}

// rolling is the weights that a target is being given.
type rolling struct {
	model   string
	weights uint64
	until   time.Time
}

// Target is one target. All fields are guarded by the roster's lock.
type Target struct {
	entry Entry
	seed  uint64

	removed bool
	lapsed  time.Time // until when a lapsed registration may come back
	rolling rolling

	inFlight int
	// prefill is the prompt tokens sent and not yet read.
	prefill int

	load   Load
	loadAt time.Time
	// sinceLoad is the requests begun since the load was reported.
	sinceLoad int
	// told is the prompt tokens that other VMs sent and that were not read, as
	// they told last.
	told map[string]backlog

	// unreachable targets accept no connections, as far as is known; probes
	// bring them back.
	unreachable bool
	misses      int  // probes in a row that failed
	doubtful    bool // its weights or its instance are not the expected ones
	probeAt     time.Time
	restUntil   time.Time // of a doubtful target
	greyUntil   time.Time // of one that failed too many
	// failed is the share of recent requests that failed.
	failed float64
	// heard is when the target last sent a byte.
	heard time.Time
}

func newTarget(entry Entry) *Target {
	return &Target{entry: entry, seed: seed(entry.ID)}
}

// take notes what a registration says, keeping newer weights versions.
func (target *Target) take(entry Entry, now time.Time) {
	known := target.entry.Models
	draining := target.entry.Draining
	target.entry = entry
	target.entry.Models = append([]Model(nil), entry.Models...)
	target.entry.Draining = entry.Draining || draining
	for _, model := range known {
		target.learn(model.Name, model.Weights)
	}
	if target.heard.IsZero() {
		target.heard = now
	}
}

// learn notes a weights version; versions only grow.
func (target *Target) learn(model string, weights uint64) {
	for i := range target.entry.Models {
		known := &target.entry.Models[i]
		if known.Name != model || known.Weights >= weights {
			continue
		}
		known.Weights = weights
	}
}

// weights returns the version that the target has of a model.
func (target *Target) weights(model string) (uint64, bool) {
	for _, known := range target.entry.Models {
		if known.Name == model {
			return known.Weights, true
		}
	}
	return 0, false
}

// outcome counts how a request ended.
func (target *Target) outcome(failed bool, now time.Time) {
	value := 0.0
	if failed {
		value = 1
	}
	target.failed += (value - target.failed) * outcomeWeight
	if failed && target.failed > greyShare {
		target.greyUntil = now.Add(greyRest)
	}
}

// usable reports whether the target may get new work, but for its rest.
func (target *Target) usable(now time.Time) bool {
	return !target.removed && !target.entry.Draining && !target.unreachable && !target.takesWeights(now)
}

// takesWeights reports whether the target is being given weights that it is not
// known to have yet.
func (target *Target) takesWeights(now time.Time) bool {
	if !now.Before(target.rolling.until) {
		return false
	}
	weights, ok := target.weights(target.rolling.model)
	return ok && weights < target.rolling.weights
}

// wait estimates, in microseconds, how long the target reads other prompts before
// a new one: what all VMs sent, or what it reports itself.
func (target *Target) wait(now time.Time) int {
	tokens := target.prefill
	for _, told := range target.told {
		tokens += told.left(now)
	}
	age := now.Sub(target.loadAt)
	reported := 0.0
	if age < forgetLoad {
		reported = float64(target.load.Waiting*waitingCost) * math.Exp(-age.Seconds()/loadFades.Seconds())
	}
	return max(tokens*readCost, int(reported))
}

// busy estimates the requests at the target, of all VMs.
func (target *Target) busy(now time.Time) int {
	if now.Sub(target.loadAt) > loadTime {
		return target.inFlight
	}
	return max(target.inFlight, target.load.Running+target.load.Waiting+target.sinceLoad)
}

// Seat is a request's place at a target.
type Seat struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Weights is the version of the model that the target has; 0 for services.
	Weights uint64
	// Wait estimates how long the target reads other prompts first.
	Wait time.Duration
	// Home is the target that should hold the prompt's prefix; the zero value
	// when it is this one.
	Home netip.AddrPort

	roster  *Roster
	target  *Target
	tokens  int
	reading bool
	ended   bool
}

// Read notes that the target has read the prompt.
func (seat *Seat) Read(now time.Time) {
	seat.roster.mu.Lock()
	defer seat.roster.mu.Unlock()
	seat.read()
	seat.target.heard = now
}

func (seat *Seat) read() {
	if seat.reading {
		seat.reading = false
		seat.target.prefill -= seat.tokens
	}
}

// Heard notes that the target sent something.
func (seat *Seat) Heard(now time.Time) {
	seat.roster.mu.Lock()
	defer seat.roster.mu.Unlock()
	seat.target.heard = now
}

// Answered notes an answer, its load report and the weights that made it.
func (seat *Seat) Answered(load Load, loaded bool, now time.Time) {
	seat.roster.mu.Lock()
	defer seat.roster.mu.Unlock()
	target := seat.target
	target.heard = now
	target.unreachable, target.misses = false, 0
	if loaded {
		target.load, target.loadAt, target.sinceLoad = load, now, 0
	}
}

// Succeeded counts a good outcome.
func (seat *Seat) Succeeded(now time.Time) {
	seat.roster.mu.Lock()
	defer seat.roster.mu.Unlock()
	seat.target.outcome(false, now)
}

// Failed counts a failure. A target that may be unreachable gets no new work
// until a probe reaches it.
func (seat *Seat) Failed(unreachable bool, now time.Time) {
	seat.roster.mu.Lock()
	defer seat.roster.mu.Unlock()
	seat.target.outcome(true, now)
	if unreachable {
		seat.target.lose(now)
	}
}

// Lost reports whether the target is unreachable or another process by now.
func (seat *Seat) Lost() bool {
	seat.roster.mu.Lock()
	defer seat.roster.mu.Unlock()
	return seat.target.unreachable
}

// Moved notes that another target answered at the address, or that the target's
// weights are not those that were expected: it rests until its report or the
// platform tells more.
func (seat *Seat) Moved(now time.Time) {
	seat.roster.mu.Lock()
	defer seat.roster.mu.Unlock()
	seat.target.restUntil = now.Add(movedRest)
	if !seat.target.doubtful {
		seat.target.doubtful, seat.target.probeAt = true, now
	}
}

// Silent reports for how long the target has sent nothing to any request.
func (seat *Seat) Silent(now time.Time) time.Duration {
	seat.roster.mu.Lock()
	defer seat.roster.mu.Unlock()
	return now.Sub(seat.target.heard)
}

// End gives the place back. It may be called more than once.
func (seat *Seat) End() {
	if seat.ended {
		return
	}
	seat.ended = true
	seat.roster.mu.Lock()
	defer seat.roster.mu.Unlock()
	seat.read()
	seat.target.inFlight--
}
