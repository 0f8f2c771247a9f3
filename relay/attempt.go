package relay

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/target"
)

var (
	errCallerGone = errors.New("the caller disconnected")
	errNotRun     = errors.New("the target did not run the request")
	errTimeout    = errors.New("the target is unreachable or sent no data within the allowed silence")
	// errFailedAnswer marks a complete answer with a server error. Another target
	// may succeed.
	errFailedAnswer = errors.New("the target answered with a server error")
	// errFalsePromise marks a complete answer from which the caller would conclude that the
	// request did not run, although the target does not say so.
	errFalsePromise = errors.New("the target's status alone says that it did not run the request")
	errNotAStream   = errors.New("the target did not continue the stream")
	errOutOfOrder   = errors.New("the stream's events are out of order")
)

const (
	statusMisdirected    = 421
	minServerErrorStatus = 500
	// maxConnIdle is the longest idle time of a connection used for a request that
	// cannot be sent twice, or for a retry.
	maxConnIdle = time.Second
	// deathProbeTimeout bounds the check whether a target still accepts
	// connections.
	deathProbeTimeout = 150 * time.Millisecond
	// maxPriority is the least urgent priority that targets support.
	maxPriority = 9
)

// send makes one attempt at the assigned target.
func (job *job) send(ctx context.Context, assignment *roster.Assignment) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	job.progress = &eventProgress{}
	job.attempt.mustContinue = job.lastEventID != ""
	continues := job.started
	silenceMonitor := job.monitorSilence(assignment, cancel)
	job.attempt.begin = job.monitorBegin(assignment, cancel)
	defer job.attempt.begin.stop()
	share := job.relay.Buffers.Share()
	defer func() { share.Close() }()
	call := job.call(assignment)
	call.Share = share
	head, body, err := job.relay.client(assignment).Forward(ctx, call, job)
	job.next = silenceMonitor.stop()
	if errors.Is(err, target.ErrTimeout) && !time.Now().Before(job.deadline) {
		<-ctx.Done() // the connection has the same deadline, and its timer may run first
	}
	if cause := context.Cause(ctx); err != nil && errors.IsAny(cause, errTimeout, errReplaced) {
		return cause
	}
	if err != nil {
		return err
	}
	if head.NotRun {
		return errNotRun
	}
	if head.Stream {
		return job.endStream(head, continues)
	}
	if job.started {
		return errNotAStream
	}
	if head.PromisesNotRun && !job.route.Kind.Repeatable() {
		return errFalsePromise
	}
	if head.Status >= minServerErrorStatus && job.route.Kind.Repeatable() {
		job.failedHead, job.failedBody = &head, body
		share, job.failedShare = job.failedShare, share // that of an earlier one is closed
		return errFailedAnswer
	}
	return job.deliver(head, body)
}

// endStream ends a stream. If continues is set, an earlier attempt sent the caller a part of
// it, and the last one must have added to that: an answer without events does not show that
// the stream was complete. Otherwise the caller gets the head of a stream that had no events.
func (job *job) endStream(head target.Head, continues bool) error {
	switch {
	case continues && job.attempt.mustContinue:
		return errNotAStream
	case job.started:
		return nil
	}
	job.started = true
	return errors.Mark(job.answer.Start(head), errCallerGone)
}

// call builds the request for a target.
func (job *job) call(assignment *roster.Assignment) target.Call {
	request := job.request
	call := target.Call{
		Method: request.Method, Path: request.PathAndQuery, Host: request.Host, Fields: request.Fields, Body: request.Body,
		RequestID: request.ID, LastEventID: job.lastEventID, Deadline: job.deadline, Instance: assignment.ID,
		HasPriority: true, Priority: min(job.route.Priority, maxPriority),
		OnData: job.onData(assignment), OnSend: job.beforeSend,
	}
	if assignment.Through.IsValid() {
		call.Open = func() (net.Conn, error) { return job.relay.Tunnels.Open(assignment) }
	}
	if job.account != nil {
		call.Account = job.account.Name
		if job.account.HasPriority {
			call.Priority = min(job.account.Priority, maxPriority)
		}
	}
	setReuse(&call, job.relay.Roster.Adaptive(job.service.Name), job.route.Kind.Repeatable(), job.delivery.Runs() > 0, time.Now())
	if job.usesCache() {
		job.setCacheFields(&call, assignment)
	}
	return call
}

// onData returns what is called for each read that returned data.
func (job *job) onData(assignment *roster.Assignment) func() {
	progress, streams := job.progress, job.route.Kind.Streams()
	return func() {
		now := time.Now()
		assignment.Received(now)
		if streams {
			progress.recordData(now)
		}
	}
}

// setReuse sets which connections the call may use again. A retry is repeatable, so that
// a lost connection costs it time alone: where targets pay for each connection it uses
// those that a request that cannot be sent twice may use too.
func setReuse(call *target.Call, adaptive, repeatable, retry bool, now time.Time) {
	call.LeaveOlder, call.NewConnection = adaptive, retry && !adaptive
	if retry || !repeatable {
		call.UsedSince = now.Add(-maxConnIdle)
	}
}

// weightsText returns the wire format of a weights version. It is empty when there
// is none.
func weightsText(weights uint64) string {
	if weights == 0 {
		return ""
	}
	return strconv.FormatUint(weights, 10)
}

// setCacheFields sets the salt under which the target stores cache entries, and the
// addresses from which it fetches missing entries and to which it saves new ones.
func (job *job) setCacheFields(call *target.Call, assignment *roster.Assignment) {
	scope, prompt := job.cacheScope(), job.request.Prompt
	job.attempt.scope = scope
	if !job.usesWeights() {
		call.Salt = cacheSalt(job.model(), "", scope)
		return
	}
	call.Weights = weightsText(assignment.Weights)
	call.Salt = cacheSalt(prompt.Model, call.Weights, scope)
	store := job.relay.Stores.Usable(prompt.sharedPrefix(scope))
	if prompt.worthSaving() {
		call.SaveTo = store
	}
	call.FetchFrom = store
	if assignment.Home.IsValid() {
		call.FetchFrom = assignment.Home
		job.relay.Metrics.Fetches.Add(1)
	}
}

// Head implements target.Receiver.
func (job *job) Head(head target.Head) error {
	now := time.Now()
	job.attempt.head = head
	if head.NotRun && head.Stream {
		return errNotRun // whatever its events are
	}
	job.progress.recordComplete()
	if !head.NotRun {
		job.recordPlace(now)
	}
	assignment := &job.attempt.assignment
	load := roster.Load{Running: head.Load.Running, Waiting: head.Load.Waiting, Slots: head.Load.Slots, WorkTime: head.Load.WorkTime}
	if assignment.Answered(load, head.HasLoad, now) {
		job.relay.RecordReachability(assignment.ID, roster.SourceAnswer, nil, now)
	}
	job.relay.ObserveHead(assignment, assignment.ID, head, now)
	otherTarget := head.Status == statusMisdirected && head.Incarnation != assignment.ID
	if prompt := job.request.Prompt; prompt != nil && head.Weights != "" && !otherTarget {
		if weights, err := strconv.ParseUint(head.Weights, 10, 64); err == nil {
			job.relay.Roster.RaiseWeights(assignment.ID, prompt.Model, weights)
		}
	}
	return nil
}

// Event implements target.Receiver.
func (job *job) Event(text []byte) error {
	now := time.Now()
	job.progress.recordComplete()
	if !job.attempt.begun && !isComment(text) {
		job.attempt.begun = true
		job.attempt.begin.stop()
		job.checkBegun(now)
	}
	job.attempt.assignment.PromptProcessed(now)
	job.recordEvent(now)
	job.attempt.sample.First(now)
	id := eventID(text)
	if job.attempt.mustContinue && id == "" && !isComment(text) {
		return errNotAStream // such as an error in the form of an event
	}
	job.attempt.mustContinue = job.attempt.mustContinue && id == ""
	if id != "" && job.lastEventID != "" && !isAfter(id, job.lastEventID) {
		return errOutOfOrder
	}
	// A caller that reads slowly blocks here; its target is not silent then.
	job.writing.Store(true)
	defer job.endWrite()
	if !job.started {
		if err := job.answer.Start(job.attempt.head); err != nil {
			return errors.Mark(err, errCallerGone)
		}
		job.started, job.firstSentAt = true, now
		job.fixSoftware(job.attempt.assignment.Software)
		job.relay.Metrics.RecordFirstToken(now.Sub(job.request.Arrived))
		if prompt := job.request.Prompt; prompt != nil && len(job.tried) == 0 {
			job.relay.waitCorrector.observe(job.attempt.assignment.Wait, now.Sub(job.request.Arrived), prompt.unsharedTokens(), now)
		}
	}
	if err := job.answer.Write(text); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if id != "" {
		job.lastEventID = id
	}
	job.unnumbered.Store(job.lastEventID == "")
	job.softwareDeadline = time.Time{}
	return nil
}

// endWrite records that the caller has taken what was written.
func (job *job) endWrite() {
	job.writing.Store(false)
	job.attempt.assignment.CallerRead(time.Now())
}

// deliver sends the caller a complete answer.
func (job *job) deliver(head target.Head, body []byte) error {
	job.started, job.firstSentAt = true, time.Now()
	if err := job.answer.Start(head); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if err := job.answer.Write(body); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}
