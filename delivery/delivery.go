// Package delivery sends one request to one target after another until a target
// answers it completely or the request has to end.
//
// It implements the retry rules for all kinds of requests. A request that may run
// only once goes to another target only if it certainly did not run. Repeatable
// requests may run at several targets, as long as the retry budget lasts and the
// quarantine does not block the request. Each refusal states correctly whether
// the request may have run. The Sender selects the next target and sends the
// request; this package does no I/O.
//
// # Usage
//
//	request := &delivery.Delivery{Sender: sender, Repeatable: true, Attempts: 3}
//	err := request.Run(ctx)
//	refused := refusal.From(err)
package delivery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/refusal"
)

// Outcome is how an attempt at a target ended.
type Outcome int

// The outcomes.
const (
	// Answered: the caller received the complete answer.
	Answered Outcome = iota
	// CallerGone: the caller disconnected while the answer was being sent.
	CallerGone
	// NotSent: no byte of the request left this VM.
	NotSent
	// NotRun: the target reported that it did not run the request.
	NotRun
	// FailedAnswer: the target sent a complete answer that reports a failure.
	FailedAnswer
	// Broken: the target may have run the request, but sent no complete answer.
	Broken
)

// String returns the outcome's name for metrics.
func (outcome Outcome) String() string {
	return [...]string{"answered", "caller_gone", "not_sent", "not_run", "failed_answer", "broken"}[outcome]
}

// EndReason is why no further target was tried for a request without a complete answer.
type EndReason string

// The end reasons.
const (
	AtMostOnce      EndReason = "at_most_once"
	AttemptsUsed    EndReason = "attempts_used"
	RetryNotAllowed EndReason = "retry_not_allowed"
	NoTarget        EndReason = "no_target"
)

// RetryAfter is the delay after which a caller should retry when no target can take
// its request. It is about as long as the platform's lists take to replace a target.
const RetryAfter = 300 * time.Millisecond

// Sender selects targets for one request and sends the request to them.
type Sender interface {
	// ChooseTarget selects the next target and reserves a slot there. It may wait
	// for a target. It returns false when no target may take the request. An error
	// ends the request.
	ChooseTarget(ctx context.Context) (bool, error)
	// Send makes one attempt at the selected target and releases the slot. An error
	// ends the request after the outcome was counted.
	Send(ctx context.Context) (Outcome, error)
	// AllowRetry reports whether retry budget and quarantine allow another target
	// after an outcome other than Answered, and takes the retry out of the budget.
	AllowRetry(outcome Outcome, now time.Time) bool
	// Started reports whether a part of the answer was sent to the caller.
	Started() bool
	// Fallback sends the caller the last complete answer that reported a failure.
	// It returns false when there is none. The error is a refusal.
	Fallback() (bool, error)
}

// Delivery is the processing of one request by one or more targets. The exported
// fields are set before Run.
type Delivery struct {
	Sender Sender
	// Repeatable is set for requests that may go to another target after one target
	// may have run them.
	Repeatable bool
	// Attempts is the maximum number of targets that may run the request.
	Attempts int
	// AllowReturn, if set, reports whether the request may return to a target that ran it and
	// was left before it had failed. After Attempts it is sent to no other target.
	AllowReturn func(now time.Time) bool

	runs       int
	rejections int
	endReason  EndReason
}

// Runs returns the number of targets that may have run the request.
func (delivery *Delivery) Runs() int {
	return delivery.runs
}

// Rejections returns the number of targets that reported that they did not run the
// request.
func (delivery *Delivery) Rejections() int {
	return delivery.rejections
}

// MayLeave reports whether another target may run the request if the current attempt,
// which may have run it, is cancelled.
func (delivery *Delivery) MayLeave() bool {
	return delivery.Repeatable && delivery.runs+1 < delivery.Attempts
}

// EndReason returns why no further target was tried. It is empty if the request was
// answered or ended by its caller, its deadline or an error of the Sender.
func (delivery *Delivery) EndReason() EndReason {
	return delivery.endReason
}

// Run sends the request to targets until it is answered or refused. A nil error
// means that the caller received a complete answer. Otherwise the error is a refusal.
// If the caller received a part of the answer, the code is StreamInterrupted,
// CallerGone, Quarantined or KeyWithdrawn.
func (delivery *Delivery) Run(ctx context.Context) error {
	for {
		ok, err := delivery.Sender.ChooseTarget(ctx)
		switch {
		case err != nil:
			return delivery.refuse(err)
		case !ok && ctx.Err() != nil:
			return delivery.refuse(ContextRefusal(ctx))
		case !ok:
			delivery.endReason = NoTarget
			return delivery.exhausted()
		}
		outcome, err := delivery.Sender.Send(ctx)
		delivery.count(outcome)
		if err != nil {
			return delivery.refuse(err)
		}
		if done, err := delivery.handleOutcome(ctx, outcome); done {
			return err
		}
	}
}

func (delivery *Delivery) count(outcome Outcome) {
	switch outcome {
	case NotSent:
	case NotRun:
		delivery.rejections++
	default:
		delivery.runs++
	}
}

// handleOutcome decides after an attempt whether the request is done or goes to
// another target. If it is done, a nil error means that the caller received a
// complete answer.
func (delivery *Delivery) handleOutcome(ctx context.Context, outcome Outcome) (done bool, err error) {
	switch {
	case outcome == Answered:
		return true, nil
	case outcome == CallerGone:
		return true, delivery.refuse(CallerGoneRefusal())
	case ctx.Err() != nil:
		return true, delivery.refuse(ContextRefusal(ctx))
	case delivery.mayRetry(outcome):
		return false, nil
	}
	return true, delivery.exhausted()
}

// mayRetry reports whether another target may take the request after an outcome.
// Requests that are not repeatable go to another target only if they certainly did
// not run.
func (delivery *Delivery) mayRetry(outcome Outcome) bool {
	delivery.endReason = delivery.retryObstacle(outcome)
	return delivery.endReason == ""
}

// retryObstacle returns why no other target may take the request after an outcome, or
// an empty reason.
func (delivery *Delivery) retryObstacle(outcome Outcome) EndReason {
	switch {
	case outcome == NotSent:
		return ""
	case outcome != NotRun && !delivery.Repeatable:
		return AtMostOnce
	case outcome != NotRun && delivery.runs >= delivery.Attempts:
		if delivery.AllowReturn != nil && delivery.AllowReturn(time.Now()) {
			return ""
		}
		return AttemptsUsed
	case !delivery.Sender.AllowRetry(outcome, time.Now()):
		return RetryNotAllowed
	}
	return ""
}

// exhausted ends a request that no further target can take. The caller receives the
// last complete answer that reported a failure, if there is one.
func (delivery *Delivery) exhausted() error {
	if delivery.runs == 0 {
		return delivery.refuse(noTargetRefusal(time.Now()))
	}
	if !delivery.Sender.Started() {
		if sent, err := delivery.Sender.Fallback(); sent || err != nil {
			return err
		}
	}
	return delivery.refuse(refusal.New(refusal.TargetFailed, "the target failed; retry if the request may run twice"))
}

// refuse completes a refusal: it states whether the request may have run, and uses
// the code StreamInterrupted if the caller received a part of the answer, except for
// the codes in keepsCodeAfterStart.
func (delivery *Delivery) refuse(err error) error {
	refused := refusal.From(err)
	if delivery.runs == 0 {
		return refused.WithOutcome(refusal.NotRun)
	}
	if delivery.Sender.Started() && !keepsCodeAfterStart(refused.Code) {
		refused = refusal.New(refusal.StreamInterrupted, refused.Message)
	}
	return refused.WithOutcome(refusal.Unknown)
}

// keepsCodeAfterStart reports whether a refusal keeps its code after a part of the
// answer was sent. These are the refusals for which sending the request again does
// not help.
func keepsCodeAfterStart(code refusal.Code) bool {
	return code == refusal.CallerGone || code == refusal.Quarantined || code == refusal.KeyWithdrawn
}

// ContextRefusal returns the refusal of a request whose context ended: the cause of
// the context if that is a refusal.
func ContextRefusal(ctx context.Context) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(context.Cause(ctx), &refused) {
		refusalCopy := *refused // the cause may be shared with other requests
		return &refusalCopy
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlineExceeded, "the request took longer than it may; allow more time or shorten it")
	}
	return CallerGoneRefusal()
}

// CallerGoneRefusal returns the refusal of a request whose caller has left.
func CallerGoneRefusal() *refusal.Refusal {
	return refusal.New(refusal.CallerGone, "the caller went away")
}

// noTargetRefusal refuses a request that no target can take. A random delay of up
// to RetryAfter is added, so that callers refused at the same time do not retry at
// the same time.
func noTargetRefusal(now time.Time) *refusal.Refusal {
	delay := RetryAfter + rand.N(RetryAfter)
	return refusal.New(refusal.NoTarget, "no target can take this now; retry after the time in Retry-After").WithRetryAt(now.Add(delay))
}
