package roster

import (
	"maps"
	"testing"
)

// What is logged as the reason that no target was taken must be what excluded each.
func TestObstaclesNameWhatExcludesEachTarget(t *testing.T) {
	roster := New("a")
	for _, id := range []string{"other-1", "tried", "unreachable", "leaving", "loading"} {
		roster.Put(engineEntry(id, "a", 1), start)
	}
	roster.RecordProbe("unreachable", false, start)
	roster.BeginRollout("loading", "m", 2, afterMs(1000))
	roster.MarkLeaving("leaving", 0, start)
	criteria := Criteria{Service: "notes", Model: "m", Tried: []string{"tried"}}
	got, want := roster.Obstacles(criteria, start), map[Obstacle]int{"unreachable": 1, "leaving": 1, "loading_weights": 1, "tried": 1}
	if !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	assignment := choose(t, roster, criteria, start)
	assignment.MarkMismatched(start)
	want["mismatched"] = 1
	if got := roster.Obstacles(criteria, start); !maps.Equal(got, want) {
		t.Errorf("got %v after a mismatch, want %v", got, want)
	}
	if _, ok := roster.Choose(criteria, start); ok {
		t.Error("got a target although each has an obstacle, want none")
	}
}

// A change of reachability is logged once, whether an attempt, a probe or an answer
// shows it.
func TestReachabilityChangesOnce(t *testing.T) {
	roster := New("a")
	roster.Put(engineEntry("e1", "a", 1), start)
	assignment := choose(t, roster, Criteria{}, start)
	for i, want := range []bool{true, false} {
		if got := assignment.Failed(true, start); got != want {
			t.Errorf("failure %d: got change %t, want %t", i, got, want)
		}
	}
	if roster.RecordProbe("e1", false, start) {
		t.Error("got a change after a failed probe, want none")
	}
	for i, want := range []bool{true, false} {
		if got := assignment.Answered(Load{}, false, start); got != want {
			t.Errorf("answer %d: got change %t, want %t", i, got, want)
		}
	}
}
