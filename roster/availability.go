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
	// Resting: the target turned a request away and wants nothing for a time.
	Resting
	// Returning: the rest is over, and the first request after it is not answered yet
	// or is reserved.
	Returning
)

// String returns the availability's name for logs and metrics.
func (availability Availability) String() string {
	return [...]string{"available", "leaving", "resting", "returning"}[availability]
}

// Source is how this VM learned of a change.
type Source string

// The sources.
const (
	SourceAnswer       Source = "answer"
	SourceRegistration Source = "registration"
	SourcePeer         Source = "peer"
	// SourceAddress means that another target answered at the target's address.
	SourceAddress Source = "address"
)

// Change is a change of a target's availability.
type Change struct {
	Target  string
	Service string
	To      Availability
	Source  Source
	// Until is the end of a rest; zero otherwise.
	Until time.Time
}

// Announcement is what the head of an answer says about further requests.
type Announcement struct {
	Leaving bool
	// RestUntil is the end of the rest that the target asks for; zero for none.
	RestUntil time.Time
	// Rejected is set if the target did not run the request.
	Rejected bool
}

// availability decides whether the target may get anything from this VM now. Every
// way to a target asks it.
func (target *Target) availability(now time.Time) Availability {
	if target.entry.Draining {
		return Leaving
	}
	return target.rest.availability(now)
}

// observe records what an answer of the target announces; trial is set if it is that
// of the first request after a rest. The second result reports whether the
// availability changed. The caller holds mu.
func (roster *Roster) observe(target *Target, announcement Announcement, trial bool, now time.Time) (Change, bool) {
	rest, changed := target.observeRest(announcement, trial, now)
	if announcement.Leaving {
		return roster.markLeaving(target, SourceAnswer, now)
	}
	return rest, changed
}

// Observe records what the answer announces. The second result reports whether the
// target's availability changed.
func (assignment *Assignment) Observe(announcement Announcement, now time.Time) (Change, bool) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	return assignment.roster.observe(assignment.target, announcement, assignment.trial, now)
}

// Contact is a call to a target that is not a caller's request: a report or an order.
// It needs no slot there, so it is not the first request after a rest.
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

// Reached reports whether this VM connects to the target directly.
func (contact *Contact) Reached() bool {
	contact.roster.mu.Lock()
	defer contact.roster.mu.Unlock()
	return !contact.target.unreachable
}

// Observe records what the answer announces. The second result reports whether the
// target's availability changed.
func (contact *Contact) Observe(announcement Announcement, now time.Time) (Change, bool) {
	contact.roster.mu.Lock()
	defer contact.roster.mu.Unlock()
	return contact.roster.observe(contact.target, announcement, false, now)
}
