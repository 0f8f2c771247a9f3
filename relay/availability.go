package relay

import (
	"math/rand/v2"
	"time"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/target"
)

// Observer records what an answer says about further requests: an assignment, or a
// contact.
type Observer interface {
	Observe(announcement roster.Announcement, now time.Time) (roster.Change, bool)
	ObserveLimit(rate float64, now time.Time) (roster.LimitChange, bool)
	ObserveTolerance(tolerance float64, now time.Time) (roster.ToleranceChange, bool)
}

// maxProblemLines is the maximum number of log lines per second about rests, limits
// and tolerances that were not used as they are.
const maxProblemLines = 10

// ObserveHead records what the head of a target's answer says about further requests.
func (relay *Relay) ObserveHead(observer Observer, id string, head target.Head, now time.Time) {
	if head.Status == statusMisdirected && head.Incarnation != id {
		return // another target has the address
	}
	if head.RestProblem != "" {
		relay.logProblem(event.RestNotTaken, id, head.RestProblem, event.F("rest_ms", restMS(head.RestUntil, now)), now)
	}
	announcement := roster.Announcement{
		Leaving: head.Draining, RestUntil: head.RestUntil, Rejected: head.NotRun,
	}
	if change, changed := observer.Observe(announcement, now); changed {
		relay.RecordAvailability(change, now)
	}
	if head.LimitProblem != "" {
		relay.logProblem(event.LimitNotTaken, id, head.LimitProblem, event.F("limit", head.Limit), now)
	}
	if change, changed := observer.ObserveLimit(head.Limit, now); changed {
		relay.RecordLimit(change)
	}
	if head.ToleranceProblem != "" {
		relay.logProblem(event.BrittleNotTaken, id, head.ToleranceProblem, event.F("tolerance", head.Tolerance), now)
	}
	if change, changed := observer.ObserveTolerance(head.Tolerance, now); changed {
		relay.RecordTolerance(change)
	}
}

// RecordLimit logs a change of the limit that a target names.
func (relay *Relay) RecordLimit(change roster.LimitChange) {
	fields := []event.Field{event.F("target", change.Target), event.F("service", change.Service), event.F("source", string(change.Source))}
	if change.Rate == 0 {
		relay.Log.Emit(event.TargetUnlimited, fields...)
		return
	}
	relay.Log.Emit(event.TargetLimited, append(fields, event.F("limit", change.Rate))...)
}

// logProblem logs that a target's header could not be used as it is, and what was taken.
func (relay *Relay) logProblem(problem event.Event, id, value string, taken event.Field, now time.Time) {
	skipped, ok := relay.problemSampler.Allow(now, maxProblemLines)
	if !ok {
		return
	}
	relay.Log.Emit(problem, event.F("target", id), event.F("value", value), taken, event.F("skipped", skipped))
}

// RecordAvailability logs and counts a change of a target's availability.
func (relay *Relay) RecordAvailability(change roster.Change, now time.Time) {
	relay.Metrics.ByTarget.Count(change.Target, change.To.String())
	relay.Metrics.Availability.Add(change.Service+"/"+change.To.String(), 1)
	fields := []event.Field{
		event.F("target", change.Target), event.F("service", change.Service), event.F("source", string(change.Source)),
	}
	switch change.To {
	case roster.Leaving:
		relay.Log.Emit(event.TargetLeaving, fields...)
	case roster.Resting:
		relay.Log.Emit(event.TargetResting, append(fields, event.F("until", change.Until), event.F("rest_ms", restMS(change.Until, now)))...)
	default:
		relay.Log.Emit(event.TargetReturned, fields...)
	}
}

// maxLimitDelay is the longest time to retry of a refusal because of targets' limits.
const maxLimitDelay = time.Second

func restMS(until, now time.Time) int64 {
	if until.IsZero() {
		return 0
	}
	return until.Sub(now).Milliseconds()
}

// mayHold reports whether the request may still wait for a target at the given
// time.
func (job *job) mayHold(now time.Time) bool {
	if _, withheld := job.relay.Roster.RestEnd(job.service.Name, now); withheld || job.reservation != nil {
		return job.awaitsRest(now)
	}
	if job.holdDeadline.IsZero() {
		latencyTarget := job.route.LatencyTarget.After(now).Sub(now)
		job.holdDeadline = now.Add(min(latencyTarget/holdDivisor, maxHold))
	}
	if end, limited := job.relay.Roster.LimitEnd(job.service.Name, now); limited && (end.IsZero() || end.After(job.holdDeadline)) {
		return false
	}
	return now.Before(job.holdDeadline)
}

// awaitsRest reports whether the request may still wait for the end of a rest. At the
// end a target gets one request, so one request may wait for each target: it is served
// then unless the target is lost. All others are refused at once.
func (job *job) awaitsRest(now time.Time) bool {
	if job.reservation != nil && now.Before(job.reservation.Until) {
		return true
	}
	job.releaseReservation()
	reservation, ok := job.relay.Roster.Reserve(job.criteria(now), job.latestStart(now), now)
	job.reservation = reservation
	return ok
}

// latestStart returns the time until which a request that waits for a rest must have
// been sent: within the maximum wait of its route and, so that it can be answered,
// within half of the time that it has left.
func (job *job) latestStart(now time.Time) time.Time {
	latest := now.Add(job.deadline.Sub(now) / 2)
	if job.route.MaxWait <= 0 {
		return latest
	}
	if limit := job.route.MaxWait.After(job.request.Arrived); limit.Before(latest) {
		return limit
	}
	return latest
}

func (job *job) releaseReservation() {
	if job.reservation != nil {
		job.reservation.Release()
		job.reservation = nil
	}
}

// delayRetry corrects the time to retry of a refusal: if all targets rest or are at their
// limits, none takes a request before the first of them may get one.
func (job *job) delayRetry(refused *refusal.Refusal, now time.Time) {
	if refused.Code != refusal.NoTarget || job.service == nil {
		return
	}
	end, resting := job.relay.Roster.RestEnd(job.service.Name, now)
	if resting {
		job.restEnd = end
	} else {
		end, job.limited = job.relay.Roster.LimitEnd(job.service.Name, now)
		if latest := now.Add(maxLimitDelay); end.After(latest) {
			end = latest // other VMs have shares of their own
		}
	}
	if refused.RetryAt.Before(end) {
		refused.RetryAt = end.Add(rand.N(delivery.RetryAfter))
	}
}
