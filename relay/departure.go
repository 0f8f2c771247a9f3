package relay

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/refusal"
)

// Where a request was when its caller left, as named in the log.
const (
	leftBeforeSend = "before_send" // about to be sent to a target
	leftAtTarget   = "at_target"
	leftWaiting    = "waiting" // not at a target
)

// recordDeparture records where the request was when its caller left, if it has.
func (job *job) recordDeparture(ctx context.Context, where string) {
	if job.callerLeft == "" && (errors.Is(ctx.Err(), context.Canceled) || job.answer.CallerLeft()) {
		job.callerLeft = where
	}
}

// checkCaller refuses a request whose caller has left, or whose time is over. The
// connection is looked at too: its end is read by another goroutine, which may not have
// run yet although the caller left long ago.
func (job *job) checkCaller(ctx context.Context) error {
	job.recordDeparture(ctx, leftBeforeSend)
	refused := delivery.CallerGoneRefusal()
	switch {
	case ctx.Err() != nil:
		refused = delivery.ContextRefusal(ctx)
	case job.callerLeft == "":
		return nil
	}
	job.relay.Metrics.Abandoned.Add(1)
	if job.delivery.Runs() == 0 {
		return refused.WithOutcome(refusal.NotRun)
	}
	return refused
}

// checkCallerBeforeSend is checkCaller once a target was chosen, which it gives up if the
// request is not to be sent.
func (job *job) checkCallerBeforeSend(ctx context.Context) (bool, error) {
	if err := job.checkCaller(ctx); err != nil {
		job.attempt.assignment.Withdraw()
		return false, err
	}
	return true, nil
}
