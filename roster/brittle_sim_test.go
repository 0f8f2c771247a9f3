package roster

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// brittleCase defines a simulation of a service whose targets are brittle from
// simNamedAt on, and let fewer requests wait from simShrinkAt on.
type brittleCase struct {
	vms, targets, slots, queue int
	tolerance                  int
	serviceTime                time.Duration
	streams                    bool // the heads of answers come when the requests begin to run
	// demand is the number of requests at a time, as a part of what the targets serve.
	demand  func(at time.Duration) float64
	sound   bool // not brittle
	restart bool
}

const (
	simLength       = 16 * time.Second
	simNamedAt      = 2 * time.Second
	simShrinkAt     = simNamedAt + 3*time.Second // ContactMs
	simHeartbeat    = 300 * time.Millisecond
	simPeers        = 12
	simNetwork      = 2 * time.Millisecond
	simHold         = 100 * time.Millisecond
	simPoll         = 10 * time.Millisecond
	simAttempts     = 3
	simTimeError    = 5 * time.Millisecond
	simDownTime     = 4 * time.Second
	simStartupTime  = 3 * time.Second
	simListingDelay = 300 * time.Millisecond
)

// simTarget is one start of a target.
type simTarget struct {
	id               string
	running, waiting int
	queued           []func()
	rejections       []time.Time
	fallen           bool
}

// simVM is a VM's roster.
type simVM struct {
	roster  *Roster
	started time.Time
}

// brittleSim is a simulation in virtual time.
type brittleSim struct {
	brittleCase
	random  *rand.Rand
	start   time.Time
	now     time.Time
	events  simEvents
	number  int
	targets []*simTarget
	vms     []*simVM

	falls                    int
	sent, answered, rejected int
}

type simEvent struct {
	at     time.Time
	number int
	run    func()
}

type simEvents []simEvent

func (events simEvents) Len() int { return len(events) }
func (events simEvents) Less(i, j int) bool {
	return events[i].at.Before(events[j].at) || events[i].at.Equal(events[j].at) && events[i].number < events[j].number
}
func (events simEvents) Swap(i, j int)   { events[i], events[j] = events[j], events[i] }
func (events *simEvents) Push(event any) { *events = append(*events, event.(simEvent)) }
func (events *simEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

func (sim *brittleSim) after(delay time.Duration, run func()) {
	sim.number++
	heap.Push(&sim.events, simEvent{at: sim.now.Add(delay), number: sim.number, run: run})
}

// runBrittle plays the case.
func runBrittle(played brittleCase, seed uint64) *brittleSim {
	start := time.Unix(1000, 0)
	sim := &brittleSim{brittleCase: played, random: rand.New(rand.NewPCG(seed, 1)), start: start, now: start}
	for range played.targets {
		sim.targets = append(sim.targets, sim.newTarget())
	}
	for range played.vms {
		vm := sim.newVM()
		vm.started = start.Add(-simStartupTime)
		sim.vms = append(sim.vms, vm)
	}
	for i := range sim.vms {
		sim.after(time.Duration(sim.random.Int64N(int64(simHeartbeat))), func() { sim.heartbeat(i) })
	}
	if played.restart {
		sim.after(8*time.Second, sim.restartVMs)
	}
	sim.after(0, sim.arrive)
	for len(sim.events) > 0 {
		event := heap.Pop(&sim.events).(simEvent)
		if event.at.Sub(start) > simLength {
			break
		}
		sim.now = event.at
		event.run()
	}
	return sim
}

func (sim *brittleSim) newTarget() *simTarget {
	sim.number++
	return &simTarget{id: fmt.Sprint("target-", sim.number)}
}

func (sim *brittleSim) newVM() *simVM {
	vm := &simVM{roster: New("a"), started: sim.now}
	vm.roster.random = sim.random
	vm.roster.SetFleetSize(sim.brittleCase.vms)
	for _, target := range sim.targets {
		vm.roster.Put(Entry{ID: target.id, Service: "s", Zone: "a", StartTime: 1}, sim.now)
	}
	return vm
}

func (sim *brittleSim) restartVMs() {
	for i := range max(1, len(sim.vms)/10) {
		sim.vms[i] = sim.newVM()
	}
}

// heartbeat exchanges what a VM and some others know.
func (sim *brittleSim) heartbeat(index int) {
	vm := sim.vms[index]
	words := vm.roster.BrittleTargets(sim.now)
	for range min(simPeers, len(sim.vms)-1) {
		other := sim.vms[sim.random.IntN(len(sim.vms))]
		tellBrittle(words, other.roster, sim.now)
		if other != vm {
			tellBrittle(other.roster.BrittleTargets(sim.now), vm.roster, sim.now)
		}
	}
	sim.after(simHeartbeat, func() { sim.heartbeat(index) })
}

func tellBrittle(words []Brittle, to *Roster, now time.Time) {
	for _, word := range words {
		word.LoadAt = word.LoadAt.Add(simTimeError) // else VMs tell each other their own words as news
		if !word.RejectedAt.IsZero() {
			word.RejectedAt = word.RejectedAt.Add(simTimeError)
		}
		to.MergeBrittle(word, now)
	}
}

// arrive sends a request and schedules the next one.
func (sim *brittleSim) arrive() {
	capacity := float64(sim.brittleCase.targets*sim.slots) / sim.serviceTime.Seconds()
	rate := capacity * sim.demand(sim.now.Sub(sim.start))
	sim.after(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), sim.arrive)
	sim.sent++
	vm := sim.vms[sim.random.IntN(len(sim.vms))]
	if !vm.roster.Admit("s", sim.now) {
		return
	}
	sim.attempt(vm.roster, Criteria{Service: "s", Repeatable: true}, sim.now.Add(simHold))
}

// attempt sends the request, which waits until holdDeadline for a target.
func (sim *brittleSim) attempt(roster *Roster, criteria Criteria, holdDeadline time.Time) {
	assignment, ok := roster.Choose(criteria, sim.now)
	if !ok {
		if sim.now.Before(holdDeadline) {
			sim.after(simPoll, func() { sim.attempt(roster, criteria, holdDeadline) })
		}
		return
	}
	criteria.Tried = append(append([]string(nil), criteria.Tried...), assignment.ID)
	retry := func() {
		assignment.End()
		if len(criteria.Tried) < simAttempts {
			sim.attempt(roster, criteria, sim.now)
		}
	}
	sim.after(simNetwork, func() {
		target := sim.find(assignment.ID)
		switch {
		case target == nil:
			assignment.Failed(true, sim.now)
			retry()
		case target.running < sim.slots:
			sim.run(target, &assignment)
		case target.waiting < sim.queueLimit():
			target.waiting++
			target.queued = append(target.queued, func() { sim.run(target, &assignment) })
		default:
			sim.reject(target)
			sim.observe(target, &assignment)
			assignment.RecordRejection(sim.now)
			criteria.Rejected = true
			retry()
		}
	})
}

func (sim *brittleSim) find(id string) *simTarget {
	for _, target := range sim.targets {
		if target.id == id {
			return target
		}
	}
	return nil
}

// queueLimit returns the number of requests that may wait, which shrinks.
func (sim *brittleSim) queueLimit() int {
	if sim.sound {
		return sim.queue
	}
	at := sim.now.Sub(sim.start)
	switch {
	case at < simShrinkAt:
		return sim.queue
	case at < simShrinkAt+3*time.Second:
		return sim.queue / 2
	case at < simShrinkAt+6*time.Second:
		return sim.queue / 4
	}
	return sim.queue / 8
}

// observe records the head of an answer.
func (sim *brittleSim) observe(target *simTarget, assignment *Assignment) {
	assignment.Answered(Load{Running: target.running, Waiting: target.waiting, Slots: sim.slots}, true, sim.now)
	if !sim.sound && sim.now.Sub(sim.start) > simNamedAt {
		assignment.ObserveTolerance(float64(sim.tolerance), sim.now)
	}
}

// run runs a request in a free slot.
func (sim *brittleSim) run(target *simTarget, assignment *Assignment) {
	target.running++
	if sim.streams {
		sim.observe(target, assignment)
	}
	took := time.Duration((0.5 + sim.random.Float64()) * float64(sim.serviceTime))
	sim.after(took, func() {
		if target.fallen {
			assignment.End()
			return
		}
		target.running--
		if !sim.streams {
			sim.observe(target, assignment)
		}
		sim.answered++
		assignment.Succeeded(sim.now)
		assignment.End()
		if len(target.queued) > 0 {
			next := target.queued[0]
			target.queued = target.queued[1:]
			target.waiting--
			next()
		}
	})
}

// reject counts a rejection. Too many in a second fell the target, which is back some
// seconds later under another ID.
func (sim *brittleSim) reject(target *simTarget) {
	sim.rejected++
	recent := target.rejections[:0]
	for _, at := range target.rejections {
		if sim.now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	target.rejections = append(recent, sim.now)
	if sim.sound || sim.now.Sub(sim.start) < simShrinkAt || len(target.rejections) <= sim.tolerance || target.fallen {
		return
	}
	sim.falls++
	target.fallen = true
	for i, known := range sim.targets {
		if known == target {
			sim.targets = append(sim.targets[:i], sim.targets[i+1:]...)
			break
		}
	}
	sim.after(simListingDelay, func() {
		for _, vm := range sim.vms {
			vm.roster.Remove(target.id, sim.now)
		}
	})
	sim.after(simDownTime, func() {
		back := sim.newTarget()
		sim.targets = append(sim.targets, back)
		for _, vm := range sim.vms {
			vm.roster.Put(Entry{ID: back.id, Service: "s", Zone: "a", StartTime: 1}, sim.now)
		}
	})
}

// refusedShare returns the part of the requests that were not answered.
func (sim *brittleSim) refusedShare() float64 {
	inFlight := 0
	for _, target := range sim.targets {
		inFlight += target.running + target.waiting
	}
	return float64(sim.sent-sim.answered-inFlight) / float64(sim.sent)
}
