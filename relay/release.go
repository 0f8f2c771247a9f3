package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/release"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/target"
)

// Releases counts what the answers of software versions are like while operators release
// new ones.
type Releases interface {
	// Begin counts an attempt that is about to be sent. It returns nil if none is counted.
	Begin(service, route, software string, now time.Time) *release.Sample
}

// beginSample counts the attempt. One that takes up a stream is shorter than others and
// would not compare with them.
func (job *job) beginSample(assignment *roster.Assignment) {
	if job.relay.Releases != nil && !job.takesUp() {
		job.attempt.sample = job.relay.Releases.Begin(assignment.Service, job.route.Name, assignment.Software, time.Now())
	}
}

// endSample records what the attempt says of the target's software version. The loss of a
// target or of the path to it says nothing.
func (job *job) endSample(ctx context.Context, outcome delivery.Outcome, result error) {
	sample, now := job.attempt.sample, time.Now()
	job.attempt.sample = nil
	switch {
	case outcome == delivery.NotSent || outcome == delivery.NotRun || errors.Is(result, errReplaced):
		sample.Drop()
	case outcome == delivery.FailedAnswer:
		sample.End(true, now)
	case outcome == delivery.Answered:
		sample.End(job.attempt.head.Status >= minServerErrorStatus, now)
	case outcome == delivery.CallerGone || ctx.Err() != nil || errors.Is(result, errTimeout):
		sample.End(false, now)
	case errors.Is(result, target.ErrConnectionLost) && !job.attempt.reached:
		sample.Drop()
	default:
		sample.End(true, now)
	}
}
