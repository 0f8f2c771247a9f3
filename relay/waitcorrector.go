package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// waitDecayTime is the time constant with which observed waits decay.
	waitDecayTime = 2 * time.Second
	// maxWaitCorrection is the largest factor by which an estimate is corrected.
	// priorWait, in seconds, is added to both the estimated and the observed waits,
	// like a wait that was estimated correctly: while few requests wait, the
	// observed times say nothing about the quality of the estimates.
	maxWaitCorrection = 4
	priorWait         = 1.0
	// baseFirstToken is the time to the first token of a prompt that does not wait,
	// without the prefill of its unshared tokens, which takes prefillPerToken per
	// token.
	baseFirstToken  = 25 * time.Millisecond
	prefillPerToken = 18 * time.Microsecond
)

// waitCorrector scales estimates of waits by recently observed waits. The estimates
// leave out unknown work, such as prefixes that must be prefilled again after new
// weights. It is safe for concurrent use.
type waitCorrector struct {
	mu        sync.Mutex // guards the fields below
	estimated float64    // seconds, decaying
	observed  float64
	updated   time.Time
}

// observe records the wait estimate of a request, the time to its first token and
// the number of its unshared tokens.
func (waitCorrector *waitCorrector) observe(estimated, firstToken time.Duration, unsharedTokens int, now time.Time) {
	observed := firstToken - baseFirstToken - time.Duration(unsharedTokens)*prefillPerToken
	waitCorrector.mu.Lock()
	defer waitCorrector.mu.Unlock()
	waitCorrector.decay(now)
	waitCorrector.estimated += estimated.Seconds()
	waitCorrector.observed += max(0, observed.Seconds())
}

// correct returns an estimate scaled up by the ratio in which recent estimates were
// too low.
func (waitCorrector *waitCorrector) correct(estimated time.Duration, now time.Time) time.Duration {
	waitCorrector.mu.Lock()
	defer waitCorrector.mu.Unlock()
	waitCorrector.decay(now)
	factor := min(maxWaitCorrection, max(1, (waitCorrector.observed+priorWait)/(waitCorrector.estimated+priorWait)))
	return time.Duration(float64(estimated) * factor)
}

func (waitCorrector *waitCorrector) decay(now time.Time) {
	if elapsed := now.Sub(waitCorrector.updated); elapsed > 0 {
		remaining := math.Exp(-elapsed.Seconds() / waitDecayTime.Seconds())
		waitCorrector.estimated *= remaining
		waitCorrector.observed *= remaining
		waitCorrector.updated = now
	}
}
