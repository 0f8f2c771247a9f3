// Package limits tests that account rates hold across all VMs, also under faults.
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

// limitedLayout returns a layout in which the limits of the first account are small
// enough to be reached.
func limitedLayout(rate, burst float64) bench.Layout {
	layout := bench.Small(4)
	layout.Accounts[0].Rate, layout.Accounts[0].Burst = rate, burst
	layout.Decode = time.Millisecond
	return layout
}

// Guarantee: no client account gets more than its rate and burst over all VMs
// together.
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
		{"all VMs but one restart", func(t *testing.T, fleet *bench.Fleet) {
			for _, vm := range fleet.VMs[1:] {
				if err := fleet.Shutdown(vm); err != nil {
					t.Error(err)
				}
				if err := fleet.Boot(vm); err != nil {
					t.Error(err)
				}
			}
		}},
		{"a VM fails and restarts", func(t *testing.T, fleet *bench.Fleet) {
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
			fleet, callers := harness.Start(t, limitedLayout(rate, burst))
			started := time.Now()
			body := bench.Chat("ledger", string(promptText()), 8, false)
			var mu sync.Mutex
			tokens := 0.0
			limited := 0
			flood := func() {
				var group sync.WaitGroup
				for _, vm := range fleet.VMs {
					group.Go(func() {
						for range 15 {
							got := harness.SendChat(fleet, callers, vm, body)
							mu.Lock()
							tokens += float64(got.Usage.TotalTokens)
							if got.Refusal == refusal.RateLimited {
								limited++
							}
							mu.Unlock()
						}
					})
				}
				group.Wait()
			}
			flood()
			test.fault(t, fleet)
			flood()
			allowed := burst + rate*time.Since(started).Seconds()
			if tokens > allowed {
				t.Errorf("got %.0f tokens, want at most %.0f", tokens, allowed)
			}
			if limited == 0 || tokens < burst/2 {
				t.Errorf("got %.0f tokens and %d refusals, want the limit to be reached", tokens, limited)
			}
		})
	}
}

// promptText returns a text of 300 bytes.
func promptText() []byte {
	text := make([]byte, 300)
	for i := range text {
		text[i] = 'a' + byte(i%26)
	}
	return text
}

func TestRateLimitRefusalHeaders(t *testing.T) {
	fleet, callers := harness.Start(t, limitedLayout(50, 400))
	body := bench.Chat("ledger", string(promptText()), 8, false)
	for range 50 {
		got := harness.SendChat(fleet, callers, fleet.VMs[0], body)
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
