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

// leastInFlight distributes calls over the targets of a service.
var leastInFlight = &placement.LeastLoaded{}

// serviceCall is the processing of one call to a plain service.
type serviceCall struct {
	*Call
	dispatcher       *Dispatcher
	delivery         delivery.Delivery
	deadline         time.Time
	placementRequest placement.Request
	attempts         int       // including those that were not sent
	waitStart        time.Time // start of the wait for a target
	state            *placement.State
	answer           Answer
}

func (dispatcher *Dispatcher) newServiceCall(call *Call, deadline time.Time) *serviceCall {
	serviceCall := &serviceCall{
		Call: call, dispatcher: dispatcher, deadline: deadline,
		placementRequest: placement.Request{Zone: dispatcher.Zone}, waitStart: time.Now(),
	}
	serviceCall.delivery = delivery.Delivery{Sender: serviceCall, Repeatable: call.Route.Idempotent, Attempts: 1}
	if call.Route.Idempotent {
		serviceCall.delivery.Attempts = maxAttempts
	}
	return serviceCall
}

// run sends the call to targets until one answers or the call ends.
func (serviceCall *serviceCall) run(ctx context.Context) (Answer, error) {
	err := serviceCall.delivery.Run(ctx)
	if err == nil {
		return serviceCall.answer, nil
	}
	refused := refusal.From(err)
	if refused.Code == refusal.TargetFailed && !serviceCall.Route.Idempotent {
		refused = refusal.New(refusal.OutcomeUnknown, "the service did not answer and may have run the call; check its effect before sending it again")
	}
	return Answer{}, refused
}

// ChooseTarget implements delivery.Sender. Idempotent calls wait while no target is
// available.
func (serviceCall *serviceCall) ChooseTarget(ctx context.Context) (bool, error) {
	for {
		now := time.Now()
		serviceCall.state = serviceCall.selectTarget(now)
		if serviceCall.state != nil {
			return true, nil
		}
		mayWait := serviceCall.Route.Idempotent && now.Before(serviceCall.waitStart.Add(maxTargetWait))
		if !mayWait || !retry.Wait(ctx, attemptBackoff.Next(serviceCall.attempts+1, now)) {
			return false, nil
		}
		serviceCall.placementRequest.Tried = nil
	}
}

func (serviceCall *serviceCall) selectTarget(now time.Time) *placement.State {
	pool := serviceCall.dispatcher.Targets.service(serviceCall.Route.Service)
	if pool == nil {
		return nil
	}
	return leastInFlight.Choose(pool.Pool, &serviceCall.placementRequest, now)
}

// Send implements delivery.Sender.
func (serviceCall *serviceCall) Send(ctx context.Context) (delivery.Outcome, error) {
	state := serviceCall.state
	flight := state.Begin(0, time.Now())
	err := serviceCall.exchange(ctx, state)
	flight.End()
	serviceCall.attempts++
	serviceCall.placementRequest.Tried = append(serviceCall.placementRequest.Tried, state)
	switch {
	case err == nil:
		return delivery.Answered, nil
	case errors.Is(err, target.ErrNotSent):
		// Only a failure to send is recorded for the target: a lost answer says
		// little about the next call.
		state.RecordFailure(time.Now())
		return delivery.NotSent, nil
	}
	serviceCall.waitStart = time.Now()
	return delivery.Broken, nil
}

// exchange sends the call to one target.
func (serviceCall *serviceCall) exchange(ctx context.Context, state *placement.State) error {
	client := serviceCall.dispatcher.Targets.Client(state.Name)
	if client == nil {
		return target.ErrNotSent
	}
	head, body, err := client.Do(ctx, target.Call{
		Method:        serviceCall.Method,
		Path:          serviceCall.Path,
		Body:          serviceCall.Body,
		ContentType:   serviceCall.ContentType,
		RequestID:     serviceCall.ID + "-" + strconv.Itoa(serviceCall.attempts),
		Deadline:      serviceCall.deadline,
		NewConnection: !serviceCall.Route.Idempotent || serviceCall.attempts > 0,
		OnHead:        func(target.Head) { state.RecordAnswer() },
	}, nil)
	serviceCall.answer = Answer{Status: head.Status, ContentType: head.ContentType, Body: body}
	return err
}

// AllowRetry implements delivery.Sender.
func (serviceCall *serviceCall) AllowRetry(_ delivery.Outcome, now time.Time) bool {
	return serviceCall.dispatcher.allowRetry(now)
}

// Started implements delivery.Sender.
func (serviceCall *serviceCall) Started() bool {
	return false
}

// Fallback implements delivery.Sender.
func (serviceCall *serviceCall) Fallback() (bool, error) {
	return false, nil
}
