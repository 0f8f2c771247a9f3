package roster

import (
	"net/netip"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// The costs below are in microseconds of a caller's waiting.
const (
	// readCost is the time to read one token of a prompt beside others' answers.
	readCost = 18
	// runningCost is what one running request adds to a new one's wait at a plain
	// service, and batchedCost in a batch.
	runningCost = 2_000
	batchedCost = 300
	// awayCost is what a request costs more away from the home of its prefix:
	// the transfer of the prefix, and memory for a second copy.
	awayCost = 100_000
	// zoneCost is the way to another availability zone and back.
	zoneCost = 2_000
	// oldWeightsCost is what answers on replaced weights cost.
	oldWeightsCost = 60_000
	// waitingCost is what one request in a target's queue adds.
	waitingCost = 45_000
)

// Ask is what a request wants of a target.
type Ask struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Newest is the version that is being rolled out; targets with older ones are
	// avoided. Targets with versions below Required are not used at all.
	Newest   uint64
	Required uint64
	// Prefix identifies the shared part of the prompt; 0 when there is none.
	Prefix uint64
	// Tokens is the size of the prompt that no cache can hold.
	Tokens int
	// Repeatable requests may try a target that failed.
	Repeatable bool
	// Tried are the targets that had the request.
	Tried []string
}

// Choose returns the place where the request should go, and counts it there. It
// returns false when no target is usable. The place is used by one request: copies
// of it must not be ended each.
func (roster *Roster) Choose(ask Ask, now time.Time) (Seat, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	targets := roster.services[ask.Service]
	home := roster.home(targets, ask, now)
	best := roster.best(targets, ask, home, now)
	if best == nil {
		return Seat{}, false
	}
	seat := Seat{
		ID: best.entry.ID, Service: best.entry.Service, Address: best.entry.Address, Zone: best.entry.Zone,
		roster: roster, target: best, tokens: ask.Tokens, reading: true,
	}
	seat.Weights, _ = best.weights(ask.Model)
	seat.Wait = time.Duration(best.wait(now)) * time.Microsecond
	if home != nil && home != best {
		seat.Home = home.entry.Address
	}
	best.begin(ask.Tokens, now)
	return seat, true
}

// begin counts a request.
func (target *Target) begin(tokens int, now time.Time) {
	if target.inFlight == 0 {
		target.heard = now
	}
	target.inFlight++
	target.sinceLoad++
	target.prefill += tokens
	if target.suspect() {
		target.greyUntil = now.Add(trialPause)
	}
}

// suspect reports whether the target failed too many of its last requests.
func (target *Target) suspect() bool {
	return target.failed > greyShare
}

// home returns the target that should hold the prefix: the first in rendezvous
// order of those that work, or nil.
func (roster *Roster) home(targets []*Target, ask Ask, now time.Time) *Target {
	if ask.Prefix == 0 {
		return nil
	}
	var home *Target
	var most uint64
	for _, target := range targets {
		score := prefix.Mix(ask.Prefix ^ target.seed)
		if home != nil && score <= most {
			continue // the cheaper question first: most targets end here
		}
		if target.usable(now) && !now.Before(target.restUntil) && !target.suspect() {
			home, most = target, score
		}
	}
	return home
}

// best returns the target with the least cost, or nil. Targets that failed too
// many requests are ejected while others are left. Among many targets it looks at
// the home and at some in turn, and at all only when none of those may have the
// request.
func (roster *Roster) best(targets []*Target, ask Ask, home *Target, now time.Time) *Target {
	if len(targets) == 0 {
		return nil
	}
	few := search{ask: ask, home: home, now: now, number: len(targets)}
	roster.turn++
	if len(targets) > lookAtAll {
		roster.turn += sample - 1
		few.number = sample
	}
	few.from = int(roster.turn % uint64(len(targets)))
	all := few
	all.number = len(targets)
	ejected := all
	ejected.ejected = true
	for _, search := range []search{few, all, ejected} {
		if found := roster.cheapest(targets, search); found != nil {
			return found
		}
	}
	return nil
}

// search is which targets are looked at.
type search struct {
	ask  Ask
	home *Target
	now  time.Time
	// from is the first target and number how many follow it.
	from   int
	number int
	// ejected is set when those that failed too many may have the request too.
	ejected bool
}

// cheapest returns the target with the least cost among the home and those that
// are looked at, or nil.
func (roster *Roster) cheapest(targets []*Target, search search) *Target {
	var best *Target
	least := 0
	if search.home != nil && search.home.allowed(search) {
		best, least = search.home, roster.cost(search.home, search.ask, search.home, search.now)
	}
	for i := range search.number {
		target := targets[(search.from+i)%len(targets)]
		if target == search.home || !target.allowed(search) {
			continue
		}
		if cost := roster.cost(target, search.ask, search.home, search.now); best == nil || cost < least {
			best, least = target, cost
		}
	}
	return best
}

const (
	// lookAtAll is the number of targets up to which each one's cost is computed.
	lookAtAll = 32
	// sample is the number of targets that are looked at among more.
	sample = 13
)

// allowed reports whether the target may get the request.
func (target *Target) allowed(search search) bool {
	ask, now := search.ask, search.now
	if !target.usable(now) || now.Before(target.restUntil) {
		return false
	}
	if !search.ejected && target.suspect() && (!ask.Repeatable || target.inFlight > 0 || now.Before(target.greyUntil)) {
		return false
	}
	if weights, ok := target.weights(ask.Model); ok && weights < ask.Required {
		return false
	}
	for _, tried := range ask.Tried {
		if tried == target.entry.ID {
			return false
		}
	}
	return true
}

// cost estimates the time to the first token, and what else the choice costs.
func (roster *Roster) cost(target *Target, ask Ask, home *Target, now time.Time) int {
	cost := 0
	if target.entry.Zone != roster.zone {
		cost += zoneCost
	}
	if ask.Model == "" {
		return cost + target.serviceCost(now)
	}
	cost += target.wait(now) + target.busy(now)*batchedCost
	if home != nil && target != home {
		cost += awayCost
	}
	if weights, ok := target.weights(ask.Model); ok && weights < ask.Newest {
		cost += oldWeightsCost
	}
	return cost
}

// serviceCost estimates the wait at a plain service.
func (target *Target) serviceCost(now time.Time) int {
	cost := target.busy(now) * runningCost
	if now.Sub(target.loadAt) <= loadTime {
		cost += target.load.Waiting * waitingCost
	}
	return cost
}

// Alive reports whether a target with the address is believed to answer.
func (roster *Roster) Alive(address netip.AddrPort, now time.Time) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for _, target := range roster.targets {
		if target.entry.Address == address {
			return target.usable(now) && !target.suspect()
		}
	}
	return false
}

// Address returns the address of a target in use.
func (roster *Roster) Address(id string) (netip.AddrPort, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok || target.removed {
		return netip.AddrPort{}, false
	}
	return target.entry.Address, true
}
