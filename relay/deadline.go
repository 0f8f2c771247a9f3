package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
)

// defaultDeadline applies to requests for which neither the caller nor the route
// sets a time limit.
const defaultDeadline = 30 * time.Second

// Who sets the deadline of a request, as named in the log.
const (
	limitedByCaller  = "caller"
	limitedByRoute   = "route"
	limitedByDefault = "default"
)

// What ended a request without a complete answer, as named in the log.
const (
	endedByCaller   = "caller"
	endedByDeadline = "deadline"
	endedByStop     = "stop"
	endedByTarget   = "target"
)

// limitDeadline returns the earlier of the caller's deadline and the route's, and who
// set it.
func (relay *Relay) limitDeadline(request *Request, route *routing.Route) (deadline time.Time, limitedBy string) {
	if !request.Deadline.IsZero() {
		deadline, limitedBy = request.Deadline, limitedByCaller
	}
	if timeout := route.TimeoutFor(request.Arrived, relay.versionOverlap()); timeout > 0 {
		if latest := timeout.After(request.Arrived); deadline.IsZero() || latest.Before(deadline) {
			deadline, limitedBy = latest, limitedByRoute
		}
	}
	if deadline.IsZero() {
		deadline, limitedBy = request.Arrived.Add(defaultDeadline), limitedByDefault
	}
	return deadline, limitedBy
}

// versionOverlap returns how long a version of the configuration still counts after this VM has
// put the next one in force. By the platform's bound that may last for ConfigDelay after its
// confirmation; half of that is left for versions that reach this VM late.
func (relay *Relay) versionOverlap() settings.Span {
	return relay.Bounds.ConfigDelay / 2
}

// recordEnd records what ended the request, whose context is given.
func (job *job) recordEnd(ctx context.Context) {
	switch err := ctx.Err(); {
	case errors.Is(err, context.DeadlineExceeded):
		job.endedBy = endedByDeadline
	case err != nil && errors.Is(context.Cause(ctx), context.Canceled):
		job.endedBy = endedByCaller
	case err != nil:
		job.endedBy = endedByStop
	case job.delivery.Runs() > 0:
		job.endedBy = endedByTarget
	}
}

// deadlineFields returns the log fields that tell what ended a request, the time that it had,
// and which versions of the configuration were in force as it arrived and as it ended. There
// are none for requests that were refused before a target had them, with time left.
func (job *job) deadlineFields() []event.Field {
	if job.endedBy == "" {
		return nil
	}
	arrived := job.request.Arrived
	fields := []event.Field{
		event.F("ended_by", job.endedBy), event.F("begun", job.started), event.F("limited_by", job.limitedBy),
		event.F("allowed_ms", job.deadline.Sub(arrived).Milliseconds()), event.F("config_at_arrival", job.table.Version),
		event.F("timeout_ms", job.route.Timeout.After(arrived).Sub(arrived).Milliseconds()),
	}
	if route := job.relay.Table().Match(job.request.Host, job.request.Path); route != nil {
		fields = append(fields, event.F("timeout_now_ms", route.Timeout.After(arrived).Sub(arrived).Milliseconds()))
	}
	return fields
}
