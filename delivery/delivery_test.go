package delivery

import (
	"context"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/refusal"
)

// scriptedSender is a sender whose attempts end with predefined outcomes.
type scriptedSender struct {
	outcomes []Outcome // of the attempts, in order
	failAt   int       // number of the attempt, from 1, whose error ends the request; 0 for none
	budget   int       // number of retries allowed
	blocked  bool
	started  bool // the first attempt sends a part of the answer
	// cancelAt is the number of the attempt, from 1, during which cancel ends the
	// caller's context.
	cancelAt int
	cancel   context.CancelCauseFunc

	sent      int
	fallbacks int
}

// ChooseTarget implements Sender.
func (scriptedSender *scriptedSender) ChooseTarget(context.Context) (bool, error) {
	return scriptedSender.sent < len(scriptedSender.outcomes), nil
}

// Send implements Sender.
func (scriptedSender *scriptedSender) Send(context.Context) (Outcome, error) {
	scriptedSender.sent++
	if scriptedSender.sent == scriptedSender.cancelAt {
		scriptedSender.cancel(nil)
	}
	if scriptedSender.sent == scriptedSender.failAt {
		return scriptedSender.outcomes[scriptedSender.sent-1], refusal.New(refusal.BadRequest, "check the request")
	}
	return scriptedSender.outcomes[scriptedSender.sent-1], nil
}

// AllowRetry implements Sender.
func (scriptedSender *scriptedSender) AllowRetry(outcome Outcome, _ time.Time) bool {
	if scriptedSender.blocked && outcome != NotRun || scriptedSender.budget == 0 {
		return false
	}
	scriptedSender.budget--
	return true
}

// Started implements Sender.
func (scriptedSender *scriptedSender) Started() bool {
	return scriptedSender.started && scriptedSender.sent > 0
}

// Fallback implements Sender.
func (scriptedSender *scriptedSender) Fallback() (bool, error) {
	for _, outcome := range scriptedSender.outcomes[:scriptedSender.sent] {
		if outcome == FailedAnswer {
			scriptedSender.fallbacks++
			return true, nil
		}
	}
	return false, nil
}

// Targets crash, reject, fail and truncate answers in turn, for each kind of
// request.
func TestRun(t *testing.T) {
	const largeBudget = 9
	cases := []struct {
		name           string
		scriptedSender scriptedSender
		repeatable     bool
		attempts       int
		wantSent       int
		wantCode       refusal.Code // empty when the caller received the complete answer
		want           refusal.Outcome
	}{
		{"answered", scriptedSender{outcomes: []Outcome{Answered}, budget: largeBudget}, false, 1, 1, "", ""},
		{"once: not sent is retried", scriptedSender{outcomes: []Outcome{NotSent, NotSent, Answered}}, false, 1, 3, "", ""},
		{"once: not run is retried", scriptedSender{outcomes: []Outcome{NotRun, Answered}, budget: largeBudget}, false, 1, 2, "", ""},
		{"once: not run, no budget", scriptedSender{outcomes: []Outcome{NotRun, Answered}}, false, 1, 1, refusal.NoTarget, refusal.NotRun},
		{"once: may have run", scriptedSender{outcomes: []Outcome{Broken, Answered}, budget: largeBudget}, false, 3, 1, refusal.TargetFailed, refusal.Unknown},
		{"once: not run, then may have run", scriptedSender{outcomes: []Outcome{NotRun, Broken, Answered}, budget: largeBudget}, false, 3, 2, refusal.TargetFailed, refusal.Unknown},
		{"once: a failed answer is sent to the caller", scriptedSender{outcomes: []Outcome{FailedAnswer, Answered}, budget: largeBudget}, false, 3, 1, "", ""},
		{"repeatable: broken is retried", scriptedSender{outcomes: []Outcome{Broken, Broken, Answered}, budget: largeBudget}, true, 3, 3, "", ""},
		{"repeatable: attempts are bounded", scriptedSender{outcomes: []Outcome{Broken, Broken, Broken, Answered}, budget: largeBudget}, true, 3, 3, refusal.TargetFailed, refusal.Unknown},
		{"repeatable: not run does not count as a run", scriptedSender{outcomes: []Outcome{Broken, NotRun, NotSent, Broken, Answered}, budget: largeBudget}, true, 3, 5, "", ""},
		{"repeatable: no budget", scriptedSender{outcomes: []Outcome{Broken, Answered}}, true, 3, 1, refusal.TargetFailed, refusal.Unknown},
		{"repeatable: blocked", scriptedSender{outcomes: []Outcome{Broken, Answered}, budget: largeBudget, blocked: true}, true, 3, 1, refusal.TargetFailed, refusal.Unknown},
		{"repeatable: a failed answer is retried", scriptedSender{outcomes: []Outcome{FailedAnswer, Answered}, budget: largeBudget}, true, 3, 2, "", ""},
		{"repeatable: the failed answer when the retry breaks", scriptedSender{outcomes: []Outcome{FailedAnswer, Broken}, budget: largeBudget}, true, 2, 2, "", ""},
		{"repeatable: no failed answer after a part", scriptedSender{outcomes: []Outcome{FailedAnswer, Broken}, budget: largeBudget, started: true}, true, 2, 2, refusal.StreamInterrupted, refusal.Unknown},
		{"stream interrupted", scriptedSender{outcomes: []Outcome{Broken}, budget: largeBudget, started: true}, true, 3, 1, refusal.StreamInterrupted, refusal.Unknown},
		{"no target", scriptedSender{budget: largeBudget}, true, 3, 0, refusal.NoTarget, refusal.NotRun},
		{"no target accepts connections", scriptedSender{outcomes: []Outcome{NotSent, NotSent}, budget: largeBudget}, true, 3, 2, refusal.NoTarget, refusal.NotRun},
		{"caller disconnects during the answer", scriptedSender{outcomes: []Outcome{CallerGone, Answered}, budget: largeBudget}, true, 3, 1, refusal.CallerGone, refusal.Unknown},
		{"caller disconnects before anything ran", scriptedSender{outcomes: []Outcome{NotSent, Answered}, budget: largeBudget, cancelAt: 1}, true, 3, 1, refusal.CallerGone, refusal.NotRun},
		{"caller disconnects during a run", scriptedSender{outcomes: []Outcome{Broken, Answered}, budget: largeBudget, cancelAt: 1}, true, 3, 1, refusal.CallerGone, refusal.Unknown},
		{"bad request, nothing ran", scriptedSender{outcomes: []Outcome{NotRun, Answered}, budget: largeBudget, failAt: 1}, true, 3, 1, refusal.BadRequest, refusal.NotRun},
		{"bad request after a run", scriptedSender{outcomes: []Outcome{Broken, NotRun}, budget: largeBudget, failAt: 2}, true, 3, 2, refusal.BadRequest, refusal.Unknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			scriptedSender := test.scriptedSender
			scriptedSender.cancel = cancel
			delivery := &Delivery{Sender: &scriptedSender, Repeatable: test.repeatable, Attempts: test.attempts}
			err := delivery.Run(ctx)
			if scriptedSender.sent != test.wantSent {
				t.Errorf("got %d attempts, want %d", scriptedSender.sent, test.wantSent)
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

// A request whose context ends is refused with the cause. Only when the deadline
// passes during a stream is the code StreamInterrupted instead.
func TestContextRefusal(t *testing.T) {
	withdrawn := refusal.New(refusal.KeyWithdrawn, "ask for a new key")
	cases := []struct {
		name    string
		cause   error
		started bool
		want    refusal.Code
	}{
		{"caller disconnected", context.Canceled, false, refusal.CallerGone},
		{"caller disconnected during a stream", context.Canceled, true, refusal.CallerGone},
		{"key withdrawn", withdrawn, false, refusal.KeyWithdrawn},
		{"key withdrawn during a stream", withdrawn, true, refusal.KeyWithdrawn},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			scriptedSender := &scriptedSender{outcomes: []Outcome{Broken}, started: test.started, cancelAt: 1}
			scriptedSender.cancel = func(error) { cancel(test.cause) }
			delivery := &Delivery{Sender: scriptedSender, Repeatable: true, Attempts: 3}
			if got := refusal.From(delivery.Run(ctx)); got.Code != test.want {
				t.Errorf("got %q, want %q", got.Code, test.want)
			}
		})
	}
	if withdrawn.Outcome != refusal.NotRun {
		t.Errorf("got outcome %q in the shared cause, want it unchanged", withdrawn.Outcome)
	}
	ctx, cancel := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer cancel()
	scriptedSender := &scriptedSender{outcomes: []Outcome{Broken}, started: true}
	delivery := &Delivery{Sender: scriptedSender, Repeatable: true, Attempts: 3}
	if got := refusal.From(delivery.Run(ctx)); got.Code != refusal.StreamInterrupted {
		t.Errorf("got %q for a stream past its deadline, want %q", got.Code, refusal.StreamInterrupted)
	}
}

// crashingSender simulates a request that crashes each target that runs it, at one
// of several VMs that share their quarantine state.
type crashingSender struct {
	scriptedSender
	tracker *quarantine.Tracker
	digest  quarantine.Digest
	death   func() string
	now     time.Time
}

// Send implements Sender.
func (crashingSender *crashingSender) Send(ctx context.Context) (Outcome, error) {
	outcome, err := crashingSender.scriptedSender.Send(ctx)
	crashingSender.tracker.RecordDeath(crashingSender.digest, crashingSender.death(), crashingSender.now)
	return outcome, err
}

// AllowRetry implements Sender.
func (crashingSender *crashingSender) AllowRetry(Outcome, time.Time) bool {
	return crashingSender.tracker.State(crashingSender.digest, crashingSender.now) != quarantine.Blocked
}

// A request crashes each target that runs it, and its caller sends it repeatedly.
// The quarantine must bound the number of crashed targets.
func TestRequestThatCrashesTargetsIsBlocked(t *testing.T) {
	const maxDeaths = 2 // over all submissions
	tracker, now := quarantine.NewTracker(), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	digest := quarantine.DigestOf("school", []byte("body"))
	deaths := 0
	death := func() string {
		deaths++
		return string(rune('a' + deaths))
	}
	for range 5 {
		if tracker.State(digest, now) == quarantine.Blocked {
			break
		}
		crashingSender := &crashingSender{
			scriptedSender: scriptedSender{outcomes: []Outcome{Broken, Broken, Broken, Broken}},
			tracker:        tracker, digest: digest, death: death, now: now,
		}
		delivery := &Delivery{Sender: crashingSender, Repeatable: true, Attempts: 4}
		if err := delivery.Run(t.Context()); err == nil {
			t.Error("got an answer, want a refusal")
		}
		now = now.Add(time.Second)
	}
	if deaths > maxDeaths {
		t.Errorf("got %d target deaths, want at most %d", deaths, maxDeaths)
	}
}

func TestEndReasonNamesWhatPreventedARetry(t *testing.T) {
	tests := []struct {
		name       string
		sender     scriptedSender
		repeatable bool
		attempts   int
		want       EndReason
	}{
		{"answered", scriptedSender{outcomes: []Outcome{Answered}}, true, 2, ""},
		{"runs once", scriptedSender{outcomes: []Outcome{Broken, Answered}, budget: 1}, false, 2, AtMostOnce},
		{"attempts used", scriptedSender{outcomes: []Outcome{Broken, Answered}, budget: 1}, true, 1, AttemptsUsed},
		{"no budget", scriptedSender{outcomes: []Outcome{Broken, Answered}}, true, 2, RetryNotAllowed},
		{"no target", scriptedSender{outcomes: []Outcome{Broken}, budget: 1}, true, 2, NoTarget},
	}
	for _, test := range tests {
		delivery := Delivery{Sender: &test.sender, Repeatable: test.repeatable, Attempts: test.attempts}
		_ = delivery.Run(t.Context()) // the end reason is checked instead
		if got := delivery.EndReason(); got != test.want {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}
