package dispatch

import (
	"context"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/claim"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/refusal"
)

// recordTimeout bounds how long an answer is delayed while it is recorded.
const recordTimeout = 2 * time.Second

// Call is one request to a plain service. Its key and route have been checked.
type Call struct {
	Route *catalog.Route
	// Account is nil on open routes.
	Account *catalog.Account
	Key     string // digest; empty on open routes
	Method  string
	// Path is the path and query that are sent to the service.
	Path           string
	ContentType    string
	Body           []byte
	IdempotencyKey string
	ID             string
	Arrived        time.Time
}

// Answer is the answer from a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is set if the call ran earlier and this is the recorded answer.
	Replayed bool
}

// Call runs a call to a plain service. Idempotent calls are retried; other calls
// are sent at most once. The error is a refusal.
func (dispatcher *Dispatcher) Call(ctx context.Context, call *Call) (Answer, error) {
	ctx, deadline, end := dispatcher.begin(ctx, call.Key, call.Arrived)
	defer end()
	answer, err := dispatcher.reserveAndCall(ctx, call, deadline)
	return answer, dispatcher.finish(err)
}

func (dispatcher *Dispatcher) reserveAndCall(ctx context.Context, call *Call, deadline time.Time) (Answer, error) {
	if call.Account == nil || call.Route.Tokens <= 0 {
		return dispatcher.runCall(ctx, call, deadline)
	}
	account := quota.Account{Name: call.Account.Name, Rate: call.Account.Rate, Burst: call.Account.Burst}
	reservation, err := dispatcher.Ledger.Reserve(ctx, account, call.Route.Tokens, time.Now())
	if err != nil {
		return Answer{}, err
	}
	answer, err := dispatcher.runCall(ctx, call, deadline)
	if err != nil && refusal.From(err).Outcome == refusal.NotRun {
		reservation.Cancel(time.Now())
	}
	return answer, err
}

func (dispatcher *Dispatcher) runCall(ctx context.Context, call *Call, deadline time.Time) (Answer, error) {
	switch {
	case call.Route.Idempotent, call.IdempotencyKey == "":
		return dispatcher.newServiceCall(call, deadline).run(ctx)
	}
	return dispatcher.runClaimed(ctx, call, deadline)
}

// runClaimed runs a call that other VMs may receive too. The claim determines which
// VM sends it.
func (dispatcher *Dispatcher) runClaimed(ctx context.Context, call *Call, deadline time.Time) (Answer, error) {
	account := ""
	if call.Account != nil {
		account = call.Account.Name
	}
	identity := append([]byte(call.Method+" "+call.Path+"\n"), call.Body...)
	ticket, err := dispatcher.Claims.Claim(ctx, account, call.IdempotencyKey, identity, deadline)
	if err != nil {
		return Answer{}, err
	}
	if ticket.Answer != nil {
		return replay(ticket.Answer)
	}
	serviceCall := dispatcher.newServiceCall(call, deadline)
	answer, err := serviceCall.run(ctx)
	// The answer is recorded even if the caller has disconnected; the record
	// matters more in that case.
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if serviceCall.delivery.Runs() == 0 {
		ticket.Release(recordCtx)
		return answer, err
	}
	if err != nil {
		return answer, err
	}
	record := claim.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if err := ticket.Record(recordCtx, record); err != nil {
		dispatcher.Log.Emit(event.ClaimUnrecorded, event.Err(err))
	}
	return answer, nil
}

func replay(recorded *claim.Answer) (Answer, error) {
	if recorded.BodyOmitted {
		return Answer{}, refusal.New(refusal.OutcomeUnknown, "the call ran and its answer was too long to keep; ask the service for its effect")
	}
	return Answer{Status: recorded.Status, ContentType: recorded.ContentType, Body: recorded.Body, Replayed: true}, nil
}
