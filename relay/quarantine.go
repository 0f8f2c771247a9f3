package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/target"
)

// checkParts refuses the request if a part of its prompt is blocked.
func (job *job) checkParts(now time.Time) error {
	blocked, ok := job.relay.Parts.Blocked(job.parts, now)
	if !ok {
		return nil
	}
	job.blockedPart = blocked.Part
	return refusal.New(refusal.Quarantined, "targets died while prompts with a part of this one ran; change the prompt")
}

// recordAnswer records that the parts of an answered prompt do not crash targets. An
// empty stream shows nothing: one without length ends like this when its target dies.
func (job *job) recordAnswer(now time.Time) {
	head := &job.attempt.head
	if len(job.parts) > 0 && head.Status == http.StatusOK && (job.attempt.events || !head.Stream) {
		job.relay.Parts.RecordAnswer(job.parts, now)
	}
}

// recordEvent records an event of a stream. A stream that has gone on for a while shows
// that the parts of its prompt do not crash targets.
func (job *job) recordEvent(now time.Time) {
	attempt := &job.attempt
	switch {
	case !attempt.events:
		attempt.events, attempt.runningAt = true, now.Add(quarantine.RunningTime)
	case !attempt.runningAt.IsZero() && !now.Before(attempt.runningAt):
		attempt.runningAt = time.Time{}
		if len(job.parts) > 0 && attempt.head.Status == http.StatusOK {
			job.relay.Parts.RecordRunning(job.parts, now)
		}
	}
}

// recordDeath records a target's death in the quarantine, against the request and the
// parts of its prompt, if the target accepts connections neither of this VM nor of others.
func (job *job) recordDeath(ctx context.Context, assignment *roster.Assignment, result error) {
	if !errors.Is(result, target.ErrConnectionLost) || assignment.Through.IsValid() {
		return // nothing shows whether the target died or the VM in between
	}
	now := time.Now()
	if job.relay.client(assignment).Reach(ctx, now.Add(deathProbeTimeout), target.CauseDeathProbe) == nil {
		job.attempt.reached = true
		return
	}
	if job.relay.Tunnels != nil && job.relay.Tunnels.Reached(ctx, assignment.ID) {
		return // the target lives; this VM is cut off from it
	}
	job.attempt.died = true
	job.relay.Metrics.TargetDeaths.Add(1)
	death := Death{
		Digest: job.digest, Request: assignment.ID + "/" + job.request.ID,
		Target: assignment.ID + "/" + strconv.FormatInt(assignment.StartTime, 10), Parts: job.parts,
	}
	state, changed := job.relay.Quarantine.RecordDeath(job.digest, death.Request, now)
	if !changed {
		return
	}
	job.relay.Parts.RecordDeath(quarantine.Death{Target: death.Target, Request: string(death.Digest), Parts: death.Parts}, true, now)
	job.relay.Log.Emit(event.TargetDied, event.F("target", assignment.ID), event.F("started", assignment.StartTime), event.F("request", job.request.ID),
		event.F("parts", job.request.loggedParts()))
	job.relay.DeathReporter.ReportDeath(ctx, death)
	if state == quarantine.Blocked {
		job.relay.Log.Emit(event.Quarantined, event.F("request", job.request.ID))
	}
}
