package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/roster"
)

const (
	// beginCheckInterval is the interval at which a request without a first token is checked
	// for whether it may still begin, if its target's weights have been replaced. Otherwise it is
	// newestCheckInterval: weights that are replaced then may be used for seconds.
	beginCheckInterval  = 100 * time.Millisecond
	newestCheckInterval = time.Second
	// withdrawalMargin is how long before the platform's bound on the use of replaced weights a
	// request that has not begun on them is withdrawn. It covers one beginCheckInterval, the
	// time by which this VM may have learned late of the naming, and that in which the target
	// notices that its connection was closed.
	withdrawalMargin = 500 * time.Millisecond
)

var (
	// errReplaced is why an attempt is given up whose request would begin on weights that may
	// no longer be used.
	errReplaced = errors.New("the request has not begun, and the target's weights may no longer be used")
	// errWithheld is why a request is not sent to the target that was chosen for it.
	errWithheld = errors.New("the target may no longer get the request")
)

// usesWeights reports whether targets run the request on weights of a model.
func (job *job) usesWeights() bool {
	return job.request.Prompt != nil && job.service.Engines
}

// mayBegin reports whether a request that begins at the given time, on the weights that its target
// had when it was assigned, keeps the platform's bound on the use of replaced weights.
func (job *job) mayBegin(assignment *roster.Assignment, at time.Time) bool {
	return assignment.Weights >= job.relay.Weights.Named(job.request.Prompt.Model, at.Add(-time.Duration(job.relay.Bounds.WeightsGrace)))
}

// beforeSend decides whether the request is sent to the target that was chosen for it, when the
// connection is open: the target may have left, its weights may have been replaced, or the account
// may have been isolated, while the request waited for that.
func (job *job) beforeSend() error {
	assignment, now := &job.attempt.assignment, time.Now()
	if !assignment.MaySend(now) || job.usesWeights() && assignment.Weights < job.requiredWeights(assignment.Wait, now) {
		return errWithheld
	}
	if err := job.checkScope(); err != nil {
		return err
	}
	job.attempt.sentAt = now
	return nil
}

// beginMonitor withdraws an attempt that has not begun shortly before its target's weights may no
// longer be used: the target may stand still, and the wait there was only estimated.
type beginMonitor struct {
	job        *job
	assignment *roster.Assignment
	cancel     context.CancelCauseFunc

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	stopped bool
}

// monitorBegin returns a monitor for an attempt that is about to be made. It monitors streams
// alone: the begin of other answers does not show.
func (job *job) monitorBegin(assignment *roster.Assignment, cancel context.CancelCauseFunc) *beginMonitor {
	beginMonitor := &beginMonitor{job: job, assignment: assignment, cancel: cancel}
	if !job.usesWeights() || !job.route.Kind.Streams() {
		beginMonitor.stopped = true
		return beginMonitor
	}
	beginMonitor.mu.Lock()
	defer beginMonitor.mu.Unlock()
	beginMonitor.timer = time.AfterFunc(beginMonitor.interval(time.Now()), beginMonitor.check)
	return beginMonitor
}

// interval returns after how long the request is checked next.
func (beginMonitor *beginMonitor) interval(now time.Time) time.Duration {
	job := beginMonitor.job
	if beginMonitor.assignment.Weights >= job.relay.Weights.Named(job.request.Prompt.Model, now) {
		return max(beginCheckInterval, min(newestCheckInterval, time.Duration(job.relay.Bounds.WeightsGrace)/4))
	}
	return beginCheckInterval
}

// stop ends the monitoring: the request has begun, or the attempt has ended.
func (beginMonitor *beginMonitor) stop() {
	beginMonitor.mu.Lock()
	defer beginMonitor.mu.Unlock()
	beginMonitor.stopped = true
	if beginMonitor.timer != nil {
		beginMonitor.timer.Stop()
	}
}

func (beginMonitor *beginMonitor) check() {
	now := time.Now()
	beginMonitor.mu.Lock()
	defer beginMonitor.mu.Unlock()
	switch {
	case beginMonitor.stopped:
	case beginMonitor.job.mayBegin(beginMonitor.assignment, now.Add(withdrawalMargin)):
		beginMonitor.timer.Reset(beginMonitor.interval(now))
	default:
		beginMonitor.stopped = true
		beginMonitor.cancel(errReplaced)
	}
}
