package roster

import "time"

// limitEndDelay is how long after a target last named its limit an answer without one
// counts as its end: answers may overtake each other.
const limitEndDelay = 500 * time.Millisecond

// limit is the number of requests a second that a target takes from all VMs together.
type limit struct {
	rate float64 // 0 for none
	// learned is when the target last answered a request, naming a limit or none.
	learned time.Time
}

// LimitChange is a change of the limit that a target names.
type LimitChange struct {
	Target  string
	Service string
	Rate    float64 // requests a second; 0 for none
	Source  Source
}

// learn records what the target said at a time. It reports whether the limit changed.
func (limit *limit) learn(rate float64, at time.Time) bool {
	if !at.After(limit.learned) {
		return false
	}
	if rate == 0 && limit.rate > 0 && at.Sub(limit.learned) < limitEndDelay {
		return false
	}
	changed := rate != limit.rate
	limit.rate, limit.learned = rate, at
	return changed
}

// observeLimit records what an answer of the target says of its limit. The caller holds
// mu.
func (target *Target) observeLimit(rate float64, now time.Time) (LimitChange, bool) {
	change := LimitChange{Target: target.entry.ID, Service: target.entry.Service, Rate: rate, Source: SourceAnswer}
	return change, target.limit.learn(rate, now)
}

// ObserveLimit records the limit that an answer names, 0 for none. The second result
// reports whether the limit changed.
func (assignment *Assignment) ObserveLimit(rate float64, now time.Time) (LimitChange, bool) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	return assignment.target.observeLimit(rate, now)
}

// ObserveLimit is like that of Assignment. Reports and orders need no slot at the
// target, so an answer to one that names no limit does not end it.
func (contact *Contact) ObserveLimit(rate float64, now time.Time) (LimitChange, bool) {
	if rate == 0 {
		return LimitChange{}, false
	}
	contact.roster.mu.Lock()
	defer contact.roster.mu.Unlock()
	return contact.target.observeLimit(rate, now)
}
