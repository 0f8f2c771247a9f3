// Package admission decides which requests run when callers ask for more than the
// targets of a service take.
//
// All VMs decide alike without a coordinator: each computes the same shares from the
// same figures, which are what accounts ask of all VMs, as VMs tell each other, and what
// the targets take. Requests are served in the order of their levels; accounts of the
// level at which the room ends share it by their weights, in prompt tokens. A VM admits
// the share that is computed for an account of the account's requests, large ones as
// often as small ones. Refused callers are told a time to retry which is spread, so that
// they do not come back together.
//
// It answers this load: a third of the targets is lost while callers ask for three times
// as much as usual, or one account for seven times as much. Without it targets read
// prompts that are late or whose callers have left, and hardly any request is answered
// in time. The package does no I/O.
//
// # Usage
//
//	controller := admission.New("vm-1", room, time.Now())
//	decision := controller.Decide(request, time.Now())
//	if !decision.Admitted {
//		// refuse the request; the caller may retry at decision.RetryAt
//	}
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// startupTime is how long after its start a VM admits by estimated waits alone: it
	// does not know yet what others are asked for.
	startupTime = time.Second
	// planInterval is how long computed shares are used.
	planInterval = 100 * time.Millisecond
	// A service is overloaded once requests wait for enterWait of the aimed wait and ask
	// for more than enterDemand of the room, until they ask for less than leaveDemand or
	// wait for less than leaveWait.
	enterWait   = 0.25
	enterDemand = 0.9
	leaveWait   = 0.1
	leaveDemand = 0.8
	// reportWait is the part of the aimed wait from which VMs tell each other what they
	// are asked for, before they need to know.
	reportWait = 0.25
)

// Level orders requests: those of lower levels are served first.
type Level uint8

// maxPriority is the least urgent priority.
const maxPriority = 15

// LevelOf returns the level of a request with the priority of its account, or that of
// its route if the account has none, and the priority of its route.
func LevelOf(account, route int) Level {
	return Level(clampPriority(account)<<4 | clampPriority(route))
}

func clampPriority(priority int) int {
	return min(max(0, priority), maxPriority)
}

// Request is what a request asks.
type Request struct {
	Account string
	Level   Level
	Tokens  float64 // of the prompt that have to be read
}

// Room is what the targets of a service take.
type Room struct {
	// TokensPerSecond is the rate at which they read prompts.
	TokensPerSecond float64
	// Wait is how long a request waits there now, in the mean over the targets.
	Wait time.Duration
	// AimedWait is how long requests are to wait at targets while there are more than
	// these take: long enough that targets always have work, and short enough that all
	// requests are answered in time.
	AimedWait time.Duration
}

// Decision is whether a request is admitted.
type Decision struct {
	Admitted bool
	// RetryAt is when the caller of a refused request may retry.
	RetryAt time.Time
	// Change is set if an overload was found to begin or to end.
	Change *Change
}

// Change is the begin or the end of an overload.
type Change struct {
	Overloaded bool
	// Asked is what all VMs are asked for, in prompt tokens a second.
	Asked float64
	Room  Room
}

// Controller decides on the requests for one service at one VM. It is safe for
// concurrent use.
type Controller struct {
	self      string
	startedAt time.Time
	room      func(now time.Time) Room

	mu      sync.Mutex // guards the fields below
	random  *rand.Rand
	vms     int // in the fleet
	weights map[uint32]float64
	cells   map[key]*cell
	reports map[string]report
	// heardAt is when another VM last said what it is asked for.
	heardAt time.Time
	// placed and turnedAway are the admitted requests that a target took, and those that
	// none took.
	placed     rate
	turnedAway rate
	plan       plan
	plannedAt  time.Time
	overloaded bool
	reporting  bool
}

// New returns the controller of a service at the VM that self names. The function room
// returns what its targets take.
func New(self string, room func(now time.Time) Room, now time.Time) *Controller {
	seed := uint64(prefix.Digest(self))
	return &Controller{
		self: self, startedAt: now, room: room, random: rand.New(rand.NewPCG(seed, 0)), vms: 1,
		cells: map[key]*cell{}, reports: map[string]report{},
	}
}

// SetFleetSize sets the number of VMs, including this one.
func (controller *Controller) SetFleetSize(vms int) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.vms = max(1, vms)
}

// SetWeights sets by how much accounts share room. Accounts without a weight have the
// mean.
func (controller *Controller) SetWeights(weights map[string]float64) {
	hashed := make(map[uint32]float64, len(weights))
	for account, weight := range weights {
		hashed[hash(account)] = weight
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.weights = hashed
}

// Decide counts a request and decides whether it is admitted.
func (controller *Controller) Decide(request Request, now time.Time) Decision {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	asked := request.key()
	cell := controller.cell(asked)
	cell.asked.count(request.Tokens, now)
	decision := Decision{Admitted: true, Change: controller.refresh(now)}
	if !controller.overloaded || now.Sub(controller.startedAt) < startupTime {
		return decision
	}
	part := controller.plan.part(asked)
	if cell.credit += part; cell.credit >= 1 {
		cell.credit--
		return decision
	}
	decision.Admitted, decision.RetryAt = false, controller.retryAt(cell, part, request.Tokens, now)
	return decision
}

// Place records that a target took an admitted request.
func (controller *Controller) Place(request Request, now time.Time) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.placed.count(request.Tokens, now)
}

// TurnAway records that a target rejected an admitted request for want of room, or that no
// target was found for it.
func (controller *Controller) TurnAway(request Request, now time.Time) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	controller.turnedAway.count(request.Tokens, now)
}

// Refuse returns when the caller of an admitted request may retry that found no target at
// which it would be answered in time.
func (controller *Controller) Refuse(request Request, now time.Time) time.Time {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	asked := request.key()
	return controller.retryAt(controller.cell(asked), controller.plan.part(asked), request.Tokens, now)
}

// Overloaded reports whether callers ask for more than the targets take.
func (controller *Controller) Overloaded(now time.Time) bool {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return controller.overloaded && now.Sub(controller.startedAt) >= startupTime
}

// refresh computes the shares anew if they are old. It returns the begin or the end of an
// overload, or nil.
func (controller *Controller) refresh(now time.Time) *Change {
	if now.Sub(controller.plannedAt) < planInterval && controller.plan.parts != nil {
		return nil
	}
	controller.plannedAt = now
	controller.drop(now)
	total := controller.total(now)
	asked := 0.0
	for _, count := range total.Counts {
		asked += count.Asked
	}
	room, before := controller.room(now), controller.overloaded
	relative := room.Wait.Seconds() / room.AimedWait.Seconds()
	// Long waits, and requests that no target took, show that the targets take less than
	// they are known to. A part is always admitted: else it would not show when they take
	// more again.
	tokens := min(room.tokens(), max(minRoom*asked, total.placeable()))
	takes := min(room.TokensPerSecond, tokens)
	crowded := total.placeable() < asked
	if controller.overloaded {
		controller.overloaded = (relative >= leaveWait || crowded) && asked >= leaveDemand*takes
	} else {
		controller.overloaded = (relative >= enterWait || crowded) && asked >= enterDemand*takes
	}
	controller.reporting = controller.overloaded || relative >= reportWait || controller.turnedAway.at(now) > 0
	controller.plan = newPlan(total.Counts, controller.weights, tokens)
	if controller.overloaded == before {
		return nil
	}
	return &Change{Overloaded: controller.overloaded, Asked: asked, Room: room}
}

// cell returns what is known of the requests with a key.
func (controller *Controller) cell(asked key) *cell {
	known, ok := controller.cells[asked]
	if !ok {
		// VMs that begin with different credits do not admit and refuse all at once.
		known = &cell{credit: controller.random.Float64()}
		controller.cells[asked] = known
	}
	return known
}

func (request Request) key() key {
	return key{account: hash(request.Account), level: request.Level}
}

func hash(account string) uint32 {
	return uint32(prefix.Mix(uint64(prefix.Digest(account))))
}
