package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/routing"
)

// Guards against a sound target that gets no requests because the time of earlier ones ended
// there: the connection's timer ran before that of the request, which counted as failed.
func TestEndOfTheTimeIsNoFailureOfTheTarget(t *testing.T) {
	const requests, allowed = 64, 100 * time.Millisecond
	fixture := newFixture(t, routing.Route{Kind: routing.Stream, Splits: resumableRoute.Splits})
	busy := fixture.addTarget(t, "s1", "")
	ended := make(chan struct{})
	busy.receive = func(string) { <-ended }
	var running sync.WaitGroup
	for range requests {
		running.Go(func() {
			_, err := fixture.serve(t, Request{ID: "r", Deadline: time.Now().Add(allowed)})
			if got := refusal.From(err); got.Code != refusal.DeadlineExceeded {
				t.Errorf("got %q, want %q", got.Code, refusal.DeadlineExceeded)
			}
		})
	}
	running.Wait()
	close(ended)
	if got := fixture.relay.Roster.Entries()[0]; got.Ejected {
		t.Error("got a target that counts as failing, want it to serve")
	}
}

// Guards against a target that hangs and is used on, because its requests end by their own
// deadlines alone.
func TestTargetThatIsSilentUntilTheEndHasFailed(t *testing.T) {
	const short, long = minSilence / 2, 2 * minSilence
	for _, test := range []struct {
		name      string
		silence   time.Duration
		cancelled bool
		want      bool
	}{
		{"short", short, false, false},
		{"long", long, false, true},
		{"long, the caller left", long, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempt := newSilentAttempt(t, 0, "a")
				defer attempt.monitor.stop()
				ctx, cancel := context.WithTimeout(t.Context(), test.silence)
				if test.cancelled {
					cancel()
				}
				defer cancel()
				<-time.After(test.silence)
				<-ctx.Done()
				if got := attempt.job.endedInSilence(ctx, &attempt.job.attempt.assignment, time.Now()); got != test.want {
					t.Errorf("got failed %t, want %t", got, test.want)
				}
			})
		})
	}
}
