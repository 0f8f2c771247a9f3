package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
)

// Origins records where streams begin and finds it for the VM that takes one up.
type Origins interface {
	// Record records, before an attempt is sent, where the stream begins if this
	// attempt brings its first event.
	Record(record origin.Record)
	// Await waits until the stream may begin where the record states. moved is set if
	// an earlier record of the request states another software version. Await returns
	// false if that one may still be found after the loss of all VMs: then the stream
	// must not begin there.
	Await(ctx context.Context, record origin.Record, moved bool) bool
	// MayMove reports whether Await can succeed now for a request's stream that moved to a
	// target of the service. A VM that holds a record of it may be unreachable, or the
	// store unavailable.
	MayMove(requestID, service string) bool
	// Find returns the origin of the stream that a request began, at the given time or
	// later, on any VM. If it is not known, Find reports whether a single software
	// version of the service can have begun it.
	Find(ctx context.Context, requestID, service string, since time.Time) (origin.Origin, origin.Knowledge)
}

const (
	// maxLoggedResumes is the maximum length, in bytes, of the logged ID of an earlier
	// request: it is text of the caller, and log lines are bounded.
	maxLoggedResumes = 64
	// softwareWait is how long a stream that has begun waits for a target of its
	// software version: callers abandon a stream after a gap of 2 s or more.
	softwareWait = 2 * time.Second
	// originMargin is how much longer than its request a stream's origin is kept and
	// searched for: the clocks of VMs and their lists of targets differ by less.
	originMargin = 5 * time.Second
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

// mayWait reports whether the request may wait, at the given time, for a target that
// can take it.
func (job *job) mayWait(now time.Time) bool {
	if job.moved {
		return job.mayWaitToGoOn()
	}
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
	criteria := roster.Criteria{Service: job.service.Name, FixedSoftware: true, Software: version, Among: job.returnsTo}
	if job.targetFull {
		criteria.Tried = job.tried
	}
	return now.Before(job.softwareDeadline) && job.relay.Roster.Registered(criteria, job.softwareDeadline)
}

// takesUp reports whether the request takes up a stream that another one began.
func (job *job) takesUp() bool {
	return job.route.Kind == routing.ResumableStream && job.request.LastEventID != ""
}

// streamID returns the ID of the request that began the stream.
func (job *job) streamID() string {
	if job.takesUp() && job.request.Resumes != "" {
		return job.request.Resumes
	}
	return job.request.ID
}

// originKey returns the key of the stream's origin. It names the client account, so
// that the origins of other accounts are neither revealed nor used.
func (job *job) originKey() string {
	account := ""
	if job.account != nil {
		account = job.account.Name
	}
	// Quoted, because names may contain slashes.
	return origin.ID(strconv.Quote(account) + "/" + job.streamID())
}

// OriginLifetime returns for how long, after it began, the origin of a stream of the route
// is kept at most.
func OriginLifetime(route *routing.Route) time.Duration {
	if route.Timeout > 0 {
		return time.Duration(route.Timeout) + originMargin
	}
	return defaultDeadline + originMargin
}

// recordOrigin records where the stream begins if the next attempt, at the chosen target,
// brings its first event, and reports whether it may begin there. The origin of a stream
// that is taken up is recorded already if it is known.
func (job *job) recordOrigin(ctx context.Context, assignment *roster.Assignment) bool {
	if job.relay.Origins == nil || job.route.Kind != routing.ResumableStream || job.originKnowledge == origin.Known.String() || job.started {
		return true
	}
	moved := job.attempts > 0 && (job.unsettled || assignment.Software != job.recordedSoftware)
	if moved && !job.relay.Origins.MayMove(job.originKey(), assignment.Service) {
		return false
	}
	job.attempts++
	record := origin.Record{
		RequestID: job.originKey(), Attempt: job.attempts,
		Origin: origin.Origin{Service: assignment.Service, Software: assignment.Software}, Until: job.deadline.Add(originMargin),
	}
	job.relay.Origins.Record(record)
	job.unsettled = !job.relay.Origins.Await(ctx, record, moved)
	if job.unsettled {
		return false
	}
	job.recordedSoftware = assignment.Software
	return true
}

// chooseOrigin chooses the next target and records that the stream may begin there. If
// the record of an earlier attempt cannot be replaced, only targets of the version of
// that attempt are chosen.
func (job *job) chooseOrigin(ctx context.Context) (bool, error) {
	ok, err := job.chooseTarget(ctx)
	if !ok || err != nil || job.recordOrigin(ctx, &job.attempt.assignment) {
		return ok, err
	}
	job.attempt.assignment.Withdraw()
	job.fixSoftware(job.recordedSoftware)
	ok, err = job.chooseTarget(ctx)
	if !ok || err != nil || job.recordOrigin(ctx, &job.attempt.assignment) {
		return ok, err
	}
	job.attempt.assignment.Withdraw()
	return false, nil
}

// findOrigin makes a request that takes up a stream go on at the service and the
// software version that began it. It refuses the request if they are not known or no
// longer serve.
func (job *job) findOrigin(ctx context.Context) error {
	if !job.takesUp() {
		return nil
	}
	found, knowledge := job.lookUpOrigin(ctx)
	if ctx.Err() != nil {
		return delivery.ContextRefusal(ctx).WithOutcome(refusal.NotRun)
	}
	job.originKnowledge = knowledge.String()
	switch knowledge {
	case origin.Known:
		return job.goOnAt(found)
	case origin.Single:
		return job.goOnAtOnlySoftware()
	}
	return refuseTakeUp("it is not known which software version began the stream")
}

// lookUpOrigin returns what is known of the origin of the stream.
func (job *job) lookUpOrigin(ctx context.Context) (origin.Origin, origin.Knowledge) {
	now := time.Now()
	limit := defaultDeadline
	if job.route.Timeout > 0 {
		limit = job.route.Timeout.After(now).Sub(now)
	}
	service, since := job.route.Service(job.streamID()), now.Add(-limit-originMargin)
	switch {
	case job.relay.Origins != nil:
		return job.relay.Origins.Find(ctx, job.originKey(), service, since)
	case job.relay.Roster.Several(service, since, now):
		return origin.Origin{}, origin.Unknown
	}
	return origin.Origin{}, origin.Single
}

// goOnAt restricts the request to the origin of its stream.
func (job *job) goOnAt(found origin.Origin) error {
	service := job.table.Service(found.Service)
	if service == nil || !slices.ContainsFunc(job.route.Splits, func(split routing.Split) bool { return split.Service == found.Service }) {
		return refuseTakeUp("the service that began the stream is no longer on its route")
	}
	job.service = service
	job.fixSoftware(found.Software)
	if !job.relay.Roster.Registered(roster.Criteria{Service: service.Name, FixedSoftware: true, Software: found.Software}, time.Now().Add(softwareWait)) {
		return refuseTakeUp("no target has the software version that began the stream")
	}
	return nil
}

// goOnAtOnlySoftware restricts the request to the only software version that serves:
// another one may start before the request reaches a target.
func (job *job) goOnAtOnlySoftware() error {
	service := job.route.Service(job.streamID())
	version, ok := job.relay.Roster.OnlySoftware(service)
	if !ok {
		return refuseTakeUp("no target, or more than one software version, serves now")
	}
	job.fixSoftware(version)
	return nil
}

// refuseTakeUp refuses to take up a stream. A random delay is added, because many
// streams are taken up at once when a VM is lost.
func refuseTakeUp(reason string) error {
	retryAt := time.Now().Add(delivery.RetryAfter + rand.N(delivery.RetryAfter))
	return refusal.New(refusal.NoTarget, reason+"; send the request again from the start, without the last event's ID").WithRetryAt(retryAt)
}

// takeUpFields returns the log fields of a request that takes up a stream.
func (job *job) takeUpFields() []event.Field {
	fields := job.request.resumesFields()
	if job.originKnowledge != "" {
		fields = append(fields, event.F("origin", job.originKnowledge))
	}
	return fields
}
