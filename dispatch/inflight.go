package dispatch

import (
	"context"
	"sync"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/refusal"
)

// inFlight is the set of requests in flight. It is used to cancel the requests of
// withdrawn keys.
type inFlight struct {
	mu       sync.Mutex // guards requests
	requests map[*inFlightRequest]bool
}

// inFlightRequest is one request in flight.
type inFlightRequest struct {
	key    string // digest; empty on open routes
	cancel context.CancelCauseFunc
}

// begin registers a request and returns its context.
func (inFlight *inFlight) begin(ctx context.Context, key string) (context.Context, *inFlightRequest) {
	ctx, cancel := context.WithCancelCause(ctx)
	request := &inFlightRequest{key: key, cancel: cancel}
	inFlight.mu.Lock()
	defer inFlight.mu.Unlock()
	if inFlight.requests == nil {
		inFlight.requests = map[*inFlightRequest]bool{}
	}
	inFlight.requests[request] = true
	return ctx, request
}

func (inFlight *inFlight) end(request *inFlightRequest) {
	request.cancel(nil)
	inFlight.mu.Lock()
	defer inFlight.mu.Unlock()
	delete(inFlight.requests, request)
}

func (inFlight *inFlight) count() int {
	inFlight.mu.Lock()
	defer inFlight.mu.Unlock()
	return len(inFlight.requests)
}

// cancelWithdrawn cancels the requests whose keys are no longer valid and returns
// their number. The configuration is read under the lock, while no request can be
// registered: an older configuration may lack the key of a request that was just
// registered.
func (inFlight *inFlight) cancelWithdrawn(current func() *catalog.Snapshot) (cancelled int) {
	inFlight.mu.Lock()
	defer inFlight.mu.Unlock()
	snapshot := current()
	for request := range inFlight.requests {
		if request.key == "" {
			continue
		}
		if key := snapshot.Key(request.key); key == nil || key.Withdrawn {
			request.cancel(refusal.New(refusal.KeyWithdrawn, "the key was withdrawn; ask the operator for a new one").WithOutcome(refusal.Unknown))
			cancelled++
		}
	}
	return cancelled
}
