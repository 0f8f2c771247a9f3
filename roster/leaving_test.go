package roster

import (
	"testing"
	"time"
)

func startedEntry(id string, startTime int64) Entry {
	entry := engineEntry(id, "a", 1)
	entry.StartTime = startTime
	return entry
}

func leavingEntry(id string, startTime int64) Entry {
	entry := startedEntry(id, startTime)
	entry.Draining = true
	return entry
}

var leaves = Announcement{Leaving: true}

// Each way to learn that a target leaves must end all ways to it, and no older word
// may take it back.
func TestLeavingEndsAllWaysToTarget(t *testing.T) {
	for _, test := range []struct {
		name  string
		learn func(*Roster, *Assignment)
	}{
		{"answer", func(_ *Roster, assignment *Assignment) { assignment.Observe(leaves, afterMs(10)) }},
		{"answer to a report", func(roster *Roster, _ *Assignment) {
			contact, _ := roster.Contact("e1", afterMs(10))
			contact.Observe(leaves, afterMs(10))
		}},
		{"registration", func(roster *Roster, _ *Assignment) { roster.Put(leavingEntry("e1", 5), afterMs(10)) }},
		{"another VM", func(roster *Roster, _ *Assignment) { roster.MarkLeaving("e1", 5, afterMs(10)) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			roster := New("a")
			roster.Put(startedEntry("e1", 5), start)
			test.learn(roster, choose(t, roster, Criteria{}, start))
			older := []func(){
				func() {},
				func() { roster.Put(startedEntry("e1", 5), afterMs(20)) },
				func() { roster.Put(startedEntry("e1", 4), afterMs(20)) },
				func() { roster.Remove("e1", afterMs(20)); roster.Put(startedEntry("e1", 5), afterMs(20)) },
				func() { roster.Replace([]Entry{startedEntry("e1", 5)}, afterMs(20)) },
			}
			for i, act := range older {
				act()
				if _, ok := roster.Choose(Criteria{Service: "notes", Repeatable: true}, afterMs(30)); ok {
					t.Errorf("after older word %d: got an assignment, want none", i)
				}
				if _, ok := roster.Contact("e1", afterMs(30)); ok {
					t.Errorf("after older word %d: got a contact, want none", i)
				}
				if entries := roster.Entries(); len(entries) != 1 || !entries[0].Draining {
					t.Errorf("after older word %d: got %+v, want one leaving entry", i, entries)
				}
			}
		})
	}
}

// Guards against a late answer of an earlier start that takes a target out of use.
func TestLateAnswerOfEarlierStartDoesNotMarkLaterOne(t *testing.T) {
	sameAddress := startedEntry("e1", 6)
	otherID := startedEntry("e2", 6)
	otherID.Address = sameAddress.Address
	for name, next := range map[string]Entry{"same ID": sameAddress, "same address": otherID} {
		roster := New("a")
		roster.Put(startedEntry("e1", 5), start)
		old := choose(t, roster, Criteria{}, start)
		roster.Remove("e1", afterMs(10))
		roster.Put(next, afterMs(10))
		old.Observe(leaves, afterMs(20))
		if got := choose(t, roster, Criteria{}, afterMs(30)); got.ID != next.ID {
			t.Errorf("%s: got %s, want the later start", name, got.ID)
		}
		roster.MarkLeaving("e1", 5, afterMs(40))
		choose(t, roster, Criteria{}, afterMs(50))
	}
}

func TestLaterStartOfLeavingTargetIsUsed(t *testing.T) {
	roster := New("a")
	roster.Put(startedEntry("e1", 5), start)
	choose(t, roster, Criteria{}, start).Observe(leaves, start)
	roster.Put(startedEntry("e1", 6), afterMs(10))
	choose(t, roster, Criteria{}, afterMs(20))
}

// Word of another VM may arrive before the registration.
func TestLeavingOfStartThatIsNotListedYetIsKept(t *testing.T) {
	roster := New("a")
	roster.MarkLeaving("e1", 5, start)
	roster.Put(startedEntry("e1", 5), afterMs(10))
	if _, ok := roster.Choose(Criteria{Service: "notes"}, afterMs(20)); ok {
		t.Error("got a target that leaves, want none")
	}
}

// What is remembered of targets that are gone must not grow without bound.
func TestLeavingIsForgotten(t *testing.T) {
	roster := New("a")
	roster.Put(leavingEntry("e1", 5), start)
	roster.Remove("e1", start)
	roster.Sweep(start.Add(leavingRetention + time.Second))
	if got := len(roster.leaving); got != 0 {
		t.Errorf("got %d remembered starts, want none", got)
	}
}

func TestLeavingIsReportedOnce(t *testing.T) {
	roster := New("a")
	roster.Put(startedEntry("e1", 5), start)
	assignment := choose(t, roster, Criteria{}, start)
	want := Change{Target: "e1", Service: "notes", To: Leaving, Source: SourceAnswer}
	if got, changed := assignment.Observe(leaves, start); !changed || got != want {
		t.Errorf("got %+v %t, want %+v", got, changed, want)
	}
	if got, changed := assignment.Observe(leaves, start); changed {
		t.Errorf("got %+v for a known state, want no change", got)
	}
	if got, changed := roster.Put(leavingEntry("e1", 5), start); changed {
		t.Errorf("got %+v from a registration for a known state, want no change", got)
	}
}

// Cached blocks must not be fetched from a target that leaves: the fetch is a request
// at it.
func TestLeavingTargetIsNoSourceOfTransfers(t *testing.T) {
	roster := New("a")
	entries := []Entry{startedEntry("e1", 5), startedEntry("e22", 5), startedEntry("e333", 5)}
	roster.Replace(entries, start)
	home := choose(t, roster, Criteria{Model: "m", Prefix: 7}, start)
	home.Observe(leaves, start)
	for range 6 {
		if got := choose(t, roster, Criteria{Model: "m", Prefix: 7, Tokens: 9000}, afterMs(10)); got.Home == home.Address {
			t.Errorf("got transfers from %s, which leaves, want none", home.ID)
		}
	}
}

// Requests in flight are completed: a target that leaves is still checked for their
// sake, by a connection on which nothing is sent.
func TestLeavingTargetIsCheckedOnlyForItsRequests(t *testing.T) {
	roster := New("a")
	roster.Put(startedEntry("e1", 5), start)
	assignment := choose(t, roster, Criteria{}, start)
	assignment.MarkMismatched(start)
	assignment.Observe(leaves, start)
	if got := roster.Probes(afterMs(10)); len(got) != 0 {
		t.Errorf("got probes %+v of a target that is not silent, want none", got)
	}
	if got := roster.Probes(afterMs(1000)); len(got) != 1 || got[0].Report {
		t.Errorf("got probes %+v of a silent target with a request, want one without a report", got)
	}
	assignment.End()
	if got := roster.Probes(afterMs(3000)); len(got) != 0 {
		t.Errorf("got probes %+v of a target without requests, want none", got)
	}
}

// Other VMs are told for a bounded time, and also of what came from another VM, so that
// it crosses availability zones; word of a known start does not extend the time.
func TestDeparturesAreSentForABoundedTime(t *testing.T) {
	roster := New("a")
	roster.MarkLeaving("e1", 5, start)
	roster.MarkLeaving("e1", 5, afterMs(900))
	if got := roster.Departures(afterMs(-1)); len(got) != 1 || got[0] != (Departure{Target: "e1", StartTime: 5}) {
		t.Errorf("got %+v, want the departure of e1", got)
	}
	if got := roster.Departures(start); len(got) != 0 {
		t.Errorf("got %+v, want no departure that was learned before", got)
	}
}

// Guards against requests to the address of a target that crashed: its registration lasts
// for seconds, and another target that has the address rejects them, which uses up the
// retry budget of the fleet.
func TestReplacedTargetReceivesNoRequests(t *testing.T) {
	roster := New("a")
	roster.Replace([]Entry{startedEntry("e1", 5), startedEntry("e22", 5)}, start)
	replaced := choose(t, roster, Criteria{}, start)
	replaced.MarkReplaced(start)
	replaced.End()
	roster.Put(startedEntry(replaced.ID, 5), afterMs(900)) // its last registration arrives late
	for ms := range 20 {
		assignment := choose(t, roster, Criteria{}, afterMs(100*ms))
		if assignment.ID == replaced.ID {
			t.Fatalf("got a request at %d ms for %s, whose address another target has, want none", 100*ms, replaced.ID)
		}
		assignment.End()
	}
	if got := roster.Departures(afterMs(-1)); len(got) != 1 || got[0].Target != replaced.ID {
		t.Errorf("got departures %+v for other VMs, want %s", got, replaced.ID)
	}
	roster.Put(startedEntry(replaced.ID, 6), afterMs(3000))
	used := map[string]bool{}
	for range 4 {
		used[choose(t, roster, Criteria{}, afterMs(3000)).ID] = true
	}
	if !used[replaced.ID] {
		t.Errorf("got no request for the next start of %s, want some", replaced.ID)
	}
}
