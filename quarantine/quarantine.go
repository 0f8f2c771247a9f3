// Package quarantine blocks requests that crash targets.
//
// When a target dies, each request that was in flight there is marked suspect. A
// suspect that is in flight at a second death is blocked on all VMs for a limited
// time. To avoid blocking other requests that merely ran on the same target, a
// suspect is retried only on a target where no other suspect runs: on one that is
// assigned to this VM, as long as there is such a target. The retry is delayed
// because a fault that stops several targets together would otherwise also stop the target
// of the retry while the suspect runs there. The design and its alternatives are described
// in docs/design/quarantine.md.
//
// # Usage
//
//	tracker := quarantine.NewTracker()
//	digest := quarantine.DigestOf(account, body)
//	switch tracker.State(digest, now) {
//	case quarantine.Blocked: // refuse
//	case quarantine.Suspect: // send to a target that no other suspect uses
//	}
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// suspectTime is how long a request stays suspect after a death.
	suspectTime = 10 * time.Minute
	// BlockTime is how long a request stays blocked after its last counted death, and a
	// part of prompts after it was blocked.
	BlockTime = time.Hour
	// blockingDeaths is the number of deaths from which a request is blocked.
	blockingDeaths = 2
	// retryDelay is how long a suspect waits after a death before it is retried. It
	// equals the time that VMs wait for each other's notices and is longer than a fault
	// takes to stop several targets together. If it were shorter, the death of the second
	// target would count against the suspect.
	retryDelay = 300 * time.Millisecond
	// maxEntries is the maximum number of entries; the one that expires first is evicted.
	maxEntries = 10000
)

// Digest identifies a request by a hash of its account and body.
type Digest string

// DigestOf returns the digest of a request.
func DigestOf(account string, body []byte) Digest {
	sum := sha256.New()
	sum.Write([]byte(account))
	sum.Write([]byte{0})
	sum.Write(body)
	return Digest(hex.EncodeToString(sum.Sum(nil)[:16]))
}

// State is the quarantine state of a request.
type State int

// The states.
const (
	Clear   State = iota // no entry, or an expired one
	Suspect              // at least one death, but fewer than blockingDeaths
	Blocked              // at least blockingDeaths
)

// entry records the deaths counted against one request.
type entry struct {
	deaths    int
	lastDeath time.Time // when the last death was counted
	expires   time.Time
	// counted are the deaths that were counted, so that a notice that arrives twice
	// counts once.
	counted map[string]bool
}

// Tracker records suspect and blocked requests as known to this VM. It is safe for
// concurrent use.
type Tracker struct {
	mu      sync.Mutex // guards entries and reserved
	entries map[Digest]*entry
	// reserved maps a target to the suspect that runs there.
	reserved map[string]Digest
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{entries: map[Digest]*entry{}, reserved: map[string]Digest{}}
}

// State returns the state of a request.
func (tracker *Tracker) State(digest Digest, now time.Time) State {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	entry, ok := tracker.entries[digest]
	if !ok || !now.Before(entry.expires) {
		return Clear
	}
	if entry.deaths >= blockingDeaths {
		return Blocked
	}
	return Suspect
}

// RecordDeath counts a target's death against a request. death identifies the target's death;
// each is counted once. RecordDeath returns the request's state and whether the death was
// counted.
func (tracker *Tracker) RecordDeath(digest Digest, death string, now time.Time) (State, bool) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	current, ok := tracker.entries[digest]
	if !ok || !now.Before(current.expires) {
		tracker.evict(now)
		current = &entry{counted: map[string]bool{}}
		tracker.entries[digest] = current
	}
	if current.counted[death] {
		return stateAfter(current.deaths), false
	}
	current.counted[death] = true
	current.deaths++
	current.lastDeath = now
	current.expires = now.Add(suspectTime)
	if current.deaths >= blockingDeaths {
		current.expires = now.Add(BlockTime)
	}
	return stateAfter(current.deaths), true
}

// stateAfter returns the state of a request after one or more deaths.
func stateAfter(deaths int) State {
	if deaths >= blockingDeaths {
		return Blocked
	}
	return Suspect
}

// Expiry returns when the entry of a request expires; zero when there is none.
func (tracker *Tracker) Expiry(digest Digest) time.Time {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if entry, ok := tracker.entries[digest]; ok {
		return entry.expires
	}
	return time.Time{}
}

// EarliestRetry returns the time before which a request must not be retried; zero when no
// death is counted against it.
func (tracker *Tracker) EarliestRetry(digest Digest) time.Time {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if entry, ok := tracker.entries[digest]; ok {
		return entry.lastDeath.Add(retryDelay)
	}
	return time.Time{}
}

// ClearSuspect deletes the entry of a suspect that a target answered, because the answer shows
// that the request does not crash targets. The entry of a blocked request stays.
func (tracker *Tracker) ClearSuspect(digest Digest) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if entry, ok := tracker.entries[digest]; ok && entry.deaths < blockingDeaths {
		delete(tracker.entries, digest)
	}
}

// ReserveTarget reserves a target for one suspect. It returns false when the target is
// already reserved.
func (tracker *Tracker) ReserveTarget(target string, digest Digest) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if _, ok := tracker.reserved[target]; ok {
		return false
	}
	tracker.reserved[target] = digest
	return true
}

// ReleaseTarget releases a reserved target.
func (tracker *Tracker) ReleaseTarget(target string) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	delete(tracker.reserved, target)
}

// evict makes room for one entry when there are maxEntries: it deletes all expired
// entries or, when there are none, the one that expires first. The caller holds mu.
func (tracker *Tracker) evict(now time.Time) {
	if len(tracker.entries) < maxEntries {
		return
	}
	var victim Digest
	var earliest time.Time
	for digest, entry := range tracker.entries {
		if !now.Before(entry.expires) {
			delete(tracker.entries, digest)
			continue
		}
		if earliest.IsZero() || entry.expires.Before(earliest) {
			victim, earliest = digest, entry.expires
		}
	}
	if len(tracker.entries) >= maxEntries {
		delete(tracker.entries, victim)
	}
}
