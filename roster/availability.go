package roster

import (
	"net/netip"
	"time"
)

// Availability is whether a target may get anything from this VM: requests, reports,
// orders, status checks and transfers of cached blocks. Only Available targets may.
// What already runs at a target continues in any case.
type Availability int

// The availabilities.
const (
	Available Availability = iota
	// Leaving: this start of the target leaves. A later start is another target.
	Leaving
)

// String returns the availability's name for logs and metrics.
func (availability Availability) String() string {
	return [...]string{"available", "leaving"}[availability]
}

// Source is how this VM learned of a change.
type Source string

// The sources.
const (
	SourceAnswer       Source = "answer"
	SourceRegistration Source = "registration"
	SourcePeer         Source = "peer"
)

// Change is a change of a target's availability.
type Change struct {
	Target  string
	Service string
	To      Availability
	Source  Source
}

// Announcement is what the head of an answer says about further requests.
type Announcement struct {
	Leaving bool
}

// availability decides whether the target may get anything from this VM now. Every
// way to a target asks it.
func (target *Target) availability(time.Time) Availability {
	if target.entry.Draining {
		return Leaving
	}
	return Available
}

// observe records what an answer of the target announces. The second result reports
// whether the availability changed. The caller holds mu.
func (roster *Roster) observe(target *Target, announcement Announcement, now time.Time) (Change, bool) {
	if announcement.Leaving {
		return roster.markLeaving(target, SourceAnswer, now)
	}
	return Change{}, false
}

// Observe records what the answer announces. The second result reports whether the
// target's availability changed.
func (assignment *Assignment) Observe(announcement Announcement, now time.Time) (Change, bool) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	return assignment.roster.observe(assignment.target, announcement, now)
}

// Contact is a call to a target that is not a caller's request: a report or an order.
type Contact struct {
	Address netip.AddrPort

	roster *Roster
	target *Target
}

// Contact returns a contact with a registered target. It returns false if the target
// may get nothing now.
func (roster *Roster) Contact(id string, now time.Time) (*Contact, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok || target.removed || target.availability(now) != Available {
		return nil, false
	}
	return &Contact{Address: target.entry.Address, roster: roster, target: target}, true
}

// Observe records what the answer announces. The second result reports whether the
// target's availability changed.
func (contact *Contact) Observe(announcement Announcement, now time.Time) (Change, bool) {
	contact.roster.mu.Lock()
	defer contact.roster.mu.Unlock()
	return contact.roster.observe(contact.target, announcement, now)
}
