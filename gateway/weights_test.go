package gateway

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func secondsAfterStart(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// The time limit for a target starts when the first version replaces its own, even if
// further versions are named in quick succession.
func TestNamedReturnsVersionInForceAtTime(t *testing.T) {
	namedWeights := newNamedWeights()
	namedWeights.add("m", 2, secondsAfterStart(2))
	namedWeights.add("m", 3, secondsAfterStart(5))
	namedWeights.add("m", 4, secondsAfterStart(8))
	for _, test := range []struct {
		at   float64
		want uint64
	}{{1, 0}, {2, 2}, {4, 2}, {5, 3}, {9, 4}} {
		if got := namedWeights.Named("m", secondsAfterStart(test.at)); got != test.want {
			t.Errorf("at %.0f s: got version %d, want %d", test.at, got, test.want)
		}
	}
	if got := namedWeights.Named("other", secondsAfterStart(9)); got != 0 {
		t.Errorf("got version %d for a model without named weights, want 0", got)
	}
}

// A restarted VM finds only the newest version in the store and learns from other VMs
// which versions were named earlier, and when.
func TestNamedUsesEarlierTimesFromOtherVMs(t *testing.T) {
	namedWeights := newNamedWeights()
	for _, test := range []struct {
		version               uint64
		at                    float64
		wantNewest, wantDated bool
	}{{4, 9, true, false}, {3, 5, false, false}, {4, 8, false, true}, {4, 8.5, false, false}} {
		newest, dated := namedWeights.add("m", test.version, secondsAfterStart(test.at))
		if newest != test.wantNewest || dated != test.wantDated {
			t.Errorf("version %d at %.1f s: got newest %t and dated %t, want %t and %t", test.version, test.at, newest, dated, test.wantNewest, test.wantDated)
		}
	}
	if got := namedWeights.Named("m", secondsAfterStart(5)); got != 3 {
		t.Errorf("got version %d at 5 s, want 3", got)
	}
	if got := namedWeights.Named("m", secondsAfterStart(8)); got != 4 {
		t.Errorf("got version %d at 8 s, want 4", got)
	}
	named, _ := namedWeights.newest()
	if len(named) != 1 || named[0].Version != 4 || len(named[0].Former) != 1 || named[0].Former[0].Version != 3 {
		t.Errorf("got newest %+v, want only version 4, with the former version 3", named)
	}
}

// Guards against requests that begin on replaced weights: a heartbeat tells a restarted VM of
// two versions, and the older one is dropped because the time of the newer one was unknown.
func TestFormerVersionIsKeptWhileTimeOfNewestIsUnknown(t *testing.T) {
	namedWeights := newNamedWeights()
	namedWeights.add("m", 3, time.Time{})
	namedWeights.add("m", 2, secondsAfterStart(1))
	namedWeights.add("m", 3, secondsAfterStart(10))
	if got := namedWeights.Named("m", secondsAfterStart(5)); got != 2 {
		t.Errorf("got version %d at 5 s, want 2: it was named at 1 s", got)
	}
}
