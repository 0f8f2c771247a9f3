// Package streams tests streams during faults of targets and of the platform.
package streams

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/test/harness"
)

// Guarantees: every stream arrives complete and in order; every caller
// receives the complete answer to its own request, even when answers arrive late or
// answers of different requests are swapped.
func TestAnswersAreCompleteUnderFaults(t *testing.T) {
	cases := []struct {
		name string
		// before is applied before the requests are sent, fault while they run.
		before func(*bench.Fleet)
		fault  func(*bench.Fleet)
	}{
		{"no fault", nil, func(*bench.Fleet) {}},
		{"engine crashes", nil, func(fleet *bench.Fleet) { fleet.Engines[0].Crash() }},
		{"two engines crash", nil, func(fleet *bench.Fleet) { fleet.Engines[0].Crash(); fleet.Engines[1].Crash() }},
		{"open connections deliver no more data", nil, func(fleet *bench.Fleet) {
			for _, engine := range fleet.Engines {
				engine.StallStreamsBefore.Store(time.Now().UnixNano())
			}
		}},
		{"answers are swapped", func(fleet *bench.Fleet) {
			for _, engine := range fleet.Engines {
				engine.MismatchedAnswers.Store(2)
			}
		}, func(*bench.Fleet) {}},
		{"no more data, then a crash", nil, func(fleet *bench.Fleet) {
			for _, engine := range fleet.Engines {
				engine.StallStreamsBefore.Store(time.Now().UnixNano())
			}
			fleet.Engines[0].Crash()
		}},
		{"platform down and an engine crashes", nil, func(fleet *bench.Fleet) {
			for _, vm := range fleet.VMs {
				vm.Endpoint.Disconnect()
			}
			fleet.Engines[0].Crash()
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fleet, callers := harness.Start(t, bench.Small(3))
			if test.before != nil {
				test.before(fleet)
			}
			var group sync.WaitGroup
			for i := range 12 {
				group.Go(func() {
					body := bench.Chat("ledger", fmt.Sprintf("question %d", i), 48, i%3 > 0)
					got := harness.SendChat(fleet, callers, fleet.VMs[i%len(fleet.VMs)], body)
					if !got.Complete || !bench.MatchesRequest(got.Text, body, "w1") {
						t.Errorf("request %d: got %+v, want the complete answer to its own request", i, got)
					}
				})
			}
			harness.Await(t, "a request in flight", harness.HasInFlight(fleet))
			test.fault(fleet)
			group.Wait()
		})
	}
}

// A stream that no target can complete ends with an explicit error event.
func TestIncompleteStreamEndsInError(t *testing.T) {
	layout := bench.Small(1)
	layout.Decode = 50 * time.Millisecond
	fleet, callers := harness.Start(t, layout)
	done := make(chan bench.Answer, 1)
	go func() {
		done <- harness.SendChat(fleet, callers, fleet.VMs[0], bench.Chat("ledger", "question", 48, true))
	}()
	harness.Await(t, "the first token", func() bool { return fleet.VMs[0].Router.Metrics().FirstTokenMS.String() != "{}" })
	fleet.Engines[0].Crash()
	got := <-done
	if got.Complete || got.Refusal != refusal.StreamInterrupted && got.Refusal != refusal.TargetFailed || got.Outcome != refusal.Unknown {
		t.Errorf("got %+v, want an error event that says that the outcome is unknown", got)
	}
}

// When a caller disconnects, its requests are cancelled at the targets.
func TestDisconnectCancelsRequest(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			layout := bench.Small(1)
			layout.Decode = 300 * time.Millisecond
			fleet, callers := harness.Start(t, layout)
			go harness.SendChat(fleet, callers, fleet.VMs[0], bench.Chat("ledger", "a long question", 48, stream))
			harness.Await(t, "a request in flight", harness.HasInFlight(fleet))
			callers.Abort()
			harness.Await(t, "the engine to cancel the work", func() bool { return fleet.Engines[0].Cancelled.Load() == 1 })
		})
	}
}
