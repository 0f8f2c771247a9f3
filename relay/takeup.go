package relay

import (
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/roster"
)

const (
	// maxLoggedResumes is the maximum length, in bytes, of the logged ID of an earlier
	// request: it is text of the caller, and log lines are bounded.
	maxLoggedResumes = 64
	// softwareWait is how long a stream that has begun waits for a target of its
	// software version: callers abandon a stream after a gap of 2 s or more.
	softwareWait = 2 * time.Second
)

// resumesFields returns the log field that names the earlier request whose stream
// this request takes up. There is none if the caller named no request.
func (request *Request) resumesFields() []event.Field {
	if request.Resumes == "" {
		return nil
	}
	return []event.Field{event.F("resumes", request.Resumes[:min(len(request.Resumes), maxLoggedResumes)])}
}

// fixSoftware records the software version that began the stream.
func (job *job) fixSoftware(version string) {
	job.software.Store(&version)
}

// takeNext makes the reserved target, if there is one, that of the next attempt. It
// gives the target up if the first event of the stream came only after the
// reservation, from another software version.
func (job *job) takeNext() bool {
	if job.next == nil {
		return false
	}
	if software := job.software.Load(); software != nil && *software != job.next.Software {
		job.releaseNext()
		return false
	}
	job.attempt, job.next = attempt{assignment: *job.next}, nil
	return true
}

// mayWait reports whether the request may wait, at the given time, for a target that
// can take it.
func (job *job) mayWait(now time.Time) bool {
	if software := job.software.Load(); software != nil {
		return job.mayWaitForSoftware(*software, now)
	}
	return job.delivery.Runs() == 0 && !job.targetFull && job.mayHold(now)
}

// mayWaitForSoftware reports whether the stream may wait, at the given time, for a
// target of its software version. Targets that rejected the request are not asked
// again.
func (job *job) mayWaitForSoftware(version string, now time.Time) bool {
	if job.softwareDeadline.IsZero() {
		job.softwareDeadline = now.Add(softwareWait)
	}
	criteria := roster.Criteria{Service: job.service.Name, FixedSoftware: true, Software: version}
	if job.targetFull {
		criteria.Tried = job.tried
	}
	return now.Before(job.softwareDeadline) && job.relay.Roster.Registered(criteria)
}
