// Package delivery takes one request to one target after another until one
// answers it whole, or until it has to end.
//
// It holds the rules of repetition for every kind of request: a request that may
// run once goes to another target only when it surely did not run; others may
// run at a few targets, as long as the retry budget lasts and the request is not
// barred. Each refusal says truly whether the request may have run. Which target
// is next and what is sent there is the carrier's: the package does no I/O.
//
// # Usage
//
//	course := &delivery.Delivery{Carrier: job, Repeatable: true, Attempts: 3}
//	err := course.Run(ctx)
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
	// Answered: the caller has the whole answer.
	Answered Outcome = iota
	// CallerGone: the caller left while the answer was passed on.
	CallerGone
	// NotSent: no byte of the request left this VM.
	NotSent
	// NotRun: the target said that it did not run the request.
	NotRun
	// FailedAnswer: the target's whole answer tells of a failure.
	FailedAnswer
	// Broken: the target may have run the request, and there is no whole answer.
	Broken
)

// String returns the outcome's name for metrics.
func (outcome Outcome) String() string {
	return [...]string{"answered", "caller_gone", "not_sent", "not_run", "failed_answer", "broken"}[outcome]
}

// ComeBack is when a caller should try again while no target can take its
// request: about the time in which a target is replaced in the lists.
const ComeBack = 300 * time.Millisecond

// Carrier chooses targets for one request and sends it there.
type Carrier interface {
	// Choose takes a place at the next target; false when no target may have the
	// request. It may wait for one. An error ends the request.
	Choose(ctx context.Context) (bool, error)
	// Send makes one attempt at the target that was chosen and gives its place
	// back. An error ends the request after the outcome was noted.
	Send(ctx context.Context) (Outcome, error)
	// Allow reports whether another target may have the request after an outcome
	// other than Answered, as far as budgets and bars go, and takes the repetition
	// out of the budget.
	Allow(outcome Outcome, now time.Time) bool
	// Started reports whether a part of the answer was passed on.
	Started() bool
	// Fallback passes on the last whole answer that told of a failure; false when
	// there is none. The error is a refusal.
	Fallback() (bool, error)
}

// Delivery is one request on its way. The exported fields are set before Run.
type Delivery struct {
	Carrier Carrier
	// Repeatable requests may run again after they may have run.
	Repeatable bool
	// Attempts is the number of targets that may run the request.
	Attempts int

	runs       int
	rejections int
}

// Runs returns the number of targets that may have run the request.
func (delivery *Delivery) Runs() int {
	return delivery.runs
}

// Rejections returns the number of targets that said that they did not run it.
func (delivery *Delivery) Rejections() int {
	return delivery.rejections
}

// Run sends the request until it ends. A nil error means that the caller has a
// whole answer; any other error is a refusal, with the code StreamInterrupted
// when the caller has a part.
func (delivery *Delivery) Run(ctx context.Context) error {
	for {
		ok, err := delivery.Carrier.Choose(ctx)
		switch {
		case err != nil:
			return delivery.refuse(err)
		case !ok && ctx.Err() != nil:
			return delivery.refuse(Ended(ctx))
		case !ok:
			return delivery.exhausted()
		}
		outcome, err := delivery.Carrier.Send(ctx)
		delivery.count(outcome)
		if err != nil {
			return delivery.refuse(err)
		}
		if done, err := delivery.judge(ctx, outcome); done {
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

// judge decides after an attempt: the request is done, answered or with an error,
// or goes to another target.
func (delivery *Delivery) judge(ctx context.Context, outcome Outcome) (done bool, err error) {
	switch {
	case outcome == Answered:
		return true, nil
	case outcome == CallerGone:
		return true, delivery.refuse(callerGone())
	case ctx.Err() != nil:
		return true, delivery.refuse(Ended(ctx))
	case delivery.mayGoOn(outcome):
		return false, nil
	}
	return true, delivery.exhausted()
}

// mayGoOn reports whether another target may have the request after an outcome.
// Only what surely did not run goes on whatever its kind.
func (delivery *Delivery) mayGoOn(outcome Outcome) bool {
	switch outcome {
	case NotSent:
		return true
	case NotRun:
		return delivery.Carrier.Allow(outcome, time.Now())
	}
	return delivery.Repeatable && delivery.runs < delivery.Attempts && delivery.Carrier.Allow(outcome, time.Now())
}

// exhausted is the end of a request that no further target gets: with the answer
// that told of a failure, if there was one.
func (delivery *Delivery) exhausted() error {
	if delivery.runs == 0 {
		return delivery.refuse(noTarget(time.Now()))
	}
	if !delivery.Carrier.Started() {
		if passed, err := delivery.Carrier.Fallback(); passed || err != nil {
			return err
		}
	}
	return delivery.refuse(refusal.New(refusal.TargetFailed, "the target failed; retry if the request may run twice"))
}

// refuse completes a refusal: it says truly whether the request may have run,
// and that the caller has a part of the answer.
func (delivery *Delivery) refuse(err error) error {
	refused := refusal.From(err)
	if delivery.runs == 0 {
		return refused.With(refusal.NotRun)
	}
	if delivery.Carrier.Started() && !toldInStreams(refused.Code) {
		refused = refusal.New(refusal.StreamInterrupted, refused.Message)
	}
	return refused.With(refusal.Unknown)
}

// toldInStreams reports whether a refusal keeps its code after a part of the
// answer was passed on: those that sending again does not help.
func toldInStreams(code refusal.Code) bool {
	return code == refusal.CallerGone || code == refusal.Quarantined || code == refusal.KeyWithdrawn
}

// Ended returns the refusal of a request whose context ended: its cause, if that
// is a refusal.
func Ended(ctx context.Context) *refusal.Refusal {
	var refused *refusal.Refusal
	if errors.As(context.Cause(ctx), &refused) {
		copied := *refused // the cause may end other requests too
		return &copied
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlineExceeded, "the request took longer than it may; allow more time or shorten it")
	}
	return callerGone()
}

func callerGone() *refusal.Refusal {
	return refusal.New(refusal.CallerGone, "the caller went away")
}

// noTarget refuses a request that no target can have. Callers that are refused
// together come back spread over as long again.
func noTarget(now time.Time) *refusal.Refusal {
	pause := ComeBack + rand.N(ComeBack)
	return refusal.New(refusal.NoTarget, "no target can take this now; retry after the time in Retry-After").At(now.Add(pause))
}
