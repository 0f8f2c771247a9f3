package quota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// fleetRun plays VMs that send requests of an account and exchange counts.
type fleetRun struct {
	vms    []*Fleet
	boots  []int
	began  []time.Time
	limit  Account
	now    time.Time
	spent  []spending // admitted, in order
	within int        // refused although an ideal bucket had tokens
	asked  int
	// quiet is until when VMs that started do not hear others.
	quiet []time.Time
	// cut names a VM that neither hears others nor is heard.
	cut int
}

type spending struct {
	at     time.Time
	tokens float64
}

// sureFleet returns the limits as a VM sees them that knows how many VMs there are.
func sureFleet(self string, vms int) *Fleet {
	fleet := NewFleet(self, vms)
	fleet.Expect(vms, true)
	return fleet
}

func newFleetRun(vms int, limit Account) *fleetRun {
	run := &fleetRun{limit: limit, now: time.Unix(1_700_000_000, 0), cut: -1}
	for i := range vms {
		run.vms = append(run.vms, sureFleet(vmName(i), vms))
		run.vms[i].Limit([]Account{limit}, run.now) // as the configuration tells
		run.boots = append(run.boots, 1)
		run.began = append(run.began, run.now)
		run.quiet = append(run.quiet, run.now)
	}
	return run
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

// meetTime is how long a VM that starts takes to hear others.
const meetTime = 700 * time.Millisecond

// restart starts a VM anew: it has forgotten everything.
func (run *fleetRun) restart(i int) {
	run.vms[i] = sureFleet(vmName(i), len(run.vms))
	run.vms[i].Limit([]Account{run.limit}, run.now)
	run.boots[i]++
	run.began[i] = run.now
	run.quiet[i] = run.now.Add(meetTime)
}

func (run *fleetRun) meet(i, j int) bool {
	return i != j && i != run.cut && j != run.cut && !run.now.Before(run.quiet[i]) && !run.now.Before(run.quiet[j])
}

func (run *fleetRun) exchange() {
	for i, from := range run.vms {
		for j, to := range run.vms {
			if run.meet(i, j) {
				to.Heard(Source{Name: vmName(i), Boot: fmt.Sprint(run.boots[i]), VMs: 1, Began: run.began[i]}, from.Counts(), run.now, run.now)
			}
		}
	}
}

// play sends each VM's share of the demand, in tokens a second, in requests of a
// size, with heartbeats each 300 ms.
func (run *fleetRun) play(length time.Duration, demand, size float64, share func(vm int) float64) {
	const tick = 10 * time.Millisecond
	owed := make([]float64, len(run.vms))
	for i := range owed {
		owed[i] = size * float64(i) / float64(len(owed)) // they do not send at once
	}
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		if elapsed%(300*time.Millisecond) == 0 {
			run.exchange()
		}
		for i := range run.vms {
			owed[i] += demand * share(i) * tick.Seconds()
			for owed[i] >= size {
				owed[i] -= size
				run.asked++
				if _, ok := run.vms[i].Admit(run.limit, size, run.now); ok {
					run.spent = append(run.spent, spending{run.now, size})
				} else {
					run.within++
				}
			}
		}
		run.now = run.now.Add(tick)
	}
}

// most returns the most tokens that were admitted in any window.
func (run *fleetRun) most(window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, spent := range run.spent {
		sum += spent.tokens
		for spent.at.Sub(run.spent[first].at) > window {
			sum -= run.spent[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// allowed is the platform's bound: (rate x window + burst) x 1.1 + slack.
func (run *fleetRun) allowed(window time.Duration) float64 {
	return (run.limit.Rate*window.Seconds()+run.limit.Burst)*1.1 + 140_000
}

func even(int) float64 { return 1.0 / 8 }

func skewed(vm int) float64 { return []float64{0.4, 0.3, 0.1, 0.1, 0.1, 0, 0, 0}[vm] }

const quotaWindow = 8 * time.Second

func TestFleetKeepsTheLimit(t *testing.T) {
	limit := Account{Name: "school", Rate: 110_000, Burst: 110_000}
	tests := []struct {
		name string
		play func(run *fleetRun)
	}{
		{"one account at seven times its usual", func(run *fleetRun) {
			run.play(5*time.Second, 63_000, 6000, even)
			run.play(20*time.Second, 63_000*7.5, 6000, even)
		}},
		{"the same through a few VMs", func(run *fleetRun) {
			run.play(20*time.Second, 63_000*7.5, 6000, skewed)
		}},
		// All VMs forget what was spent, at once, while an account asks for
		// several times its rate.
		{"all VMs are killed", func(run *fleetRun) {
			run.play(10*time.Second, 63_000*7.5, 6000, even)
			for i := range run.vms {
				run.restart(i)
			}
			run.play(10*time.Second, 63_000*7.5, 6000, even)
		}},
		{"VMs restart in turn", func(run *fleetRun) {
			for i := range run.vms {
				run.play(2*time.Second, 63_000*4.8, 6000, even)
				run.restart(i)
			}
			run.play(8*time.Second, 63_000*4.8, 6000, even)
		}},
		{"one VM is cut off", func(run *fleetRun) {
			run.play(5*time.Second, 63_000*4.8, 6000, even)
			run.cut = 3
			run.play(12*time.Second, 63_000*4.8, 6000, even)
			run.cut = -1
			run.play(8*time.Second, 63_000*4.8, 6000, even)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run := newFleetRun(8, limit)
			test.play(run)
			if got, want := run.most(quotaWindow), run.allowed(quotaWindow); got > want {
				t.Errorf("got %.0f tokens in 8 s, want at most %.0f", got, want)
			}
		})
	}
}

func TestFleetServesWhatIsOwed(t *testing.T) {
	limit := Account{Name: "school", Rate: 110_000, Burst: 110_000}
	tests := []struct {
		name   string
		demand float64 // of the rate
		share  func(int) float64
		want   float64 // refused share at most
	}{
		{"usual demand", 1 / 1.8, even, 0},
		{"usual demand through a few VMs", 1 / 1.8, skewed, 0},
		{"near the rate", 0.9, even, 0.02},
		{"near the rate through a few VMs", 0.9, skewed, 0.02},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run := newFleetRun(8, limit)
			run.play(3*time.Second, limit.Rate/4, 6000, test.share)
			run.asked, run.within = 0, 0
			run.play(20*time.Second, limit.Rate*test.demand, 6000, test.share)
			if got := float64(run.within) / float64(run.asked); got > test.want {
				t.Errorf("got a share of %.3f refused, want at most %.3f", got, test.want)
			}
		})
	}
}

// An account that asks for more than its rate still gets its rate.
func TestFleetGivesTheWholeRateToWhoAsksForMore(t *testing.T) {
	limit := Account{Name: "school", Rate: 110_000, Burst: 110_000}
	run := newFleetRun(8, limit)
	run.play(20*time.Second, 500_000, 6000, skewed)
	total := 0.0
	for _, spent := range run.spent {
		total += spent.tokens
	}
	if want := 0.85 * limit.Rate * 20; total < want {
		t.Errorf("got %.0f tokens in 20 s, want at least %.0f", total, want)
	}
}

func TestFleetRefusalSaysWhenTokensAreThere(t *testing.T) {
	limit := Account{Name: "school", Rate: 1000, Burst: 1000}
	fleet := sureFleet("vm-0", 1)
	now := time.Unix(1_700_000_000, 0)
	for {
		if _, ok := fleet.Admit(limit, 100, now); !ok {
			break
		}
	}
	retryAt, _ := fleet.Admit(limit, 100, now)
	if wait := retryAt.Sub(now); wait <= 0 || wait > 2*time.Second {
		t.Fatalf("got a wait of %v, want one of at most 2 s", wait)
	}
	if _, ok := fleet.Admit(limit, 100, retryAt.Add(time.Millisecond)); !ok {
		t.Error("got refused at the time that was named, want admitted")
	}
}

func TestFleetRefundGivesTokensBack(t *testing.T) {
	limit := Account{Name: "school", Rate: 1, Burst: 1000}
	fleet := sureFleet("vm-0", 1)
	now := time.Unix(1_700_000_000, 0)
	for range 100 {
		if _, ok := fleet.Admit(limit, 400, now); !ok {
			t.Fatal("got refused after refunds, want admitted")
		}
		fleet.Refund("school", 400, now)
	}
	if got := fleet.Counts()[0].Spent; math.Abs(got) > 1e-6 {
		t.Errorf("got %f spent after refunds, want 0", got)
	}
}

// Large requests of an account that asks for a little more than its rate, through
// VMs whose share of the burst is smaller than a request.
func TestFleetGivesLargeRequestsTheirRate(t *testing.T) {
	limit := Account{Name: "school", Rate: 40_000, Burst: 40_000}
	for name, share := range map[string]func(int) float64{"even": even, "skewed": skewed} {
		run := newFleetRun(8, limit)
		run.play(20*time.Second, limit.Rate*1.2, 12_000, share)
		total := 0.0
		for _, spent := range run.spent {
			total += spent.tokens
		}
		if got, want := total, 0.9*(limit.Rate*20+startShare*limit.Burst); got < want {
			t.Errorf("%s: got %.0f tokens in 20 s, want at least %.0f", name, got, want)
		}
	}
}
