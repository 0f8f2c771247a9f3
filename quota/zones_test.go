package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// zonedRun plays a large fleet: VMs tell those of their availability zone their
// counts, and one of each zone tells the sums to the others.
type zonedRun struct {
	vms    []*Fleet
	boots  []int
	began  []time.Time
	limit  Account
	now    time.Time
	random *rand.Rand
	sums   [][]sum // told and not yet passed on, by zone, oldest first
	// lone VMs neither hear nor are heard, nor are others until a time.
	lone  map[int]bool
	ended map[int]bool // these get no requests
	quiet []time.Time

	spent   []spending
	asked   float64 // tokens
	refused float64
	ideal   float64 // refused by a bucket that sees all
	level   float64
	largest [2]int // requests of the largest tenth, and those of them refused
	count   [2]int // of all
}

type sum struct {
	boot   string
	began  time.Time
	counts []Count
	made   time.Time
}

const (
	zonedVMs   = 78
	zonedZones = 4
	beatTime   = 300 * time.Millisecond
)

func newZonedRun(limit Account) *zonedRun {
	run := &zonedRun{
		limit: limit, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(7, 11)), sums: make([][]sum, zonedZones),
		lone: map[int]bool{}, ended: map[int]bool{}, level: limit.Burst,
	}
	for i := range zonedVMs {
		run.boots = append(run.boots, 1)
		run.vms = append(run.vms, nil)
		run.began = append(run.began, run.now)
		run.quiet = append(run.quiet, run.now)
		run.restart(i)
		run.quiet[i] = run.now
	}
	return run
}

func (run *zonedRun) restart(i int) {
	run.boots[i]++
	run.vms[i] = sureFleet(vmName(i), zonedVMs)
	run.vms[i].Limit([]Account{run.limit}, run.now)
	run.began[i], run.quiet[i] = run.now, run.now.Add(meetTime)
}

// silent reports whether a VM neither hears nor is heard.
func (run *zonedRun) silent(i int) bool {
	return run.lone[i] || run.ended[i] || run.now.Before(run.quiet[i])
}

// exchange lets all VMs tell what they do in one interval. Sums reach other zones
// two intervals after they were made.
func (run *zonedRun) exchange() {
	for i, from := range run.vms {
		for j, to := range run.vms {
			if i != j && i%zonedZones == j%zonedZones && !run.silent(i) && !run.silent(j) {
				to.Heard(Source{Name: vmName(i), Boot: fmt.Sprint(run.boots[i]), VMs: 1, Near: true, Began: run.began[i]}, from.Counts(), run.now, run.now)
			}
		}
	}
	for zone := range zonedZones {
		teller := zone
		for teller < zonedVMs && run.silent(teller) {
			teller += zonedZones
		}
		if teller >= zonedVMs {
			continue // nobody speaks for the zone
		}
		boot := fmt.Sprint(teller, "/", run.boots[teller])
		run.sums[zone] = append(run.sums[zone], sum{boot, run.began[teller], run.vms[teller].Totals(), run.now})
		if len(run.sums[zone]) > 2 {
			run.sums[zone] = run.sums[zone][1:]
		}
		told, vms := run.sums[zone][0], 0
		for i := zone; i < zonedVMs; i += zonedZones {
			if !run.silent(i) {
				vms++
			}
		}
		for i, to := range run.vms {
			if i%zonedZones != zone && !run.silent(i) {
				to.Heard(Source{Name: fmt.Sprint("zone ", zone), Boot: told.boot, VMs: vms, Began: told.began}, told.counts, told.made, run.now)
			}
		}
	}
}

// play sends requests that add up to a demand in tokens a second, of sizes that
// differ much.
func (run *zonedRun) play(length time.Duration, demand, mean float64) {
	const tick = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < length; elapsed += tick {
		if elapsed%beatTime == 0 {
			run.exchange()
		}
		run.level = min(run.limit.Burst, run.level+run.limit.Rate*tick.Seconds())
		for owed := demand / mean * tick.Seconds(); owed > 0; owed-- {
			if run.random.Float64() < owed {
				run.request(mean)
			}
		}
		run.now = run.now.Add(tick)
	}
}

// request sends one request through a VM: some have several times the callers of
// others.
func (run *zonedRun) request(mean float64) {
	vm := int(float64(zonedVMs) * run.random.Float64() * run.random.Float64())
	for run.ended[vm] {
		vm = (vm + 1) % zonedVMs
	}
	size, large := mean*0.6, 0
	if run.random.Float64() < 0.1 {
		size, large = mean*4.6, 1
	}
	run.asked += size
	run.count[0]++
	run.largest[0] += large
	if run.level >= size {
		run.level -= size
	} else {
		run.ideal += size
	}
	if _, ok := run.vms[vm].Admit(run.limit, size, run.now); ok {
		run.spent = append(run.spent, spending{run.now, size})
		return
	}
	run.refused += size
	run.count[1]++
	run.largest[1] += large
}

// most returns the most tokens that were admitted in any window.
func (run *zonedRun) most(window time.Duration) float64 {
	return (&fleetRun{spent: run.spent}).most(window)
}

// The pattern: a large fleet whose VMs see few requests of an account each; the
// account suddenly sends several times its usual, VMs are killed or cut off.
func TestLargeFleetKeepsTheLimit(t *testing.T) {
	for _, rate := range []float64{40_000, 110_000, 415_000} {
		limit := Account{Name: "school", Rate: rate, Burst: max(rate, 86_000)}
		usual := rate / 1.8
		for _, test := range []struct {
			name string
			play func(run *zonedRun)
		}{
			{"three times its usual", func(run *zonedRun) { run.play(16*time.Second, 3.3*usual, 12_000) }},
			{"seven times its usual", func(run *zonedRun) { run.play(16*time.Second, 7.5*usual, 12_000) }},
			{"seven times its usual while all VMs are killed", func(run *zonedRun) {
				run.play(5*time.Second, 7.5*usual, 12_000)
				for i := range run.vms {
					run.restart(i)
				}
				run.play(10*time.Second, 7.5*usual, 12_000)
			}},
			{"four times its usual while VMs are replaced", func(run *zonedRun) {
				for i := range 8 {
					run.play(time.Second, 4.5*usual, 12_000)
					run.restart(i * 5)
				}
				run.play(8*time.Second, 4.5*usual, 12_000)
			}},
			{"four times its usual while a tenth of the VMs is cut off", func(run *zonedRun) {
				run.play(2*time.Second, 4.5*usual, 12_000)
				for i := range 8 {
					run.lone[i*9] = true
				}
				run.play(10*time.Second, 4.5*usual, 12_000)
			}},
		} {
			t.Run(fmt.Sprint(rate, " ", test.name), func(t *testing.T) {
				run := newZonedRun(limit)
				run.play(6*time.Second, usual, 12_000)
				test.play(run)
				got, want := run.most(quotaWindow), (&fleetRun{limit: limit}).allowed(quotaWindow)
				if got > want {
					t.Errorf("got %.0f tokens in 8 s, want at most %.0f", got, want)
				}
				t.Logf("most %.2f of allowed", got/want)
			})
		}
	}
}

// The pattern: a VM of a large fleet starts and hears a few others before it knows
// how many there are; it must not take them for all.
func TestVMThatHearsAFewDoesNotTakeThemForAll(t *testing.T) {
	limit := Account{Name: "school", Rate: 100_000, Burst: 100_000}
	now := time.Unix(1_700_000_000, 0)
	fleet := NewFleet("vm-0", 8)
	fleet.Limit([]Account{limit}, now)
	for i := range 7 {
		fleet.Heard(Source{Name: vmName(i + 1), Boot: "1", VMs: 1, Began: now}, []Count{{Account: limit.Name}}, now, now)
	}
	admitted := 0.0
	for range 10 {
		if _, ok := fleet.Admit(limit, 4000, now); ok {
			admitted += 4000
		}
	}
	if most := startShare*limit.Burst/8 + 4000; admitted > most {
		t.Errorf("got %.0f tokens admitted before the fleet is known, want %.0f at most", admitted, most)
	}
	fleet.Expect(8, true)
	if _, ok := fleet.Admit(limit, 4000, now); !ok {
		t.Error("got refused once the fleet is known and heard, want admitted")
	}
}

// The pattern: an account within its rate whose requests differ much in size,
// through VMs that see one of them in some seconds.
func TestLargeFleetServesWhatIsOwed(t *testing.T) {
	const most = 0.03 // of the tokens asked for, beyond what an ideal bucket refuses
	for _, rate := range []float64{40_000, 110_000, 415_000} {
		limit := Account{Name: "school", Rate: rate, Burst: max(rate, 86_000)}
		run := newZonedRun(limit)
		run.play(3*time.Second, rate/4, 12_000)
		run.asked, run.refused, run.ideal = 0, 0, 0
		run.play(40*time.Second, rate/1.8, 12_000)
		if got := (run.refused - run.ideal) / run.asked; got > most {
			t.Errorf("rate %.0f: got %.3f of the tokens refused beyond an ideal bucket's %.3f, want %.3f at most", rate, got, run.ideal/run.asked, most)
		}
		t.Logf("rate %.0f: refused %.3f, ideal %.3f", rate, run.refused/run.asked, run.ideal/run.asked)
	}
}

// The pattern: the VMs that tell their zones' sums end, and others tell sums that they
// have counted for as long.
func TestAnotherTellerIsNotTakenForSpending(t *testing.T) {
	const most = 0.03 // of the tokens asked for, beyond what an ideal bucket refuses
	for _, rate := range []float64{110_000, 415_000} {
		run := newZonedRun(Account{Name: "school", Rate: rate, Burst: rate})
		run.play(20*time.Second, rate/1.8, 12_000)
		for zone := range zonedZones {
			run.ended[zone] = true
		}
		run.asked, run.refused, run.ideal = 0, 0, 0
		run.play(10*time.Second, rate/1.8, 12_000)
		if got := (run.refused - run.ideal) / run.asked; got > most {
			t.Errorf("rate %.0f: got %.3f of the tokens refused beyond an ideal bucket's, want %.3f at most", rate, got, most)
		}
	}
}

// The pattern: an account that asks for twice its rate; it gets its rate, and its
// largest requests about as often as others.
func TestLargeFleetGivesTheWholeRate(t *testing.T) {
	for _, rate := range []float64{110_000, 415_000} {
		limit := Account{Name: "school", Rate: rate, Burst: rate}
		run := newZonedRun(limit)
		run.play(30*time.Second, 2*rate, 12_000)
		if got, want := run.asked-run.refused, 0.85*30*rate; got < want {
			t.Errorf("rate %.0f: got %.0f tokens in 30 s, want %.0f at least", rate, got, want)
		}
		all := 1 - float64(run.count[1])/float64(run.count[0])
		largest := 1 - float64(run.largest[1])/float64(run.largest[0])
		if largest < 0.6*all {
			t.Errorf("rate %.0f: got a share of %.2f of the largest requests admitted, of all %.2f", rate, largest, all)
		}
		t.Logf("rate %.0f: got %.2f of the rate, largest %.2f, all %.2f", rate, (run.asked-run.refused)/30/rate, largest, all)
	}
}

// The pattern: an account at twice its rate whose VMs are replaced by others; what
// those that are gone asked for must not weigh for good.
func TestVMsThatAreGoneAreForgotten(t *testing.T) {
	limit := Account{Name: "school", Rate: 100_000, Burst: 100_000}
	now := time.Unix(1_700_000_000, 0)
	fleet := sureFleet("vm-0", 2)
	fleet.Limit([]Account{limit}, now)
	tell := func(wanted float64) {
		fleet.Heard(Source{Name: "vm-1", Boot: "1", VMs: 1, Began: now}, []Count{{Account: limit.Name, Wanted: wanted}}, now, now)
	}
	tell(0)
	tell(1e9)
	now = now.Add(forgetTime + time.Second)
	fleet.Expect(1, true)
	for range 5 {
		if _, ok := fleet.Admit(limit, 10_000, now); !ok {
			t.Fatal("got refused for the demand of a VM that is gone, want admitted")
		}
	}
}

// An account whose burst is not told may spend what a second brings.
func TestAccountWithoutBurst(t *testing.T) {
	limit := Account{Name: "school", Rate: 1000}
	now := time.Unix(1_700_000_000, 0)
	fleet := sureFleet("vm-0", 1)
	fleet.Limit([]Account{limit}, now)
	now = now.Add(time.Minute)
	admitted := 0.0
	for range 100 {
		if _, ok := fleet.Admit(limit, 100, now); ok {
			admitted += 100
		}
	}
	if admitted < 900 || admitted > 1100 {
		t.Errorf("got %.0f tokens admitted at once, want about 1000", admitted)
	}
}

func TestOutlookTellsWhatDecided(t *testing.T) {
	limit := Account{Name: "school", Rate: 1000, Burst: 1000}
	now := time.Unix(1_700_000_000, 0)
	fleet := sureFleet("vm-0", 4)
	fleet.Limit([]Account{limit}, now)
	now = now.Add(time.Minute)
	tell := func(spent float64) {
		source := Source{Name: "vm-1", Boot: "1", VMs: 3, Began: now.Add(-time.Minute)}
		fleet.Heard(source, []Count{{Account: limit.Name, Spent: spent, Wanted: spent}}, now, now)
	}
	tell(0)
	tell(600)
	if _, ok := fleet.Admit(limit, 200, now); !ok {
		t.Fatal("got refused with 400 tokens left, want admitted")
	}
	got := fleet.Outlook(limit.Name, now)
	if got.Spare != 200 || !got.Informed || got.Demand < 400 {
		t.Errorf("got %+v, want 200 tokens left and a demand of 800 in about two seconds", got)
	}
	later := fleet.Outlook(limit.Name, now.Add(heardTime+time.Millisecond))
	if later.Informed || later.Oldest != unseenTime {
		t.Errorf("got %+v after the others fell silent, want not informed", later)
	}
	if got := fleet.Outlook("nobody", now); got != (Outlook{}) {
		t.Errorf("got %+v for an account without a limit, want nothing", got)
	}
}
