// Package quarantine stops requests that kill targets.
//
// When a target dies, each request that was in flight there becomes a suspect.
// A suspect that is in flight at a second death is barred everywhere for a
// while. So that innocent neighbours are not barred with it, a suspect is sent
// again only to a target where no other suspect runs, and each VM uses its own
// targets for that. It rests for a moment first: a fault that stops several
// targets together would otherwise stop the next one under it too.
// docs/design/quarantine.md tells what was weighed.
//
// # Usage
//
//	book := quarantine.NewBook()
//	digest := quarantine.Of(account, body)
//	switch book.Standing(digest, now) {
//	case quarantine.Barred: // refuse
//	case quarantine.Suspect: // send alone
//	}
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"
)

const (
	// suspectTime is how long a death is held against a request.
	suspectTime = 10 * time.Minute
	// barTime is how long a barred request is refused.
	barTime = time.Hour
	// deathsToBar is the number of deaths after which a request is refused.
	deathsToBar = 2
	// settleTime is how long a suspect rests after a death: as long as VMs wait
	// for each other's notices, and longer than a fault takes that stops several
	// targets together. Otherwise the second of them counts against it.
	settleTime = 300 * time.Millisecond
	// maxEntries bounds the book; the entry that lapses first is dropped.
	maxEntries = 10000
)

// Digest identifies a request by its account and body.
type Digest string

// Of returns the digest of a request.
func Of(account string, body []byte) Digest {
	sum := sha256.New()
	sum.Write([]byte(account))
	sum.Write([]byte{0})
	sum.Write(body)
	return Digest(hex.EncodeToString(sum.Sum(nil)[:16]))
}

// Standing is what is held against a request.
type Standing int

// The standings.
const (
	Clear Standing = iota
	Suspect
	Barred
)

type entry struct {
	deaths int
	last   time.Time // when the last death was counted
	until  time.Time
	// seen are the deaths that were counted, so that a notice that arrives
	// twice counts once.
	seen map[string]bool
}

// Book holds what this VM knows. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex // guards entries and alone
	entries map[Digest]*entry
	// alone maps a target to the suspect that runs there.
	alone map[string]Digest
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{entries: map[Digest]*entry{}, alone: map[string]Digest{}}
}

// Standing returns what is held against a request.
func (book *Book) Standing(digest Digest, now time.Time) Standing {
	book.mu.Lock()
	defer book.mu.Unlock()
	found, ok := book.entries[digest]
	if !ok || !now.Before(found.until) {
		return Clear
	}
	if found.deaths >= deathsToBar {
		return Barred
	}
	return Suspect
}

// Charge counts a death against a request; death names the target's death, so
// that each counts once. It returns the standing and whether it has changed.
func (book *Book) Charge(digest Digest, death string, now time.Time) (Standing, bool) {
	book.mu.Lock()
	defer book.mu.Unlock()
	found, ok := book.entries[digest]
	if !ok || !now.Before(found.until) {
		book.makeRoom(now)
		found = &entry{seen: map[string]bool{}}
		book.entries[digest] = found
	}
	if found.seen[death] {
		return standing(found.deaths), false
	}
	found.seen[death] = true
	found.deaths++
	found.last = now
	found.until = now.Add(suspectTime)
	if found.deaths >= deathsToBar {
		found.until = now.Add(barTime)
	}
	return standing(found.deaths), true
}

func standing(deaths int) Standing {
	if deaths >= deathsToBar {
		return Barred
	}
	return Suspect
}

// Until returns when the entry of a request lapses.
func (book *Book) Until(digest Digest) time.Time {
	book.mu.Lock()
	defer book.mu.Unlock()
	if found, ok := book.entries[digest]; ok {
		return found.until
	}
	return time.Time{}
}

// RestUntil returns the time before which a request should not be sent again;
// zero when nothing is held against it.
func (book *Book) RestUntil(digest Digest) time.Time {
	book.mu.Lock()
	defer book.mu.Unlock()
	if found, ok := book.entries[digest]; ok {
		return found.last.Add(settleTime)
	}
	return time.Time{}
}

// Clear forgets a request that a target answered: it does not kill.
func (book *Book) Clear(digest Digest) {
	book.mu.Lock()
	defer book.mu.Unlock()
	if found, ok := book.entries[digest]; ok && found.deaths < deathsToBar {
		delete(book.entries, digest)
	}
}

// Enter reserves a target for one suspect; false when another one runs there.
func (book *Book) Enter(target string, digest Digest) bool {
	book.mu.Lock()
	defer book.mu.Unlock()
	if _, ok := book.alone[target]; ok {
		return false
	}
	book.alone[target] = digest
	return true
}

// Exit frees a target that was reserved.
func (book *Book) Exit(target string) {
	book.mu.Lock()
	defer book.mu.Unlock()
	delete(book.alone, target)
}

// makeRoom keeps the book bounded. The caller holds mu.
func (book *Book) makeRoom(now time.Time) {
	if len(book.entries) < maxEntries {
		return
	}
	var oldest Digest
	var first time.Time
	for digest, entry := range book.entries {
		if !now.Before(entry.until) {
			delete(book.entries, digest)
			continue
		}
		if first.IsZero() || entry.until.Before(first) {
			oldest, first = digest, entry.until
		}
	}
	if len(book.entries) >= maxEntries {
		delete(book.entries, oldest)
	}
}
