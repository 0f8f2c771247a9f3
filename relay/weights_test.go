package relay

import (
	"errors"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/refusal"
)

// fakeWeights implements Weights with versions that are known or not.
type fakeWeights struct {
	Weights
	known bool
}

func (fakeWeights *fakeWeights) Known() bool { return fakeWeights.known }

// Guards against requests that begin on replaced weights: a VM that does not know the named
// weights yet cannot tell which targets a request for a model may use.
func TestRequestForModelIsRefusedUntilNamedWeightsAreKnown(t *testing.T) {
	for _, test := range []struct {
		name    string
		known   bool
		prompt  *Prompt
		refused bool
	}{
		{"weights unknown", false, &Prompt{Model: "m"}, true},
		{"weights known", true, &Prompt{Model: "m"}, false},
		{"weights unknown, no model", false, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, resumableRoute)
			fixture.relay.Weights = &fakeWeights{known: test.known}
			fixture.addTarget(t, "s1", "v1")
			sentAt := time.Now()
			_, err := fixture.serve(t, Request{ID: "r", Prompt: test.prompt})
			ran := len(fixture.receivers("r")) > 0
			if !test.refused {
				if err != nil || !ran {
					t.Errorf("got %v, want an answer", err)
				}
				return
			}
			var refused *refusal.Refusal
			if !errors.As(err, &refused) || refused.Code != refusal.NotReady || refused.Outcome != refusal.NotRun || ran {
				t.Fatalf("got %v, run %t, want a refusal as not run", err, ran)
			}
			if earliest := sentAt.Add(delivery.RetryAfter); refused.RetryAt.Before(earliest) {
				t.Errorf("got a retry at %v, want none before %v", refused.RetryAt, earliest)
			}
		})
	}
}
