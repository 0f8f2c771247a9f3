package dispatch

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/target"
)

const (
	maxAttempts = 6
	maxResumes  = 4
	// maxTargetWait is how long a request waits for a target to become available
	// again.
	maxTargetWait = 2 * time.Second
	// sharedTargetDelay is how long a suspect waits for a target that is assigned to this
	// VM before it may use one on which a suspect of another VM may run. Within this time
	// a request that crashes targets is found by its second run.
	sharedTargetDelay = 2 * time.Second
	// firstEventTimeout bounds the wait for the first event of a stream.
	firstEventTimeout = 10 * time.Second
)

var attemptBackoff = retry.Backoff{Initial: 20 * time.Millisecond, Max: 300 * time.Millisecond}

// ChooseTarget implements delivery.Sender. It waits while no target is available. A
// suspect request also waits until a target runs no other suspect.
func (job *job) ChooseTarget(ctx context.Context) (bool, error) {
	for {
		if state, release := job.selectTarget(); state != nil {
			job.state, job.release = state, release
			return true, nil
		}
		now := time.Now()
		if now.After(job.waitDeadline()) || !retry.Wait(ctx, attemptBackoff.Next(job.tries+1, now)) {
			return false, nil
		}
		job.placementRequest.Tried = nil
	}
}

// waitDeadline returns the time until which the request waits for a target. A
// suspect waits longer, because a target runs only one suspect at a time.
func (job *job) waitDeadline() time.Time {
	if job.suspect {
		return job.dispatcher.Limits.QueueDeadline.After(job.waitStart)
	}
	return job.waitStart.Add(maxTargetWait)
}

// selectTarget returns the next target. A suspect gets a target on which no other
// suspect runs, and holds it until release is called: one of those that are assigned to
// this VM or, after sharedTargetDelay, any. It gets no target before its earliest retry
// time.
func (job *job) selectTarget() (state *placement.State, release func()) {
	now := time.Now()
	if !job.suspect {
		return job.dispatcher.Policy.Choose(job.pool.Pool, &job.placementRequest, now), func() {}
	}
	earliest := job.dispatcher.Quarantine.EarliestRetry(job.Digest)
	if now.Before(earliest) {
		return nil, func() {}
	}
	assigned := job.assignedTargets(now)
	tried := job.placementRequest.Tried
	defer func() { job.placementRequest.Tried = tried }()
	for _, assignedOnly := range []bool{true, false} {
		if !assignedOnly && now.Before(earliest.Add(sharedTargetDelay)) {
			break
		}
		job.placementRequest.Tried = tried
		for range job.pool.States() {
			state := job.dispatcher.Policy.Choose(job.pool.Pool, &job.placementRequest, now)
			if state == nil {
				break
			}
			if (assigned[state.Name] || !assignedOnly) && job.dispatcher.Quarantine.ReserveTarget(state.Name, job.Digest) {
				return state, func() { job.dispatcher.Quarantine.ReleaseTarget(state.Name) }
			}
			job.placementRequest.Tried = append(job.placementRequest.Tried[:len(job.placementRequest.Tried):len(job.placementRequest.Tried)], state)
		}
	}
	return nil, func() {}
}

// assignedTargets returns the targets of the pool on which this VM alone runs suspects.
func (job *job) assignedTargets(now time.Time) map[string]bool {
	states := job.pool.States()
	names := make([]string, len(states))
	for i, state := range states {
		names[i] = state.Name
	}
	return job.dispatcher.Members.Assigned(names, now)
}

// Send implements delivery.Sender.
func (job *job) Send(ctx context.Context) (delivery.Outcome, error) {
	state := job.state
	err := job.attempt(ctx, state)
	job.release()
	job.placementRequest.Tried = append(job.placementRequest.Tried, state)
	outcome := outcomeOf(err)
	if outcome != delivery.NotSent { // a request that was not sent does not count as an attempt
		job.tries++
		job.waitStart = time.Now()
	}
	if err == nil || ctx.Err() != nil {
		return outcome, nil
	}
	return outcome, job.handleFailure(ctx, state, err)
}

// outcomeOf maps the error of an attempt to an outcome.
func outcomeOf(err error) delivery.Outcome {
	switch {
	case err == nil:
		return delivery.Answered
	case errors.Is(err, errCallerGone):
		return delivery.CallerGone
	case errors.Is(err, target.ErrNotSent):
		return delivery.NotSent
	case errors.Is(err, target.ErrRefused):
		return delivery.NotRun
	}
	return delivery.Broken
}

// AllowRetry implements delivery.Sender. Rejections by targets are not deducted
// from the retry budget; their number is bounded by maxAttempts.
func (job *job) AllowRetry(outcome delivery.Outcome, now time.Time) bool {
	if outcome == delivery.NotRun {
		return job.tries < maxAttempts
	}
	return job.dispatcher.allowRetry(now)
}

// Started implements delivery.Sender.
func (job *job) Started() bool {
	return job.progress.delivered && job.Sink != nil
}

// Fallback implements delivery.Sender.
func (job *job) Fallback() (bool, error) {
	return false, nil
}

// attempt runs the request at one target and resumes its stream as needed.
func (job *job) attempt(ctx context.Context, state *placement.State) error {
	client := job.dispatcher.Targets.Client(state.Name)
	if client == nil {
		return target.ErrNotSent
	}
	now := time.Now()
	uncached := job.placementRequest.PromptTokens - job.dispatcher.Policy.Matched(state, &job.placementRequest, now)
	flight := state.Begin(max(0, uncached), now)
	defer flight.End()
	job.progress.restart()
	job.attemptID, job.incarnation = job.ID+"-"+strconv.Itoa(job.tries), ""
	call := job.call(state)
	// A connection from the pool may have been broken when a target died earlier.
	call.NewConnection = job.tries > 0 || job.suspect
	if job.Sink == nil && job.Request.MaxTokens <= maxUnstreamedTokens {
		return job.fetchComplete(ctx, client, state, call, &flight)
	}
	return job.stream(ctx, client, state, call, &flight)
}

func (job *job) call(state *placement.State) target.Call {
	limits := job.dispatcher.Limits
	return target.Call{
		Method:      fasthttp.MethodPost,
		Path:        job.Request.Form.Path(),
		Body:        job.forwardedBody,
		ContentType: "application/json",
		RequestID:   job.attemptID,
		Weights:     job.pool.weights,
		Deadline:    job.deadline,
		SilenceDeadline: func(now time.Time) time.Time {
			if job.progress.expectedID == 0 && job.progress.receivedBytes == 0 {
				return now.Add(firstEventTimeout)
			}
			return limits.StreamSilence.After(now)
		},
		OnHead: func(head target.Head) { job.handleHead(state, head) },
	}
}

// handleHead updates the target's state from the head of its answer.
func (job *job) handleHead(state *placement.State, head target.Head) {
	if state.FromOtherProgram(head.Incarnation) {
		state.RecordFailure(time.Now())
		return
	}
	state.RecordAnswer()
	job.incarnation = head.Incarnation
	if state.ObserveIncarnation(head.Incarnation) {
		job.dispatcher.Log.Emit(event.TargetRestarted, event.F("target", state.Name))
	}
	if head.Draining {
		state.SetDraining(true)
	}
	if head.HasLoad {
		state.RecordLoad(head.Load.QueuedTokens, head.Load.Running, time.Now())
	}
}

// fetchComplete requests the complete answer at once instead of a stream.
func (job *job) fetchComplete(ctx context.Context, client *target.Client, state *placement.State, call target.Call, flight *placement.Flight) error {
	call.Body = completion.WithoutStreaming(call.Body)
	call.SilenceDeadline = nil
	head, body, err := client.Do(ctx, call, nil)
	if err != nil {
		return err
	}
	if head.Status != fasthttp.StatusOK {
		return refusedStatus(head.Status)
	}
	now := time.Now()
	var answer completion.Answer
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) == 0 {
		return errors.Mark(errors.New("the answer is not valid JSON or has no choices"), target.ErrIncomplete)
	}
	flight.FirstToken(now)
	job.firstToken(now)
	job.progress.usage = answer.Usage
	job.result.Body = body
	job.learn(state)
	return nil
}

func refusedStatus(status int) error {
	return errors.Mark(&statusError{status: status}, target.ErrRefused)
}

// statusError is an answer with an error status.
type statusError struct {
	status int
}

// Error implements error.
func (statusError *statusError) Error() string {
	return "the target answered status " + strconv.Itoa(statusError.status)
}

// stream receives the answer as a stream and resumes it after an interruption.
func (job *job) stream(ctx context.Context, client *target.Client, state *placement.State, call target.Call, flight *placement.Flight) error {
	handle := func(received target.Event) error {
		err := job.progress.handle(received)
		if job.progress.receivedBytes > 0 {
			flight.FirstToken(time.Now())
		}
		return err
	}
	_, err := client.Stream(ctx, call, handle)
	for resumes := 0; job.mayResume(ctx, client, state, err) && resumes < maxResumes; resumes++ {
		job.dispatcher.Metrics.Resumes.Add(1)
		job.dispatcher.Log.Emit(event.StreamResumed, event.F("target", state.Name), event.F("after", job.progress.lastID))
		call.LastEventID = job.progress.lastID
		call.NewConnection = true
		_, err = client.Stream(ctx, call, handle)
		if errors.Is(err, target.ErrNotSent) {
			err = target.ErrConnectionLost // the stream broke and the target no longer accepts connections
		}
	}
	if err != nil {
		return err
	}
	if job.progress.finish == "" {
		return target.ErrIncomplete
	}
	job.learn(state)
	return nil
}

// mayResume reports whether the target may still hold the stream.
func (job *job) mayResume(ctx context.Context, client *target.Client, state *placement.State, err error) bool {
	if err == nil || ctx.Err() != nil || job.progress.lastID == "" {
		return false
	}
	if errors.IsAny(err, target.ErrTimeout, target.ErrIncomplete, target.ErrAnswerMismatch, errGap) {
		return true
	}
	return errors.Is(err, target.ErrConnectionLost) && job.alive(ctx, client, state)
}

func (job *job) learn(state *placement.State) {
	cached := 0
	if job.progress.usage != nil {
		cached = job.progress.usage.Cached()
	}
	job.dispatcher.Policy.Learn(state, &job.placementRequest, cached, time.Now())
}

// handleFailure handles a failed attempt. It returns the refusal with which the
// request ends, or nil if another target may be tried.
func (job *job) handleFailure(ctx context.Context, state *placement.State, err error) error {
	switch {
	case errors.Is(err, errTextMismatch):
		return refusal.New(refusal.TargetFailed, "the stream was cut and cannot be continued; send the request again")
	case errors.Is(err, target.ErrNotSent), errors.Is(err, target.ErrTimeout):
		state.RecordFailure(time.Now())
	case errors.Is(err, target.ErrRefused):
		return job.handleRejection(err)
	case errors.Is(err, target.ErrAnswerMismatch):
		job.dispatcher.Metrics.AnswerMismatches.Add(1)
		job.dispatcher.Log.Emit(event.CrossedAnswer, event.F("target", state.Name))
	case errors.Is(err, target.ErrConnectionLost):
		if job.recordDeath(ctx, state) == quarantine.Blocked {
			return quarantinedRefusal()
		}
	}
	return nil
}

// handleRejection handles an answer which reports that the target ran nothing.
func (job *job) handleRejection(err error) error {
	var status *statusError
	if errors.As(err, &status) && (status.status == fasthttp.StatusBadRequest || status.status == fasthttp.StatusUnprocessableEntity) {
		return refusal.New(refusal.BadRequest, "the model engine does not accept the request; check its members")
	}
	return nil
}
