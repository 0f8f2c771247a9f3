package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/admission"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
)

// knownWeights implements Weights.
type knownWeights struct{}

func (knownWeights) Named(string, time.Time) uint64 { return 0 }
func (knownWeights) Known() bool                    { return true }

// Guards against requests beyond the room that reach targets or are told no time to retry,
// against late requests and those of callers that left that take time of targets, and
// against deployments that ask for nothing new being served differently.
func TestOverload(t *testing.T) {
	for _, test := range []struct {
		name     string
		adaptive bool
		wait     time.Duration // at the targets
		target   time.Duration // for the latency
		gone     bool
		demand   float64
		code     refusal.Code // empty for an answer
		late     bool
	}{
		{"room", true, 5 * time.Millisecond, 5 * time.Second, false, 1e9, "", false},
		{"beyond the room", true, time.Second, 5 * time.Second, false, 1e9, refusal.Overloaded, false},
		{"late", true, time.Second, 100 * time.Millisecond, false, 0, refusal.Overloaded, true},
		{"gone", true, 5 * time.Millisecond, 5 * time.Second, true, 0, refusal.CallerGone, false},
		{"not adaptive", false, time.Second, 5 * time.Second, false, 1e9, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, routing.Route{Kind: routing.Idempotent, Splits: []routing.Split{{Service: "s1", Weight: 1}}})
			fixture.addTarget(t, "s1", "")
			relay := fixture.relay
			relay.Weights = knownWeights{}
			relay.Roster.SetMemoryPressure(test.adaptive)
			room := admission.Room{TokensPerSecond: 100_000, Wait: test.wait, AimedWait: 70 * time.Millisecond}
			relay.Admission = &admission.Services{Self: "vm-1", Started: time.Now().Add(-time.Minute), Room: func(string, time.Time) admission.Room { return room }}
			relay.Admission.SetFleetSize(2)
			relay.table.Load().Match("a.example", "/x").LatencyTarget = settings.Span(test.target)
			relay.Admission.Get("s1").Merge("vm-2", admission.Demand{Counts: []admission.Count{{Account: 1, Asked: test.demand}}}, time.Now())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.gone {
				cancel()
			}
			code, retryAt, outcome := refusal.Code(""), time.Time{}, refusal.NotRun
			for i := range 20 { // enough that one of them is refused
				request := &Request{ID: fmt.Sprint("r", i), Method: "POST", Host: "a.example", Path: "/x", PathAndQuery: "/x", Key: "k1", Arrived: time.Now(), Prompt: &Prompt{Input: 20_000}}
				if err := relay.Serve(ctx, request, &recordedAnswer{}); err != nil {
					refused := refusal.From(err)
					code, retryAt, outcome = refused.Code, refused.RetryAt, refused.Outcome
					if len(fixture.receivers(request.ID)) > 0 {
						t.Errorf("got request %s at a target, want it refused before", request.ID)
					}
				}
			}
			if code != test.code || outcome != refusal.NotRun {
				t.Errorf("got code %q with outcome %q, want %q that was not run", code, outcome, test.code)
			}
			if test.code == refusal.Overloaded && !retryAt.After(time.Now()) {
				t.Errorf("got retry at %v, want a time in the future", retryAt)
			}
			if got := relay.Metrics.TooLate.Value() > 0; got != test.late {
				t.Errorf("got late requests %v, want %v", got, test.late)
			}
		})
	}
}
