package roster

import "time"

const (
	// trialAnswerTime is how long the first request after a rest may take until
	// another one may follow. A target that answers late stays in use, with about one
	// request a second.
	trialAnswerTime = time.Second
	// minLoggedExtension is the extension of a rest from which it is reported again:
	// requests that were in flight together are turned away one after another.
	minLoggedExtension = time.Second
)

// rest is the time in which a target wants nothing from this VM.
type rest struct {
	// until is the end of the rest. It stays set until the first request after it is
	// answered; zero if there is no rest.
	until time.Time
	// reported is the end that was last reported as a change.
	reported time.Time
	// trialUntil is the time until which no other request follows the first one after
	// the rest.
	trialUntil time.Time
	// reservation is held by the request that waits for the end.
	reservation *Reservation
}

// extend sets the end of the rest unless a later one is known. It reports whether the
// extension is to be reported.
func (rest *rest) extend(until, now time.Time) bool {
	if !until.After(rest.until) {
		return false
	}
	known := now.Before(rest.until) && until.Sub(rest.reported) < minLoggedExtension
	rest.until, rest.trialUntil = until, time.Time{}
	if !known {
		rest.reported = until
	}
	return !known
}

// availability returns whether the rest allows anything to be sent.
func (rest *rest) availability(now time.Time) Availability {
	switch {
	case rest.until.IsZero():
		return Available
	case now.Before(rest.until):
		return Resting
	case now.Before(rest.trialUntil) || rest.reservation != nil:
		return Returning
	}
	return Available // for the first request after the rest
}

// beginTrial records that a request or a contact begins. It reports whether that is
// the first one after a rest.
func (rest *rest) beginTrial(now time.Time) bool {
	if rest.until.IsZero() {
		return false
	}
	rest.trialUntil = now.Add(trialAnswerTime)
	return true
}

// endTrial records that the first request after a rest ended. If it was not answered,
// another one takes its place.
func (rest *rest) endTrial() {
	rest.trialUntil = time.Time{}
}

// observeRest records what an answer says about a rest. trial is set if the answer is
// that of the first request after a rest. The caller holds mu.
func (target *Target) observeRest(announcement Announcement, trial bool, now time.Time) (Change, bool) {
	change := Change{Target: target.entry.ID, Service: target.entry.Service, Source: SourceAnswer}
	if announcement.RestUntil.After(now) {
		change.To, change.Until = Resting, announcement.RestUntil
		return change, target.rest.extend(announcement.RestUntil, now)
	}
	if !trial || announcement.Rejected || now.Before(target.rest.until) || target.rest.until.IsZero() {
		return Change{}, false
	}
	target.rest = rest{}
	change.To = Available
	return change, true
}

// RestEnd reports whether all targets of the service rest or leave, and the earliest
// end of a rest; zero if all leave. Without targets it returns false.
func (roster *Roster) RestEnd(service string, now time.Time) (end time.Time, withheld bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for _, target := range roster.services[service] {
		switch target.availability(now) {
		case Leaving:
		case Resting:
			if until := target.rest.until; end.IsZero() || until.Before(end) {
				end = until
			}
		default:
			return time.Time{}, false
		}
		withheld = true
	}
	return end, withheld
}

// Reservation reserves the first request after a target's rest.
type Reservation struct {
	// Until is the end of the rest when the reservation was made.
	Until time.Time

	roster *Roster
	target *Target
}

// Reserve reserves the first request after the rest that ends first, among the
// targets that the request may use and whose rests end by latest. It returns false if
// there is none. The reservation is used up by Choose once the rest is over, and must
// be released otherwise.
func (roster *Roster) Reserve(criteria Criteria, latest, now time.Time) (*Reservation, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var first *Target
	for _, target := range roster.services[criteria.Service] {
		if target.availability(now) != Resting || target.rest.reservation != nil || target.rest.until.After(latest) {
			continue
		}
		if !target.reachable() || target.awaitsWeights(now) || !target.hasRequiredWeights(criteria, 0) {
			continue
		}
		if first == nil || target.rest.until.Before(first.rest.until) {
			first = target
		}
	}
	if first == nil {
		return nil, false
	}
	first.rest.reservation = &Reservation{Until: first.rest.until, roster: roster, target: first}
	return first.rest.reservation, true
}

// Release gives up the reservation. It may be called more than once.
func (reservation *Reservation) Release() {
	reservation.roster.mu.Lock()
	defer reservation.roster.mu.Unlock()
	reservation.release()
}

func (reservation *Reservation) release() {
	if reservation.target.rest.reservation == reservation {
		reservation.target.rest.reservation = nil
	}
}
