package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

var start = time.Unix(1_700_000_000, 0)

func afterMs(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// restingRelay returns a relay whose targets rest until the given times.
func restingRelay(t *testing.T, until ...int) *Relay {
	t.Helper()
	relay := &Relay{Roster: roster.New("a"), Metrics: metric.New(t.Name())}
	for i := range until {
		relay.Roster.Put(roster.Entry{
			ID: fmt.Sprint("e", i), Service: "app", Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1)),
		}, start)
	}
	for _, until := range until {
		assignment, ok := relay.Roster.Choose(roster.Criteria{Service: "app"}, start)
		if !ok {
			t.Fatal("got no target, want one")
		}
		relay.ObserveHead(&assignment, assignment.ID, target.Head{NotRun: true, RestUntil: afterMs(until)}, start)
		assignment.End()
	}
	return relay
}

func waitingJob(relay *Relay, deadline int, maxWait time.Duration) *job {
	return &job{
		answer: &recordedAnswer{},
		relay:  relay, request: &Request{Arrived: start}, deadline: afterMs(deadline),
		route: &routing.Route{MaxWait: settings.Span(maxWait)}, service: &routing.Service{Name: "app"},
	}
}

// A request waits for the end of a rest only if it is served then; all others must be
// refused at once.
func TestRequestWaitsForRestOnlyIfServedThen(t *testing.T) {
	for _, test := range []struct {
		name     string
		until    []int
		deadline int
		maxWait  time.Duration
		others   int // requests that wait already
		want     bool
	}{
		{"ends in time", []int{400}, 1000, time.Second, 0, true},
		{"no maximum wait", []int{400}, 1000, 0, 0, true},
		{"too little time is left to answer", []int{600}, 1000, time.Second, 0, false},
		{"ends after the maximum wait", []int{400}, 1000, 300 * time.Millisecond, 0, false},
		{"another request waits", []int{400}, 1000, time.Second, 1, false},
		{"another request waits for another target", []int{400, 450}, 1000, time.Second, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			relay := restingRelay(t, test.until...)
			for range test.others {
				waitingJob(relay, 1000, time.Second).mayHold(start)
			}
			job := waitingJob(relay, test.deadline, test.maxWait)
			if got := job.mayHold(start); got != test.want {
				t.Fatalf("got wait %t, want %t", got, test.want)
			}
			if !test.want {
				return
			}
			last := afterMs(test.until[len(test.until)-1])
			if _, ok := relay.Roster.Choose(job.criteria(last), last); !ok {
				t.Error("got no target at the end of the rest, want one")
			}
		})
	}
}

// Guards against a request that waits again and again: a rest that is extended must
// not keep it beyond its time.
func TestExtendedRestEndsTheWait(t *testing.T) {
	relay := restingRelay(t)
	relay.Roster.Put(roster.Entry{ID: "e", Service: "app"}, start)
	first, _ := relay.Roster.Choose(roster.Criteria{Service: "app"}, start)
	second, _ := relay.Roster.Choose(roster.Criteria{Service: "app"}, start)
	relay.ObserveHead(&first, first.ID, target.Head{NotRun: true, RestUntil: afterMs(300)}, start)
	job := waitingJob(relay, 1000, time.Second)
	if !job.mayHold(start) {
		t.Fatal("got no wait, want one")
	}
	relay.ObserveHead(&second, second.ID, target.Head{NotRun: true, RestUntil: afterMs(900)}, afterMs(250))
	if _, ok := relay.Roster.Choose(job.criteria(afterMs(300)), afterMs(300)); ok {
		t.Error("got a target in its extended rest, want none")
	}
	if job.mayHold(afterMs(300)) || job.reservation != nil {
		t.Error("got a wait beyond the time that is left, want none")
	}
}

func TestRefusalNamesTheFirstEndOfRest(t *testing.T) {
	for _, test := range []struct {
		name  string
		until []int
		code  refusal.Code
		want  int // earliest time to retry, in milliseconds
	}{
		{"all rest", []int{9000, 7000}, refusal.NoTarget, 7000},
		{"rest ends before the usual delay", []int{100}, refusal.NoTarget, 300},
		{"another reason", []int{9000}, refusal.Overloaded, 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			refused := refusal.New(test.code, "no").WithRetryAt(afterMs(300))
			job := waitingJob(restingRelay(t, test.until...), 1000, time.Second)
			job.delayRetry(refused, start)
			if earliest, latest := afterMs(test.want), afterMs(test.want+300); refused.RetryAt.Before(earliest) || refused.RetryAt.After(latest) {
				t.Errorf("got %v, want between %v and %v", refused.RetryAt, earliest, latest)
			}
			if got, want := !job.restEnd.IsZero(), test.code == refusal.NoTarget; got != want {
				t.Errorf("got the end of the rest logged: %t, want %t", got, want)
			}
		})
	}
}

// Guards against a target that stays out of use after its rest, reserved for a request
// that was sent to another target meanwhile.
func TestReservationEndsWhenAnotherTargetIsFound(t *testing.T) {
	now := time.Now()
	relay := &Relay{Roster: roster.New("a"), Metrics: metric.New(t.Name())}
	relay.Roster.Put(roster.Entry{ID: "e1", Service: "app"}, now)
	first, _ := relay.Roster.Choose(roster.Criteria{Service: "app"}, now)
	relay.ObserveHead(&first, first.ID, target.Head{NotRun: true, RestUntil: now.Add(time.Hour)}, now)
	job := waitingJob(relay, 0, 0)
	job.deadline = now.Add(4 * time.Hour)
	if !job.mayHold(now) {
		t.Fatal("got no wait, want one")
	}
	relay.Roster.Put(roster.Entry{ID: "e2", Service: "app"}, now)
	if ok, err := job.ChooseTarget(t.Context()); !ok || err != nil || job.attempt.assignment.ID != "e2" {
		t.Fatalf("got target %q, %t, %v, want e2", job.attempt.assignment.ID, ok, err)
	}
	if _, ok := relay.Roster.Reserve(roster.Criteria{Service: "app"}, now.Add(time.Hour), now); !ok {
		t.Error("got the end of the rest reserved, want it free")
	}
}

// Guards against the words of another engine that was given the target's address.
func TestMisdirectedAnswerSaysNothingOfTheTarget(t *testing.T) {
	for _, test := range []struct {
		name string
		head target.Head
		want bool // the target may be used
	}{
		{"from another target", target.Head{Status: statusMisdirected, Incarnation: "e9"}, true},
		{"from an unknown target", target.Head{Status: statusMisdirected}, true},
		{"from the target, with other weights", target.Head{Status: statusMisdirected, Incarnation: "e1"}, false},
		{"an answer", target.Head{Status: 200}, false},
	} {
		relay := &Relay{Roster: roster.New("a"), Metrics: metric.New(t.Name())}
		relay.Roster.Put(roster.Entry{ID: "e1", Service: "app"}, start)
		first, _ := relay.Roster.Choose(roster.Criteria{Service: "app"}, start)
		test.head.Draining = true
		relay.ObserveHead(&first, first.ID, test.head, start)
		if _, got := relay.Roster.Choose(roster.Criteria{Service: "app"}, start); got != test.want {
			t.Errorf("%s: got usable %t, want %t", test.name, got, test.want)
		}
	}
}

// Guards against a target that was reserved for the next attempt and gets the request
// although it left, or asked for a rest, in the meantime.
func TestReservedTargetThatLeavesOrRestsIsNotUsed(t *testing.T) {
	for name, head := range map[string]target.Head{
		"leaves": {Draining: true}, "rests": {NotRun: true, RestUntil: time.Now().Add(time.Hour)},
	} {
		attempt := newSilentAttempt(t, 10, "e1", "e22", "e333")
		job := attempt.job
		next, denial := job.reserveNext(&job.attempt.assignment, time.Now())
		if next == nil {
			t.Fatalf("%s: got no reserved target: %s", name, denial)
		}
		job.relay.ObserveHead(&next.assignment, next.assignment.ID, head, time.Now())
		job.next = next
		job.tried = append(job.tried, job.attempt.assignment.ID)
		if ok, err := job.ChooseTarget(t.Context()); !ok || err != nil || job.attempt.assignment.ID == next.assignment.ID {
			t.Errorf("%s: got target %q, %t, %v, want the third", name, job.attempt.assignment.ID, ok, err)
		}
		attempt.monitor.stop()
	}
}
