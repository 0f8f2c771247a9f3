package relay

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/admission"
	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
)

// silentAttempt is an attempt of a resumable stream at a target, with other targets in
// the roster and no network.
type silentAttempt struct {
	job       *job
	monitor   *silenceMonitor
	cancelled context.Context
}

// entry returns the registration of a target; its port is that of the address.
func entry(id string, port uint16) roster.Entry {
	return roster.Entry{ID: id, Service: "notes", Zone: "z", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)}
}

// newSilentAttempt starts an attempt at one of the targets with the IDs; retries is the
// number that the budget holds.
func newSilentAttempt(t *testing.T, retries float64, ids ...string) *silentAttempt {
	bounds := settings.Bounds{RetryReserve: retries / retryMargin, RetryWindow: settings.Span(10 * time.Second)}
	relay := &Relay{
		Roster: roster.New("z"), Quarantine: quarantine.NewTracker(), Metrics: metric.New("vm"),
		Budgets: NewBudgets(bounds, func() int { return 1 }),
	}
	for i, id := range ids {
		relay.Roster.Put(entry(id, uint16(i+1)), time.Now())
	}
	job := &job{
		answer:   &recordedAnswer{},
		progress: &eventProgress{}, relay: relay, request: &Request{ID: "r"}, service: &routing.Service{Name: "notes"}, digest: "d",
		route: &routing.Route{Kind: routing.ResumableStream, Attempts: 3},
	}
	job.delivery = delivery.Delivery{Sender: job, Repeatable: true, Attempts: 3}
	if ok, err := job.ChooseTarget(t.Context()); !ok || err != nil {
		t.Fatalf("got %t, %v, want a target", ok, err)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	attempt := &silentAttempt{job: job, cancelled: ctx}
	attempt.monitor = job.monitorSilence(&job.attempt.assignment, cancel)
	return attempt
}

// end ends the attempt as Send does after it was cancelled.
func (attempt *silentAttempt) end() {
	job := attempt.job
	job.next = attempt.monitor.stop()
	job.recordSilence(&job.attempt.assignment, context.Cause(attempt.cancelled), time.Now())
	job.attempt.assignment.End()
	job.tried = append(job.tried, job.attempt.assignment.ID)
}

// retriesLeft returns the number of retries in the budget, and takes them.
func (attempt *silentAttempt) retriesLeft() int {
	count := 0
	for attempt.job.relay.Budgets.Allow("notes", time.Now()) {
		count++
	}
	return count
}

// running returns the number of requests at all targets.
func (attempt *silentAttempt) running() int {
	running := 0
	for _, entry := range attempt.job.relay.Roster.Entries() {
		running += entry.Running
	}
	return running
}

const longSilence = 2 * time.Second

// Guards against an attempt that is cancelled although no other target may take it, and
// against reservations that are never given back.
func TestSilentTargetIsLeftOnlyForAReservedOne(t *testing.T) {
	tests := []struct {
		name     string
		retries  float64
		targets  []string
		prepare  func(job *job)
		wantLeft bool
		budget   int // of retries, once the request has ended
	}{
		{"another target", 3, []string{"a", "b"}, nil, true, 3},
		{"no other target", 3, []string{"a"}, nil, false, 3},
		{"no budget", 0, []string{"a", "b"}, nil, false, 0},
		{"no budget to return", 1, []string{"a", "b"}, nil, false, 1},
		{"quarantined", 3, []string{"a", "b"}, func(job *job) {
			for _, death := range []string{"1", "2", "3"} {
				job.relay.Quarantine.RecordDeath(job.digest, death, time.Now())
			}
		}, false, 3},
		{"the caller does not read", 3, []string{"a", "b"}, func(job *job) { job.writing.Store(true) }, false, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempt := newSilentAttempt(t, test.retries, test.targets...)
				if test.prepare != nil {
					test.prepare(attempt.job)
				}
				<-time.After(longSilence)
				if got := attempt.cancelled.Err() != nil; got != test.wantLeft {
					t.Errorf("got cancelled %t, want %t", got, test.wantLeft)
				}
				first := attempt.job.attempt.assignment.ID
				attempt.end()
				if next := attempt.job.next; next != nil && next.assignment.ID == first {
					t.Errorf("got target %s reserved, want another one than that of the attempt", first)
				}
				attempt.job.releaseNext()
				if got := attempt.running(); got != 0 {
					t.Errorf("got %d requests counted at targets, want none", got)
				}
				if got := attempt.retriesLeft(); got != test.budget {
					t.Errorf("got %d retries left, want %d", got, test.budget)
				}
			})
		})
	}
}

// Guards against a request that is sent to a target that has left since it was reserved.
func TestReservedTargetThatLeftIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		attempt := newSilentAttempt(t, 3, "a", "b", "c")
		<-time.After(longSilence)
		attempt.end()
		if attempt.job.next == nil {
			t.Fatal("got no reserved target, want one")
		}
		reserved := attempt.job.next.assignment.ID
		draining := entry(reserved, uint16(reserved[0]-'a'+1))
		draining.Draining = true
		attempt.job.relay.Roster.Put(draining, time.Now())
		if !attempt.job.AllowRetry(delivery.Broken, time.Now()) {
			t.Error("got no retry, want the reserved one")
		}
		ok, err := attempt.job.ChooseTarget(t.Context())
		if got := attempt.job.attempt.assignment.ID; !ok || err != nil || got == reserved {
			t.Errorf("got target %s, %t, %v, want another one than %s, which drains", got, ok, err, reserved)
		}
	})
}

// Guards against LOST: a sound target was left because it was silent, and the retries run out at
// others, which do not take the request, before it returns.
func TestRetryForReturningToASilentTargetIsKept(t *testing.T) {
	for _, outcome := range []delivery.Outcome{delivery.NotRun, delivery.Broken} {
		t.Run(outcome.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempt := newSilentAttempt(t, 2, "a", "b", "c")
				job := attempt.job
				first := job.attempt.assignment.ID
				<-time.After(longSilence)
				attempt.end()
				for last := ""; last != first; last = job.attempt.assignment.ID {
					if !job.AllowRetry(outcome, time.Now()) {
						t.Fatalf("got no retry after %v, want one at %s", job.tried, first)
					}
					if ok, err := job.ChooseTarget(t.Context()); !ok || err != nil {
						t.Fatalf("got %t, %v after %v, want a target", ok, err, job.tried)
					}
					assignment := &job.attempt.assignment
					job.recordSilence(assignment, nil, time.Now())
					assignment.End()
					job.tried = append(job.tried, assignment.ID)
				}
				job.releaseNext()
				if got := attempt.retriesLeft(); got != 0 {
					t.Errorf("got %d retries left, want none", got)
				}
			})
		})
	}
}

// Guards against LOST: a sound target was left because it was silent, and the request ends before
// its time because the others, and then that one too, have no room for it.
func TestRequestThatLeftASilentTargetGoesOn(t *testing.T) {
	for _, test := range []struct {
		name       string
		retries    float64
		rejections int
		prepare    func(job *job)
		want       bool
	}{
		{"all reject it", 20, 8, nil, true},
		{"all reject it, and the stream has begun", 20, 8, func(job *job) { job.started = true; job.fixSoftware("") }, true},
		{"the budget is used up", 2, 3, nil, true},
		{"late under overload", 20, 1, func(job *job) {
			job.request.Prompt, job.route.LatencyTarget = &Prompt{}, settings.Span(longSilence)
			if job.controller = overloadedController(); !job.controller.Overloaded(time.Now()) {
				panic("the controller of this test is to be overloaded")
			}
		}, true},
		{"no target is left", 20, 1, func(job *job) {
			for _, id := range []string{"a", "b", "c"} {
				job.relay.Roster.Remove(id, time.Now())
			}
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempt := newSilentAttempt(t, test.retries, "a", "b", "c")
				job := attempt.job
				job.deadline = time.Now().Add(time.Minute)
				ctx, cancel := context.WithDeadline(t.Context(), job.deadline)
				defer cancel()
				<-time.After(longSilence)
				attempt.end()
				if test.prepare != nil {
					test.prepare(job)
				}
				outcome, got := delivery.Broken, true
				for range test.rejections + 1 {
					got = job.AllowRetry(outcome, time.Now())
					if got {
						got, _ = job.ChooseTarget(ctx)
					}
					if !got {
						break
					}
					job.handleRejection(&job.attempt.assignment, time.Now())
					job.attempt.assignment.End()
					job.tried, outcome = append(job.tried, job.attempt.assignment.ID), delivery.NotRun
				}
				if got != test.want {
					t.Errorf("got a target %t after %v, want %t", got, job.tried, test.want)
				}
			})
		})
	}
}

// overloadedController returns a controller by which callers ask for more than targets take, so
// that requests wait for longer than they are to.
func overloadedController() *admission.Controller {
	room := admission.Room{TokensPerSecond: 1, Wait: time.Second, AimedWait: 70 * time.Millisecond}
	services := &admission.Services{Self: "vm-1", Started: time.Now().Add(-time.Minute), Room: func(string, time.Time) admission.Room { return room }}
	services.SetFleetSize(2)
	controller := services.Get("notes")
	controller.Decide(admission.Request{Tokens: 1e6}, time.Now())
	return controller
}
