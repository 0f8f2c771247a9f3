package roster

import "time"

// leavingRetention is how long the leaving of a start is remembered after it was
// learned. It exceeds by far the time for which a target that leaves continues, and
// the age of a registration that arrives late.
const leavingRetention = 10 * time.Minute

// leavingStart is the start of a target that leaves.
type leavingStart struct {
	startTime int64
	learned   time.Time
}

// markLeaving records that the target's start leaves. The second result is false if
// that was known. The caller holds mu.
func (roster *Roster) markLeaving(target *Target, source Source, now time.Time) (Change, bool) {
	roster.rememberLeaving(target.entry.ID, target.entry.StartTime, now)
	if target.entry.Draining {
		return Change{}, false
	}
	target.entry.Draining = true
	return Change{Target: target.entry.ID, Service: target.entry.Service, To: Leaving, Source: source}, true
}

// MarkLeaving records the word of another VM that a start of a target leaves. It also
// holds for a registration of that start that arrives later. The second result is
// false if the target's availability did not change.
func (roster *Roster) MarkLeaving(id string, startTime int64, now time.Time) (Change, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if ok && target.entry.StartTime == startTime {
		return roster.markLeaving(target, SourcePeer, now)
	}
	if !ok || startTime > target.entry.StartTime {
		roster.rememberLeaving(id, startTime, now)
	}
	return Change{}, false
}

// rememberLeaving remembers the newest start that leaves. A registration without a
// start time cannot be told from the next one, so its leaving is not remembered
// beyond the registration. The caller holds mu.
func (roster *Roster) rememberLeaving(id string, startTime int64, now time.Time) {
	if known, ok := roster.leaving[id]; startTime == 0 || ok && known.startTime >= startTime {
		return
	}
	roster.leaving[id] = leavingStart{startTime: startTime, learned: now}
}

// leaves reports whether the entry belongs to a start that is known to leave, or to an
// earlier one. The caller holds mu.
func (roster *Roster) leaves(entry Entry) bool {
	known, ok := roster.leaving[entry.ID]
	return ok && entry.StartTime <= known.startTime
}

// forgetLeaving drops what was learned long ago. The caller holds mu.
func (roster *Roster) forgetLeaving(now time.Time) {
	for id, known := range roster.leaving {
		if _, listed := roster.targets[id]; !listed && now.Sub(known.learned) > leavingRetention {
			delete(roster.leaving, id)
		}
	}
}

// Departure is a start of a target that leaves, to be sent to other VMs.
type Departure struct {
	Target    string
	StartTime int64
}

// Departures returns the starts whose leaving this VM learned of after the given time.
func (roster *Roster) Departures(after time.Time) []Departure {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var departures []Departure
	for id, known := range roster.leaving {
		if known.learned.After(after) {
			departures = append(departures, Departure{Target: id, StartTime: known.startTime})
		}
	}
	return departures
}
