package relay

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/target"
)

var (
	errCallerGone = errors.New("the caller went away")
	errNotRun     = errors.New("the target did not run the request")
	errSilent     = errors.New("the target went silent")
	// errFailedAnswer marks a whole answer that another target may do better.
	errFailedAnswer = errors.New("the target answered with a failure")
	errOrder        = errors.New("the stream's events are out of order")
)

const (
	statusMisdirected = 421
	statusFailures    = 500
	// recentUse is how long ago a connection may have been used for a request
	// that cannot be sent twice.
	recentUse = time.Second
	// silenceCheck is the interval of the look whether a target went silent.
	silenceCheck = 100 * time.Millisecond
	// minSilence is the shortest silence that is taken for a failure.
	minSilence = 400 * time.Millisecond
	// readRate is the slowest rate at which targets read prompts, in tokens a
	// millisecond.
	readRate = 40
	// deathProbe bounds the question whether a target still accepts connections.
	deathProbe = 150 * time.Millisecond
	// maxPriority is the least urgent priority that targets know.
	maxPriority = 9
)

// send makes one attempt at one target.
func (job *job) send(ctx context.Context, seat *roster.Seat) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := job.watchSilence(seat, cancel)
	defer watch.stop()
	head, body, err := job.relay.client(seat).Forward(ctx, job.call(seat), job)
	if errors.Is(context.Cause(ctx), errSilent) {
		return errSilent
	}
	if err != nil {
		return err
	}
	if head.NotRun {
		return errNotRun
	}
	if head.Stream {
		return job.endStream(head)
	}
	if head.Status >= statusFailures && job.route.Kind.Repeatable() {
		job.failure, job.failureBody = &head, body
		return errFailedAnswer
	}
	return job.deliver(head, body)
}

// endStream passes on the head of a stream that had no events.
func (job *job) endStream(head target.Head) error {
	if job.started {
		return nil
	}
	job.started = true
	return errors.Mark(job.answer.Start(head), errCallerGone)
}

// call builds the request for a target.
func (job *job) call(seat *roster.Seat) target.Call {
	request := job.request
	call := target.Call{
		Method: request.Method, Path: request.Target, Host: request.Host, Fields: request.Fields, Body: request.Body,
		RequestID: request.ID, After: job.after, Deadline: job.deadline, Instance: seat.ID,
		Prioritized: true, Priority: min(job.route.Priority, maxPriority),
	}
	if job.account != nil {
		call.Account = job.account.Name
		if job.account.HasPriority {
			call.Priority = min(job.account.Priority, maxPriority)
		}
	}
	if !job.route.Kind.Repeatable() {
		call.UsedSince = time.Now().Add(-recentUse)
	}
	call.Fresh = job.course.Runs() > 0
	if request.Prompt != nil && len(job.service.Models) > 0 {
		job.addCache(&call, seat)
	}
	return call
}

// addCache says under which salt the target keeps cache entries, and where it
// gets those that it lacks.
func (job *job) addCache(call *target.Call, seat *roster.Seat) {
	call.Weights = weightsText(seat.Weights)
	// The salt names the weights: a store keeps entries of former weights.
	call.Salt = job.request.Prompt.Model + "/" + call.Weights
	if wall := job.wall(); wall != "" {
		call.Salt += "/" + wall
	}
	store := job.relay.Stores.Usable(job.request.Prompt.shared(job.wall()))
	if job.request.Prompt.worthSaving() {
		call.SaveTo = store
	}
	call.FetchFrom = store
	if seat.Home.IsValid() {
		call.FetchFrom = seat.Home
		job.relay.Metrics.Fetches.Add(1)
	}
}

// Head implements target.Receiver.
func (job *job) Head(head target.Head) error {
	now := time.Now()
	job.attempt.head = head
	seat := &job.attempt.seat
	load := roster.Load{Running: head.Load.Running, Waiting: head.Load.Waiting}
	seat.Answered(load, head.Loaded, now)
	if prompt := job.request.Prompt; prompt != nil && head.Weights != "" {
		if weights, err := strconv.ParseUint(head.Weights, 10, 64); err == nil {
			job.relay.Roster.Weights(seat.ID, prompt.Model, weights)
		}
	}
	return nil
}

// Event implements target.Receiver.
func (job *job) Event(text []byte) error {
	now := time.Now()
	job.attempt.seat.Read(now)
	id := eventID(text)
	if id != "" && job.after != "" && !follows(id, job.after) {
		return errOrder
	}
	if !job.started {
		if err := job.answer.Start(job.attempt.head); err != nil {
			return errors.Mark(err, errCallerGone)
		}
		job.started, job.firstAt = true, now
		job.relay.Metrics.FirstToken(now.Sub(job.request.Arrived))
		if prompt := job.request.Prompt; prompt != nil && len(job.tried) == 0 {
			job.relay.waits.note(job.attempt.seat.Wait, now.Sub(job.request.Arrived), prompt.own(), now)
		}
	}
	if err := job.answer.Write(text); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if id != "" {
		job.after = id
	}
	return nil
}

// deliver passes a whole answer on.
func (job *job) deliver(head target.Head, body []byte) error {
	job.started, job.firstAt = true, time.Now()
	if err := job.answer.Start(head); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if err := job.answer.Write(body); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

// judgeDeath counts a target's death against the request when the target no
// longer accepts connections.
func (job *job) judgeDeath(ctx context.Context, seat *roster.Seat, result error) {
	if !errors.Is(result, target.ErrDied) {
		return
	}
	now := time.Now()
	if job.relay.client(seat).Reachable(ctx, now.Add(deathProbe)) {
		return
	}
	job.relay.Metrics.TargetDeaths.Add(1)
	death := seat.ID + "/" + job.request.ID
	standing, changed := job.relay.Suspect.Charge(job.digest, death, now)
	if !changed {
		return
	}
	job.relay.Log.Emit(event.TargetDied, event.F("target", seat.ID), event.F("request", job.request.ID))
	job.relay.Charger.Charged(ctx, job.digest, death, standing)
	if standing == quarantine.Barred {
		job.relay.Log.Emit(event.Quarantined, event.F("request", job.request.ID))
	}
}

// silenceWatch ends an attempt whose target is unreachable or sends nothing to
// anyone.
type silenceWatch struct {
	job    *job
	seat   *roster.Seat
	cancel context.CancelCauseFunc

	mu      sync.Mutex // guards timer and stopped
	timer   *time.Timer
	stopped bool
}

func (job *job) watchSilence(seat *roster.Seat, cancel context.CancelCauseFunc) *silenceWatch {
	watch := &silenceWatch{job: job, seat: seat, cancel: cancel}
	if !job.route.Kind.Repeatable() {
		watch.stopped = true // nothing is won by giving up
		return watch
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.timer = time.AfterFunc(silenceCheck, watch.look)
	return watch
}

func (watch *silenceWatch) stop() {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	watch.stopped = true
	if watch.timer != nil {
		watch.timer.Stop()
	}
}

func (watch *silenceWatch) look() {
	now := time.Now()
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if watch.stopped {
		return
	}
	if watch.seat.Lost() || watch.seat.Silent(now) > watch.job.longestSilence() {
		watch.cancel(errSilent)
		return
	}
	watch.timer.Reset(silenceCheck)
}

// longestSilence is how long a target that works may send nothing at all.
func (job *job) longestSilence() time.Duration {
	now := time.Now()
	allowed := max(minSilence, 2*job.route.Aim.After(now).Sub(now))
	if job.request.Prompt != nil {
		allowed = minSilence + job.route.GapAim.After(now).Sub(now) +
			time.Duration(job.request.Prompt.Input/readRate)*time.Millisecond
	}
	return allowed
}
