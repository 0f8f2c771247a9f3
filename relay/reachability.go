package relay

import (
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/roster"
)

// What is counted of a change of a target's reachability.
const (
	countedLost    = "unreachable"
	countedReached = "reachable"
)

// RecordReachability logs and counts that a target has become unreachable because of the
// error, or reachable if that is nil.
func (relay *Relay) RecordReachability(id string, source roster.Source, err error, now time.Time) {
	activity := relay.Roster.Activity(id, now)
	fields := []event.Field{
		event.F("target", id), event.F("service", activity.Service), event.F("source", string(source)),
		event.F("in_flight", activity.InFlight), event.F("silent_ms", activity.Silence.Milliseconds()),
	}
	counted, emitted := countedReached, event.TargetReached
	if err != nil {
		counted, emitted, fields = countedLost, event.TargetLost, append(fields, event.Err(err))
	}
	relay.Metrics.Availability.Add(activity.Service+"/"+counted, 1)
	relay.Log.Emit(emitted, fields...)
}

// recordLoss records that an attempt failed because the target is unreachable.
func (job *job) recordLoss(assignment *roster.Assignment, err error, now time.Time) {
	if assignment.Failed(true, now) {
		job.relay.RecordReachability(assignment.ID, roster.SourceAttempt, err, now)
	}
}
