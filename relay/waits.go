package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// waitsFade is the time constant with which observed waits are forgotten.
	waitsFade = 2 * time.Second
	// mostOff bounds the correction of an estimate, and prior, in seconds, is what
	// is taken to have been estimated rightly: while little waits, what is observed
	// says nothing of the estimates.
	mostOff = 4
	prior   = 1.0
	// usualRead is the time to a first token of a prompt that waits for nothing,
	// beside the reading of its own tokens, which takes ownRead a token.
	usualRead = 25 * time.Millisecond
	ownRead   = 18 * time.Microsecond
)

// waits corrects estimates of waiting by what was observed lately: what is
// estimated leaves out what is not known, such as prefixes that have to be read
// again after new weights. It is safe for concurrent use.
type waits struct {
	mu        sync.Mutex // guards the fields below
	estimated float64    // seconds, fading
	observed  float64
	updated   time.Time
}

// note takes the estimate of a request and the time to its first token.
func (waits *waits) note(estimated, first time.Duration, tokens int, now time.Time) {
	observed := first - usualRead - time.Duration(tokens)*ownRead
	waits.mu.Lock()
	defer waits.mu.Unlock()
	waits.fade(now)
	waits.estimated += estimated.Seconds()
	waits.observed += max(0, observed.Seconds())
}

// corrected returns an estimate, scaled up by how much estimates were too low.
func (waits *waits) corrected(estimated time.Duration, now time.Time) time.Duration {
	waits.mu.Lock()
	defer waits.mu.Unlock()
	waits.fade(now)
	off := min(mostOff, max(1, (waits.observed+prior)/(waits.estimated+prior)))
	return time.Duration(float64(estimated) * off)
}

func (waits *waits) fade(now time.Time) {
	if elapsed := now.Sub(waits.updated); elapsed > 0 {
		left := math.Exp(-elapsed.Seconds() / waitsFade.Seconds())
		waits.estimated *= left
		waits.observed *= left
		waits.updated = now
	}
}
