package gateway

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// The bound for a target counts from the first version that replaced its own,
// also when others are named in quick succession.
func TestNamedTellsWhatWasKnownAtATime(t *testing.T) {
	weights := newWeights()
	weights.name("m", 2, after(2))
	weights.name("m", 3, after(5))
	weights.name("m", 4, after(8))
	for _, test := range []struct {
		at   float64
		want uint64
	}{{1, 0}, {2, 2}, {4, 2}, {5, 3}, {9, 4}} {
		if got := weights.Named("m", after(test.at)); got != test.want {
			t.Errorf("at %.0f s: got version %d, want %d", test.at, got, test.want)
		}
	}
	if got := weights.Named("other", after(9)); got != 0 {
		t.Errorf("got version %d of a model without any, want 0", got)
	}
}

// A VM that was started again finds the newest version alone and learns from
// others what was named before, and when.
func TestNamedLearnsEarlierTimesFromOthers(t *testing.T) {
	weights := newWeights()
	if !weights.name("m", 4, after(9)) {
		t.Error("got nothing new by the first version, want new")
	}
	if weights.name("m", 3, after(5)) || weights.name("m", 4, after(8)) {
		t.Error("got something new to roll out by older news, want nothing")
	}
	if got := weights.Named("m", after(5)); got != 3 {
		t.Errorf("got version %d at 5 s, want 3", got)
	}
	if got := weights.Named("m", after(8)); got != 4 {
		t.Errorf("got version %d at 8 s, want 4", got)
	}
	named, _ := weights.all()
	if len(named) != 1 || named[0].Version != 4 {
		t.Errorf("got %+v to roll out, want version 4 alone", named)
	}
}
