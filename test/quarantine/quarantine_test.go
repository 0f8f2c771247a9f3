// Package quarantine tests requests that crash targets.
package quarantine

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/test/harness"
)

// poison is the text in a prompt that crashes an engine.
const poison = "poisonous words"

// deaths returns how many times the engines of the fleet have crashed.
func deaths(fleet *bench.Fleet) int64 {
	total := int64(0)
	for _, engine := range fleet.Engines {
		total += engine.Deaths.Load()
	}
	return total
}

// A request that crashes targets is blocked after two target deaths in the whole
// fleet, also when its caller retries it through other VMs.
func TestPoisonRequestIsBlockedAfterTwoDeaths(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for _, maxTokens := range []int{8, 48} {
			t.Run(fmt.Sprintf("stream %t, %d tokens", stream, maxTokens), func(t *testing.T) {
				layout := bench.Small(4)
				layout.Poison = poison
				fleet, callers := harness.Start(t, layout)
				body := bench.Chat("ledger", "please read: "+poison, maxTokens, stream)
				for round := range 3 {
					for _, vm := range fleet.VMs {
						got := harness.SendChat(fleet, callers, vm, body)
						if got.Complete || got.Refusal == "" {
							t.Errorf("round %d: got %+v, want a refusal", round, got)
						}
					}
				}
				if got := deaths(fleet); got > 2 {
					t.Errorf("got %d deaths, want 2 at most", got)
				}
				got := harness.SendChat(fleet, callers, fleet.VMs[0], body)
				if got.Refusal != refusal.Quarantined || got.Outcome != refusal.NotRun {
					t.Errorf("got %+v, want %s, not run", got, refusal.Quarantined)
				}
			})
		}
	}
}

// Harmless requests that were in flight at the crashed targets must be answered, not
// quarantined.
func TestConcurrentRequestsAreNotQuarantined(t *testing.T) {
	layout := bench.Small(5)
	layout.Poison = poison
	layout.Decode = 10 * time.Millisecond
	fleet, callers := harness.Start(t, layout)
	var group sync.WaitGroup
	for i := range 24 {
		group.Go(func() {
			body := bench.Chat("ledger", fmt.Sprintf("harmless question %d", i), 48, i%2 == 0)
			for attempt := range 3 { // as a caller would that is asked to retry
				got := harness.SendChat(fleet, callers, fleet.VMs[i%3], body)
				if got.Refusal == refusal.Quarantined {
					t.Errorf("request %d: got it quarantined, want an answer", i)
				}
				if got.Complete || attempt == 2 {
					if !got.Complete || !bench.MatchesRequest(got.Text, body, "w1") {
						t.Errorf("request %d: got %+v, want the complete answer to its own request", i, got)
					}
					return
				}
			}
		})
	}
	harness.Await(t, "requests in flight", harness.HasInFlight(fleet))
	harness.SendChat(fleet, callers, fleet.VMs[1], bench.Chat("ledger", poison, 48, true))
	group.Wait()
	if got := deaths(fleet); got > 2 {
		t.Errorf("got %d deaths, want 2 at most", got)
	}
}

// A VM that starts after a request was quarantined must refuse the request too.
func TestQuarantineOutlivesRestarts(t *testing.T) {
	layout := bench.Small(3)
	layout.Poison = poison
	fleet, callers := harness.Start(t, layout)
	body := bench.Chat("ledger", poison, 8, false)
	for _, vm := range fleet.VMs {
		harness.SendChat(fleet, callers, vm, body)
	}
	harness.Await(t, "the quarantine to be in the configuration", func() bool {
		page := struct{ Items []struct{ Name string } }{}
		return fleet.Operator(fleet.VMs[2]).Do("GET", "quarantines", nil, &page) == nil && len(page.Items) == 1
	})
	for _, vm := range fleet.VMs {
		if err := fleet.Shutdown(vm); err != nil {
			t.Fatal(err)
		}
		if err := fleet.Boot(vm); err != nil {
			t.Fatal(err)
		}
		harness.Await(t, "the VM to be ready", vm.Router.Ready)
	}
	got := harness.SendChat(fleet, callers, fleet.VMs[0], body)
	if got.Refusal != refusal.Quarantined {
		t.Errorf("got %+v, want %s", got, refusal.Quarantined)
	}
	if got := deaths(fleet); got > 2 {
		t.Errorf("got %d deaths, want 2 at most", got)
	}
}
