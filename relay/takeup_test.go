package relay

import (
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
)

// Guards against a stream that goes on at another software version because its next
// target was reserved before its first event came.
func TestReservedTargetOfAnotherSoftwareVersionIsGivenUp(t *testing.T) {
	now := time.Now()
	targets := roster.New("a")
	targets.Put(roster.Entry{ID: "new", Service: "notes", Software: "v1.1"}, now)
	job := &job{
		relay: &Relay{Roster: targets}, request: &Request{}, route: &routing.Route{}, service: &routing.Service{Name: "notes"},
	}
	next, ok := targets.Choose(job.criteria(now), now)
	if !ok {
		t.Fatal("got no target, want the only one")
	}
	targets.Put(roster.Entry{ID: "old", Service: "notes", Software: "v1"}, now)
	job.next = &next
	job.fixSoftware("v1")
	ok, err := job.ChooseTarget(t.Context())
	if err != nil || !ok || job.attempt.assignment.ID != "old" || job.next != nil {
		t.Errorf("got target %q, %v, want the one of the version that began the stream", job.attempt.assignment.ID, err)
	}
	for _, entry := range targets.Entries() {
		if entry.ID == "new" && entry.Running != 0 {
			t.Errorf("got %d requests counted at the target that was given up, want none", entry.Running)
		}
	}
}
