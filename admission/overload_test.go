package admission

import (
	"fmt"
	"testing"
	"time"
)

// Guards against the collapse of work in time under overload: targets read prompts that
// are late or whose callers have left, while callers come back. A third of the targets is
// gone meanwhile. Bounds are those of docs/design/hard_load.md, part 4.
func TestWorkInTimeUnderOverload(t *testing.T) {
	for seed, pattern := range []simPattern{
		{"all requests", 3, 3, 7},
		{"long requests", 3, 1, 7},
	} {
		t.Run(pattern.name, func(t *testing.T) {
			sim := newSim(pattern, uint64(seed+1))
			sim.run(simEnd)
			sim.log(t)
			sim.checkWork(t)
			sim.checkRecovery(t)
			shares := sim.shares()
			checkShares(t, shares)
			pattern.burst = pattern.short // the account sends no more than others
			calm := newSim(pattern, uint64(seed+1))
			calm.run(overloadEnd)
			t.Logf("without the burst: %v", calm.shares())
			if got, want := shares["others"], calm.shares()["others"]-tolerance; got < want {
				t.Errorf("got %.2f of the short requests of other accounts, want %.2f as without the burst of one", got, want)
			}
		})
	}
}

func (sim *sim) log(t *testing.T) {
	for second, window := range sim.windows {
		t.Logf("second %d: %.2f of best, asked %v, answered %v", second, 2*window.tokens/sim.best(), window.asked, window.answered)
	}
}

// best returns the tokens that the live targets read in two seconds if they never idle.
func (sim *sim) best() float64 {
	return 0.7 * simTargets * tokensPerTick * float64(2*time.Second/tick)
}

func (sim *sim) checkWork(t *testing.T) {
	for second := int(overloadBegin / time.Second); second+1 < int(overloadEnd/time.Second); second++ {
		if got := (sim.windows[second].tokens + sim.windows[second+1].tokens) / sim.best(); got < 0.85 {
			t.Errorf("got %.2f of the best in seconds %d and %d, want 0.85", got, second, second+1)
		}
	}
}

// tolerance is by how much a kind may be served less often than another one.
const tolerance = 0.05

// shares returns the shares of the requests under overload that are answered in time.
func (sim *sim) shares() map[string]float64 {
	asked, answered := map[string]int{}, map[string]int{}
	for _, window := range sim.windows[overloadBegin/time.Second : overloadEnd/time.Second] {
		for group, count := range window.asked {
			asked[group] += count
			answered[group] += window.answered[group]
		}
	}
	shares := map[string]float64{}
	for name, count := range asked {
		shares[name] = float64(answered[name]) / float64(count)
	}
	return shares
}

func checkShares(t *testing.T, shares map[string]float64) {
	t.Logf("shares %v", shares)
	if shares["short"] < shares["long"]-tolerance {
		t.Errorf("got %.2f of short requests and %.2f of the less urgent long ones, want no less", shares["short"], shares["long"])
	}
	if shares["large"] < shares["long"]/2 {
		t.Errorf("got %.2f of the largest tenth and %.2f of long requests, want half at least", shares["large"], shares["long"])
	}
}

// checkRecovery checks that all requests are answered from 3 s after the end on, as before.
func (sim *sim) checkRecovery(t *testing.T) {
	for second := int((overloadEnd + 3*time.Second) / time.Second); second+1 < len(sim.windows); second++ {
		for _, kind := range simKinds {
			window := sim.windows[second]
			if got := float64(window.answered[kind.name]) / float64(window.asked[kind.name]); got < 1-tolerance {
				t.Errorf("got %.2f of %s requests in second %d, want all", got, kind.name, second)
			}
		}
	}
}

// Guards against room that is unused, an account that takes what others would use, and
// levels served out of order.
func TestPlan(t *testing.T) {
	const urgent, later = Level(0), Level(34)
	demands := []Count{{1, urgent, 100}, {2, urgent, 100}, {3, urgent, 600}, {1, later, 50}, {2, later, 450}}
	for _, test := range []struct {
		tokens  float64
		weights map[uint32]float64
		want    map[key]float64
	}{
		{2000, nil, map[key]float64{{1, urgent}: 1, {3, urgent}: 1, {2, later}: 1}},
		{500, nil, map[key]float64{{1, urgent}: 1, {2, urgent}: 1, {3, urgent}: 0.5, {1, later}: 0, {9, urgent}: 1, {9, later}: 0}},
		{150, map[uint32]float64{1: 1, 2: 1, 3: 3}, map[key]float64{{1, urgent}: 0.3, {3, urgent}: 0.15}},
		// Account 1 had 100 of the urgent level, account 2 as much, account 3 more.
		{1000, nil, map[key]float64{{3, urgent}: 1, {1, later}: 1, {2, later}: 150.0 / 450}},
		{0, nil, map[key]float64{{1, urgent}: 0, {2, later}: 0}},
	} {
		plan := newPlan(demands, test.weights, test.tokens)
		for asked, want := range test.want {
			if got := plan.part(asked); got < want-0.01 || got > want+0.01 {
				t.Errorf("got part %.3f of %v with room for %.0f, want %.3f", got, asked, test.tokens, want)
			}
		}
	}
}

// Guards against VMs that take the silence of others for room, against refusals by a VM
// that knows nothing yet, and against targets that take less than they are known to.
func TestDecideWithoutOthers(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for _, test := range []struct {
		name        string
		age         time.Duration
		wait        time.Duration
		vms         int
		report      float64 // of another VM, tokens a second
		reportAge   time.Duration
		least, most int // admitted of 100
	}{
		{"alone", 10 * time.Second, 100 * time.Millisecond, 1, 0, 0, 100, 100},
		{"others silent", 10 * time.Second, 100 * time.Millisecond, 10, 0, 0, 15, 30},
		{"other asks for little", 10 * time.Second, 100 * time.Millisecond, 2, 1000, 0, 100, 100},
		{"other asks for much", 10 * time.Second, 100 * time.Millisecond, 2, 900_000, 0, 60, 100},
		{"message is old", 10 * time.Second, 100 * time.Millisecond, 2, 900_000, 2 * time.Second, 100, 100},
		{"slower than known", 10 * time.Second, 400 * time.Millisecond, 1, 0, 0, 65, 85}, // 0.75 of what is asked
		{"nothing waits", 10 * time.Second, 0, 10, 0, 0, 100, 100},
		{"just started", 0, 100 * time.Millisecond, 10, 0, 0, 100, 100},
	} {
		room := Room{TokensPerSecond: 100_000, Wait: test.wait, AimedWait: 100 * time.Millisecond}
		controller := New("vm-1", func(time.Time) Room { return room }, start)
		controller.SetFleetSize(test.vms)
		admitted := 0
		for i := range 600 { // 40,000 tokens a second
			now := start.Add(test.age + time.Duration(i)*1500*time.Microsecond)
			if test.report > 0 {
				controller.Merge("vm-2", Demand{Counts: []Count{{Account: 7, Asked: test.report}}}, now.Add(-test.reportAge))
			}
			decision := controller.Decide(Request{Account: "a", Tokens: 60}, now)
			if i >= 500 && decision.Admitted {
				admitted++
			}
			if delay := decision.RetryAt.Sub(now); !decision.Admitted && (delay < minDelay/2 || delay > 3*time.Second) {
				t.Fatalf("%s: got retry after %v, want between %v and 3 s", test.name, delay, minDelay/2)
			}
		}
		if admitted < test.least || admitted > test.most {
			t.Errorf("%s: got %d of 100 admitted, want %d to %d", test.name, admitted, test.least, test.most)
		}
	}
}

// Guards against urgent requests that are rejected because less urgent ones fill the slots
// or the memory of targets, and against room that stays unused once targets take all again.
func TestLessIsAdmittedThanTargetsTurnAway(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	room := Room{TokensPerSecond: 1e6, AimedWait: 100 * time.Millisecond}
	controller := New("vm-1", func(time.Time) Room { return room }, start)
	places := 0.0
	play := func(from, length time.Duration, placesPerSecond float64) (admitted [2]float64) {
		for at := from; at < from+length; at += 5 * time.Millisecond {
			places = min(placesPerSecond/10, places+placesPerSecond*0.005)
			for i, level := range []Level{0, 34} { // 40,000 tokens a second each
				request := Request{Account: "a", Level: level, Tokens: 200}
				now := start.Add(at)
				if !controller.Decide(request, now).Admitted {
					continue
				}
				if admitted[i] += 200 / length.Seconds(); places < 200 {
					controller.TurnAway(request, now)
					continue
				}
				places -= 200
				controller.Place(request, now)
			}
		}
		return admitted
	}
	play(2*time.Second, 3*time.Second, 60_000)
	if got := play(5*time.Second, 3*time.Second, 60_000); got[0] < 39_000 || got[1] > 35_000 {
		t.Errorf("got %.0f tokens a second admitted with room for 60,000, want all 40,000 urgent ones and about half of the others", got)
	}
	play(8*time.Second, 3*time.Second, 1e6)
	if got := play(11*time.Second, time.Second, 1e6); got[0]+got[1] < 79_000 {
		t.Errorf("got %.0f tokens a second 3 s after the end, want 80,000", got)
	}
}

// Guards against messages that exceed what VMs may send each other: none while there is
// room, and the largest accounts alone otherwise.
func TestDemandsOnlyUnderOverload(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	room := Room{TokensPerSecond: 1, AimedWait: 100 * time.Millisecond}
	services := &Services{Self: "vm-1", Started: start, Room: func(string, time.Time) Room { return room }}
	services.SetFleetSize(1)
	ask := func(now time.Time) []Demand {
		for i := range 430 {
			services.Get("s").Decide(Request{Account: fmt.Sprint(i), Tokens: float64(100 + i)}, now)
		}
		return services.Demands(now)
	}
	if got := ask(start); len(got) > 0 {
		t.Errorf("got %v while nothing waits, want nothing", got)
	}
	room.Wait = time.Second
	got := ask(start.Add(5 * time.Second))
	if len(got) != 1 || len(got[0].Counts) != maxReported+1 || got[0].VMs != 1 {
		t.Errorf("got %v, want one service of %d accounts and their rest", got, maxReported)
	}
}
