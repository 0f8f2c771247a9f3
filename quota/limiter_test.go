package quota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// flatSimulation simulates VMs that receive requests of one account and send their
// counts to all other VMs.
type flatSimulation struct {
	vms      []*Limiter
	boots    []int
	began    []time.Time
	limit    Account
	now      time.Time
	admitted []admission // in order of time
	refused  int
	requests int
	// silentUntil is the time until which a restarted VM exchanges no counts.
	silentUntil []time.Time
	// isolated is the index of a VM that exchanges no counts; -1 for none.
	isolated int
}

type admission struct {
	at     time.Time
	tokens float64
}

// newSizedLimiter returns a limiter for which the number of VMs is certain.
func newSizedLimiter(self string, vms int) *Limiter {
	limiter := NewLimiter(self, vms)
	limiter.SetFleetSize(vms, true)
	return limiter
}

func newFlatSimulation(vms int, limit Account) *flatSimulation {
	simulation := &flatSimulation{limit: limit, now: time.Unix(1_700_000_000, 0), isolated: -1}
	for i := range vms {
		simulation.vms = append(simulation.vms, newSizedLimiter(vmName(i), vms))
		simulation.vms[i].SetLimits([]Account{limit}, simulation.now) // as on receipt of the configuration
		simulation.boots = append(simulation.boots, 1)
		simulation.began = append(simulation.began, simulation.now)
		simulation.silentUntil = append(simulation.silentUntil, simulation.now)
	}
	return simulation
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

// discoveryTime is how long a starting VM takes to receive counts from others.
const discoveryTime = 700 * time.Millisecond

// restart replaces a VM's process. The new one has no state.
func (simulation *flatSimulation) restart(i int) {
	simulation.vms[i] = newSizedLimiter(vmName(i), len(simulation.vms))
	simulation.vms[i].SetLimits([]Account{simulation.limit}, simulation.now)
	simulation.boots[i]++
	simulation.began[i] = simulation.now
	simulation.silentUntil[i] = simulation.now.Add(discoveryTime)
}

func (simulation *flatSimulation) connected(i, j int) bool {
	return i != j && i != simulation.isolated && j != simulation.isolated && !simulation.now.Before(simulation.silentUntil[i]) && !simulation.now.Before(simulation.silentUntil[j])
}

func (simulation *flatSimulation) exchangeCounts() {
	for i, from := range simulation.vms {
		for j, to := range simulation.vms {
			if simulation.connected(i, j) {
				to.UpdateCounts(Source{Name: vmName(i), Boot: fmt.Sprint(simulation.boots[i]), VMs: 1, Began: simulation.began[i]}, from.Counts(), simulation.now, simulation.now)
			}
		}
	}
}

// send sends each VM its share of the demand, in tokens a second, as requests of
// the given size in tokens, with a heartbeat every 300 ms.
func (simulation *flatSimulation) send(length time.Duration, demand, size float64, share func(vm int) float64) {
	const tick = 10 * time.Millisecond
	pending := make([]float64, len(simulation.vms))
	for i := range pending {
		pending[i] = size * float64(i) / float64(len(pending)) // the VMs do not receive requests at the same time
	}
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		if elapsed%(300*time.Millisecond) == 0 {
			simulation.exchangeCounts()
		}
		for i := range simulation.vms {
			pending[i] += demand * share(i) * tick.Seconds()
			for pending[i] >= size {
				pending[i] -= size
				simulation.requests++
				if _, ok := simulation.vms[i].Admit(simulation.limit, Request{Tokens: size}, simulation.now); ok {
					simulation.admitted = append(simulation.admitted, admission{simulation.now, size})
				} else {
					simulation.refused++
				}
			}
		}
		simulation.now = simulation.now.Add(tick)
	}
}

// maxInWindow returns the largest number of tokens admitted in any window of
// the given length.
func (simulation *flatSimulation) maxInWindow(window time.Duration) float64 {
	maximum, sum, first := 0.0, 0.0, 0
	for _, spent := range simulation.admitted {
		sum += spent.tokens
		for spent.at.Sub(simulation.admitted[first].at) > window {
			sum -= simulation.admitted[first].tokens
			first++
		}
		maximum = max(maximum, sum)
	}
	return maximum
}

// allowed returns the platform's bound: (rate x window + burst) x 1.1 + slack.
func (simulation *flatSimulation) allowed(window time.Duration) float64 {
	return (simulation.limit.Rate*window.Seconds()+simulation.limit.Burst)*1.1 + 140_000
}

func even(int) float64 { return 1.0 / 8 }

func skewed(vm int) float64 { return []float64{0.4, 0.3, 0.1, 0.1, 0.1, 0, 0, 0}[vm] }

const quotaWindow = 8 * time.Second

func TestLimitHoldsWithSharedCounts(t *testing.T) {
	limit := Account{Name: "school", Rate: 110_000, Burst: 110_000}
	tests := []struct {
		name     string
		simulate func(simulation *flatSimulation)
	}{
		{"seven times the usual demand", func(simulation *flatSimulation) {
			simulation.send(5*time.Second, 63_000, 6000, even)
			simulation.send(20*time.Second, 63_000*7.5, 6000, even)
		}},
		{"seven times the usual demand through a few VMs", func(simulation *flatSimulation) {
			simulation.send(20*time.Second, 63_000*7.5, 6000, skewed)
		}},
		// All VMs lose their record of what was spent, at the same time, while an
		// account requests several times its rate.
		{"all VMs are killed", func(simulation *flatSimulation) {
			simulation.send(10*time.Second, 63_000*7.5, 6000, even)
			for i := range simulation.vms {
				simulation.restart(i)
			}
			simulation.send(10*time.Second, 63_000*7.5, 6000, even)
		}},
		{"VMs restart in turn", func(simulation *flatSimulation) {
			for i := range simulation.vms {
				simulation.send(2*time.Second, 63_000*4.8, 6000, even)
				simulation.restart(i)
			}
			simulation.send(8*time.Second, 63_000*4.8, 6000, even)
		}},
		{"one VM is isolated", func(simulation *flatSimulation) {
			simulation.send(5*time.Second, 63_000*4.8, 6000, even)
			simulation.isolated = 3
			simulation.send(12*time.Second, 63_000*4.8, 6000, even)
			simulation.isolated = -1
			simulation.send(8*time.Second, 63_000*4.8, 6000, even)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulation := newFlatSimulation(8, limit)
			test.simulate(simulation)
			if got, want := simulation.maxInWindow(quotaWindow), simulation.allowed(quotaWindow); got > want {
				t.Errorf("got %.0f tokens in 8 s, want at most %.0f", got, want)
			}
		})
	}
}

func TestDemandWithinRateIsServed(t *testing.T) {
	limit := Account{Name: "school", Rate: 110_000, Burst: 110_000}
	tests := []struct {
		name   string
		demand float64 // as a multiple of the rate
		share  func(int) float64
		want   float64 // upper bound of the fraction refused
	}{
		{"usual demand", 1 / 1.8, even, 0},
		{"usual demand through a few VMs", 1 / 1.8, skewed, 0},
		{"near the rate", 0.9, even, 0.02},
		{"near the rate through a few VMs", 0.9, skewed, 0.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulation := newFlatSimulation(8, limit)
			simulation.send(3*time.Second, limit.Rate/4, 6000, test.share)
			simulation.requests, simulation.refused = 0, 0
			simulation.send(20*time.Second, limit.Rate*test.demand, 6000, test.share)
			if got := float64(simulation.refused) / float64(simulation.requests); got > test.want {
				t.Errorf("got a fraction of %.3f refused, want at most %.3f", got, test.want)
			}
		})
	}
}

// An account that requests more than its rate still receives its rate.
func TestFullRateIsServedUnderOverload(t *testing.T) {
	limit := Account{Name: "school", Rate: 110_000, Burst: 110_000}
	simulation := newFlatSimulation(8, limit)
	simulation.send(20*time.Second, 500_000, 6000, skewed)
	total := 0.0
	for _, spent := range simulation.admitted {
		total += spent.tokens
	}
	if want := 0.85 * limit.Rate * 20; total < want {
		t.Errorf("got %.0f tokens in 20 s, want at least %.0f", total, want)
	}
}

func TestRefusedRequestIsAdmittedAtRetryTime(t *testing.T) {
	limit := Account{Name: "school", Rate: 1000, Burst: 1000}
	limiter := newSizedLimiter("vm-0", 1)
	now := time.Unix(1_700_000_000, 0)
	for {
		if _, ok := limiter.Admit(limit, Request{Tokens: 100}, now); !ok {
			break
		}
	}
	retryAt, _ := limiter.Admit(limit, Request{Tokens: 100}, now)
	if wait := retryAt.Sub(now); wait <= 0 || wait > 2*time.Second {
		t.Fatalf("got a wait of %v, want one of at most 2 s", wait)
	}
	if _, ok := limiter.Admit(limit, Request{Tokens: 100}, retryAt.Add(time.Millisecond)); !ok {
		t.Error("got refused at the retry time, want admitted")
	}
}

func TestRefundReturnsTokens(t *testing.T) {
	limit := Account{Name: "school", Rate: 1, Burst: 1000}
	limiter := newSizedLimiter("vm-0", 1)
	now := time.Unix(1_700_000_000, 0)
	for range 100 {
		if _, ok := limiter.Admit(limit, Request{Tokens: 400}, now); !ok {
			t.Fatal("got refused after refunds, want admitted")
		}
		limiter.Refund("school", 400, now)
	}
	if got := limiter.Counts()[0].Spent; math.Abs(got) > 1e-6 {
		t.Errorf("got %f spent after refunds, want 0", got)
	}
}

// Large requests of an account that requests slightly more than its rate, through
// VMs whose share of the burst is smaller than one request.
func TestLargeRequestsReceiveFullRate(t *testing.T) {
	limit := Account{Name: "school", Rate: 40_000, Burst: 40_000}
	for name, share := range map[string]func(int) float64{"even": even, "skewed": skewed} {
		simulation := newFlatSimulation(8, limit)
		simulation.send(20*time.Second, limit.Rate*1.2, 12_000, share)
		total := 0.0
		for _, spent := range simulation.admitted {
			total += spent.tokens
		}
		if got, want := total, 0.9*(limit.Rate*20+startupShare*limit.Burst); got < want {
			t.Errorf("%s: got %.0f tokens in 20 s, want at least %.0f", name, got, want)
		}
	}
}
