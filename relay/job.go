package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/retry"
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
	course    delivery.Delivery
	// full is set once a target had no room.
	full bool
	// started is set once a part of the answer was passed on, first at firstAt.
	started bool
	firstAt time.Time
	// after is the id of the last event that the caller has.
	after string
	// failure is the last whole answer that told of a failure.
	failure     *target.Head
	failureBody []byte

	// refusedWait is the corrected estimate for which the request was refused.
	refusedWait time.Duration
	// overRate is what decided that the account was at its rate; nil otherwise.
	overRate *quota.Outlook
	attempt  attempt
}

// attempt is what belongs to the current target alone.
type attempt struct {
	seat roster.Seat
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
	fields := []event.Field{event.F("route", job.route.Name), event.F("runs", job.course.Runs()), event.F("rejections", job.course.Rejections())}
	if job.account != nil {
		fields = append(fields, event.F("client_account", job.account.Name))
	}
	switch {
	case job.refusedWait > 0:
		return append(fields, job.waitFields()...)
	case job.overRate != nil:
		return append(fields, job.rateFields()...)
	}
	if len(job.tried) > 0 {
		fields = append(fields, event.F("target", job.tried[len(job.tried)-1]))
	}
	return fields
}

// rateFields returns what logs tell of a request that was refused for its account's
// rate.
func (job *job) rateFields() []event.Field {
	return []event.Field{
		event.F("tokens", int(job.charge())), event.F("spare_tokens", int(job.overRate.Spare)),
		event.F("rate", int(job.account.Rate)), event.F("demand", int(job.overRate.Demand)),
		event.F("counts_age_ms", job.overRate.Oldest.Milliseconds()), event.F("fleet_heard", job.overRate.Informed),
	}
}

// waitFields returns what logs tell of a request that was refused since it would
// have waited too long.
func (job *job) waitFields() []event.Field {
	now := time.Now()
	seat := &job.attempt.seat
	return []event.Field{
		event.F("target", seat.ID), event.F("estimated_wait_ms", seat.Wait.Milliseconds()),
		event.F("corrected_wait_ms", job.refusedWait.Milliseconds()),
		event.F("allowed_wait_ms", job.route.Patience.After(now).Sub(now).Milliseconds()),
	}
}

// serve sends the request to one target after another until one answers.
func (job *job) serve(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, job.deadline)
	defer cancel()
	job.course = delivery.Delivery{Sender: job, Repeatable: job.route.Kind.Repeatable(), Attempts: job.route.Attempts}
	if job.service != nil {
		job.relay.Budgets.Request(job.service.Name, job.request.Arrived)
	}
	err := job.course.Run(ctx)
	if err == nil {
		return nil
	}
	if job.course.Runs() == 0 && job.charged > 0 {
		job.relay.Limits.Refund(job.account.Name, job.charged, time.Now())
	}
	if refusal.From(err).Code == refusal.StreamInterrupted {
		job.relay.Metrics.StreamsBroken.Add(1)
	}
	return err
}

// ChooseTarget implements delivery.Sender. A request that ran nowhere and finds no
// target waits a moment for one that is about to have new weights, to tell which
// it has, or to be reached again.
func (job *job) ChooseTarget(ctx context.Context) (bool, error) {
	if job.service == nil {
		return false, nil
	}
	for {
		now := time.Now()
		seat, ok := job.relay.Roster.Choose(job.ask(now), now)
		if ok {
			job.attempt = attempt{seat: seat}
			return true, job.tooBusy(&job.attempt.seat)
		}
		if job.course.Runs() > 0 || job.full || !job.hold(now) || !retry.Wait(ctx, now.Add(holdLook)) {
			return false, nil
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

// tooBusy refuses a request that would wait longer at its target than requests of
// its service may, and gives its place back: otherwise all that come after it
// would be late too, and late work would be done in place of work that can be in
// time.
func (job *job) tooBusy(seat *roster.Seat) error {
	patience := job.route.Patience
	if job.request.Prompt == nil || patience <= 0 || job.course.Runs() > 0 {
		return nil
	}
	now := time.Now()
	wait := job.relay.waits.corrected(seat.Wait, now)
	if limit := patience.After(now); now.Add(wait).Before(limit) {
		return nil
	}
	seat.End()
	job.refusedWait = wait
	// What waits now is read by then.
	pause := wait + rand.N(delivery.RetryAfter)
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

// Send implements delivery.Sender.
func (job *job) Send(ctx context.Context) (delivery.Outcome, error) {
	seat := &job.attempt.seat
	result := job.send(ctx, seat)
	seat.End()
	job.tried = append(job.tried, seat.ID)
	now := time.Now()
	outcome := outcomeOf(result)
	job.relay.Metrics.ByTarget.Count(seat.ID, outcome.String())
	switch outcome {
	case delivery.Answered:
		seat.Succeeded(now)
		return outcome, nil
	case delivery.CallerGone:
		return outcome, nil
	case delivery.NotSent:
		seat.Failed(true, now)
	case delivery.NotRun:
		job.rejected(seat, now)
	case delivery.FailedAnswer:
		seat.Failed(false, now)
	case delivery.Broken:
		if ctx.Err() == nil { // otherwise this VM broke it off
			seat.Failed(errors.Is(result, target.ErrDied), now)
			job.judgeDeath(ctx, seat, result)
		}
	}
	job.logAttempt(seat, result)
	return outcome, nil
}

// outcomeOf returns the outcome of an attempt with the result.
func outcomeOf(result error) delivery.Outcome {
	switch {
	case result == nil:
		return delivery.Answered
	case errors.Is(result, errCallerGone):
		return delivery.CallerGone
	case errors.Is(result, target.ErrNotSent):
		return delivery.NotSent
	case errors.Is(result, errNotRun):
		return delivery.NotRun
	case errors.Is(result, errFailedAnswer):
		return delivery.FailedAnswer
	}
	return delivery.Broken
}

// rejected notes a target's word that it did not run the request.
func (job *job) rejected(seat *roster.Seat, now time.Time) {
	if job.attempt.head.Status == statusMisdirected {
		seat.Moved(now)
		return
	}
	job.full = true
}

// AllowRetry implements delivery.Sender.
func (job *job) AllowRetry(outcome delivery.Outcome, now time.Time) bool {
	if outcome != delivery.NotRun && job.relay.Suspect.Standing(job.digest, now) == quarantine.Barred {
		return false
	}
	if !job.relay.Budgets.Allow(job.service.Name, now) {
		return false
	}
	job.relay.Metrics.Retries.Add(1)
	return true
}

// Started implements delivery.Sender.
func (job *job) Started() bool {
	return job.started
}

// Fallback implements delivery.Sender.
func (job *job) Fallback() (bool, error) {
	if job.failure == nil {
		return false, nil
	}
	if err := job.deliver(*job.failure, job.failureBody); err != nil {
		return false, refusal.New(refusal.CallerGone, "the caller went away")
	}
	return true, nil
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
