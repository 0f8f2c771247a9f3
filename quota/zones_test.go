package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// zonedSimulation simulates a large fleet: VMs send their counts to those of their
// availability zone, and one representative of each zone sends the sums to the
// other zones.
type zonedSimulation struct {
	vms       []*Limiter
	boots     []int
	began     []time.Time
	limit     Account
	now       time.Time
	random    *rand.Rand
	summaries [][]zoneSummary // made and not yet delivered, by zone, oldest first
	// isolated VMs exchange no counts, nor do other VMs until their silentUntil.
	isolated    map[int]bool
	stopped     map[int]bool // these receive no requests
	silentUntil []time.Time

	admitted           []admission
	requestedTokens    float64
	refusedTokens      float64
	idealRefusedTokens float64 // tokens refused by a bucket that counts all requests
	idealLevel         float64
	largest            [2]int // requests of the largest tenth: all, refused
	count              [2]int // all requests: all, refused
}

type zoneSummary struct {
	boot   string
	began  time.Time
	counts []Count
	made   time.Time
}

const (
	zonedVMs          = 78
	zonedZones        = 4
	heartbeatInterval = 300 * time.Millisecond
)

func newZonedSimulation(limit Account) *zonedSimulation {
	simulation := &zonedSimulation{
		limit: limit, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(7, 11)), summaries: make([][]zoneSummary, zonedZones),
		isolated: map[int]bool{}, stopped: map[int]bool{}, idealLevel: limit.Burst,
	}
	for i := range zonedVMs {
		simulation.boots = append(simulation.boots, 1)
		simulation.vms = append(simulation.vms, nil)
		simulation.began = append(simulation.began, simulation.now)
		simulation.silentUntil = append(simulation.silentUntil, simulation.now)
		simulation.restart(i)
		simulation.silentUntil[i] = simulation.now
	}
	return simulation
}

func (simulation *zonedSimulation) restart(i int) {
	simulation.boots[i]++
	simulation.vms[i] = newSizedLimiter(vmName(i), zonedVMs)
	simulation.vms[i].SetLimits([]Account{simulation.limit}, simulation.now)
	simulation.began[i], simulation.silentUntil[i] = simulation.now, simulation.now.Add(discoveryTime)
}

// unreachable reports whether a VM exchanges no counts.
func (simulation *zonedSimulation) unreachable(i int) bool {
	return simulation.isolated[i] || simulation.stopped[i] || simulation.now.Before(simulation.silentUntil[i])
}

// exchangeCounts delivers the counts of one heartbeat interval. Sums reach other
// zones one interval after they were made.
func (simulation *zonedSimulation) exchangeCounts() {
	for i, from := range simulation.vms {
		for j, to := range simulation.vms {
			if i != j && i%zonedZones == j%zonedZones && !simulation.unreachable(i) && !simulation.unreachable(j) {
				to.UpdateCounts(Source{Name: vmName(i), Boot: fmt.Sprint(simulation.boots[i]), VMs: 1, SameZone: true, Began: simulation.began[i]}, from.Counts(), simulation.now, simulation.now)
			}
		}
	}
	for zone := range zonedZones {
		representative := zone
		for representative < zonedVMs && simulation.unreachable(representative) {
			representative += zonedZones
		}
		if representative >= zonedVMs {
			continue // no VM of the zone is reachable
		}
		boot := fmt.Sprint(representative, "/", simulation.boots[representative])
		simulation.summaries[zone] = append(simulation.summaries[zone], zoneSummary{boot, simulation.began[representative], simulation.vms[representative].Totals(), simulation.now})
		if len(simulation.summaries[zone]) > 2 {
			simulation.summaries[zone] = simulation.summaries[zone][1:]
		}
		delivered, vms := simulation.summaries[zone][0], 0
		for i := zone; i < zonedVMs; i += zonedZones {
			if !simulation.unreachable(i) {
				vms++
			}
		}
		for i, to := range simulation.vms {
			if i%zonedZones != zone && !simulation.unreachable(i) {
				to.UpdateCounts(Source{Name: fmt.Sprint("zone ", zone), Boot: delivered.boot, VMs: vms, Began: delivered.began, Summed: true}, delivered.counts, delivered.made, simulation.now)
			}
		}
	}
}

// send sends requests that add up to a demand in tokens a second, with sizes that
// differ widely.
func (simulation *zonedSimulation) send(length time.Duration, demand, mean float64) {
	const tick = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		if elapsed%heartbeatInterval == 0 {
			simulation.exchangeCounts()
		}
		simulation.idealLevel = min(simulation.limit.Burst, simulation.idealLevel+simulation.limit.Rate*tick.Seconds())
		for pending := demand / mean * tick.Seconds(); pending > 0; pending-- {
			if simulation.random.Float64() < pending {
				simulation.sendRequest(mean)
			}
		}
		simulation.now = simulation.now.Add(tick)
	}
}

// sendRequest sends one request through a VM. Some VMs have several times the
// callers of others.
func (simulation *zonedSimulation) sendRequest(mean float64) {
	vm := int(float64(zonedVMs) * simulation.random.Float64() * simulation.random.Float64())
	for simulation.stopped[vm] {
		vm = (vm + 1) % zonedVMs
	}
	size, large := mean*0.6, 0
	if simulation.random.Float64() < 0.1 {
		size, large = mean*4.6, 1
	}
	simulation.requestedTokens += size
	simulation.count[0]++
	simulation.largest[0] += large
	if simulation.idealLevel >= size {
		simulation.idealLevel -= size
	} else {
		simulation.idealRefusedTokens += size
	}
	if _, ok := simulation.vms[vm].Admit(simulation.limit, Request{Tokens: size}, simulation.now); ok {
		simulation.admitted = append(simulation.admitted, admission{simulation.now, size})
		return
	}
	simulation.refusedTokens += size
	simulation.count[1]++
	simulation.largest[1] += large
}

// maxInWindow returns the largest number of tokens admitted in any window of
// the given length.
func (simulation *zonedSimulation) maxInWindow(window time.Duration) float64 {
	return (&flatSimulation{admitted: simulation.admitted}).maxInWindow(window)
}

// A large fleet whose VMs each receive few requests of an account. The account
// suddenly sends several times its usual demand, or VMs are killed or isolated.
func TestLimitHoldsInLargeFleet(t *testing.T) {
	for _, rate := range []float64{40_000, 110_000, 415_000} {
		limit := Account{Name: "school", Rate: rate, Burst: max(rate, 86_000)}
		usual := rate / 1.8
		for _, test := range []struct {
			name     string
			simulate func(simulation *zonedSimulation)
		}{
			{"three times the usual demand", func(simulation *zonedSimulation) { simulation.send(16*time.Second, 3.3*usual, 12_000) }},
			{"seven times the usual demand", func(simulation *zonedSimulation) { simulation.send(16*time.Second, 7.5*usual, 12_000) }},
			{"seven times the usual demand while all VMs are killed", func(simulation *zonedSimulation) {
				simulation.send(5*time.Second, 7.5*usual, 12_000)
				for i := range simulation.vms {
					simulation.restart(i)
				}
				simulation.send(10*time.Second, 7.5*usual, 12_000)
			}},
			{"four times the usual demand while VMs are replaced", func(simulation *zonedSimulation) {
				for i := range 8 {
					simulation.send(time.Second, 4.5*usual, 12_000)
					simulation.restart(i * 5)
				}
				simulation.send(8*time.Second, 4.5*usual, 12_000)
			}},
			{"four times the usual demand while a tenth of the VMs is isolated", func(simulation *zonedSimulation) {
				simulation.send(2*time.Second, 4.5*usual, 12_000)
				for i := range 8 {
					simulation.isolated[i*9] = true
				}
				simulation.send(10*time.Second, 4.5*usual, 12_000)
			}},
		} {
			t.Run(fmt.Sprint(rate, " ", test.name), func(t *testing.T) {
				simulation := newZonedSimulation(limit)
				simulation.send(6*time.Second, usual, 12_000)
				test.simulate(simulation)
				got, want := simulation.maxInWindow(quotaWindow), (&flatSimulation{limit: limit}).allowed(quotaWindow)
				if got > want {
					t.Errorf("got %.0f tokens in 8 s, want at most %.0f", got, want)
				}
				t.Logf("maximum %.2f of allowed", got/want)
			})
		}
	}
}

// A VM of a large fleet starts and receives counts from a few others before the
// fleet's size is certain. It must not assume that these are all.
func TestShareIsLimitedUntilFleetSizeIsKnown(t *testing.T) {
	limit := Account{Name: "school", Rate: 100_000, Burst: 100_000}
	now := time.Unix(1_700_000_000, 0)
	limiter := NewLimiter("vm-0", 8)
	limiter.SetLimits([]Account{limit}, now)
	for i := range 7 {
		limiter.UpdateCounts(Source{Name: vmName(i + 1), Boot: "1", VMs: 1, Began: now}, []Count{{Account: limit.Name}}, now, now)
	}
	admitted := 0.0
	for range 10 {
		if _, ok := limiter.Admit(limit, Request{Tokens: 4000}, now); ok {
			admitted += 4000
		}
	}
	if maxAdmitted := startupShareOfBurst*limit.Burst/8 + 4000; admitted > maxAdmitted {
		t.Errorf("got %.0f tokens admitted before the fleet's size is known, want %.0f at most", admitted, maxAdmitted)
	}
	limiter.SetFleetSize(8, true)
	if _, ok := limiter.Admit(limit, Request{Tokens: 4000}, now); !ok {
		t.Error("got refused once the fleet's size is known and its VMs are reachable, want admitted")
	}
}

// An account within its rate whose requests differ widely in size, through VMs
// that each receive one of them every few seconds.
func TestDemandWithinRateIsServedInLargeFleet(t *testing.T) {
	const maxRefused = 0.03 // of the requested tokens, beyond what an ideal bucket refuses
	for _, rate := range []float64{40_000, 110_000, 415_000} {
		limit := Account{Name: "school", Rate: rate, Burst: max(rate, 86_000)}
		simulation := newZonedSimulation(limit)
		simulation.send(3*time.Second, rate/4, 12_000)
		simulation.requestedTokens, simulation.refusedTokens, simulation.idealRefusedTokens = 0, 0, 0
		simulation.send(40*time.Second, rate/1.8, 12_000)
		if got := (simulation.refusedTokens - simulation.idealRefusedTokens) / simulation.requestedTokens; got > maxRefused {
			t.Errorf("rate %.0f: got %.3f of the tokens refused beyond an ideal bucket's %.3f, want %.3f at most", rate, got, simulation.idealRefusedTokens/simulation.requestedTokens, maxRefused)
		}
		t.Logf("rate %.0f: refused %.3f, ideal %.3f", rate, simulation.refusedTokens/simulation.requestedTokens, simulation.idealRefusedTokens/simulation.requestedTokens)
	}
}

// The representatives of the zones stop. Other VMs, which have counted the sums of
// their zones for as long, report them instead. These sums must not be debited as new
// spending.
func TestRepresentativeChangeIsNotCountedAsSpending(t *testing.T) {
	const maxRefused = 0.03 // of the requested tokens, beyond what an ideal bucket refuses
	for _, rate := range []float64{110_000, 415_000} {
		simulation := newZonedSimulation(Account{Name: "school", Rate: rate, Burst: rate})
		simulation.send(20*time.Second, rate/1.8, 12_000)
		for zone := range zonedZones {
			simulation.stopped[zone] = true
		}
		simulation.requestedTokens, simulation.refusedTokens, simulation.idealRefusedTokens = 0, 0, 0
		simulation.send(10*time.Second, rate/1.8, 12_000)
		if got := (simulation.refusedTokens - simulation.idealRefusedTokens) / simulation.requestedTokens; got > maxRefused {
			t.Errorf("rate %.0f: got %.3f of the tokens refused beyond an ideal bucket's, want %.3f at most", rate, got, maxRefused)
		}
	}
}

// An account that requests twice its rate receives its rate, and its largest
// requests are admitted about as often as others.
func TestFullRateIsServedInLargeFleet(t *testing.T) {
	for _, rate := range []float64{110_000, 415_000} {
		limit := Account{Name: "school", Rate: rate, Burst: rate}
		simulation := newZonedSimulation(limit)
		simulation.send(30*time.Second, 2*rate, 12_000)
		if got, want := simulation.requestedTokens-simulation.refusedTokens, 0.85*30*rate; got < want {
			t.Errorf("rate %.0f: got %.0f tokens in 30 s, want %.0f at least", rate, got, want)
		}
		all := 1 - float64(simulation.count[1])/float64(simulation.count[0])
		largest := 1 - float64(simulation.largest[1])/float64(simulation.largest[0])
		if largest < 0.6*all {
			t.Errorf("rate %.0f: got a fraction of %.2f of the largest requests admitted, of all %.2f", rate, largest, all)
		}
		t.Logf("rate %.0f: got %.2f of the rate, largest %.2f, all %.2f", rate, (simulation.requestedTokens-simulation.refusedTokens)/30/rate, largest, all)
	}
}

// An account at twice its rate whose VMs are replaced by others. The demand of VMs
// that are gone must expire.
func TestExpiredSourcesDoNotCountAsDemand(t *testing.T) {
	limit := Account{Name: "school", Rate: 100_000, Burst: 100_000}
	now := time.Unix(1_700_000_000, 0)
	limiter := newSizedLimiter("vm-0", 2)
	limiter.SetLimits([]Account{limit}, now)
	report := func(wanted float64) {
		limiter.UpdateCounts(Source{Name: "vm-1", Boot: "1", VMs: 1, Began: now}, []Count{{Account: limit.Name, Wanted: wanted}}, now, now)
	}
	report(0)
	report(1e9)
	now = now.Add(sourceExpiry + time.Second)
	limiter.SetFleetSize(1, true)
	for range 5 {
		if _, ok := limiter.Admit(limit, Request{Tokens: 10_000}, now); !ok {
			t.Fatal("got refused because of the demand of an expired VM, want admitted")
		}
	}
}

// An account without a burst may spend the tokens of one second.
func TestAccountWithoutBurst(t *testing.T) {
	limit := Account{Name: "school", Rate: 1000}
	now := time.Unix(1_700_000_000, 0)
	limiter := newSizedLimiter("vm-0", 1)
	limiter.SetLimits([]Account{limit}, now)
	now = now.Add(time.Minute)
	admitted := 0.0
	for range 100 {
		if _, ok := limiter.Admit(limit, Request{Tokens: 100}, now); ok {
			admitted += 100
		}
	}
	if admitted < 900 || admitted > 1100 {
		t.Errorf("got %.0f tokens admitted at once, want about 1000", admitted)
	}
}

func TestEstimate(t *testing.T) {
	limit := Account{Name: "school", Rate: 1000, Burst: 1000}
	now := time.Unix(1_700_000_000, 0)
	limiter := newSizedLimiter("vm-0", 4)
	limiter.SetLimits([]Account{limit}, now)
	now = now.Add(time.Minute)
	report := func(spent float64) {
		source := Source{Name: "vm-1", Boot: "1", VMs: 3, Began: now.Add(-time.Minute)}
		limiter.UpdateCounts(source, []Count{{Account: limit.Name, Spent: spent, Wanted: spent}}, now, now)
	}
	report(0)
	report(600)
	if _, ok := limiter.Admit(limit, Request{Tokens: 200}, now); !ok {
		t.Fatal("got refused with 400 tokens left, want admitted")
	}
	got := limiter.Estimate(limit.Name, now)
	if got.Spare != 200 || !got.FleetReachable || got.Demand < 400 {
		t.Errorf("got %+v, want 200 tokens left and a demand of 800 in about two seconds", got)
	}
	later := limiter.Estimate(limit.Name, now.Add(countsMaxAge+time.Millisecond))
	if later.FleetReachable || later.CountsAge != maxExtrapolation {
		t.Errorf("got %+v with outdated counts of the others, want an unreachable fleet", later)
	}
	if got := limiter.Estimate("nobody", now); got != (Estimate{}) {
		t.Errorf("got %+v for an account without a limit, want the zero value", got)
	}
}
