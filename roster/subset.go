package roster

import (
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/subset"
)

// Where targets are adaptive, a VM prefers a subset of them, so that its connections are
// used again before they are too old; see the package subset.

// minSubsetInterval is the least time between two computations of the members of a service,
// which take 3 to 6 ms with 114 VMs and 600 targets, while many targets come and go.
const minSubsetInterval = time.Second

// preferred holds the targets of a service that this VM prefers.
type preferred struct {
	width subset.Width
	// basis is what the members were computed from, at computedAt; they are the IDs of
	// targets.
	basis      subsetBasis
	computedAt time.Time
	members    []string
	targets    []*Target // those of the members that are registered
}

// subsetBasis is what determines a subset.
type subsetBasis struct {
	self       string
	vms        []string // sorted
	targets    []string // IDs of the service's targets that stay, sorted
	base, size int      // base is the size without this VM's load
}

func (basis *subsetBasis) equal(other *subsetBasis) bool {
	return basis.self == other.self && basis.base == other.base && basis.size == other.size &&
		slices.Equal(basis.vms, other.vms) && slices.Equal(basis.targets, other.targets)
}

// Peers is what a VM knows of the fleet for the choice of subsets.
type Peers struct {
	Self string
	// Names are the VMs that agree on subsets by the same list of names.
	Names []string
	// FleetSize is the number of VMs that use the same targets.
	FleetSize int
}

// SubsetChange is a change of the targets of a service that this VM prefers.
type SubsetChange struct {
	Service string
	Members []string
	Came    int // members that were not members before
}

// UpdateSubsets adapts the targets that this VM prefers to the VMs and targets there are
// and to its load. It returns the changes. It is called by one goroutine.
func (roster *Roster) UpdateSubsets(peers Peers, now time.Time) []SubsetChange {
	var changes []SubsetChange
	peers.Names = slices.Sorted(slices.Values(peers.Names))
	for _, service := range roster.serviceNames() {
		if change, changed := roster.updateSubset(service, peers, now); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// Preferred returns the number of targets that this VM prefers.
func (roster *Roster) Preferred() int {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	count := 0
	for _, preferred := range roster.preferred {
		count += len(preferred.targets)
	}
	return count
}

// serviceNames returns the names of the services with registered targets or a subset.
func (roster *Roster) serviceNames() []string {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var names []string
	for name := range roster.services {
		names = append(names, name)
	}
	for name := range roster.preferred {
		if _, ok := roster.services[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// updateSubset computes the members without the lock: it takes milliseconds in the largest
// fleets. The names of the peers are sorted.
func (roster *Roster) updateSubset(service string, peers Peers, now time.Time) (SubsetChange, bool) {
	basis, due := roster.subsetDue(service, peers, now)
	if !due {
		return SubsetChange{}, false
	}
	members := subset.Widen(basis.self, subset.Members(basis.self, basis.vms, basis.targets, basis.base), basis.targets, basis.size)
	roster.mu.Lock()
	defer roster.mu.Unlock()
	known, ok := roster.preferred[service]
	if !ok {
		return SubsetChange{}, false
	}
	change := SubsetChange{Service: service, Members: members}
	for _, member := range members {
		if !slices.Contains(known.members, member) {
			change.Came++
		}
	}
	changed := change.Came > 0 || len(members) != len(known.members)
	known.basis, known.members, known.computedAt = basis, members, now
	known.resolve(roster.targets)
	return change, changed
}

// subsetDue returns what the members must be computed from, or false if they need not be.
func (roster *Roster) subsetDue(service string, peers Peers, now time.Time) (subsetBasis, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	staying, inFlight := 0, 0
	for _, target := range roster.services[service] {
		inFlight += target.inFlight
		if !target.entry.Draining {
			staying++
		}
	}
	base := subset.Size(peers.FleetSize, staying)
	// What a brittle target has to reject is estimated for VMs that use all targets.
	if !roster.adaptive(service) || roster.admissions[service] != nil || base >= staying {
		delete(roster.preferred, service)
		return subsetBasis{}, false
	}
	known, ok := roster.preferred[service]
	if !ok {
		known = &preferred{}
		roster.preferred[service] = known
	}
	basis := subsetBasis{self: peers.Self, vms: peers.Names, base: base, size: min(staying, known.width.Update(base, inFlight, now))}
	if basis.size == 0 || now.Sub(known.computedAt) < minSubsetInterval {
		return subsetBasis{}, false
	}
	for _, target := range roster.services[service] {
		if !target.entry.Draining {
			basis.targets = append(basis.targets, target.entry.ID)
		}
	}
	slices.Sort(basis.targets)
	return basis, !known.basis.equal(&basis)
}

// resolve finds the registered targets of the members.
func (preferred *preferred) resolve(targets map[string]*Target) {
	preferred.targets = nil
	for _, id := range preferred.members {
		if target, ok := targets[id]; ok && !target.removed {
			preferred.targets = append(preferred.targets, target)
		}
	}
}

// bestPreferred returns the target with the least cost among the home and the targets that
// this VM prefers, or nil if none of them can take the request in time. The home takes
// precedence if it costs less.
func (roster *Roster) bestPreferred(criteria Criteria, versions *versionFilter, home *Target, now time.Time) *Target {
	known, ok := roster.preferred[criteria.Service]
	if !ok || len(known.targets) == 0 || roster.recheckDue(criteria.Service, now) {
		return nil
	}
	roster.roundRobin++
	return roster.cheapest(known.targets, search{
		criteria: criteria, versions: versions, home: home, now: now, first: int(roster.roundRobin % uint64(len(known.targets))), count: len(known.targets), inTime: true,
	})
}

// outsideSubset reports whether this VM prefers other targets of the service.
func (roster *Roster) outsideSubset(target *Target) bool {
	known, ok := roster.preferred[target.entry.Service]
	return ok && !slices.Contains(known.targets, target)
}

// recheckDue reports whether this VM may ask a target of the service whether its limit
// still holds. The VMs with a share of a limit need not be those that prefer the target.
func (roster *Roster) recheckDue(service string, now time.Time) bool {
	for _, target := range roster.services[service] {
		if target.limit.recheckDue(now) && target.limit.allows(now) {
			return true
		}
	}
	return false
}

// takesInTime reports whether the target has a slot for the request and reaches it in
// time, as far as is known, with weights that are not being replaced.
func (target *Target) takesInTime(criteria Criteria, now time.Time) bool {
	if weights, ok := target.weights(criteria.Model); ok && weights < criteria.NewestWeights {
		return false
	}
	if target.load.Slots > 0 && target.requestCount(now) >= target.load.Slots {
		return false
	}
	return criteria.InTime == nil || criteria.InTime(target.wait(now))
}
