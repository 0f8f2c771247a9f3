// Package quarantine holds the scenarios of requests that kill targets.
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

const poison = "poisonous words"

func deaths(fleet *bench.Fleet) int64 {
	total := int64(0)
	for _, engine := range fleet.Engines {
		total += engine.Deaths.Load()
	}
	return total
}

// A request that kills targets is stopped after two deaths over the whole
// fleet, also when its caller sends it again through other VMs.
func TestPoisonStopsAfterTwoDeaths(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for _, maxTokens := range []int{8, 48} {
			t.Run(fmt.Sprintf("stream %t, %d tokens", stream, maxTokens), func(t *testing.T) {
				layout := bench.Small(4)
				layout.Poison = poison
				fleet, callers := harness.Start(t, layout)
				body := bench.Chat("ledger", "please read: "+poison, maxTokens, stream)
				for round := range 3 {
					for _, vm := range fleet.VMs {
						got := harness.Ask(fleet, callers, vm, body)
						if got.Complete || got.Refusal == "" {
							t.Errorf("round %d: got %+v, want a refusal", round, got)
						}
					}
				}
				if got := deaths(fleet); got > 2 {
					t.Errorf("got %d deaths, want 2 at most", got)
				}
				got := harness.Ask(fleet, callers, fleet.VMs[0], body)
				if got.Refusal != refusal.Quarantined || got.Outcome != refusal.NotRun {
					t.Errorf("got %+v, want %s, not run", got, refusal.Quarantined)
				}
			})
		}
	}
}

// Innocent requests that were in flight beside it are answered.
func TestNeighboursAreNotPunished(t *testing.T) {
	layout := bench.Small(5)
	layout.Poison = poison
	layout.Decode = 10 * time.Millisecond
	fleet, callers := harness.Start(t, layout)
	var waiting sync.WaitGroup
	for i := range 24 {
		waiting.Go(func() {
			body := bench.Chat("ledger", fmt.Sprintf("harmless question %d", i), 48, i%2 == 0)
			for attempt := range 3 { // as a caller would when told to come back
				got := harness.Ask(fleet, callers, fleet.VMs[i%3], body)
				if got.Refusal == refusal.Quarantined {
					t.Errorf("request %d: got barred, want an answer", i)
				}
				if got.Complete || attempt == 2 {
					if !got.Complete || !bench.MatchesRequest(got.Text, body, "w1") {
						t.Errorf("request %d: got %+v, want its own whole answer", i, got)
					}
					return
				}
			}
		})
	}
	harness.Await(t, "requests in flight", harness.Running(fleet))
	harness.Ask(fleet, callers, fleet.VMs[1], bench.Chat("ledger", poison, 48, true))
	waiting.Wait()
	if got := deaths(fleet); got > 2 {
		t.Errorf("got %d deaths, want 2 at most", got)
	}
}

// The bar is known to a VM that starts afterwards.
func TestBarOutlivesRestarts(t *testing.T) {
	layout := bench.Small(3)
	layout.Poison = poison
	fleet, callers := harness.Start(t, layout)
	body := bench.Chat("ledger", poison, 8, false)
	for _, vm := range fleet.VMs {
		harness.Ask(fleet, callers, vm, body)
	}
	harness.Await(t, "the bar to be in the configuration", func() bool {
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
	got := harness.Ask(fleet, callers, fleet.VMs[0], body)
	if got.Refusal != refusal.Quarantined {
		t.Errorf("got %+v, want %s", got, refusal.Quarantined)
	}
	if got := deaths(fleet); got > 2 {
		t.Errorf("got %d deaths, want 2 at most", got)
	}
}
