package delivery

import (
	"context"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/refusal"
)

// script is a carrier whose targets do what is written down.
type script struct {
	outcomes []Outcome // of the targets, in order
	failAt   int       // attempt, from 1, whose error ends the request; 0 for none
	budget   int       // repetitions allowed
	barred   bool
	started  bool // a part of the answer is passed on by the first attempt
	// leave ends the caller's context during an attempt, from 1.
	leaveAt int
	leave   context.CancelCauseFunc

	sent      int
	fallbacks int
}

// Choose implements Carrier.
func (script *script) Choose(context.Context) (bool, error) {
	return script.sent < len(script.outcomes), nil
}

// Send implements Carrier.
func (script *script) Send(context.Context) (Outcome, error) {
	script.sent++
	if script.sent == script.leaveAt {
		script.leave(nil)
	}
	if script.sent == script.failAt {
		return script.outcomes[script.sent-1], refusal.New(refusal.BadRequest, "check the request")
	}
	return script.outcomes[script.sent-1], nil
}

// Allow implements Carrier.
func (script *script) Allow(outcome Outcome, _ time.Time) bool {
	if script.barred && outcome != NotRun || script.budget == 0 {
		return false
	}
	script.budget--
	return true
}

// Started implements Carrier.
func (script *script) Started() bool {
	return script.started && script.sent > 0
}

// Fallback implements Carrier.
func (script *script) Fallback() (bool, error) {
	for _, outcome := range script.outcomes[:script.sent] {
		if outcome == FailedAnswer {
			script.fallbacks++
			return true, nil
		}
	}
	return false, nil
}

// The pattern: targets crash, refuse, fail and cut answers off, one after the
// other, under each kind of request.
func TestRun(t *testing.T) {
	const plenty = 9
	cases := []struct {
		name       string
		script     script
		repeatable bool
		attempts   int
		wantSent   int
		wantCode   refusal.Code // empty when the caller has a whole answer
		want       refusal.Outcome
	}{
		{"answered", script{outcomes: []Outcome{Answered}, budget: plenty}, false, 1, 1, "", ""},
		{"once: not sent goes on", script{outcomes: []Outcome{NotSent, NotSent, Answered}}, false, 1, 3, "", ""},
		{"once: not run goes on", script{outcomes: []Outcome{NotRun, Answered}, budget: plenty}, false, 1, 2, "", ""},
		{"once: not run, no budget", script{outcomes: []Outcome{NotRun, Answered}}, false, 1, 1, refusal.NoTarget, refusal.NotRun},
		{"once: may have run", script{outcomes: []Outcome{Broken, Answered}, budget: plenty}, false, 3, 1, refusal.TargetFailed, refusal.Unknown},
		{"once: not run, then may have run", script{outcomes: []Outcome{NotRun, Broken, Answered}, budget: plenty}, false, 3, 2, refusal.TargetFailed, refusal.Unknown},
		{"once: a failure is passed on", script{outcomes: []Outcome{FailedAnswer, Answered}, budget: plenty}, false, 3, 1, "", ""},
		{"repeatable: broken goes on", script{outcomes: []Outcome{Broken, Broken, Answered}, budget: plenty}, true, 3, 3, "", ""},
		{"repeatable: attempts are bounded", script{outcomes: []Outcome{Broken, Broken, Broken, Answered}, budget: plenty}, true, 3, 3, refusal.TargetFailed, refusal.Unknown},
		{"repeatable: not run is no run", script{outcomes: []Outcome{Broken, NotRun, NotSent, Broken, Answered}, budget: plenty}, true, 3, 5, "", ""},
		{"repeatable: no budget", script{outcomes: []Outcome{Broken, Answered}}, true, 3, 1, refusal.TargetFailed, refusal.Unknown},
		{"repeatable: barred", script{outcomes: []Outcome{Broken, Answered}, budget: plenty, barred: true}, true, 3, 1, refusal.TargetFailed, refusal.Unknown},
		{"repeatable: a failure is done better", script{outcomes: []Outcome{FailedAnswer, Answered}, budget: plenty}, true, 3, 2, "", ""},
		{"repeatable: the failure when nothing is better", script{outcomes: []Outcome{FailedAnswer, Broken}, budget: plenty}, true, 2, 2, "", ""},
		{"repeatable: no failure after a part", script{outcomes: []Outcome{FailedAnswer, Broken}, budget: plenty, started: true}, true, 2, 2, refusal.StreamInterrupted, refusal.Unknown},
		{"stream broken off", script{outcomes: []Outcome{Broken}, budget: plenty, started: true}, true, 3, 1, refusal.StreamInterrupted, refusal.Unknown},
		{"no target at all", script{budget: plenty}, true, 3, 0, refusal.NoTarget, refusal.NotRun},
		{"none accepts connections", script{outcomes: []Outcome{NotSent, NotSent}, budget: plenty}, true, 3, 2, refusal.NoTarget, refusal.NotRun},
		{"caller gone", script{outcomes: []Outcome{CallerGone, Answered}, budget: plenty}, true, 3, 1, refusal.CallerGone, refusal.Unknown},
		{"caller leaves before anything ran", script{outcomes: []Outcome{NotSent, Answered}, budget: plenty, leaveAt: 1}, true, 3, 1, refusal.CallerGone, refusal.NotRun},
		{"caller leaves during a run", script{outcomes: []Outcome{Broken, Answered}, budget: plenty, leaveAt: 1}, true, 3, 1, refusal.CallerGone, refusal.Unknown},
		{"bad request, nothing ran", script{outcomes: []Outcome{NotRun, Answered}, budget: plenty, failAt: 1}, true, 3, 1, refusal.BadRequest, refusal.NotRun},
		{"bad request after a run", script{outcomes: []Outcome{Broken, NotRun}, budget: plenty, failAt: 2}, true, 3, 2, refusal.BadRequest, refusal.Unknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ctx, leave := context.WithCancelCause(t.Context())
			defer leave(nil)
			script := test.script
			script.leave = leave
			course := &Delivery{Carrier: &script, Repeatable: test.repeatable, Attempts: test.attempts}
			err := course.Run(ctx)
			if script.sent != test.wantSent {
				t.Errorf("got %d attempts, want %d", script.sent, test.wantSent)
			}
			var got refusal.Refusal
			if err != nil {
				got = *refusal.From(err)
			}
			if got.Code != test.wantCode || got.Outcome != test.want {
				t.Errorf("got %q %q, want %q %q", got.Code, got.Outcome, test.wantCode, test.want)
			}
		})
	}
}

// A request that ends for a reason of its own says so, unless the reason is the
// time: a stream's caller is told that the rest is missing.
func TestEnded(t *testing.T) {
	withdrawn := refusal.New(refusal.KeyWithdrawn, "ask for a new key")
	cases := []struct {
		name    string
		cause   error
		started bool
		want    refusal.Code
	}{
		{"caller left", context.Canceled, false, refusal.CallerGone},
		{"caller left a stream", context.Canceled, true, refusal.CallerGone},
		{"key withdrawn", withdrawn, false, refusal.KeyWithdrawn},
		{"key withdrawn during a stream", withdrawn, true, refusal.KeyWithdrawn},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ctx, leave := context.WithCancelCause(t.Context())
			script := &script{outcomes: []Outcome{Broken}, started: test.started, leaveAt: 1}
			script.leave = func(error) { leave(test.cause) }
			course := &Delivery{Carrier: script, Repeatable: true, Attempts: 3}
			if got := refusal.From(course.Run(ctx)); got.Code != test.want {
				t.Errorf("got %q, want %q", got.Code, test.want)
			}
		})
	}
	if withdrawn.Outcome != refusal.NotRun {
		t.Errorf("got outcome %q in the shared cause, want it unchanged", withdrawn.Outcome)
	}
	ctx, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	script := &script{outcomes: []Outcome{Broken}, started: true}
	course := &Delivery{Carrier: script, Repeatable: true, Attempts: 3}
	if got := refusal.From(course.Run(ctx)); got.Code != refusal.StreamInterrupted {
		t.Errorf("got %q for a stream out of time, want %q", got.Code, refusal.StreamInterrupted)
	}
}

// killer is a request that ends each target that runs it, at one of several VMs
// that share what they know.
type killer struct {
	script
	book   *quarantine.Book
	digest quarantine.Digest
	death  func() string
	now    time.Time
}

// Send implements Carrier.
func (killer *killer) Send(ctx context.Context) (Outcome, error) {
	outcome, err := killer.script.Send(ctx)
	killer.book.Charge(killer.digest, killer.death(), killer.now)
	return outcome, err
}

// Allow implements Carrier.
func (killer *killer) Allow(Outcome, time.Time) bool {
	return killer.book.Standing(killer.digest, killer.now) != quarantine.Barred
}

// The pattern: a request crashes each target that runs it, and its caller sends
// it again and again.
func TestRequestThatKillsTargetsStops(t *testing.T) {
	const most = 2 // deaths over all submissions
	book, now := quarantine.NewBook(), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	digest := quarantine.Of("school", []byte("body"))
	deaths := 0
	death := func() string {
		deaths++
		return string(rune('a' + deaths))
	}
	for range 5 {
		if book.Standing(digest, now) == quarantine.Barred {
			break
		}
		killer := &killer{
			script: script{outcomes: []Outcome{Broken, Broken, Broken, Broken}},
			book:   book, digest: digest, death: death, now: now,
		}
		course := &Delivery{Carrier: killer, Repeatable: true, Attempts: 4}
		if err := course.Run(t.Context()); err == nil {
			t.Error("got an answer, want a refusal")
		}
		now = now.Add(time.Second)
	}
	if deaths > most {
		t.Errorf("got %d deaths, want %d at most", deaths, most)
	}
}
