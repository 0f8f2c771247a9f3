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
	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/target"
)

const (
	maxAttempts = 6
	maxResumes  = 4
	// noTargetWait is how long a request waits for a target to come back.
	noTargetWait = 2 * time.Second
	// firstSilence is the longest silence before the first event.
	firstSilence = 10 * time.Second
)

var tryBackoff = retry.Backoff{First: 20 * time.Millisecond, Last: 300 * time.Millisecond}

// ChooseTarget implements delivery.Sender. It waits for a target while there is none,
// a suspect also for its turn.
func (job *job) ChooseTarget(ctx context.Context) (bool, error) {
	for {
		if state, leave := job.choose(); state != nil {
			job.state, job.leave = state, leave
			return true, nil
		}
		now := time.Now()
		if now.After(job.patience()) || !retry.Wait(ctx, tryBackoff.Next(job.tries+1, now)) {
			return false, nil
		}
		job.place.Tried = nil
	}
}

// patience returns until when the request waits for a target. A suspect waits
// for its turn, since others run alone before it.
func (job *job) patience() time.Time {
	if job.suspect {
		return job.dispatcher.Limits.QueueDeadline.After(job.waitFrom)
	}
	return job.waitFrom.Add(noTargetWait)
}

// choose returns the next target. A suspect gets one where no other suspect
// runs, its VM's own ones first, until release is called; none while it rests.
func (job *job) choose() (state *placement.State, release func()) {
	now := time.Now()
	if !job.suspect {
		return job.dispatcher.Policy.Choose(job.pool.Pool, &job.place, now), func() {}
	}
	if now.Before(job.dispatcher.Suspect.RestUntil(job.Digest)) {
		return nil, func() {}
	}
	tried := job.place.Tried
	defer func() { job.place.Tried = tried }()
	for _, ownOnly := range []bool{true, false} {
		job.place.Tried = tried
		for range job.pool.States() {
			state := job.dispatcher.Policy.Choose(job.pool.Pool, &job.place, now)
			if state == nil {
				break
			}
			own := job.dispatcher.Members.Preferred(int(uint32(prefix.Digest(state.Name))), now) == job.dispatcher.VM
			if (own || !ownOnly) && job.dispatcher.Suspect.Enter(state.Name, job.Digest) {
				return state, func() { job.dispatcher.Suspect.Exit(state.Name) }
			}
			job.place.Tried = append(job.place.Tried[:len(job.place.Tried):len(job.place.Tried)], state)
		}
	}
	return nil, func() {}
}

// Send implements delivery.Sender.
func (job *job) Send(ctx context.Context) (delivery.Outcome, error) {
	state := job.state
	err := job.attempt(ctx, state)
	job.leave()
	job.place.Tried = append(job.place.Tried, state)
	outcome := outcomeOf(err)
	if outcome != delivery.NotSent { // what was not sent was no try
		job.tries++
		job.waitFrom = time.Now()
	}
	if err == nil || ctx.Err() != nil {
		return outcome, nil
	}
	return outcome, job.judge(ctx, state, err)
}

// outcomeOf returns the outcome of an attempt with the error.
func outcomeOf(err error) delivery.Outcome {
	switch {
	case err == nil:
		return delivery.Answered
	case errors.Is(err, errSink):
		return delivery.CallerGone
	case errors.Is(err, target.ErrNotSent):
		return delivery.NotSent
	case errors.Is(err, target.ErrRefused):
		return delivery.NotRun
	}
	return delivery.Broken
}

// AllowRetry implements delivery.Sender. Targets that refuse cost the budget nothing:
// they are asked a few times at most.
func (job *job) AllowRetry(outcome delivery.Outcome, now time.Time) bool {
	if outcome == delivery.NotRun {
		return job.tries < maxAttempts
	}
	return job.dispatcher.mayRepeat(now)
}

// Started implements delivery.Sender.
func (job *job) Started() bool {
	return job.progress.delivered && job.Sink != nil
}

// Fallback implements delivery.Sender.
func (job *job) Fallback() (bool, error) {
	return false, nil
}

// attempt runs the request at one target, resuming its stream as needed.
func (job *job) attempt(ctx context.Context, state *placement.State) error {
	client := job.dispatcher.Targets.Client(state.Name)
	if client == nil {
		return target.ErrNotSent
	}
	now := time.Now()
	uncached := job.place.PromptTokens - job.dispatcher.Policy.Matched(state, &job.place, now)
	flight := state.Begin(max(0, uncached), now)
	defer flight.End()
	job.progress.restart()
	job.attemptID, job.incarnation = job.ID+"-"+strconv.Itoa(job.tries), ""
	call := job.call(state)
	// A kept connection may have broken with a target that died before this.
	call.Fresh = job.tries > 0 || job.suspect
	if job.Sink == nil && job.Request.MaxTokens <= shortAnswer {
		return job.whole(ctx, client, state, call, &flight)
	}
	return job.stream(ctx, client, state, call, &flight)
}

func (job *job) call(state *placement.State) target.Call {
	limits := job.dispatcher.Limits
	return target.Call{
		Method:      fasthttp.MethodPost,
		Path:        job.Request.Form.Path(),
		Body:        job.forwarded,
		ContentType: "application/json",
		RequestID:   job.attemptID,
		Weights:     job.pool.weights,
		Deadline:    job.deadline,
		Silence: func(now time.Time) time.Time {
			if job.progress.nextID == 0 && job.progress.seen == 0 {
				return now.Add(firstSilence)
			}
			return limits.StreamSilence.After(now)
		},
		OnHead: func(head target.Head) { job.takeHead(state, head) },
	}
}

// takeHead notes what an answer's head tells of its target.
func (job *job) takeHead(state *placement.State, head target.Head) {
	if state.Stranger(head.Incarnation) {
		state.Failed(time.Now())
		return
	}
	state.Answered()
	job.incarnation = head.Incarnation
	if state.Identify(head.Incarnation) {
		job.dispatcher.Log.Emit(event.TargetRestarted, event.F("target", state.Name))
	}
	if head.Draining {
		state.SetDraining(true)
	}
	if head.Loaded {
		state.Report(head.Load.QueuedTokens, head.Load.Running, time.Now())
	}
}

// whole asks for the whole answer at once.
func (job *job) whole(ctx context.Context, client *target.Client, state *placement.State, call target.Call, flight *placement.Flight) error {
	call.Body = completion.Unstream(call.Body)
	call.Silence = nil
	head, body, err := client.Whole(ctx, call, nil)
	if err != nil {
		return err
	}
	if head.Status != fasthttp.StatusOK {
		return refusedStatus(head.Status)
	}
	now := time.Now()
	var answer completion.Answer
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) == 0 {
		return errors.Mark(errors.New("the answer is not readable"), target.ErrIncomplete)
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

// statusError is an answer with a status that tells of a failure.
type statusError struct {
	status int
}

// Error implements error.
func (statusError *statusError) Error() string {
	return "the target answered status " + strconv.Itoa(statusError.status)
}

// stream receives the answer in pieces and resumes it after silence.
func (job *job) stream(ctx context.Context, client *target.Client, state *placement.State, call target.Call, flight *placement.Flight) error {
	handle := func(received target.Event) error {
		err := job.progress.take(received)
		if job.progress.seen > 0 {
			flight.FirstToken(time.Now())
		}
		return err
	}
	_, err := client.Stream(ctx, call, handle)
	for resumes := 0; job.mayResume(ctx, client, state, err) && resumes < maxResumes; resumes++ {
		job.dispatcher.Metrics.Resumes.Add(1)
		job.dispatcher.Log.Emit(event.StreamResumed, event.F("target", state.Name), event.F("after", job.progress.lastID))
		call.After = job.progress.lastID
		call.Fresh = true
		_, err = client.Stream(ctx, call, handle)
		if errors.Is(err, target.ErrNotSent) {
			err = target.ErrDied // the stream broke and nobody is there now
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

// mayResume reports whether the target may still have the stream.
func (job *job) mayResume(ctx context.Context, client *target.Client, state *placement.State, err error) bool {
	if err == nil || ctx.Err() != nil || job.progress.lastID == "" {
		return false
	}
	if errors.IsAny(err, target.ErrSilent, target.ErrIncomplete, target.ErrCrossed, errGap) {
		return true
	}
	return errors.Is(err, target.ErrDied) && job.alive(ctx, client, state)
}

func (job *job) learn(state *placement.State) {
	cached := 0
	if job.progress.usage != nil {
		cached = job.progress.usage.Cached()
	}
	job.dispatcher.Policy.Learn(state, &job.place, cached, time.Now())
}

// judge notes a failed attempt. It returns the refusal with which the request
// ends, or nil when another target may be tried.
func (job *job) judge(ctx context.Context, state *placement.State, err error) error {
	switch {
	case errors.Is(err, errDiffers):
		return refusal.New(refusal.TargetFailed, "the stream was cut and cannot be continued; send the request again")
	case errors.Is(err, target.ErrNotSent), errors.Is(err, target.ErrSilent):
		state.Failed(time.Now())
	case errors.Is(err, target.ErrRefused):
		return job.refused(err)
	case errors.Is(err, target.ErrCrossed):
		job.dispatcher.Metrics.Crossed.Add(1)
		job.dispatcher.Log.Emit(event.CrossedAnswer, event.F("target", state.Name))
	case errors.Is(err, target.ErrDied):
		if job.charge(ctx, state) == quarantine.Barred {
			return barred()
		}
	}
	return nil
}

// refused judges an answer that says that the target ran nothing.
func (job *job) refused(err error) error {
	var status *statusError
	if errors.As(err, &status) && (status.status == fasthttp.StatusBadRequest || status.status == fasthttp.StatusUnprocessableEntity) {
		return refusal.New(refusal.BadRequest, "the model engine does not accept the request; check its members")
	}
	return nil
}
