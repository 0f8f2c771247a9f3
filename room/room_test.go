package room

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

var seed = flag.Uint64("room-seed", 1, "seed of the simulation")

// tokens is the memory of a target of the first customer.
const tokens = 247_166

// simVM is a VM that places requests by what it knows.
type simVM struct {
	rooms   []*Target
	lengths Lengths
	placed  float64 // requests a second, moving average
	dead    bool
	shares  []float64
	tight   bool
}

// simRequest is a request at a target.
type simRequest struct {
	vm, target, held int
	request          Request
	need             Need
	output           int
	ends             time.Time
	begun            time.Time
}

type simulation struct {
	random    *rand.Rand
	vms       []*simVM
	running   []simRequest
	held      []int
	counts    []int
	readUntil []time.Time // when a target has read the prompts that it holds
	// offered, placed and over count requests and the targets that were over their
	// memory.
	offered, placed, over int
	peak                  float64
}

func newSimulation(vms, targets int, seed uint64) *simulation {
	simulation := &simulation{
		random: rand.New(rand.NewPCG(seed, uint64(vms))),
		held:   make([]int, targets), counts: make([]int, targets), readUntil: make([]time.Time, targets),
	}
	for range vms {
		vm := &simVM{}
		for range targets {
			vm.rooms = append(vm.rooms, &Target{})
		}
		simulation.vms = append(simulation.vms, vm)
		vm.shares = make([]float64, targets)
	}
	holders := Holders(vms, targets)
	for target := range targets {
		for rank, vm := range simulation.random.Perm(vms)[:holders] {
			simulation.vms[vm].shares[target] = Share(rank, holders)
		}
	}
	return simulation
}

// request returns a request of the first customer: 111 of 506 are long, with a tail of
// prompts up to 54,600 tokens; hints are half to twice the length, and now and then far off.
func (simulation *simulation) request() (request Request, output int) {
	random := simulation.random
	request, output = Request{Prompt: 2400, MaxOutput: 64}, 1+random.IntN(5)
	if random.Float64() < 111.0/506 {
		prompt := min(54_600, 9_500*math.Exp(0.7*random.NormFloat64()))
		request, output = Request{Prompt: int(prompt), MaxOutput: 1024}, 5+int(50*random.ExpFloat64())
	}
	output = min(output, request.MaxOutput)
	request.Hint = max(1, int(float64(output)*math.Exp(0.4*random.NormFloat64())))
	if random.Float64() < 0.1 {
		request.Hint = max(1, request.Hint/8)
	}
	return request, output
}

// place lets a VM place a request at one of 13 targets.
func (simulation *simulation) place(index int, now time.Time) {
	vm, random := simulation.vms[index], simulation.random
	request, output := simulation.request()
	simulation.offered++
	need, traffic := vm.lengths.Need(request), simulation.traffic(vm)
	first := random.IntN(len(vm.rooms))
	for i := range len(vm.rooms) {
		target := (first + i) % len(vm.rooms)
		if vm.tight && !vm.rooms[target].FitsShare(need, vm.shares[target], tokens, traffic, now) {
			continue
		}
		if !vm.tight && !vm.rooms[target].Load(traffic, now).Fits(need, tokens) {
			continue
		}
		vm.rooms[target].Begin(need, now)
		vm.placed++
		if simulation.readUntil[target].Before(now) {
			simulation.readUntil[target] = now
		}
		simulation.readUntil[target] = simulation.readUntil[target].Add(time.Duration(request.Prompt) * time.Second / 57_000)
		ends := simulation.readUntil[target].Add(time.Duration(output) * 10 * time.Millisecond)
		held := request.Prompt + output
		simulation.running = append(simulation.running, simRequest{index, target, held, request, need, output, ends, now})
		simulation.held[target] += held
		simulation.counts[target]++
		simulation.placed++
		return
	}
}

func (simulation *simulation) traffic(vm *simVM) Traffic {
	others := vm.placed * float64(len(simulation.vms)-1) / float64(len(vm.rooms))
	return Traffic{Size: vm.lengths.Size(), Rate: others}
}

// end removes the requests that match.
func (simulation *simulation) end(now time.Time, match func(simRequest) bool) {
	kept := simulation.running[:0]
	for _, running := range simulation.running {
		if !match(running) {
			kept = append(kept, running)
			continue
		}
		vm := simulation.vms[running.vm]
		vm.rooms[running.target].End(running.need, now)
		vm.lengths.Ended(running.request, running.output, now.Sub(running.begun))
		simulation.held[running.target] -= running.held
		simulation.counts[running.target]--
	}
	simulation.running = kept
}

// step runs 10 ms with a rate of requests a second of all VMs. Reports are 200 ms old.
func (simulation *simulation) step(now time.Time, rate float64, reports [][]int) [][]int {
	simulation.end(now, func(running simRequest) bool { return !running.ends.After(now) })
	reports = append(reports, append([]int(nil), simulation.counts...))
	if len(reports) > 20 {
		for _, vm := range simulation.vms {
			vm.placed *= math.Exp(-0.01)
			if now.UnixMilli()%100 == 0 {
				held, traffic := 0.0, simulation.traffic(vm)
				for _, room := range vm.rooms {
					held += room.Load(traffic, now).Mean
				}
				vm.tight = Tight(held, float64(tokens*len(vm.rooms)))
			}
			target := simulation.random.IntN(len(vm.rooms))
			for i := range max(1, len(vm.rooms)/20) { // each target about each 200 ms
				at := (target + i) % len(vm.rooms)
				vm.rooms[at].Report(reports[0][at], now.Add(-200*time.Millisecond))
			}
		}
		reports = reports[1:]
	}
	for demand := rate * 0.01; demand > 0; demand-- {
		if index := simulation.random.IntN(len(simulation.vms)); simulation.random.Float64() < demand && !simulation.vms[index].dead {
			simulation.place(index, now)
		}
	}
	for _, held := range simulation.held {
		simulation.peak = max(simulation.peak, float64(held)/tokens)
		if held > tokens {
			simulation.over++
		}
	}
	return reports
}

// Guards against a target that is pushed over its memory: by VMs that place at once, by
// reports 200 ms old, after a VM died with its promises and after a target restarted; and
// against room that is withheld from demand that fits. Stated target: a target is never
// pushed over, and a request is placed where it fits.
func TestTargetsAreNeverPushedOver(t *testing.T) {
	for _, test := range []struct{ vms, targets int }{{2, 1}, {2, 3}, {64, 60}, {62, 90}, {295, 90}} {
		t.Run(fmt.Sprintf("%d VMs, %d targets", test.vms, test.targets), func(t *testing.T) {
			simulation := newSimulation(test.vms, test.targets, *seed)
			usual, now := 5.6*float64(test.targets), start
			var reports [][]int
			run := func(seconds int, rate float64) {
				for range 100 * seconds {
					now = now.Add(10 * time.Millisecond)
					reports = simulation.step(now, rate, reports)
				}
			}
			run(10, usual)
			if simulation.placed < simulation.offered*99/100 {
				t.Errorf("got %d of %d requests placed at the usual rate, want all", simulation.placed, simulation.offered)
			}
			simulation.offered, simulation.placed = 0, 0
			run(10, 5*usual) // more than fits
			simulation.vms[0].dead = true
			simulation.end(now, func(running simRequest) bool { return running.vm == 0 })
			run(2, 5*usual)
			simulation.end(now, func(running simRequest) bool { return running.target == 0 })
			for _, vm := range simulation.vms {
				vm.rooms[0] = &Target{}
			}
			simulation.readUntil[0] = now
			run(5, 5*usual)
			t.Logf("%d of %d requests placed above the room; fullest target at %.2f of its memory", simulation.placed, simulation.offered, simulation.peak)
			if simulation.over > 0 {
				t.Errorf("got %d times 10 ms of a target over its memory, want none; fullest at %.2f", simulation.over, simulation.peak)
			}
		})
	}
}
