package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/target"
)

// leastInFlight spreads calls over a service's targets.
var leastInFlight = &placement.LeastLoaded{}

// errand is a call to a plain service on its way.
type errand struct {
	*Call
	dispatcher *Dispatcher
	course     delivery.Delivery
	deadline   time.Time
	place      placement.Request
	sent       int       // attempts
	waitFrom   time.Time // the wait for a target
	state      *placement.State
	answer     Answer
}

func (dispatcher *Dispatcher) newErrand(call *Call, deadline time.Time) *errand {
	errand := &errand{
		Call: call, dispatcher: dispatcher, deadline: deadline,
		place: placement.Request{Zone: dispatcher.Zone}, waitFrom: time.Now(),
	}
	errand.course = delivery.Delivery{Sender: errand, Repeatable: call.Route.Idempotent, Attempts: 1}
	if call.Route.Idempotent {
		errand.course.Attempts = maxAttempts
	}
	return errand
}

// run sends the call until it is answered or ends.
func (errand *errand) run(ctx context.Context) (Answer, error) {
	err := errand.course.Run(ctx)
	if err == nil {
		return errand.answer, nil
	}
	refused := refusal.From(err)
	if refused.Code == refusal.TargetFailed && !errand.Route.Idempotent {
		refused = refusal.New(refusal.OutcomeUnknown, "the service did not answer and may have run the call; check its effect before sending it again")
	}
	return Answer{}, refused
}

// ChooseTarget implements delivery.Sender. Calls that may be repeated wait for a
// target while there is none.
func (errand *errand) ChooseTarget(ctx context.Context) (bool, error) {
	for {
		now := time.Now()
		errand.state = errand.choose(now)
		if errand.state != nil {
			return true, nil
		}
		patient := errand.Route.Idempotent && now.Before(errand.waitFrom.Add(noTargetWait))
		if !patient || !retry.Wait(ctx, tryBackoff.Next(errand.sent+1, now)) {
			return false, nil
		}
		errand.place.Tried = nil
	}
}

func (errand *errand) choose(now time.Time) *placement.State {
	pool := errand.dispatcher.Targets.service(errand.Route.Service)
	if pool == nil {
		return nil
	}
	return leastInFlight.Choose(pool.Pool, &errand.place, now)
}

// Send implements delivery.Sender.
func (errand *errand) Send(ctx context.Context) (delivery.Outcome, error) {
	state := errand.state
	flight := state.Begin(0, time.Now())
	err := errand.exchange(ctx, state)
	flight.End()
	errand.sent++
	errand.place.Tried = append(errand.place.Tried, state)
	switch {
	case err == nil:
		return delivery.Answered, nil
	case errors.Is(err, target.ErrNotSent): // a lost answer says little of the next call
		state.Failed(time.Now())
		return delivery.NotSent, nil
	}
	errand.waitFrom = time.Now()
	return delivery.Broken, nil
}

// exchange sends the call to one target.
func (errand *errand) exchange(ctx context.Context, state *placement.State) error {
	client := errand.dispatcher.Targets.Client(state.Name)
	if client == nil {
		return target.ErrNotSent
	}
	head, body, err := client.Whole(ctx, target.Call{
		Method:      errand.Method,
		Path:        errand.Path,
		Body:        errand.Body,
		ContentType: errand.ContentType,
		RequestID:   errand.ID + "-" + strconv.Itoa(errand.sent),
		Deadline:    errand.deadline,
		Fresh:       !errand.Route.Idempotent || errand.sent > 0,
		OnHead:      func(target.Head) { state.Answered() },
	}, nil)
	errand.answer = Answer{Status: head.Status, ContentType: head.ContentType, Body: body}
	return err
}

// AllowRetry implements delivery.Sender.
func (errand *errand) AllowRetry(_ delivery.Outcome, now time.Time) bool {
	return errand.dispatcher.mayRepeat(now)
}

// Started implements delivery.Sender.
func (errand *errand) Started() bool {
	return false
}

// Fallback implements delivery.Sender.
func (errand *errand) Fallback() (bool, error) {
	return false, nil
}
