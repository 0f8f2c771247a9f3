package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// Where targets are adaptive, a prefix has as many homes as its load needs. One home that
// gets all requests with a prefix is overloaded while others are idle, or the requests
// leave it for targets that have to process the prefix again.

const (
	// prefixLoadTime is the time constant of the moving average of a prefix's load.
	prefixLoadTime = 2 * time.Second
	// peerLoadTime is how long the loads of other VMs count: in the largest availability
	// zones a VM hears from each other one every 1.5 s, and sums of other zones are up to
	// 1.8 s old when they arrive.
	peerLoadTime = 3 * time.Second
	// homeShare is the part of a home's prefill rate that the prefix may use: it also gets
	// other requests, and waits grow quickly above half.
	homeShare = 0.5
	// releaseShare is the part of that load at which a home is released, so that the
	// number does not change with each request.
	releaseShare = 0.7
	// requestTokens are added to the prompt tokens of a request for its answer.
	requestTokens = 500
	maxHomes      = 16
	homeCoverage  = 16
	// maxPrefixLoads bounds the memory for loads.
	maxPrefixLoads = 4096
	// maxReportedLoads bounds the loads in a heartbeat.
	maxReportedLoads = 8
	// otherHomeCost is by how much another home must cost less than the one that this VM
	// uses: changes cost connections, and VMs that know the same loads would all change.
	otherHomeCost = 20_000
)

// PrefixLoad is what a VM, or several VMs, send with a prefix.
type PrefixLoad struct {
	Prefix          uint64
	TokensPerSecond int
	Homes           int // that the prefix needs, as the VM finds
}

// prefixLoad is the load of a prefix at this VM.
type prefixLoad struct {
	prefix  uint64
	service string
	// tokens is the sum of the tokens, decaying with prefixLoadTime, as of countedAt.
	tokens    float64
	countedAt time.Time
	homes     int // that this VM finds the prefix to need
	// othersTokens, a second, and othersHomes are valid until the next sumPeerLoads.
	othersTokens, othersHomes int
}

// peerLoads are the loads of another VM, ordered by prefix.
type peerLoads struct {
	loads []PrefixLoad
	at    time.Time
}

// get returns the load of a prefix.
func (loads *peerLoads) get(key uint64) PrefixLoad {
	i, ok := slices.BinarySearchFunc(loads.loads, key, func(load PrefixLoad, key uint64) int { return cmp.Compare(load.Prefix, key) })
	if !ok {
		return PrefixLoad{Prefix: key}
	}
	return loads.loads[i]
}

// sumPeerLoads sums the loads of other VMs by prefix, in othersTokens and othersHomes of this
// VM's loads: of the named VMs, or of all if all is set. It reports whether one of them told
// its loads lately. The caller holds mu.
func (roster *Roster) sumPeerLoads(vms map[string]bool, all bool, now time.Time) bool {
	for i := range roster.prefixLoads {
		load := &roster.prefixLoads[i]
		load.othersTokens, load.othersHomes = 0, 0
	}
	fresh := false
	for vm, peer := range roster.peerLoads {
		if !all && !vms[vm] || now.Sub(peer.at) > peerLoadTime {
			continue
		}
		fresh = true
		for _, reported := range peer.loads {
			if i, ok := roster.prefixIndex[reported.Prefix]; ok {
				load := &roster.prefixLoads[i]
				load.othersTokens += reported.TokensPerSecond
				load.othersHomes = max(load.othersHomes, reported.Homes)
			}
		}
	}
	return fresh
}

// rate returns the tokens a second.
func (load *prefixLoad) rate(now time.Time) float64 {
	decay := math.Exp(-max(0, now.Sub(load.countedAt).Seconds()) / prefixLoadTime.Seconds())
	return load.tokens * decay / prefixLoadTime.Seconds()
}

// maxRate returns an upper bound of rate that takes less time to compute.
func (load *prefixLoad) maxRate() float64 {
	return load.tokens / prefixLoadTime.Seconds()
}

// add counts a request.
func (load *prefixLoad) add(tokens int, now time.Time) {
	load.tokens = load.rate(now)*prefixLoadTime.Seconds() + float64(tokens+requestTokens)
	load.countedAt = now
}

// decide adapts the number of homes to the load of all VMs. rate is what one home takes.
func (load *prefixLoad) decide(total, rate float64) {
	needed := min(maxHomes, max(1, int(math.Ceil(total/rate))))
	kept := min(maxHomes, max(1, int(math.Ceil(total/(rate*releaseShare)))))
	load.homes = max(needed, min(load.homes, kept))
}

// countPrefix counts a request with a prefix. The caller holds mu.
func (roster *Roster) countPrefix(criteria Criteria, now time.Time) {
	if criteria.Prefix == 0 || !roster.adaptive(criteria.Service) {
		return
	}
	i, ok := roster.prefixIndex[criteria.Prefix]
	if !ok {
		if len(roster.prefixLoads) >= maxPrefixLoads {
			return
		}
		i = len(roster.prefixLoads)
		roster.prefixLoads = append(roster.prefixLoads, prefixLoad{prefix: criteria.Prefix, homes: 1})
		roster.prefixIndex[criteria.Prefix] = i
	}
	load := &roster.prefixLoads[i]
	load.service = criteria.Service
	load.add(criteria.Tokens, now)
}

// removePrefixLoad removes the load with an index, which another one gets. The caller holds
// mu.
func (roster *Roster) removePrefixLoad(i int) {
	last := len(roster.prefixLoads) - 1
	delete(roster.prefixIndex, roster.prefixLoads[i].prefix)
	if i != last {
		roster.prefixLoads[i] = roster.prefixLoads[last]
		roster.prefixIndex[roster.prefixLoads[i].prefix] = i
	}
	roster.prefixLoads[last] = prefixLoad{}
	roster.prefixLoads = roster.prefixLoads[:last]
}

// HomesChange is a change of the number of homes that this VM finds a prefix to need.
type HomesChange struct {
	Service         string
	Prefix          uint64
	TokensPerSecond int // of all VMs
	From, To        int
}

// UpdateHomes adapts the numbers of homes to the loads. It returns the changes.
func (roster *Roster) UpdateHomes(now time.Time) []HomesChange {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var changes []HomesChange
	rates := homeRates{roster: roster, now: now}
	roster.sumPeerLoads(nil, true, now)
	for i := len(roster.prefixLoads) - 1; i >= 0; i-- {
		load := &roster.prefixLoads[i]
		own := load.rate(now)
		if own < 1 || !roster.adaptive(load.service) {
			roster.removePrefixLoad(i)
			continue
		}
		total, before := own+float64(load.othersTokens), load.homes
		if load.decide(total, rates.get(load.service)); load.homes != before {
			changes = append(changes, HomesChange{Service: load.service, Prefix: load.prefix, TokensPerSecond: int(total), From: before, To: load.homes})
		}
	}
	for vm, loads := range roster.peerLoads {
		if now.Sub(loads.at) > peerLoadTime {
			delete(roster.peerLoads, vm)
		}
	}
	return changes
}

// HotPrefixes returns the number of prefixes that have several homes.
func (roster *Roster) HotPrefixes(now time.Time) int {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if fresh := roster.sumPeerLoads(nil, true, now); !fresh && roster.fleetSize > 1 {
		return 0
	}
	count := 0
	for i := range roster.prefixLoads {
		load := &roster.prefixLoads[i]
		if max(load.homes, load.othersHomes) > 1 && roster.adaptive(load.service) {
			count++
		}
	}
	return count
}

// homeRate returns the tokens a second that a prefix may use of one home. The caller holds
// mu.
func (roster *Roster) homeRate(service string, now time.Time) float64 {
	capacity := roster.capacity(service, now)
	if capacity.Targets == 0 || capacity.PromptTokensPerSecond <= 0 {
		return homeShare * 1e6 / prefillTokenCost
	}
	return homeShare * capacity.PromptTokensPerSecond / float64(capacity.Targets)
}

// homeRates keeps the results of homeRate while the caller holds mu. It is ready for use with
// a roster and a time.
type homeRates struct {
	roster  *Roster
	now     time.Time
	service string // of the last call
	rate    float64
	rates   map[string]float64
}

func (rates *homeRates) get(service string) float64 {
	if rates.rates != nil && service == rates.service {
		return rates.rate
	}
	rate, ok := rates.rates[service]
	if !ok {
		rate = rates.roster.homeRate(service, rates.now)
		if rates.rates == nil {
			rates.rates = map[string]float64{}
		}
		rates.rates[service] = rate
	}
	rates.service, rates.rate = service, rate
	return rate
}

// homeCount returns the number of homes of the prefix: the most that any VM finds it to
// need, so that all VMs agree once they hear of it. While this VM hears from no other VM
// it is one, as other VMs may have found fewer.
func (roster *Roster) homeCount(criteria Criteria, now time.Time) int {
	if !roster.adaptive(criteria.Service) {
		return 1
	}
	count, fresh := 1, roster.fleetSize <= 1
	for _, loads := range roster.peerLoads {
		if now.Sub(loads.at) <= peerLoadTime {
			count, fresh = max(count, min(maxHomes, loads.get(criteria.Prefix).Homes)), true
		}
	}
	if i, ok := roster.prefixIndex[criteria.Prefix]; ok {
		count = max(count, roster.prefixLoads[i].homes)
	}
	if !fresh {
		return 1
	}
	return count
}

// PrefixLoads returns the loads of this VM that matter to others: alone or with as much of
// each other VM they come near what one home takes.
func (roster *Roster) PrefixLoads(now time.Time) []PrefixLoad {
	return roster.SummedPrefixLoads(nil, now)
}

// SummedPrefixLoads returns the loads summed over this VM and the named ones.
func (roster *Roster) SummedPrefixLoads(vms map[string]bool, now time.Time) []PrefixLoad {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.sumPeerLoads(vms, false, now)
	rates := homeRates{roster: roster, now: now}
	others := float64(max(1, roster.fleetSize-len(vms)))
	loads := make([]PrefixLoad, 0, maxReportedLoads+1)
	for i := range roster.prefixLoads {
		load := &roster.prefixLoads[i]
		peers := float64(load.othersTokens)
		if len(loads) == maxReportedLoads && int(load.maxRate()+peers) < loads[maxReportedLoads-1].TokensPerSecond {
			continue
		}
		total, homes := load.rate(now)+peers, max(load.homes, load.othersHomes)
		if homes <= 1 && total*others < rates.get(load.service)/2 {
			continue
		}
		reported := PrefixLoad{Prefix: load.prefix, TokensPerSecond: int(total), Homes: homes}
		at, _ := slices.BinarySearchFunc(loads, reported, compareLoads)
		loads = slices.Insert(loads, at, reported)
		loads = loads[:min(len(loads), maxReportedLoads)]
	}
	return loads
}

// compareLoads orders loads by their tokens, the most first.
func compareLoads(a, b PrefixLoad) int {
	return cmp.Or(cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), cmp.Compare(a.Prefix, b.Prefix))
}

// SetPrefixLoads replaces the loads of another VM, or the sum of several VMs' loads under
// one name. at is when they were measured.
func (roster *Roster) SetPrefixLoads(vm string, loads []PrefixLoad, at time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	ordered := slices.Clone(loads)
	slices.Reverse(ordered) // the last load of a prefix counts
	slices.SortStableFunc(ordered, func(a, b PrefixLoad) int { return cmp.Compare(a.Prefix, b.Prefix) })
	ordered = slices.CompactFunc(ordered, func(a, b PrefixLoad) bool { return a.Prefix == b.Prefix })
	roster.peerLoads[vm] = peerLoads{loads: ordered, at: at}
}

// RemovePrefixLoads removes the loads of another VM.
func (roster *Roster) RemovePrefixLoads(vm string) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	delete(roster.peerLoads, vm)
}

// homes returns the targets that should hold the prefix: the first in rendezvous order
// among the usable targets that are neither paused nor ejected nor limited. The result is
// valid until the next call.
func (roster *Roster) homes(targets []*Target, criteria Criteria, versions *versionFilter, now time.Time) []*Target {
	if criteria.Prefix == 0 {
		return nil
	}
	count := roster.homeCount(criteria, now)
	homes := roster.homeBuffer[:0]
	for _, target := range targets {
		score := prefix.Mix(criteria.Prefix ^ target.seed)
		if len(homes) == count && score <= prefix.Mix(criteria.Prefix^homes[count-1].seed) {
			continue // the cheaper check first: it excludes most targets
		}
		if !target.usable(now) || target.paused(now) || target.ejected() || target.limit.value != 0 || !versions.allows(target) {
			continue
		}
		at := 0
		for at < len(homes) && score <= prefix.Mix(criteria.Prefix^homes[at].seed) {
			at++
		}
		homes = append(homes, target)
		copy(homes[at+1:], homes[at:])
		homes[at] = target
		homes = homes[:min(count, len(homes))]
	}
	return homes
}

// ownHome returns the home for a request of this VM: that with the least cost among those
// that it usually uses, unless another one costs clearly less. It returns nil if there is
// none.
func (roster *Roster) ownHome(homes []*Target, criteria Criteria, now time.Time) *Target {
	if len(homes) <= 1 {
		return first(homes)
	}
	var eligible []*Target
	for _, home := range homes {
		if home.eligible(search{criteria: criteria, now: now}) {
			eligible = append(eligible, home)
		}
	}
	if len(eligible) == 0 {
		return homes[0]
	}
	score := func(home *Target) uint64 { return prefix.Mix(roster.processSeed ^ criteria.Prefix ^ home.seed) }
	slices.SortFunc(eligible, func(a, b *Target) int { return cmp.Compare(score(b), score(a)) })
	usual := eligible[:roster.usualHomes(len(eligible))]
	roster.roundRobin++
	own, least := roster.cheapestHome(usual, criteria, now)
	if other, cost := roster.cheapestHome(eligible, criteria, now); cost+otherHomeCost < least {
		return other
	}
	return own
}

// first returns the first home, or nil.
func first(homes []*Target) *Target {
	if len(homes) == 0 {
		return nil
	}
	return homes[0]
}

// usualHomes returns how many of a prefix's homes this VM uses: few for the sake of
// connections, and so many that each home is used by about homeCoverage VMs. With fewer
// VMs some homes would get twice the load of others.
func (roster *Roster) usualHomes(homes int) int {
	return min(homes, 1+(homeCoverage*homes-1)/max(1, roster.fleetSize))
}

// cheapestHome returns the home with the least cost; of several, each in turn.
func (roster *Roster) cheapestHome(homes []*Target, criteria Criteria, now time.Time) (*Target, int) {
	var best *Target
	least := math.MaxInt
	for i := range homes {
		home := homes[(int(roster.roundRobin%uint64(len(homes)))+i)%len(homes)]
		if cost := roster.cost(home, criteria, home, now); cost < least {
			best, least = home, cost
		}
	}
	return best, least
}
