// Package limits holds the scenarios of rates over all VMs.
package limits

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/test/harness"
)

// smallRate makes the first account's limits small enough to reach.
func smallRate(rate, burst float64) bench.Layout {
	layout := bench.Small(4)
	layout.Accounts[0].Rate, layout.Accounts[0].Burst = rate, burst
	layout.Decode = time.Millisecond
	return layout
}

// The promise: no client account gets more than its rate and burst across all
// VMs together.
func TestBurstIsSharedByAllVMs(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*testing.T, *bench.Fleet)
	}{
		{"no fault", func(*testing.T, *bench.Fleet) {}},
		{"platform down", func(_ *testing.T, fleet *bench.Fleet) {
			for _, vm := range fleet.VMs {
				vm.Endpoint.Disconnect()
			}
		}},
		{"herd of restarts", func(t *testing.T, fleet *bench.Fleet) {
			for _, vm := range fleet.VMs[1:] {
				if err := fleet.Shutdown(vm); err != nil {
					t.Error(err)
				}
				if err := fleet.Boot(vm); err != nil {
					t.Error(err)
				}
			}
		}},
		{"a VM fails and comes back", func(t *testing.T, fleet *bench.Fleet) {
			if err := fleet.Fail(fleet.VMs[2]); err != nil {
				t.Error(err)
			}
			if err := fleet.Boot(fleet.VMs[2]); err != nil {
				t.Error(err)
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			const rate, burst = 100.0, 2000.0
			fleet, callers := harness.Start(t, smallRate(rate, burst))
			started := time.Now()
			body := bench.Chat("ledger", string(make300()), 8, false)
			var mu sync.Mutex
			spent := 0.0
			limited := 0
			flood := func() {
				var waiting sync.WaitGroup
				for _, vm := range fleet.VMs {
					waiting.Go(func() {
						for range 15 {
							got := harness.Ask(fleet, callers, vm, body)
							mu.Lock()
							spent += float64(got.Usage.TotalTokens)
							if got.Refusal == refusal.RateLimited {
								limited++
							}
							mu.Unlock()
						}
					})
				}
				waiting.Wait()
			}
			flood()
			test.fault(t, fleet)
			flood()
			allowed := burst + rate*time.Since(started).Seconds()
			if spent > allowed {
				t.Errorf("got %.0f tokens, want at most %.0f", spent, allowed)
			}
			if limited == 0 || spent < burst/2 {
				t.Errorf("got %.0f tokens and %d refusals, want the limit to be reached", spent, limited)
			}
		})
	}
}

// make300 is a text of about 300 bytes.
func make300() []byte {
	text := make([]byte, 300)
	for i := range text {
		text[i] = 'a' + byte(i%26)
	}
	return text
}

func TestRefusalTellsTheLimits(t *testing.T) {
	fleet, callers := harness.Start(t, smallRate(50, 400))
	body := bench.Chat("ledger", string(make300()), 8, false)
	for range 50 {
		got := harness.Ask(fleet, callers, fleet.VMs[0], body)
		if got.Complete {
			continue
		}
		if got.Status != 429 || got.Refusal != refusal.RateLimited || got.Outcome != refusal.NotRun {
			t.Fatalf("got %+v, want 429, not run", got)
		}
		after, err := strconv.Atoi(got.Header("Retry-After"))
		if err != nil || after < 1 || after > 10 {
			t.Errorf("got Retry-After %q, want a few seconds", got.Header("Retry-After"))
		}
		if limit := got.Header("X-Ratelimit-Limit-Tokens"); limit != "400" {
			t.Errorf("got limit %q, want 400", limit)
		}
		return
	}
	t.Error("got no refusal, want one")
}
