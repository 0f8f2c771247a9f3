package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/bramleygw/bramleygw/roster"
)

// The fleet of the first customer in docs/design/hard_load.md. Rates are a second.
const (
	simVMs          = 62
	simTargets      = 90
	simAccounts     = 16
	tokensPerTick   = 285 // 57 a ms
	tick            = 5 * time.Millisecond
	simSlots        = 64
	maxWait         = 500 * time.Millisecond
	aimedWait       = maxWait / 7
	overloadBegin   = 2 * time.Second
	overloadEnd     = 9 * time.Second
	simEnd          = 15 * time.Second
	simZones        = 3
	discoveryTime   = 300 * time.Millisecond // until VMs know that a target is gone
	messageInterval = 300 * time.Millisecond
)

// simKind is a kind of requests.
type simKind struct {
	name                        string
	rate, tokens, largest       float64
	output, firstEvent, patient time.Duration
	priority                    int
}

var simKinds = [2]simKind{
	{"long", 111, 6618, 49_000, 220 * time.Millisecond, 2 * time.Second, 4 * time.Second, 2},
	{"short", 395, 2400, 2400, 12 * time.Millisecond, 500 * time.Millisecond, time.Second, 0},
}

type simRequest struct {
	kind             *simKind
	account          int
	tokens, left     int
	arrived, firstAt time.Time
	comeback         int
	assignment       *roster.Assignment
	vm               *simVM
	late             bool // counted as not in time
}

type simTarget struct {
	id      string
	dead    bool
	queue   []*simRequest // prompts, in the order of processing
	running []*simRequest // answers
}

type simVM struct {
	name       string
	roster     *roster.Roster
	controller *Controller
	nextSend   time.Time
}

// simWindow is what happened in a second: requests by group, and the tokens of prompts
// that were answered in time.
type simWindow struct {
	asked, answered map[string]int
	tokens          float64
}

// simPattern is by how much the rates of long and short requests grow, and those of the
// account that sends most.
type simPattern struct {
	name               string
	long, short, burst float64
}

type sim struct {
	simPattern
	random  *rand.Rand
	now     time.Time
	targets []*simTarget
	vms     []*simVM
	windows []simWindow
	later   map[int64][]*simRequest // callers that come back, by tick
	start   time.Time
}

func newSim(pattern simPattern, seed uint64) *sim {
	sim := &sim{simPattern: pattern, random: rand.New(rand.NewPCG(seed, 1)), later: map[int64][]*simRequest{}, start: time.Unix(1_700_000_000, 0)}
	sim.now = sim.start
	for i := range simTargets {
		sim.targets = append(sim.targets, &simTarget{id: fmt.Sprint("t", i)})
	}
	for i := range simVMs {
		vm := &simVM{name: fmt.Sprint("vm-", i), roster: roster.New("z"), nextSend: sim.now.Add(time.Duration(i) * messageInterval / simVMs)}
		vm.roster.SetSeed(seed + uint64(i)<<32)
		vm.roster.SetFleetSize(simVMs)
		vm.roster.SetMemoryPressure(true)
		for _, target := range sim.targets {
			vm.roster.Put(roster.Entry{ID: target.id, Service: "s", Zone: "z", Models: []roster.Model{{Name: "m", Weights: 1}}}, sim.now)
		}
		vm.controller = New(vm.name, vm.room, sim.now)
		vm.controller.SetFleetSize(simVMs)
		sim.vms = append(sim.vms, vm)
	}
	for range simEnd / time.Second {
		sim.windows = append(sim.windows, simWindow{asked: map[string]int{}, answered: map[string]int{}})
	}
	return sim
}

func (sim *sim) window() *simWindow {
	return &sim.windows[min(len(sim.windows)-1, int(sim.now.Sub(sim.start)/time.Second))]
}

func (sim *sim) overloaded() bool {
	age := sim.now.Sub(sim.start)
	return age >= overloadBegin && age < overloadEnd
}

// arrive creates the requests of a tick.
func (sim *sim) arrive() {
	for i := range simKinds {
		kind := &simKinds[i]
		for account := range simAccounts {
			rate := kind.rate * tick.Seconds() / (simAccounts + 4)
			if account < 2 {
				rate *= 3 // large accounts
			}
			if sim.overloaded() {
				rate *= sim.growth(kind, account)
			}
			for range poisson(sim.random, rate) {
				tokens := kind.tokens
				if kind.largest > kind.tokens {
					tokens = min(kind.largest, kind.tokens*0.7*math.Exp(0.85*sim.random.NormFloat64()))
				}
				sim.admit(&simRequest{kind: kind, account: account, tokens: int(tokens)})
			}
		}
	}
	number := int64(sim.now.Sub(sim.start) / tick)
	for _, request := range sim.later[number] {
		sim.admit(request)
	}
	delete(sim.later, number)
}

func (sim *sim) growth(kind *simKind, account int) float64 {
	switch {
	case account == 0:
		return sim.burst
	case kind == &simKinds[0]:
		return sim.long
	}
	return sim.short
}

func poisson(random *rand.Rand, mean float64) int {
	limit, count := math.Exp(-mean), 0
	for product := random.Float64(); product > limit; product *= random.Float64() {
		count++
	}
	return count
}

// admit takes a request to a VM, which decides and chooses a target.
func (sim *sim) admit(request *simRequest) {
	request.arrived, request.left, request.firstAt, request.late = sim.now, request.tokens, time.Time{}, false
	request.vm = sim.vms[sim.random.IntN(simVMs)]
	request.count(sim.window().asked)
	decision := request.vm.controller.Decide(request.ask(), sim.now)
	if !decision.Admitted {
		sim.comeBack(request, decision.RetryAt)
		return
	}
	sim.send(request)
}

// count counts a request in its groups.
func (request *simRequest) count(counts map[string]int) {
	counts[request.kind.name]++
	if request.tokens > 13_800 { // the largest tenth of the long ones
		counts["large"]++
	}
	if request.account > 0 && request.kind.priority == 0 {
		counts["others"]++
	}
}

func (vm *simVM) room(now time.Time) Room {
	return Room{TokensPerSecond: vm.roster.Capacity("s", now).PromptTokensPerSecond, Wait: vm.roster.MeanWait("s", now), AimedWait: aimedWait}
}

func (request *simRequest) ask() Request {
	return Request{Account: fmt.Sprint("a", request.account), Level: LevelOf(request.kind.priority, request.kind.priority), Tokens: float64(request.tokens)}
}

// send sends a request to a target as relay does, to another one when it is rejected.
func (sim *sim) send(request *simRequest) {
	vm := request.vm
	var tried []string
	for range 3 {
		assignment, ok := vm.roster.Choose(roster.Criteria{Service: "s", Model: "m", Tokens: request.tokens, Tried: tried}, sim.now)
		if !ok {
			sim.comeBack(request, sim.now.Add(300*time.Millisecond))
			return
		}
		prompt := time.Duration(request.tokens) * 18 * time.Microsecond
		late := sim.now.Add(assignment.Wait + prompt).After(request.arrived.Add(request.kind.firstEvent))
		if assignment.Wait >= maxWait || late {
			assignment.End()
			vm.controller.TurnAway(request.ask(), sim.now)
			sim.comeBack(request, sim.now.Add(assignment.Wait+sim.jitter()))
			return
		}
		target := sim.target(assignment.ID)
		if !target.dead && len(target.queue)+len(target.running) < 2*simSlots {
			request.assignment = &assignment
			vm.controller.Place(request.ask(), sim.now)
			target.put(request)
			return
		}
		if !target.dead {
			assignment.RecordRejection(sim.now)
			vm.controller.TurnAway(request.ask(), sim.now)
		}
		assignment.End()
		tried = append(tried, assignment.ID)
	}
	sim.comeBack(request, sim.now.Add(300*time.Millisecond+sim.jitter()))
}

func (sim *sim) jitter() time.Duration {
	return time.Duration(sim.random.Int64N(int64(300 * time.Millisecond)))
}

// comeBack lets the caller send the request again, twice at most.
func (sim *sim) comeBack(request *simRequest, at time.Time) {
	if request.comeback++; request.comeback <= 2 {
		number := max(int64(at.Sub(sim.start)/tick), int64(sim.now.Sub(sim.start)/tick)+1)
		again := *request
		again.assignment = nil
		sim.later[number] = append(sim.later[number], &again)
	}
}

func (sim *sim) target(id string) *simTarget {
	var number int
	_, _ = fmt.Sscanf(id, "t%d", &number)
	return sim.targets[number]
}

// put queues a prompt behind those of the same priority.
func (target *simTarget) put(request *simRequest) {
	i := sort.Search(len(target.queue), func(i int) bool { return target.queue[i].kind.priority > request.kind.priority })
	target.queue = append(target.queue, nil)
	copy(target.queue[i+1:], target.queue[i:])
	target.queue[i] = request
}

// work processes a tick of a target's prompts and answers.
func (sim *sim) work(target *simTarget) {
	kept := target.running[:0]
	for _, request := range target.running {
		if sim.now.Before(request.firstAt.Add(request.kind.output)) {
			kept = append(kept, request)
			continue
		}
		request.assignment.End()
	}
	target.running = kept
	for budget := tokensPerTick; budget > 0 && len(target.queue) > 0 && len(target.running) < simSlots; {
		request := target.queue[0]
		done := min(budget, request.left)
		budget, request.left = budget-done, request.left-done
		if request.left > 0 {
			break
		}
		target.queue = target.queue[1:]
		sim.first(target, request)
	}
	waiting := target.queue[:0]
	for _, request := range target.queue {
		left := !request.late && sim.now.After(request.arrived.Add(request.kind.patient))
		if left {
			request.late = true
			sim.comeBack(request, sim.now.Add(sim.jitter()))
		}
		if left && request.left == request.tokens {
			request.assignment.End()
			continue
		}
		waiting = append(waiting, request) // a prompt that was begun is read to its end
	}
	target.queue = waiting
}

// first handles the first event of an answer.
func (sim *sim) first(target *simTarget, request *simRequest) {
	request.firstAt = sim.now
	request.assignment.PromptProcessed(sim.now)
	request.assignment.Answered(roster.Load{Running: len(target.running), Waiting: len(target.queue), Slots: simSlots}, true, sim.now)
	target.running = append(target.running, request)
	if request.late || sim.now.Sub(request.arrived) > request.kind.firstEvent {
		return
	}
	window := sim.window()
	window.tokens += float64(request.tokens)
	request.count(window.answered)
}

// crash stops a third of the targets, and lets VMs find out later.
func (sim *sim) crash() {
	age := sim.now.Sub(sim.start)
	for i, target := range sim.targets {
		if i%10 >= 3 {
			continue
		}
		switch age {
		case overloadBegin:
			target.dead = true
			for _, request := range append(target.queue, target.running...) {
				request.assignment.End()
				if request.firstAt.IsZero() && !request.late {
					sim.comeBack(request, sim.now.Add(sim.jitter()))
				}
			}
			target.queue, target.running = nil, nil
		case overloadEnd:
			target.dead = false
		case overloadBegin + discoveryTime:
			for _, vm := range sim.vms {
				vm.roster.Remove(target.id, sim.now)
			}
		case overloadEnd + discoveryTime:
			for _, vm := range sim.vms {
				vm.roster.Put(roster.Entry{ID: target.id, StartTime: 2, Service: "s", Zone: "z", Models: []roster.Model{{Name: "m", Weights: 1}}}, sim.now)
			}
		}
	}
}

// exchange sends a VM's heartbeat to the VMs of its zone and, from the first VM of a
// zone, the sums of its zone to the others.
func (sim *sim) exchange() {
	for i, vm := range sim.vms {
		if sim.now.Before(vm.nextSend) {
			continue
		}
		vm.nextSend = vm.nextSend.Add(messageInterval)
		zone := map[string]bool{}
		for j := i % simZones; j < simVMs; j += simZones {
			zone[sim.vms[j].name] = j != i
		}
		demand := vm.controller.Sum(nil, sim.now)
		backlogs := vm.roster.Backlogs()
		summedDemand := vm.controller.Sum(zone, sim.now)
		summed := vm.roster.SummedBacklogs(zone, sim.now)
		for j, other := range sim.vms {
			switch {
			case j == i:
			case j%simZones == i%simZones:
				other.roster.SetBacklogs(vm.name, backlogs, sim.now)
				other.controller.Merge(vm.name, demand, sim.now)
			case i < simZones:
				other.roster.SetBacklogs(fmt.Sprint("zone", i), summed, sim.now)
				other.controller.Merge(fmt.Sprint("zone", i), summedDemand, sim.now)
			}
		}
	}
}

func (sim *sim) run(length time.Duration) {
	for ; sim.now.Sub(sim.start) < length; sim.now = sim.now.Add(tick) {
		sim.crash()
		sim.exchange()
		sim.arrive()
		for _, target := range sim.targets {
			if !target.dead {
				sim.work(target)
			}
		}
	}
}
