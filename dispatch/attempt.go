package dispatch

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/completion"
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

// tryTargets sends the request to one target after another until one answers
// it whole.
func (job *job) tryTargets(ctx context.Context) error {
	var last error
	began := time.Now() // the wait for a target
	for attempt := 0; attempt < maxAttempts; {
		state, release := job.choose()
		if state == nil {
			if time.Now().After(job.patience(began)) || !wait(ctx, attempt) {
				break
			}
			job.place.Tried = nil
			continue
		}
		err := job.attempt(ctx, state, attempt)
		release()
		began = time.Now()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return ended(ctx)
		}
		if final := job.judge(ctx, state, err); final != nil {
			return final
		}
		last = err
		if !errors.Is(err, target.ErrNotSent) { // what was not sent was no try
			attempt++
		}
	}
	return job.exhausted(ctx, last)
}

// patience returns until when the request waits for a target. A suspect waits
// for its turn, since others run alone before it.
func (job *job) patience(began time.Time) time.Time {
	if job.suspect {
		return job.dispatcher.Limits.QueueDeadline.After(began)
	}
	return began.Add(noTargetWait)
}

func wait(ctx context.Context, attempt int) bool {
	now := time.Now()
	timer := time.NewTimer(max(time.Millisecond, tryBackoff.Next(attempt+1, now).Sub(now)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
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

// attempt runs the request at one target, resuming its stream as needed.
func (job *job) attempt(ctx context.Context, state *placement.State, number int) error {
	client := job.dispatcher.Targets.Client(state.Name)
	if client == nil {
		return target.ErrNotSent
	}
	now := time.Now()
	uncached := job.place.PromptTokens - job.dispatcher.Policy.Matched(state, &job.place, now)
	flight := state.Begin(max(0, uncached), now)
	defer flight.End()
	job.progress.restart()
	job.attemptID, job.incarnation = job.ID+"-"+strconv.Itoa(number), ""
	call := job.call(state)
	// A kept connection may have broken with a target that died before this.
	call.Fresh = number > 0 || job.suspect
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
	job.noteSent(err)
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
	job.noteSent(err)
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

// noteSent remembers that a target may have run the request.
func (job *job) noteSent(err error) {
	if err == nil || !errors.IsAny(err, target.ErrNotSent, target.ErrRefused) {
		job.mayHaveRun = true
	}
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
	now := time.Now()
	job.place.Tried = append(job.place.Tried, state)
	switch {
	case errors.Is(err, errSink):
		return refusal.New(refusal.CallerGone, "the caller went away")
	case errors.Is(err, errDiffers):
		return job.broken(state, "the stream was cut and cannot be continued; send the request again")
	case errors.Is(err, target.ErrNotSent):
		state.Failed(now)
		return nil // nothing ran: no retry budget is needed
	case errors.Is(err, target.ErrRefused):
		return job.refused(err)
	case errors.Is(err, target.ErrCrossed):
		job.dispatcher.Metrics.Crossed.Add(1)
		job.dispatcher.Log.Emit(event.CrossedAnswer, event.F("target", state.Name))
	case errors.Is(err, target.ErrDied):
		if job.charge(ctx, state) == quarantine.Barred {
			return barred().With(refusal.Unknown)
		}
	case errors.Is(err, target.ErrSilent):
		state.Failed(now)
	}
	if !job.dispatcher.budget.Allow(now) {
		return job.broken(state, "the target failed and too many requests are being tried again; retry later")
	}
	job.dispatcher.Metrics.Retries.Add(1)
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

func (job *job) broken(state *placement.State, message string) error {
	if job.progress.delivered && job.Sink != nil {
		job.dispatcher.Metrics.StreamsBroken.Add(1)
		job.dispatcher.Log.Emit(event.StreamBroken, event.F("target", state.Name))
		return refusal.New(refusal.StreamInterrupted, message)
	}
	return refusal.New(refusal.TargetFailed, message)
}

// exhausted returns the refusal of a request that no target answered.
func (job *job) exhausted(ctx context.Context, last error) error {
	if ctx.Err() != nil {
		return ended(ctx)
	}
	if last == nil || !job.mayHaveRun {
		return noTarget()
	}
	if job.progress.delivered && job.Sink != nil {
		job.dispatcher.Metrics.StreamsBroken.Add(1)
		return refusal.New(refusal.StreamInterrupted, "no target could continue the stream; send the request again")
	}
	return refusal.New(refusal.TargetFailed, "the targets failed; retry after the time in Retry-After").At(time.Now().Add(comeBack))
}
