package roster

import (
	"testing"
	"time"
)

// Guards against reservations that come to nothing and keep an ejected target from its
// trial requests, or count as load.
func TestWithdrawnAssignmentLeavesNoTrace(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	roster := New("z")
	roster.Put(Entry{ID: "a", Service: "s", Zone: "z"}, now)
	criteria := Criteria{Service: "s", Repeatable: true}
	for range 10 {
		assignment, _ := roster.Choose(criteria, now)
		assignment.Answered(Load{}, true, now)
		assignment.Failed(false, now)
		assignment.End()
	}
	roster.Put(Entry{ID: "b", Service: "s", Zone: "z"}, now)
	now = now.Add(ejectionTime)
	withB := Criteria{Service: "s", Repeatable: true, Tried: []string{"b"}}
	for range 5 {
		assignment, ok := roster.Choose(withB, now)
		if !ok || assignment.ID != "a" {
			t.Fatalf("got target %q, %t, want the ejected one", assignment.ID, ok)
		}
		assignment.Answered(Load{}, true, now) // a fresh report; it counts what begins after it
		assignment.Withdraw()
	}
	assignment, _ := roster.Choose(withB, now)
	assignment.Withdraw()
	target := roster.targets["a"]
	if got := target.requestCount(now); got != 0 {
		t.Errorf("got %d requests at the target, want none", got)
	}
	if now.Before(target.ejectedUntil) {
		t.Errorf("got a trial due at %s, want it due at %s still", target.ejectedUntil, now)
	}
}
