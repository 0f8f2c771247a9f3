// Package roster knows the targets that registered themselves with the
// platform, and which of them a request should go to.
//
// Registrations lapse while the platform is away although their targets live:
// such a target stays in use until a while after the platform's return. A
// target that reported that it leaves, or whose registration was removed, gets
// no new work. Outcomes of requests and answers of targets correct what the
// registrations say.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	roster := roster.New("zone-a")
//	roster.Replace(entries, now)
//	seat, ok := roster.Choose(roster.Ask{Service: "notes"}, now)
//	...
//	seat.End(now)
package roster

import (
	"net/netip"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// returnTime is how long after the platform's return a lapsed registration
	// may still come back; the users' requirement is about 2 s.
	returnTime = 2 * time.Second
	// outageTime is the platform's silence from which on removed registrations
	// count as lapsed: targets register again within three heartbeats.
	outageTime = 1500 * time.Millisecond
)

// Model is a model that a target serves.
type Model struct {
	Name string
	// Weights is the version of the weights that the target has.
	Weights uint64
}

// Entry is a target's registration.
type Entry struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Models  []Model
	// Draining targets finish what they run and then leave.
	Draining bool
	// Born tells apart the processes that had the same ID.
	Born int64
	// Running is the number of requests there; Unreachable is set for targets that
	// accept no connections, and Ejected for those that fail too many requests, as
	// far as this VM knows. Entries sets them.
	Running     int
	Unreachable bool
	Ejected     bool
}

// Roster is the targets as one VM knows them. It is safe for concurrent use.
type Roster struct {
	zone string

	mu       sync.Mutex // guards the fields below and all targets
	targets  map[string]*Target
	services map[string][]*Target
	// platformLost is when the platform was last heard before an outage;
	// zero while it answers.
	platformLost time.Time
	// lapsesUntil is until when removed registrations may come back.
	lapsesUntil time.Time
	turn        uint64
}

// New returns an empty roster for a VM in the zone.
func New(zone string) *Roster {
	return &Roster{zone: zone, targets: map[string]*Target{}, services: map[string][]*Target{}}
}

// PlatformLost notes that the platform does not answer; since is when it did.
func (roster *Roster) PlatformLost(since time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if roster.platformLost.IsZero() {
		roster.platformLost = since
	}
}

// PlatformFound notes that the platform answers.
func (roster *Roster) PlatformFound(now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if !roster.platformLost.IsZero() && now.Sub(roster.platformLost) > outageTime {
		roster.lapsesUntil = now.Add(returnTime)
	}
	roster.platformLost = time.Time{}
}

// Replace takes the complete list of registrations.
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
}

// Put takes one registration.
func (roster *Roster) Put(entry Entry, now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.put(entry, now)
	roster.index()
}

// Remove notes that a registration was removed.
func (roster *Roster) Remove(id string, now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if target, ok := roster.targets[id]; ok {
		roster.remove(target, now)
	}
	roster.index()
}

// put adds or changes a target. The caller holds mu.
func (roster *Roster) put(entry Entry, now time.Time) {
	known, ok := roster.targets[entry.ID]
	if !ok || known.entry.Born != entry.Born || known.entry.Address != entry.Address {
		known = newTarget(entry)
		roster.targets[entry.ID] = known
	}
	known.removed, known.lapsed = false, time.Time{}
	known.take(entry, now)
}

// remove marks a target as gone, or as lapsed for a while. The caller holds mu.
func (roster *Roster) remove(target *Target, now time.Time) {
	if now.Before(roster.lapsesUntil) && !target.entry.Draining {
		target.lapsed = roster.lapsesUntil
		return
	}
	target.removed = true
	if target.inFlight == 0 {
		delete(roster.targets, target.entry.ID)
	}
}

// Sweep drops the registrations that lapsed and did not come back, and targets
// that are gone and idle.
func (roster *Roster) Sweep(now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	changed := false
	for id, target := range roster.targets {
		if !target.lapsed.IsZero() && !now.Before(target.lapsed) {
			target.removed, target.lapsed, changed = true, time.Time{}, true
		}
		if target.removed && target.inFlight == 0 {
			delete(roster.targets, id)
			changed = true
		}
	}
	if changed {
		roster.index()
	}
}

// index rebuilds the lists by service. The caller holds mu.
func (roster *Roster) index() {
	roster.services = map[string][]*Target{}
	for _, target := range roster.targets {
		if !target.removed {
			name := target.entry.Service
			roster.services[name] = append(roster.services[name], target)
		}
	}
}

// Size returns the number of targets that are registered.
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

// Entries returns the registrations in use, with the weights versions that are
// known by now.
func (roster *Roster) Entries() []Entry {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	entries := make([]Entry, 0, len(roster.targets))
	for _, target := range roster.targets {
		if !target.removed {
			entry := target.entry
			entry.Models = append([]Model(nil), entry.Models...)
			entry.Running, entry.Unreachable, entry.Ejected = target.busy(time.Now()), target.unreachable, target.suspect()
			entries = append(entries, entry)
		}
	}
	return entries
}

// Weights notes the version of the weights that a target has. An older one than
// known is ignored: news may overtake each other.
func (roster *Roster) Weights(id, model string, weights uint64) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if target, ok := roster.targets[id]; ok {
		target.learn(model, weights)
	}
}

// Rolling notes that a target is being given weights: it gets no new work until
// it is known to have them, or the deadline.
func (roster *Roster) Rolling(id, model string, weights uint64, until time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if target, ok := roster.targets[id]; ok {
		target.rolling = rolling{model: model, weights: weights, until: until}
	}
}

// seed returns the number by which a target takes part in rendezvous hashing.
func seed(id string) uint64 {
	return prefix.Mix(prefix.Digest(id))
}
