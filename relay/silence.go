package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/roster"
)

const (
	// silenceCheckInterval is the interval at which an attempt is checked for a
	// silent target.
	silenceCheckInterval = 100 * time.Millisecond
	// deniedCheckInterval is the interval after a check that found no other target or
	// no retry.
	deniedCheckInterval = 300 * time.Millisecond
	// minSilence is the shortest silence after which another target is tried.
	minSilence = 400 * time.Millisecond
	// unreachableSilence is the silence after which another target is tried if the
	// target accepts no connections. Such a target may be sound: it also refuses
	// connections while it holds the most that it serves.
	unreachableSilence = 250 * time.Millisecond
	// minPrefillRate is the slowest rate at which targets prefill prompts, in
	// tokens per millisecond.
	minPrefillRate = 40
)

// silenceMonitor moves an attempt to another target if its target is unreachable,
// has sent nothing on any connection for too long, or does not complete an event. A silent target may still complete
// the answer, so the attempt is cancelled only once another target is reserved for the
// request. Otherwise it continues until its connection breaks or its deadline passes.
type silenceMonitor struct {
	job        *job
	assignment *roster.Assignment
	progress   *eventProgress
	cancel     context.CancelCauseFunc

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	stopped bool
	next    *nextTarget
	logged  bool // whether the log states that the attempt continues
}

func (job *job) monitorSilence(assignment *roster.Assignment, cancel context.CancelCauseFunc) *silenceMonitor {
	silenceMonitor := &silenceMonitor{job: job, assignment: assignment, progress: job.progress, cancel: cancel}
	if !job.delivery.MayLeave() {
		silenceMonitor.stopped = true
		return silenceMonitor
	}
	silenceMonitor.mu.Lock()
	defer silenceMonitor.mu.Unlock()
	silenceMonitor.timer = time.AfterFunc(silenceCheckInterval, silenceMonitor.check)
	return silenceMonitor
}

// stop ends the monitoring and returns the reserved target, or nil.
func (silenceMonitor *silenceMonitor) stop() *nextTarget {
	silenceMonitor.mu.Lock()
	defer silenceMonitor.mu.Unlock()
	silenceMonitor.stopped = true
	if silenceMonitor.timer != nil {
		silenceMonitor.timer.Stop()
	}
	return silenceMonitor.next
}

func (silenceMonitor *silenceMonitor) check() {
	now := time.Now()
	silenceMonitor.mu.Lock()
	defer silenceMonitor.mu.Unlock()
	if silenceMonitor.stopped {
		return
	}
	silence, allowed, unreachable := silenceMonitor.assignment.SilentFor(now), silenceMonitor.job.maxSilence(), silenceMonitor.assignment.Unreachable()
	stalled := silenceMonitor.progress.stalled(now)
	if silenceMonitor.job.writing.Load() || !stalled && !overdue(silence, allowed, unreachable) {
		silenceMonitor.timer.Reset(silenceCheckInterval)
		return
	}
	next, denial := silenceMonitor.job.reserveNext(silenceMonitor.assignment, now)
	if next == nil {
		silenceMonitor.logSilence(silence, denial)
		silenceMonitor.timer.Reset(deniedCheckInterval)
		return
	}
	silenceMonitor.next, silenceMonitor.stopped = next, true
	silenceMonitor.cancel(errors.Wrapf(errTimeout, "silent for %d ms of %d, unreachable %t, stalled %t", silence.Milliseconds(), allowed.Milliseconds(), unreachable, stalled))
}

// overdue reports whether another target should be tried after the given silence.
func overdue(silence, allowed time.Duration, unreachable bool) bool {
	return silence > allowed || unreachable && silence > unreachableSilence
}

// logSilence logs once that the attempt continues at a silent target. The caller holds
// mu.
func (silenceMonitor *silenceMonitor) logSilence(silence time.Duration, denial string) {
	if silenceMonitor.logged {
		return
	}
	silenceMonitor.logged = true
	silenceMonitor.job.relay.Log.Emit(event.TargetSilent,
		event.F("request", silenceMonitor.job.request.ID), event.F("target", silenceMonitor.assignment.ID),
		event.F("silent_ms", silence.Milliseconds()), event.F("retry_denied_by", denial))
}

// endedInSilence reports whether the time of the request has ended at a target that had sent
// nothing for longer than a working one does.
func (job *job) endedInSilence(ctx context.Context, assignment *roster.Assignment, now time.Time) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && assignment.SilentFor(now) > job.maxSilence()
}

// maxSilence returns how long a working target may send nothing on any connection.
func (job *job) maxSilence() time.Duration {
	now := time.Now()
	allowed := max(minSilence, 2*job.route.LatencyTarget.After(now).Sub(now))
	if job.request.Prompt != nil {
		allowed = minSilence + job.route.GapTarget.After(now).Sub(now) +
			time.Duration(job.request.Prompt.Input/minPrefillRate)*time.Millisecond
	}
	return allowed
}
