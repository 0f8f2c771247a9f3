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
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		waits.note(100*time.Millisecond, 325*time.Millisecond, 0, now)
	}
	if got := waits.corrected(100*time.Millisecond, now); got < 290*time.Millisecond || got > 310*time.Millisecond {
		t.Errorf("got %v after waits of 300 ms, want about that", got)
	}
	for range 100 { // the queue is gone
		now = now.Add(50 * time.Millisecond)
		waits.note(10*time.Millisecond, 30*time.Millisecond, 0, now)
	}
	if got := waits.corrected(100*time.Millisecond, now); got > 130*time.Millisecond {
		t.Errorf("got %v once requests waited as estimated, want about the estimate", got)
	}
}
