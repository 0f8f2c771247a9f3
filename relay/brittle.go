package relay

import (
	"math/rand/v2"
	"time"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/roster"
)

// checkAdmission refuses a new request if the targets of its service are brittle and
// nearly full: one of them would reject it, and may fall over. Streams that are taken up
// are exempt, because their callers already have a part of the answer.
func (job *job) checkAdmission(now time.Time) error {
	if job.service == nil || job.request.LastEventID != "" || job.relay.Roster.Admit(job.service.Name, now) {
		return nil
	}
	job.relay.Metrics.NotAdmitted.Add(1)
	job.notAdmitted = true
	retryAt := now.Add(delivery.RetryAfter + rand.N(delivery.RetryAfter))
	return refusal.New(refusal.Overloaded, "all targets are busy; retry after the time in Retry-After").WithRetryAt(retryAt)
}

// RecordTolerance logs that a target became brittle or ceased to be so.
func (relay *Relay) RecordTolerance(change roster.ToleranceChange) {
	fields := []event.Field{event.F("target", change.Target), event.F("service", change.Service), event.F("source", string(change.Source))}
	if change.Tolerance == 0 {
		relay.Log.Emit(event.TargetSturdy, fields...)
		return
	}
	relay.Log.Emit(event.TargetBrittle, append(fields, event.F("tolerance", change.Tolerance))...)
}
