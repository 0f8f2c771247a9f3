package relay

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/roster"
)

// fields returns the log fields that describe the request.
func (job *job) fields() []event.Field {
	fields := []event.Field{event.F("route", job.route.Name), event.F("runs", job.delivery.Runs()), event.F("rejections", job.delivery.Rejections())}
	fields = append(fields, job.takeUpFields()...)
	if job.account != nil {
		fields = append(fields, event.F("client_account", job.account.Name))
	}
	if job.blockedPart != "" {
		fields = append(fields, event.F("blocked_part", loggedPart(job.blockedPart)))
	}
	switch {
	case job.refusedWait > 0:
		return append(fields, job.waitFields()...)
	case job.limitEstimate != nil:
		return append(fields, job.rateFields()...)
	case !job.restEnd.IsZero():
		fields = append(fields, event.F("all_rest_until", job.restEnd))
	case job.notAdmitted:
		fields = append(fields, event.F("brittle_and_full", true))
	case job.overRoom:
		fields = append(fields, event.F("over_room", true))
	case job.tooLate:
		fields = append(fields, event.F("too_late", true))
	case job.limited:
		fields = append(fields, event.F("all_at_limit", true))
	}
	if len(job.tried) > 0 {
		fields = append(fields, event.F("target", job.tried[len(job.tried)-1]))
	}
	reason := job.delivery.EndReason()
	if reason != "" {
		fields = append(fields, event.F("end_reason", string(reason)))
	}
	if reason == delivery.NoTarget {
		fields = append(fields, event.F("not_taken", job.obstacles))
	}
	if job.retryDenial != "" {
		fields = append(fields, event.F("retry_denied_by", job.retryDenial))
	}
	return fields
}

// endFields returns the log fields that tell where a request was when its caller left, what
// ended it, and how late it is refused after its deadline.
func (job *job) endFields(refused *refusal.Refusal) []event.Field {
	fields := job.deadlineFields()
	if refused.Code == refusal.CallerGone {
		where := job.callerLeft
		if where == "" {
			where = leftWaiting
		}
		fields = append(fields, event.F("caller_left", where))
	}
	if overrun := time.Since(job.deadline); overrun > 0 {
		fields = append(fields, event.F("overrun_ms", overrun.Milliseconds()))
	}
	return fields
}

// rateFields returns the log fields of a request that was refused because of its
// account's rate limit.
func (job *job) rateFields() []event.Field {
	return []event.Field{
		event.F("tokens", int(job.charge())), event.F("spare_tokens", int(job.limitEstimate.Spare)),
		event.F("rate", int(job.account.Rate)), event.F("demand", int(job.limitEstimate.Demand)),
		event.F("counts_age_ms", job.limitEstimate.CountsAge.Milliseconds()), event.F("fleet_heard", job.limitEstimate.FleetReachable),
	}
}

// waitFields returns the log fields of a request that was refused because its
// estimated wait was too long.
func (job *job) waitFields() []event.Field {
	now := time.Now()
	assignment := &job.attempt.assignment
	return []event.Field{
		event.F("target", assignment.ID), event.F("estimated_wait_ms", assignment.Wait.Milliseconds()),
		event.F("corrected_wait_ms", job.refusedWait.Milliseconds()),
		event.F("allowed_wait_ms", job.route.MaxWait.After(now).Sub(now).Milliseconds()),
	}
}

// throughText returns the address of the VM through which a target was connected to, or an
// empty string.
func throughText(through netip.AddrPort) string {
	if !through.IsValid() {
		return ""
	}
	return through.String()
}

// sendFields returns the log fields that tell how long after its choice of the target a request
// was sent there, and how long it has waited there since.
func (attempt *attempt) sendFields(now time.Time) []event.Field {
	if attempt.sentAt.IsZero() {
		return nil
	}
	return []event.Field{
		event.F("cache_scope", string(attempt.scope)),
		event.F("sent_after_ms", attempt.sentAt.Sub(attempt.chosenAt).Milliseconds()), event.F("at_target_ms", now.Sub(attempt.sentAt).Milliseconds()),
	}
}

// checkBegun logs that a request began on weights that may no longer be used.
func (job *job) checkBegun(now time.Time) {
	prompt, answered := job.request.Prompt, job.attempt.head.Weights
	if !job.usesWeights() || answered == "" {
		return
	}
	newest := job.relay.Weights.Named(prompt.Model, now.Add(-time.Duration(job.relay.Bounds.WeightsGrace)))
	if weights, err := strconv.ParseUint(answered, 10, 64); err != nil || weights >= newest {
		return
	}
	assignment := &job.attempt.assignment
	job.relay.Metrics.BegunLate.Add(1)
	job.relay.Log.Emit(event.BegunLate, append(job.attempt.sendFields(now),
		event.F("request", job.request.ID), event.F("target", assignment.ID), event.F("answer_weights", answered), event.F("weights", assignment.Weights),
		event.F("required_weights", assignment.RequiredWeights), event.F("newest_weights", newest), event.F("estimated_wait_ms", assignment.Wait.Milliseconds()),
		event.F("prompt_tokens", prompt.Input), event.F("runs", job.delivery.Runs()), event.F("through", throughText(assignment.Through)))...)
}

func (job *job) logAttempt(assignment *roster.Assignment, err error) {
	fields := append(append(job.request.resumesFields(), job.attempt.sendFields(time.Now())...),
		event.F("request", job.request.ID), event.F("target", assignment.ID), event.Err(err), event.F("software", assignment.Software),
		event.F("status", job.attempt.head.Status), event.F("weights", assignment.Weights), event.F("answer_weights", job.attempt.head.Weights), event.F("required_weights", assignment.RequiredWeights), event.F("through", throughText(assignment.Through)), event.F("after_event", job.lastEventID), event.F("died", job.attempt.died))
	job.relay.Log.Emit(event.AttemptFailed, fields...)
}
