package relay

import (
	"testing"
	"time"
)

func TestCorrectScalesUpLowEstimates(t *testing.T) {
	var waitCorrector waitCorrector
	now := time.Unix(1_700_000_000, 0)
	if got := waitCorrector.correct(100*time.Millisecond, now); got != 100*time.Millisecond {
		t.Errorf("got %v without any observation, want the estimate", got)
	}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		waitCorrector.observe(100*time.Millisecond, 325*time.Millisecond, 0, now)
	}
	if got := waitCorrector.correct(100*time.Millisecond, now); got < 250*time.Millisecond || got > 310*time.Millisecond {
		t.Errorf("got %v after waits of 300 ms, want about 300 ms", got)
	}
	for range 200 { // the queue is empty
		now = now.Add(50 * time.Millisecond)
		waitCorrector.observe(10*time.Millisecond, 30*time.Millisecond, 0, now)
	}
	if got := waitCorrector.correct(100*time.Millisecond, now); got > 130*time.Millisecond {
		t.Errorf("got %v once requests waited as estimated, want about the estimate", got)
	}
}

// While no request waits, first tokens that are slightly later than usual say
// nothing about the estimates. A short queue must not be treated as a long one.
func TestCorrectKeepsEstimatesWithoutQueue(t *testing.T) {
	var waitCorrector waitCorrector
	now := time.Unix(1_700_000_000, 0)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		waitCorrector.observe(0, 40*time.Millisecond, 0, now)
	}
	if got := waitCorrector.correct(100*time.Millisecond, now); got > 150*time.Millisecond {
		t.Errorf("got %v without a queue, want about the estimate", got)
	}
}
