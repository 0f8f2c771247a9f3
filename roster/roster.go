// Package roster tracks the targets that are registered with the platform and
// chooses the target for each request.
//
// Registrations expire while the platform is unreachable although their targets
// still run: such a target stays in use for a grace period after the platform
// recovers. A target that reports that it is draining, or whose registration was
// removed, gets no new requests. The outcomes of requests and the answers of
// targets correct what the registrations state.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	roster := roster.New("zone-a")
//	roster.Replace(entries, now)
//	assignment, ok := roster.Choose(roster.Criteria{Service: "notes"}, now)
//	...
//	assignment.End()
package roster

import (
	"iter"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// reregisterGrace is how long after the platform's recovery a target may
	// register again before its expired registration is dropped; the users require
	// about 2 s.
	reregisterGrace = 2 * time.Second
	// minOutage is the shortest outage of the platform after which removed
	// registrations are treated as expired: targets register again within three
	// heartbeats.
	minOutage = 1500 * time.Millisecond
)

// Model is a model that a target serves.
type Model struct {
	Name string
	// Weights is the version of the weights that the target has loaded.
	Weights uint64
}

// Entry is a target's registration.
type Entry struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Models  []Model
	// Software is the version of the target's software. Empty text is a version too.
	Software string
	// Draining targets finish their running requests and then leave. In Entries it is
	// also set for targets that said so in an answer or to another VM.
	Draining bool
	// StartTime distinguishes processes that used the same ID.
	StartTime int64
	// Revision is the store's revision of the registration; 0 if unknown.
	Revision uint64
	// Running is the number of requests at the target. Unreachable is set for
	// targets that accept no connections, Ejected for those that fail too many
	// requests, Resting for those that rest or return from a rest, Limited for those
	// that name a limit, Brittle for those that say so, all as observed by this VM or others. Only Entries sets these fields.
	Running     int
	Unreachable bool
	Ejected     bool
	Resting     bool
	Limited     bool
	Brittle     bool
}

// Roster holds the targets known to one VM. It is safe for concurrent use.
type Roster struct {
	zone string

	mu       sync.Mutex // guards the fields below and all targets
	targets  map[string]*Target
	services map[string][]*Target
	byHash   map[uint32]*Target // registered targets by targetHash
	// platformDown is set while the platform does not answer. platformDownSince is when
	// it last did; zero if it has not answered this VM yet.
	platformDown      bool
	platformDownSince time.Time
	// reregisterUntil is the time before which a removed registration is treated as
	// expired rather than removed.
	reregisterUntil time.Time
	roundRobin      uint64
	// versions holds the software versions of each service that are or were listed.
	versions map[string]softwareVersions
	// logged holds the software versions of each service that the log in the store has.
	logged map[string][]string
	// listedSince is the time since which every change of the complete list is known;
	// zero before the first list.
	listedSince time.Time
	// leaving holds the newest start of each target that is known to leave.
	leaving map[string]leavingStart
	// lost is, by service, the number of targets that became unreachable since one was
	// last reached.
	lost map[string]int
	// admissions holds the services with brittle targets. serviceTimes is the mean time
	// to answer a request, by service.
	admissions   map[string]*admission
	serviceTimes map[string]time.Duration
	fleetSize    int
	// memoryPressure is set when targets crash if they are over their memory.
	// reportWorkTime holds the services of which a target reported how long work takes.
	memoryPressure bool
	reportWorkTime map[string]bool
	// preferred holds the services of which this VM prefers some targets.
	preferred map[string]*preferred
	// prefixLoads holds this VM's loads, prefixIndex their indexes by prefix, and peerLoads
	// the loads of other VMs by VM.
	prefixLoads []prefixLoad
	prefixIndex map[uint64]int
	peerLoads   map[string]peerLoads
	// reporters holds the other VMs that have backlogs, by name. freeIndexes are the
	// indexes of those that had some. Backlogs are measured in time since epoch.
	reporters   map[string]*reporter
	freeIndexes []int
	epoch       time.Time
	// processSeed differs between VMs, which use different homes of a prefix.
	processSeed uint64
	homeBuffer  [maxHomes + 1]*Target // used by homes, so that it allocates nothing
	// releases restricts the software versions that requests go to; nil if nothing does.
	// ordersRead is the store's revision up to which the orders for releases are known.
	releases   Releases
	ordersRead uint64
	// random spreads requests over brittle targets.
	random    *rand.Rand
	dueProbes chan struct{} // see DueProbes
}

// New returns an empty roster for a VM in the zone.
func New(zone string) *Roster {
	return &Roster{
		zone: zone, targets: map[string]*Target{}, services: map[string][]*Target{},
		versions: map[string]softwareVersions{}, logged: map[string][]string{}, leaving: map[string]leavingStart{}, lost: map[string]int{},
		admissions: map[string]*admission{}, serviceTimes: map[string]time.Duration{}, reportWorkTime: map[string]bool{}, preferred: map[string]*preferred{},
		prefixIndex: map[uint64]int{}, reporters: map[string]*reporter{}, peerLoads: map[string]peerLoads{}, processSeed: rand.Uint64(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), dueProbes: make(chan struct{}, 1),
	}
}

// SetSeed makes the order of equal targets the same in each run of a simulation. It is
// called before the first registration.
func (roster *Roster) SetSeed(seed uint64) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.random = rand.New(rand.NewPCG(seed, 0))
}

// PlatformDown records that the platform does not answer; since is when it last did. It
// is zero if it has not answered this VM yet, so that the outage may be of any length.
func (roster *Roster) PlatformDown(since time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if !roster.platformDown {
		roster.platformDown, roster.platformDownSince = true, since
	}
}

// PlatformUp records that the platform answers.
func (roster *Roster) PlatformUp(now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if roster.platformDown && !roster.listedSince.IsZero() {
		roster.listedSince = now // changes may have been missed
	}
	if roster.platformDown && now.Sub(roster.platformDownSince) > minOutage {
		roster.reregisterUntil = now.Add(reregisterGrace)
	}
	roster.platformDown = false
}

// Replace replaces all registrations with the complete list.
func (roster *Roster) Replace(entries []Entry, now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		roster.put(entry, now)
	}
	for id, target := range roster.targets {
		if !listed[id] {
			roster.remove(target, now)
		}
	}
	roster.index()
	roster.recordVersions(now)
	roster.listedSince = now
}

// Put adds or updates one registration. The second result reports whether the
// target's availability changed.
func (roster *Roster) Put(entry Entry, now time.Time) (Change, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	change, changed := roster.put(entry, now)
	roster.index()
	roster.recordVersions(now)
	return change, changed
}

// Remove records that a registration was removed.
func (roster *Roster) Remove(id string, now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if target, ok := roster.targets[id]; ok {
		roster.remove(target, now)
	}
	roster.index()
	roster.recordVersions(now)
}

// put adds or updates a target. The caller holds mu.
func (roster *Roster) put(entry Entry, now time.Time) (Change, bool) {
	draining := entry.Draining
	entry.Draining = roster.leaves(entry)
	known, ok := roster.targets[entry.ID]
	if !ok || known.entry.StartTime != entry.StartTime || known.entry.Software != entry.Software || known.entry.Address != entry.Address {
		known = newTarget(roster, entry)
		roster.targets[entry.ID] = known
	}
	known.removed, known.dropAt = false, time.Time{}
	known.update(entry, now)
	if draining {
		return roster.markLeaving(known, SourceRegistration, now)
	}
	return Change{}, false
}

// remove marks a target as removed or, within the grace period after an outage,
// as expired. The caller holds mu.
func (roster *Roster) remove(target *Target, now time.Time) {
	if now.Before(roster.reregisterUntil) && !target.entry.Draining {
		target.dropAt = roster.reregisterUntil
		return
	}
	target.removed = true
	if target.unused(now) {
		delete(roster.targets, target.entry.ID)
	}
}

// unused reports whether a removed target may be forgotten. The rest or the limit of a
// target that registers again is not over because of that, nor is it less brittle.
func (target *Target) unused(now time.Time) bool {
	limited := target.limit.value > 0 && now.Sub(target.limit.learned) < limitRetention
	brittle := target.brittle.value > 0 && now.Sub(target.brittle.learned) < limitRetention
	return target.inFlight == 0 && target.rest.availability(now) != Resting && !limited && !brittle
}

// Sweep drops expired registrations whose targets did not register again, and
// removed targets that have no requests in flight.
func (roster *Roster) Sweep(now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.forgetLeaving(now)
	changed := false
	for id, target := range roster.targets {
		if !target.dropAt.IsZero() && !now.Before(target.dropAt) {
			target.removed, target.dropAt, changed = true, time.Time{}, true
		}
		if target.removed && target.unused(now) {
			delete(roster.targets, id)
			changed = true
		}
	}
	if changed {
		roster.index()
		roster.recordVersions(now)
	}
}

// index rebuilds the lists of targets by service. The caller holds mu.
func (roster *Roster) index() {
	roster.services, roster.byHash = map[string][]*Target{}, map[uint32]*Target{}
	ids := slices.Sorted(maps.Keys(roster.targets))
	// VMs must not prefer the same targets among equals.
	roster.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		if target := roster.targets[id]; !target.removed {
			name := target.entry.Service
			roster.services[name] = append(roster.services[name], target)
			roster.byHash[uint32(target.seed)] = target
		}
	}
	for _, preferred := range roster.preferred {
		preferred.resolve(roster.targets)
	}
}

// Size returns the number of registered targets.
func (roster *Roster) Size() int {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	count := 0
	for _, target := range roster.targets {
		if !target.removed {
			count++
		}
	}
	return count
}

// All iterates over the registrations in use, with the newest weights versions known to
// this VM. The loop holds the lock of the roster: it must not use the roster, nor wait for
// what may use it. It must not keep the models of an entry.
func (roster *Roster) All(now time.Time) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		roster.mu.Lock()
		defer roster.mu.Unlock()
		for _, target := range roster.targets {
			if !target.removed && !yield(target.current(now)) {
				return
			}
		}
	}
}

// current returns the registration with what this VM knows of the target.
func (target *Target) current(now time.Time) Entry {
	entry := target.entry
	entry.Running, entry.Unreachable, entry.Ejected = target.requestCount(now), target.unreachable, target.ejected()
	availability := target.availability(now)
	entry.Limited, entry.Brittle = target.limit.value > 0, target.brittle.value > 0
	entry.Resting = availability == Resting || availability == Returning
	return entry
}

// Entries returns a copy of the registrations in use; see All.
func (roster *Roster) Entries() []Entry {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	entries := make([]Entry, 0, len(roster.targets))
	now := time.Now()
	for _, target := range roster.targets {
		if !target.removed {
			entry := target.current(now)
			entry.Models = append([]Model(nil), entry.Models...)
			entries = append(entries, entry)
		}
	}
	return entries
}

// RaiseWeights records the version of the weights that a target has loaded. A version
// older than the known one is ignored because reports may arrive out of order.
func (roster *Roster) RaiseWeights(id, model string, weights uint64) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if target, ok := roster.targets[id]; ok {
		target.raiseWeights(model, weights)
	}
}

// BeginRollout records that a target is loading weights: it gets no new requests until
// it is known to have them or until the deadline.
func (roster *Roster) BeginRollout(id, model string, weights uint64, until time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if target, ok := roster.targets[id]; ok {
		target.rollout = rollout{model: model, weights: weights, deadline: until}
	}
}

// seed returns the target's seed for rendezvous hashing.
func seed(id string) uint64 {
	return prefix.Mix(prefix.Digest(id))
}
