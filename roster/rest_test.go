package roster

import (
	"fmt"
	"testing"
	"time"
)

func restOf(milliseconds int) Announcement {
	return Announcement{RestUntil: afterMs(milliseconds), Rejected: true}
}

// restingRoster returns a roster with one target that rests until the given time.
func restingRoster(t *testing.T, until int) *Roster {
	t.Helper()
	roster := New("a")
	roster.Put(startedEntry("e1", 5), start)
	assignment := choose(t, roster, Criteria{}, start)
	assignment.Observe(restOf(until), start)
	assignment.End()
	return roster
}

func tryChoose(roster *Roster, now time.Time) (*Assignment, bool) {
	assignment, ok := roster.Choose(Criteria{Service: "notes", Repeatable: true}, now)
	return &assignment, ok
}

// A target that asked for a rest must get nothing in it, and one request after it
// until that is answered.
func TestRestEndsWithOneRequest(t *testing.T) {
	roster := restingRoster(t, 1000)
	for _, at := range []int{0, 500, 999} {
		if _, ok := tryChoose(roster, afterMs(at)); ok {
			t.Errorf("after %d ms: got an assignment in the rest, want none", at)
		}
		if _, ok := roster.Contact("e1", afterMs(at)); ok {
			t.Errorf("after %d ms: got a contact in the rest, want none", at)
		}
	}
	first, ok := tryChoose(roster, afterMs(1000))
	if !ok {
		t.Fatal("got no assignment at the end of the rest, want one")
	}
	if _, ok := tryChoose(roster, afterMs(1001)); ok {
		t.Error("got a second assignment before the first was answered, want none")
	}
	if _, ok := roster.Contact("e1", afterMs(1001)); ok {
		t.Error("got a contact before the first request was answered, want none")
	}
	want := Change{Target: "e1", Service: "notes", To: Available, Source: SourceAnswer}
	if got, changed := first.Observe(Announcement{}, afterMs(1100)); !changed || got != want {
		t.Errorf("got %+v %t, want %+v", got, changed, want)
	}
	for range 5 {
		choose(t, roster, Criteria{}, afterMs(1101))
	}
}

// Guards against a target that stays out of use because the first request after its
// rest was not answered.
func TestUnansweredFirstRequestIsReplaced(t *testing.T) {
	for _, test := range []struct {
		name  string
		end   func(*Assignment)
		after int // milliseconds after the first request
	}{
		{"ended without an answer", func(first *Assignment) { first.End() }, 10},
		{"turned away without a rest", func(first *Assignment) {
			first.Observe(Announcement{Rejected: true}, afterMs(1005))
			first.End()
		}, 10},
		{"not answered for long", func(*Assignment) {}, int(trialAnswerTime.Milliseconds())},
	} {
		roster := restingRoster(t, 1000)
		first, _ := tryChoose(roster, afterMs(1000))
		test.end(first)
		if _, ok := tryChoose(roster, afterMs(1000+test.after)); !ok {
			t.Errorf("%s: got no assignment, want the next first request", test.name)
		}
		if _, ok := tryChoose(roster, afterMs(1000+test.after)); ok {
			t.Errorf("%s: got two assignments, want one", test.name)
		}
	}
}

func TestLongestRestCounts(t *testing.T) {
	roster := New("a")
	roster.Put(startedEntry("e1", 5), start)
	var assignments []*Assignment
	for range 3 {
		assignments = append(assignments, choose(t, roster, Criteria{}, start))
	}
	for i, until := range []int{1000, 3000, 2000} {
		_, changed := assignments[i].Observe(restOf(until), start)
		if want := until != 2000; changed != want {
			t.Errorf("rest until %d ms: got change %t, want %t", until, changed, want)
		}
	}
	if _, ok := tryChoose(roster, afterMs(2999)); ok {
		t.Error("got an assignment before the longest rest ended, want none")
	}
	if _, ok := tryChoose(roster, afterMs(3000)); !ok {
		t.Error("got no assignment after the longest rest, want one")
	}
}

// An answer to a request from before the rest does not show that the target can take
// requests again.
func TestAnswerToEarlierRequestDoesNotEndRest(t *testing.T) {
	roster := New("a")
	roster.Put(startedEntry("e1", 5), start)
	earlier, turnedAway := choose(t, roster, Criteria{}, start), choose(t, roster, Criteria{}, start)
	turnedAway.Observe(restOf(1000), start)
	earlier.Observe(Announcement{}, afterMs(500))
	if _, ok := tryChoose(roster, afterMs(600)); ok {
		t.Error("got an assignment in the rest, want none")
	}
	earlier.Observe(Announcement{}, afterMs(1100))
	tryChoose(roster, afterMs(1200))
	if _, ok := tryChoose(roster, afterMs(1200)); ok {
		t.Error("got two assignments after the rest, want one until it is answered")
	}
}

// Guards against a rest that ends because the registration lapsed and came back.
func TestRestSurvivesRegistration(t *testing.T) {
	roster := restingRoster(t, 5000)
	roster.Remove("e1", afterMs(100))
	roster.Sweep(afterMs(200))
	roster.Put(startedEntry("e1", 5), afterMs(300))
	if _, ok := tryChoose(roster, afterMs(400)); ok {
		t.Error("got an assignment in the rest, want none")
	}
	roster.Put(startedEntry("e1", 6), afterMs(500))
	if _, ok := tryChoose(roster, afterMs(600)); !ok {
		t.Error("got no assignment to a later start, want one")
	}
}

func TestRemovedTargetIsForgottenAfterItsRest(t *testing.T) {
	roster := restingRoster(t, 1000)
	roster.Remove("e1", afterMs(100))
	roster.Sweep(afterMs(1001))
	if got := len(roster.targets); got != 0 {
		t.Errorf("got %d targets, want none", got)
	}
}

func TestRestEndIsEarliest(t *testing.T) {
	roster := New("a")
	roster.Replace([]Entry{startedEntry("e1", 5), startedEntry("e22", 5), startedEntry("e333", 5)}, start)
	if _, withheld := roster.RestEnd("notes", start); withheld {
		t.Error("got all targets withheld, want none")
	}
	for i, announcement := range []Announcement{restOf(3000), restOf(2000), leaves} {
		assignment := choose(t, roster, Criteria{}, start)
		assignment.Observe(announcement, start)
		if _, withheld := roster.RestEnd("notes", start); withheld != (i == 2) {
			t.Errorf("after %d targets: got withheld %t", i+1, withheld)
		}
	}
	if got, _ := roster.RestEnd("notes", start); !got.Equal(afterMs(2000)) {
		t.Errorf("got end %v, want %v", got, afterMs(2000))
	}
	if _, withheld := roster.RestEnd("unknown", start); withheld {
		t.Error("got a service without targets withheld, want not")
	}
}

// One request may wait for the end of each rest: more would not be served then.
func TestReservationsAreServedFirst(t *testing.T) {
	roster := restingRoster(t, 1000)
	criteria := Criteria{Service: "notes"}
	if _, ok := roster.Reserve(criteria, afterMs(999), start); ok {
		t.Error("got a reservation after the latest time, want none")
	}
	reservation, ok := roster.Reserve(criteria, afterMs(1000), start)
	if !ok || !reservation.Until.Equal(afterMs(1000)) {
		t.Fatalf("got %+v %t, want a reservation", reservation, ok)
	}
	if _, ok := roster.Reserve(criteria, afterMs(1000), start); ok {
		t.Error("got a second reservation, want none")
	}
	if _, ok := tryChoose(roster, afterMs(1001)); ok {
		t.Error("got an assignment for another request, want it reserved")
	}
	criteria.Reservation = reservation
	if _, ok := roster.Choose(criteria, afterMs(1001)); !ok {
		t.Error("got no assignment with the reservation, want one")
	}
	reservation.Release()
	if _, ok := tryChoose(roster, afterMs(1002)); ok {
		t.Error("got two assignments after the rest, want one")
	}
	roster = restingRoster(t, 1000)
	reservation, _ = roster.Reserve(Criteria{Service: "notes"}, afterMs(1000), start)
	reservation.Release()
	if _, ok := tryChoose(roster, afterMs(1001)); !ok {
		t.Error("got no assignment after the reservation was released, want one")
	}
}

// Guards against VMs that all return with their full share when a rest ends: an
// overloaded engine turns requests of all VMs away at about the same time.
func TestVMsReturnWithOneRequestEach(t *testing.T) {
	for _, vms := range []int{8, 78, 295} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			inRest, atEnd := 0, 0
			for vm := range vms {
				offset := vm % 50
				roster := restingRoster(t, 1000+offset)
				for at := 0; at <= 1050; at += 5 {
					_, ok := tryChoose(roster, afterMs(at))
					switch {
					case ok && at < 1000+offset:
						inRest++
					case ok:
						atEnd++
					}
				}
			}
			if inRest != 0 || atEnd != vms {
				t.Errorf("got %d requests in the rest and %d at its end, want 0 and one of each VM", inRest, atEnd)
			}
		})
	}
}

// Guards against trial requests, and requests when all targets are ejected, at targets
// that leave or rest.
func TestEjectedTargetThatLeavesOrRestsGetsNoTrial(t *testing.T) {
	for name, announcement := range map[string]Announcement{"leaves": leaves, "rests": restOf(60_000)} {
		roster := New("a")
		roster.Put(startedEntry("e1", 5), start)
		assignment := choose(t, roster, Criteria{}, start)
		for range 20 {
			assignment.Failed(false, start)
		}
		assignment.Observe(announcement, start)
		assignment.End()
		for _, at := range []int{10, 1500, 5000} {
			if _, ok := tryChoose(roster, afterMs(at)); ok {
				t.Errorf("%s, after %d ms: got an assignment, want none", name, at)
			}
		}
	}
}

// A report needs no slot at the target: its answer does not show that the target takes
// requests again, and it must not take the place of the first request.
func TestReportDoesNotEndRest(t *testing.T) {
	roster := restingRoster(t, 1000)
	contact, ok := roster.Contact("e1", afterMs(1000))
	if !ok {
		t.Fatal("got no contact after the rest, want one")
	}
	contact.Observe(Announcement{}, afterMs(1001))
	if _, ok := tryChoose(roster, afterMs(1002)); !ok {
		t.Error("got no assignment beside the report, want one")
	}
	if _, ok := tryChoose(roster, afterMs(1002)); ok {
		t.Error("got two assignments after the report was answered, want one until it is answered")
	}
}
