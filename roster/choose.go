package roster

import (
	"net/netip"
	"slices"
	"time"
)

// Costs are in microseconds of waiting by the client.
const (
	// prefillTokenCost is the time to process one prompt token while the target also
	// generates other answers.
	prefillTokenCost = 18
	// runningCost is what one running request adds to the wait of a new one at a
	// plain service, batchedRunningCost what it adds at a target that batches.
	runningCost        = 2_000
	batchedRunningCost = 300
	// awayFromHomeCost is the added cost of a request away from the home of its
	// prefix: the transfer of the prefix, and memory for a second copy.
	awayFromHomeCost = 100_000
	// crossZoneCost is the round trip to another availability zone.
	crossZoneCost = 2_000
	// oldWeightsCost is the penalty for an answer from weights that are being
	// replaced.
	oldWeightsCost = 60_000
	// queuedCost is what one request in a target's queue adds.
	queuedCost = 45_000
	// recheckCost puts a target before others whose limit may be over.
	recheckCost = -1
)

// Criteria holds the requirements of a request and the properties by which the
// eligible targets are compared.
type Criteria struct {
	Service string
	// Route is the name of the request's route; releases are judged by route.
	Route string
	// Model is empty for plain services.
	Model string
	// NewestWeights is the weights version that is being rolled out; targets with
	// older versions are avoided.
	NewestWeights uint64
	// RequiredWeights returns the oldest version that a target may have at which the
	// request waits for the given time; 0 for any. If it is nil, any version will do.
	RequiredWeights func(wait time.Duration) uint64
	// Prefix identifies the shared prefix of the prompt; 0 when there is none.
	Prefix uint64
	// Tokens is the number of prompt tokens outside the shared prefix.
	Tokens int
	// If FixedSoftware is set, only targets with the software version Software are
	// used: what two versions write to one stream does not fit together.
	FixedSoftware bool
	Software      string
	// PreferLogged is set for streams that can be resumed: they prefer software versions
	// that are in the log of the store, see SetLogged.
	PreferLogged bool
	// InTime reports whether a request that waits for the given time is reached in time.
	// Otherwise other targets than the preferred ones are examined. If it is nil, any wait
	// will do.
	InTime func(wait time.Duration) bool
	// Repeatable requests may be sent to an ejected target as trial requests.
	Repeatable bool
	// Tried holds the IDs of the targets to which the request was already sent.
	Tried []string
	// Among, if set, holds the IDs of the only targets that may be used.
	Among []string
	// Rejected is set if a target rejected the request for want of room.
	Rejected bool
	// Reservation, if set, is that of this request. Choose uses it up once the rest is
	// over.
	Reservation *Reservation
}

// Choose assigns the request to a target and counts it there. It returns false when
// no target is eligible. The assignment belongs to one request: if it is copied, only
// one of the copies may be ended.
func (roster *Roster) Choose(criteria Criteria, now time.Time) (Assignment, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if reservation := criteria.Reservation; reservation != nil && !now.Before(reservation.Until) {
		reservation.release()
	}
	best, home, firstHome := roster.find(criteria, now)
	if best == nil {
		return Assignment{}, false
	}
	assignment := Assignment{
		ID: best.entry.ID, Service: best.entry.Service, Address: best.entry.Address, Zone: best.entry.Zone,
		Software: best.entry.Software, StartTime: best.entry.StartTime, roster: roster, target: best, tokens: criteria.Tokens, promptPending: true, trialBefore: best.ejectedUntil, lastReceived: now, assignedAt: now,
	}
	assignment.Weights, _ = best.weights(criteria.Model)
	if best.unreachable {
		assignment.Through = best.through
	}
	assignment.Wait = best.wait(now)
	assignment.RequiredWeights = criteria.requiredWeights(assignment.Wait)
	switch {
	case home != nil && home != best:
		assignment.Home = home.entry.Address
	case home != nil && home != firstHome:
		assignment.Home = firstHome.entry.Address // a further home fetches what it lacks from the first
	}
	roster.countPrefix(criteria, now)
	assignment.OutsideSubset = best != home && roster.outsideSubset(best)
	roster.recordSent(criteria, best, now)
	assignment.trial = best.rest.beginTrial(now)
	best.limit.take()
	best.begin(criteria.Tokens, now)
	return assignment, true
}

// begin counts a request. If the target is ejected, the next trial request may follow
// after trialInterval.
func (target *Target) begin(tokens int, now time.Time) {
	if target.inFlight == 0 {
		target.lastReceived = now
	}
	target.inFlight++
	target.begunSinceReport++
	target.brittle.begun++
	target.pendingTokens += tokens
	if target.ejected() {
		target.ejectedUntil = now.Add(trialInterval)
	}
}

// ejected reports whether too many of the target's recent requests failed.
func (target *Target) ejected() bool {
	return target.failureShare > ejectionThreshold
}

// best returns the eligible target with the least cost, or nil. The home and the targets
// that this VM prefers come first. Otherwise, with more than
// fullScanLimit targets it examines the home and a round-robin sample, and all
// targets only when none of those is eligible. Ejected targets get only trial
// requests unless no other target is eligible.
func (roster *Roster) best(targets []*Target, criteria Criteria, versions *versionFilter, home *Target, now time.Time) *Target {
	if len(targets) == 0 {
		return nil
	}
	inLog := roster.prefersLogged(criteria)
	if !inLog {
		if found := roster.bestPreferred(criteria, versions, home, now); found != nil {
			return found
		}
	}
	sampled := search{criteria: criteria, versions: versions, home: home, now: now, count: len(targets)}
	roster.roundRobin++
	if len(targets) > fullScanLimit {
		roster.roundRobin += sampleSize - 1
		sampled.count = sampleSize
	}
	sampled.first = int(roster.roundRobin % uint64(len(targets)))
	all := sampled
	all.count = len(targets)
	ejected := all
	ejected.includeEjected = true
	searches := []search{sampled, all, ejected}
	if inLog {
		logged := all
		logged.logged = roster.logged[criteria.Service]
		searches = []search{logged, all, ejected}
	}
	for _, search := range searches {
		if found := roster.cheapest(targets, search); found != nil {
			return found
		}
	}
	return nil
}

// search defines which targets are examined.
type search struct {
	criteria Criteria
	versions *versionFilter // nil if all versions are allowed
	home     *Target
	now      time.Time
	// first is the index of the first target, count the number of targets examined.
	first int
	count int
	// includeEjected is set when ejected targets are eligible too.
	includeEjected bool
	// logged, if set, are the eligible software versions.
	logged []string
	// inTime is set when only targets are eligible that take the request in time.
	inTime bool
}

// cheapest returns the eligible target with the least cost among the home and
// the examined targets, or nil.
func (roster *Roster) cheapest(targets []*Target, search search) *Target {
	var best *Target
	least := 0
	// A home that is not reached in time may still cost less than reading the prefix again.
	homeSearch := search
	homeSearch.inTime = false
	if search.home != nil && search.home.eligible(homeSearch) {
		best, least = search.home, roster.cost(search.home, search.criteria, search.home, search.now)
	}
	for i := range search.count {
		target := targets[(search.first+i)%len(targets)]
		if target == search.home || !target.eligible(search) {
			continue
		}
		if cost := roster.cost(target, search.criteria, search.home, search.now); best == nil || cost < least {
			best, least = target, cost
		}
	}
	return best
}

const (
	// fullScanLimit is the number of targets up to which the cost of each is computed.
	fullScanLimit = 32
	// sampleSize is the number of targets examined when there are more.
	sampleSize = 13
)

// eligible reports whether the target may get the request.
func (target *Target) eligible(search search) bool {
	return (search.logged == nil || slices.Contains(search.logged, target.entry.Software)) &&
		target.obstacle(search) == "" && (!search.inTime || target.takesInTime(search.criteria, search.now))
}

// requiredWeights returns the oldest version that a target may have at which the
// request waits for the given time.
func (criteria Criteria) requiredWeights(wait time.Duration) uint64 {
	if criteria.RequiredWeights == nil {
		return 0
	}
	return criteria.RequiredWeights(wait)
}

// hasRequiredWeights reports whether the target's weights may be used for the request,
// which waits there for the given time. Unknown weights may not if a version is required.
func (target *Target) hasRequiredWeights(criteria Criteria, wait time.Duration) bool {
	weights, _ := target.weights(criteria.Model)
	return weights >= criteria.requiredWeights(wait)
}

// cost estimates the time to the first token plus the penalties of the choice.
func (roster *Roster) cost(target *Target, criteria Criteria, home *Target, now time.Time) int {
	if target.limit.recheckDue(now) {
		return recheckCost
	}
	cost := 0
	if target.entry.Zone != roster.zone {
		cost += crossZoneCost
	}
	if target.isBrittle() {
		cost += target.brittleCost(now)
	}
	if criteria.Model == "" {
		if target.isBrittle() {
			return cost
		}
		return cost + target.serviceCost(now)
	}
	cost += target.waitMicros(now) + target.requestCount(now)*batchedRunningCost
	if home != nil && target != home {
		cost += awayFromHomeCost
	}
	if weights, ok := target.weights(criteria.Model); ok && weights < criteria.NewestWeights {
		cost += oldWeightsCost
	}
	return cost
}

// serviceCost estimates the wait at a plain service.
func (target *Target) serviceCost(now time.Time) int {
	cost := target.requestCount(now) * runningCost
	if now.Sub(target.reportedAt) <= freshReportTime {
		cost += target.load.Waiting * queuedCost
	}
	return cost
}

// Alive reports whether the target with the address is usable and not ejected.
func (roster *Roster) Alive(address netip.AddrPort, now time.Time) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for _, target := range roster.targets {
		if target.entry.Address == address {
			return target.usable(now) && !target.ejected()
		}
	}
	return false
}

// Address returns the address of a registered target.
func (roster *Roster) Address(id string) (netip.AddrPort, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok || target.removed {
		return netip.AddrPort{}, false
	}
	return target.entry.Address, true
}
