package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/claim"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/target"
)

// recordTime bounds how long an answer is held back while it is recorded.
const recordTime = 2 * time.Second

// Call is one request to a plain service, whose key and route were checked.
type Call struct {
	Route *catalog.Route
	// Account is nil on open routes.
	Account *catalog.Account
	Key     string // digest; empty on open routes
	Method  string
	// Path is the path and query as they go to the service.
	Path           string
	ContentType    string
	Body           []byte
	IdempotencyKey string
	ID             string
	Arrived        time.Time
}

// Answer is the answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed tells that the call ran earlier and this is its record.
	Replayed bool
}

// Call runs a call to a plain service. Idempotent calls are tried again; others
// are sent once at most. The error is a refusal.
func (dispatcher *Dispatcher) Call(ctx context.Context, call *Call) (Answer, error) {
	ctx, deadline, end := dispatcher.begin(ctx, call.Key, call.Arrived)
	defer end()
	answer, err := dispatcher.limitCall(ctx, call, deadline)
	return answer, dispatcher.finish(err)
}

func (dispatcher *Dispatcher) limitCall(ctx context.Context, call *Call, deadline time.Time) (Answer, error) {
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
	case call.Route.Idempotent:
		return dispatcher.repeatable(ctx, call, deadline)
	case call.IdempotencyKey == "":
		answer, _, err := dispatcher.once(ctx, call, deadline)
		return answer, err
	}
	return dispatcher.claimed(ctx, call, deadline)
}

// claimed sends a call that another VM may get too: the claim decides.
func (dispatcher *Dispatcher) claimed(ctx context.Context, call *Call, deadline time.Time) (Answer, error) {
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
	answer, sent, err := dispatcher.once(ctx, call, deadline)
	// The caller may be gone; the record matters all the more.
	recording, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTime)
	defer cancel()
	if !sent {
		ticket.Release(recording)
		return answer, err
	}
	if err != nil {
		return answer, err
	}
	record := claim.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
	if err := ticket.Record(recording, record); err != nil {
		dispatcher.Log.Emit(event.ClaimUnrecorded, event.Err(err))
	}
	return answer, nil
}

func replay(recorded *claim.Answer) (Answer, error) {
	if recorded.Cut {
		return Answer{}, refusal.New(refusal.OutcomeUnknown, "the call ran and its answer was too long to keep; ask the service for its effect")
	}
	return Answer{Status: recorded.Status, ContentType: recorded.ContentType, Body: recorded.Body, Replayed: true}, nil
}

// once sends a call to one target. It goes on to another only while nothing was
// sent. sent tells whether a target may have run it.
func (dispatcher *Dispatcher) once(ctx context.Context, call *Call, deadline time.Time) (answer Answer, sent bool, err error) {
	place := placement.Request{Zone: dispatcher.Zone}
	for range maxAttempts {
		state := dispatcher.chooseService(call.Route, &place)
		if state == nil {
			break
		}
		answer, err = dispatcher.send(ctx, call, state, deadline, place.Tried, true)
		if err == nil {
			return answer, true, nil
		}
		if !errors.Is(err, target.ErrNotSent) {
			return answer, true, unknownOutcome(ctx)
		}
		place.Tried = append(place.Tried, state)
	}
	return Answer{}, false, noTarget()
}

func unknownOutcome(ctx context.Context) error {
	if ctx.Err() != nil {
		return refusal.From(ended(ctx)).With(refusal.Unknown)
	}
	return refusal.New(refusal.OutcomeUnknown, "the service did not answer and may have run the call; check its effect before sending it again")
}

// repeatable sends a call that may run more than once.
func (dispatcher *Dispatcher) repeatable(ctx context.Context, call *Call, deadline time.Time) (Answer, error) {
	place := placement.Request{Zone: dispatcher.Zone}
	mayHaveRun := false
	for attempt := range maxAttempts {
		state := dispatcher.chooseService(call.Route, &place)
		if state == nil {
			place.Tried = nil
			if !wait(ctx, attempt) {
				break
			}
			continue
		}
		answer, err := dispatcher.send(ctx, call, state, deadline, place.Tried, attempt > 0)
		if err == nil {
			return answer, nil
		}
		place.Tried = append(place.Tried, state)
		if errors.Is(err, target.ErrNotSent) {
			continue
		}
		mayHaveRun = true
		if ctx.Err() != nil || !dispatcher.budget.Allow(time.Now()) {
			break
		}
		dispatcher.Metrics.Retries.Add(1)
	}
	if ctx.Err() != nil {
		return Answer{}, ended(ctx)
	}
	if !mayHaveRun {
		return Answer{}, noTarget()
	}
	return Answer{}, refusal.New(refusal.TargetFailed, "the service failed; retry after the time in Retry-After").At(time.Now().Add(comeBack))
}

func (dispatcher *Dispatcher) chooseService(route *catalog.Route, place *placement.Request) *placement.State {
	pool := dispatcher.Targets.service(route.Service)
	if pool == nil {
		return nil
	}
	return leastInFlight.Choose(pool.Pool, place, time.Now())
}

// leastInFlight spreads calls over a service's targets.
var leastInFlight = &placement.LeastLoaded{}

// send makes one exchange with one target.
func (dispatcher *Dispatcher) send(ctx context.Context, call *Call, state *placement.State, deadline time.Time, tried []*placement.State, fresh bool) (Answer, error) {
	client := dispatcher.Targets.Client(state.Name)
	if client == nil {
		return Answer{}, target.ErrNotSent
	}
	flight := state.Begin(0, time.Now())
	defer flight.End()
	head, body, err := client.Whole(ctx, target.Call{
		Method:      call.Method,
		Path:        call.Path,
		Body:        call.Body,
		ContentType: call.ContentType,
		RequestID:   call.ID + "-" + strconv.Itoa(len(tried)),
		Deadline:    deadline,
		Fresh:       fresh,
		OnHead:      func(target.Head) { state.Answered() },
	}, nil)
	if err != nil {
		if errors.Is(err, target.ErrNotSent) { // a lost answer says little of the next call
			state.Failed(time.Now())
		}
		return Answer{}, err
	}
	return Answer{Status: head.Status, ContentType: head.ContentType, Body: body}, nil
}
