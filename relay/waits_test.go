package relay

import (
	"testing"
	"time"
)

func TestEstimatesThatWereTooLowAreScaledUp(t *testing.T) {
	var waits waits
	now := time.Unix(1_700_000_000, 0)
	if got := waits.corrected(100*time.Millisecond, now); got != 100*time.Millisecond {
		t.Errorf("got %v without any observation, want the estimate", got)
	}
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		waits.note(100*time.Millisecond, 325*time.Millisecond, 0, now)
	}
	if got := waits.corrected(100*time.Millisecond, now); got < 250*time.Millisecond || got > 310*time.Millisecond {
		t.Errorf("got %v after waits of 300 ms, want nearly that", got)
	}
	for range 200 { // the queue is gone
		now = now.Add(50 * time.Millisecond)
		waits.note(10*time.Millisecond, 30*time.Millisecond, 0, now)
	}
	if got := waits.corrected(100*time.Millisecond, now); got > 130*time.Millisecond {
		t.Errorf("got %v once requests waited as estimated, want about the estimate", got)
	}
}

// While nothing waits, first tokens that come a little later than usual say
// nothing of the estimates: a short queue must not be taken for a long one.
func TestCalmTrafficDoesNotScaleEstimates(t *testing.T) {
	var waits waits
	now := time.Unix(1_700_000_000, 0)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		waits.note(0, 40*time.Millisecond, 0, now)
	}
	if got := waits.corrected(100*time.Millisecond, now); got > 150*time.Millisecond {
		t.Errorf("got %v in calm traffic, want about the estimate", got)
	}
}
