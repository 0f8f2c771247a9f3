package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/target"
)

const (
	// holdShare is the part of its aim, and longestHold the time, for which a
	// request waits when no target can have it; holdLook is the interval of the
	// looks for one.
	holdShare   = 8
	longestHold = 100 * time.Millisecond
	holdLook    = 10 * time.Millisecond
)

// job is a request on its way.
type job struct {
	relay   *Relay
	request *Request
	answer  Answer
	table   *routing.Table
	route   *routing.Route
	account *routing.Account // nil on open routes
	service *routing.Service // nil when the route's service is not configured

	digest   quarantine.Digest
	deadline time.Time
	charged  float64 // tokens taken of the account

	tried []string
	// holdUntil is until when the request may wait for a target; zero before it
	// has to.
	holdUntil time.Time
	// runs counts the targets that may have run the request.
	runs int
	// rejections counts the targets that said that they did not; full is set once
	// one of them had no room.
	rejections int
	full       bool
	// started is set once a part of the answer was passed on, first at firstAt.
	started bool
	firstAt time.Time
	// after is the id of the last event that the caller has.
	after string
	// failure is the last whole answer that told of a failure.
	failure     *target.Head
	failureBody []byte

	attempt attempt
}

// attempt is what belongs to the current target alone.
type attempt struct {
	seat *roster.Seat
	head target.Head
}

func (relay *Relay) newJob(request *Request, answer Answer, table *routing.Table, route *routing.Route, account *routing.Account) *job {
	job := &job{
		relay: relay, request: request, answer: answer, table: table, route: route, account: account,
		deadline: limitDeadline(request, route), after: request.After,
	}
	job.service = table.Service(route.Service(request.ID))
	name := ""
	if account != nil {
		name = account.Name
	}
	job.digest = quarantine.Of(name, append([]byte(request.Method+" "+request.Target+"\n"), request.Body...))
	return job
}

// charge returns the tokens that the request counts for.
func (job *job) charge() float64 {
	switch {
	case !job.account.ByTokens:
		return 1
	case job.request.Prompt == nil:
		return job.account.PlainTokens
	}
	return float64(job.request.Prompt.Input + job.request.Prompt.Output)
}

// wall returns what keeps cache entries of isolated accounts apart.
func (job *job) wall() string {
	if job.account != nil && job.account.Isolated {
		return job.account.Name
	}
	return ""
}

// fields returns what logs tell of the request.
func (job *job) fields() []event.Field {
	fields := []event.Field{event.F("route", job.route.Name), event.F("runs", job.runs), event.F("rejections", job.rejections)}
	if job.account != nil {
		fields = append(fields, event.F("client_account", job.account.Name))
	}
	if len(job.tried) > 0 {
		fields = append(fields, event.F("target", job.tried[len(job.tried)-1]))
	}
	return fields
}

// serve sends the request to one target after another until one answers.
func (job *job) serve(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, job.deadline)
	defer cancel()
	err := job.tryTargets(ctx)
	if err != nil && job.runs == 0 && job.charged > 0 {
		job.relay.Limits.Refund(job.account.Name, job.charged, time.Now())
	}
	return err
}

func (job *job) tryTargets(ctx context.Context) error {
	if job.service == nil {
		return job.noTarget()
	}
	job.relay.Budgets.Request(job.service.Name, job.request.Arrived)
	for {
		seat, ok := job.choose(ctx)
		if !ok {
			return job.exhausted()
		}
		if refused := job.tooBusy(seat); refused != nil {
			seat.End()
			return refused
		}
		result := job.send(ctx, seat)
		seat.End()
		job.tried = append(job.tried, seat.ID)
		done, err := job.judge(ctx, seat, result)
		if done || err != nil {
			return err
		}
	}
}

// choose returns a place at a target. A request that ran nowhere and finds none
// waits a moment for one that is about to have new weights, to tell which it has,
// or to be reached again.
func (job *job) choose(ctx context.Context) (*roster.Seat, bool) {
	for {
		now := time.Now()
		seat, ok := job.relay.Roster.Choose(job.ask(now), now)
		if ok || job.runs > 0 || job.full || !job.hold(now) {
			return seat, ok
		}
		timer := time.NewTimer(holdLook)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, false
		}
		job.tried = nil
	}
}

// hold reports whether the request may wait for a target at the time.
func (job *job) hold(now time.Time) bool {
	if job.holdUntil.IsZero() {
		aim := job.route.Aim.After(now).Sub(now)
		job.holdUntil = now.Add(min(aim/holdShare, longestHold))
	}
	return now.Before(job.holdUntil)
}

// tooBusy refuses a request that would wait longer at its target than requests
// of its service may: then all that come after it would be late too, and late
// work would be done in place of work that can be in time.
func (job *job) tooBusy(seat *roster.Seat) error {
	patience := job.route.Patience
	if job.request.Prompt == nil || patience <= 0 || job.runs > 0 {
		return nil
	}
	now := time.Now()
	wait := job.relay.waits.corrected(seat.Wait, now)
	if limit := patience.After(now); now.Add(wait).Before(limit) {
		return nil
	}
	// What waits now is read by then.
	pause := wait + rand.N(comeBack)
	return refusal.New(refusal.Overloaded, "all targets are busy; retry after the time in Retry-After").At(now.Add(pause))
}

// ask says what the request wants of a target.
func (job *job) ask(now time.Time) roster.Ask {
	ask := roster.Ask{
		Service: job.service.Name, Repeatable: job.route.Kind.Repeatable(), Tried: job.tried,
	}
	prompt := job.request.Prompt
	if prompt == nil || len(job.service.Models) == 0 {
		return ask
	}
	ask.Model = prompt.Model
	ask.Prefix = prompt.shared(job.wall())
	ask.Tokens = prompt.own()
	ask.Newest = job.relay.Weights.Named(prompt.Model, now.Add(-weightsGrace))
	// The bound counts from the first version that replaced what a target has.
	replaced := now.Add(weightsMargin).Add(-job.relay.Bounds.Weights.After(now).Sub(now))
	ask.Required = job.relay.Weights.Named(prompt.Model, replaced)
	return ask
}

// judge decides after an attempt. done means that the answer was passed on; an
// error ends the request; otherwise another target may have it.
func (job *job) judge(ctx context.Context, seat *roster.Seat, result error) (done bool, err error) {
	now := time.Now()
	switch {
	case result == nil:
		seat.Succeeded(now)
		return true, nil
	case errors.Is(result, errCallerGone):
		return false, refusal.New(refusal.CallerGone, "the caller went away")
	case errors.Is(result, target.ErrNotSent):
		seat.Failed(true, now)
		job.logAttempt(seat, result)
		return false, job.ended(ctx)
	case errors.Is(result, errNotRun):
		return false, job.rejected(ctx, seat, now)
	}
	job.runs++
	job.logAttempt(seat, result)
	if ended := job.ended(ctx); ended != nil {
		return false, ended
	}
	if errors.Is(result, errFailedAnswer) {
		seat.Failed(false, now)
		return job.afterFailure(now)
	}
	seat.Failed(errors.Is(result, target.ErrDied), now)
	job.judgeDeath(ctx, seat, result)
	if !job.mayRunAgain(now) {
		return false, job.broken()
	}
	job.relay.Metrics.Retries.Add(1)
	return false, nil
}

// mayRunAgain reports whether another target may have the request after one may
// have run it, and takes the retry out of the budget.
func (job *job) mayRunAgain(now time.Time) bool {
	return job.route.Kind.Repeatable() && job.runs < job.route.Attempts &&
		job.relay.Suspect.Standing(job.digest, now) != quarantine.Barred &&
		job.relay.Budgets.Allow(job.service.Name, now)
}

// rejected handles a target's word that it did not run the request.
func (job *job) rejected(ctx context.Context, seat *roster.Seat, now time.Time) error {
	job.rejections++
	if job.attempt.head.Status == statusMisdirected {
		seat.Moved(now)
	} else {
		job.full = true
	}
	job.logAttempt(seat, errNotRun)
	if ended := job.ended(ctx); ended != nil {
		return ended
	}
	if !job.relay.Budgets.Allow(job.service.Name, now) {
		return job.exhausted()
	}
	job.relay.Metrics.Retries.Add(1)
	return nil
}

// afterFailure tries again after a target's answer that told of a failure, or
// passes that answer on.
func (job *job) afterFailure(now time.Time) (done bool, err error) {
	if job.mayRunAgain(now) {
		job.relay.Metrics.Retries.Add(1)
		return false, nil
	}
	return true, job.passFailure()
}

func (job *job) passFailure() error {
	if err := job.deliver(*job.failure, job.failureBody); err != nil {
		return refusal.New(refusal.CallerGone, "the caller went away")
	}
	return nil
}

// ended returns the refusal of a request whose time is up or whose caller left;
// nil while it goes on.
func (job *job) ended(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return job.cut(refusal.New(refusal.DeadlineExceeded, "the request took longer than it may; allow more time or shorten it"))
	}
	return refusal.New(refusal.CallerGone, "the caller went away")
}

// cut turns a refusal into an interrupted stream when a part was passed on.
func (job *job) cut(refused *refusal.Refusal) *refusal.Refusal {
	if job.started {
		job.relay.Metrics.StreamsBroken.Add(1)
		return refusal.New(refusal.StreamInterrupted, refused.Message)
	}
	return refused
}

// broken is the end of a request that may have run and was not answered.
func (job *job) broken() error {
	return job.cut(refusal.New(refusal.TargetFailed, "the target failed; retry if the request may run twice"))
}

// exhausted is the end of a request that no further target may have.
func (job *job) exhausted() error {
	switch {
	case job.failure != nil:
		return job.passFailure()
	case job.runs > 0:
		return job.broken()
	}
	return job.noTarget()
}

func (job *job) noTarget() error {
	// Callers that were refused together come back spread over as long again.
	pause := comeBack + rand.N(comeBack)
	return job.cut(refusal.New(refusal.NoTarget, "no target can take this now; retry after the time in Retry-After").At(time.Now().Add(pause)))
}

func (job *job) logAttempt(seat *roster.Seat, err error) {
	job.relay.Log.Emit(event.AttemptFailed,
		event.F("request", job.request.ID), event.F("target", seat.ID), event.Err(err),
		event.F("status", job.attempt.head.Status), event.F("weights", seat.Weights), event.F("after_event", job.after))
}

// weightsText returns the version for the wire; empty when there is none.
func weightsText(weights uint64) string {
	if weights == 0 {
		return ""
	}
	return strconv.FormatUint(weights, 10)
}
