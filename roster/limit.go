package roster

import (
	"math"
	"time"
)

const (
	// limitEndDelay is how long after a target last named its limit an answer without
	// one counts as its end: answers may overtake each other.
	limitEndDelay = 500 * time.Millisecond
	// limitRecheckTime is how long after its last answer a limited target is asked
	// again before others, because its limit may be over.
	limitRecheckTime = 2 * time.Second
	// limitRetention is how long the limit of a target is remembered whose registration
	// was removed.
	limitRetention = time.Minute
	// limitReportTime is how long the end of a limit is reported to other VMs.
	limitReportTime = 10 * time.Second
)

// limit is the number of requests a second that a target takes from all VMs together.
// Each VM may use a share of it, and send one request at once: fewer VMs have a share of
// a low limit, so that their first requests together do not exceed it.
type limit struct {
	announced // in requests a second
	// share is this VM's part of the rate. tokens, at most 1, is the number of requests
	// that it may send, as of countedAt.
	share     float64
	tokens    float64
	countedAt time.Time
}

// LimitChange is a change of the limit that a target names.
type LimitChange struct {
	Target  string
	Service string
	Rate    float64 // requests a second; 0 for none
	Source  Source
}

// announced is a number that a target names in its answers for as long as it holds.
type announced struct {
	value float64 // 0 for none
	// learned is when the target last answered a request, naming a number or none.
	learned time.Time
	// endedAt is when the target ceased to name a number; zero if it never named one.
	endedAt time.Time
}

// learn records what the target said at a time. It reports whether the number changed.
func (announced *announced) learn(value float64, at time.Time) bool {
	if !at.After(announced.learned) {
		return false
	}
	if value == 0 && announced.value > 0 && at.Sub(announced.learned) < limitEndDelay {
		return false
	}
	changed := value != announced.value
	if changed && value == 0 {
		announced.endedAt = at
	}
	announced.value, announced.learned = value, at
	return changed
}

// reported reports whether other VMs are told of the number.
func (announced *announced) reported(now time.Time) bool {
	return announced.value > 0 || now.Sub(announced.endedAt) < limitReportTime
}

// learn records what the target said at a time. It reports whether the limit changed.
func (limit *limit) learn(rate float64, at time.Time) bool {
	began := limit.value == 0
	changed := limit.announced.learn(rate, at)
	if changed && began { // the requests of the last moments were not counted
		limit.share, limit.tokens, limit.countedAt = 0, 0, at
	}
	return changed
}

// count updates the number of requests that this VM may send.
func (limit *limit) count(now time.Time) {
	if !now.After(limit.countedAt) {
		return
	}
	earned := limit.value * limit.share * now.Sub(limit.countedAt).Seconds()
	limit.tokens, limit.countedAt = min(1, limit.tokens+earned), now
}

// allows reports whether this VM may send a request now.
func (limit *limit) allows(now time.Time) bool {
	if limit.value == 0 {
		return true
	}
	limit.count(now)
	return limit.tokens >= 1
}

// take counts a request; give takes that back.
func (limit *limit) take() {
	if limit.value > 0 {
		limit.tokens--
	}
}

func (limit *limit) give() {
	limit.tokens = min(1, limit.tokens+1)
}

// recheckDue reports whether the target should be asked before others whether its limit
// still holds.
func (limit *limit) recheckDue(now time.Time) bool {
	return limit.value > 0 && now.Sub(limit.learned) > limitRecheckTime
}

// nextAt returns when this VM may send a request. It returns false if it has no share.
func (limit *limit) nextAt(now time.Time) (time.Time, bool) {
	limit.count(now)
	earning := limit.value * limit.share
	if earning <= 0 {
		return time.Time{}, false
	}
	wait := max(0, 1-limit.tokens) / earning
	return now.Add(time.Duration(wait * float64(time.Second))), true
}

// LimitHolders returns the number of VMs that share a limit. The first requests of all
// of them together stay within what a target tolerates beyond its limit.
func LimitHolders(rate float64) int {
	return int(2*rate) + 2
}

// SetLimitShares sets this VM's shares of the limits. share returns the share of the
// limit of a target in an availability zone.
func (roster *Roster) SetLimitShares(share func(target, zone string, rate float64) float64, now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for id, target := range roster.targets {
		if target.limit.value > 0 {
			target.limit.count(now)
			target.limit.share = share(id, target.entry.Zone, target.limit.value)
		}
	}
}

// Limit is the limit of one start of a target, to be sent to other VMs.
type Limit struct {
	Target    string
	StartTime int64
	Rate      float64 // 0 if it has ended
	Learned   time.Time
}

// Limits returns the limits that hold or ended lately.
func (roster *Roster) Limits(now time.Time) []Limit {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var limits []Limit
	for id, target := range roster.targets {
		if target.limit.reported(now) {
			limits = append(limits, Limit{Target: id, StartTime: target.entry.StartTime, Rate: target.limit.value, Learned: target.limit.learned})
		}
	}
	return limits
}

// MergeLimit records the word of another VM. The second result reports whether the limit
// changed.
func (roster *Roster) MergeLimit(limit Limit) (LimitChange, bool) {
	if !(limit.Rate >= 0) || math.IsInf(limit.Rate, 0) {
		return LimitChange{}, false
	}
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[limit.Target]
	if !ok || target.entry.StartTime != limit.StartTime {
		return LimitChange{}, false
	}
	change := LimitChange{Target: limit.Target, Service: target.entry.Service, Rate: limit.Rate, Source: SourcePeer}
	return change, target.limit.learn(limit.Rate, limit.Learned)
}

// LimitEnd reports whether all targets of the service that could be used are at their
// limits for this VM, and when it may send the next request; zero if it has no share.
func (roster *Roster) LimitEnd(service string, now time.Time) (end time.Time, limited bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for _, target := range roster.services[service] {
		if !target.usable(now) {
			continue
		}
		if target.limit.allows(now) {
			return time.Time{}, false
		}
		limited = true
		if next, ok := target.limit.nextAt(now); ok && (end.IsZero() || next.Before(end)) {
			end = next
		}
	}
	return end, limited
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
