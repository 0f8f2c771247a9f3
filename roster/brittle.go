package roster

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// brittleRejectionTime is the time over which a brittle target counts rejections.
	brittleRejectionTime = time.Second
	// maxBrittlePause is the longest time for which this VM avoids a target that
	// rejected its request.
	maxBrittlePause = 5 * time.Second
	// initialRoomPerSlot is the number of requests per slot that a brittle target is
	// assumed to take, running or waiting, until it rejects one.
	initialRoomPerSlot = 1.5
	// roomGrowthPerSecond is the part of its slots by which the room of a target grows
	// in a second without rejections.
	roomGrowthPerSecond = 0.05
	// loadTimeError and rejectionTimeError are by how much later what another VM tells must
	// be than what is known. Times that VMs tell each other are not exact, and a word that
	// comes back is no news.
	loadTimeError      = 50 * time.Millisecond
	rejectionTimeError = 100 * time.Millisecond
	// maxOccupancy is the part of its room up to which a brittle target gets requests:
	// other VMs send it some that are not known yet.
	maxOccupancy = 0.85
	// clearOccupancy is the part up to which it gets requests in the second after it
	// rejected one, and requests that another target rejected.
	clearOccupancy = 0.5
	// brittleLoadTime is how long a reported load counts in full: as many requests begin
	// as end. Then it decays, with brittleLoadDecay as the least time constant.
	brittleLoadTime  = 400 * time.Millisecond
	brittleLoadDecay = 200 * time.Millisecond
	// brittleCost is the cost of a brittle target that is empty, in the mean.
	brittleCost = 10_000
)

// brittle is the state of a target that falls over if it has to reject more requests a
// second than it names.
type brittle struct {
	announced // rejections a second
	// load is the newest load that any VM was told, at loadAt. begun is the number of
	// requests that this VM sent since.
	load   Load
	loadAt time.Time
	begun  int
	// room is the number of requests that the target is taken to have room for, running
	// or waiting, as of roomAt; 0 if unknown.
	room   float64
	roomAt time.Time
	// rejectedAt is when the target last rejected a request of any VM.
	rejectedAt time.Time
	// rejections are when it lately rejected requests of this VM, which sends it nothing
	// until pausedUntil.
	rejections  []time.Time
	pausedUntil time.Time
}

// report records a load that the target reported at a time.
func (brittle *brittle) report(load Load, at time.Time) {
	if at.After(brittle.loadAt) {
		brittle.load, brittle.loadAt, brittle.begun = load, at, 0
	}
}

// occupancy estimates the number of requests of all VMs at the target.
func (target *Target) occupancy(now time.Time) float64 {
	reported := float64(target.brittle.load.Running + target.brittle.load.Waiting)
	if age := now.Sub(target.brittle.loadAt) - brittleLoadTime; age > 0 {
		decay := max(brittleLoadDecay, target.roster.serviceTimes[target.entry.Service])
		reported *= math.Exp(-age.Seconds() / decay.Seconds())
	}
	return max(float64(target.inFlight), reported+target.begunByAll(now))
}

// begunByAll estimates by how many requests of all VMs the occupancy grew since the load
// was reported: the other VMs are taken to send as many as this one.
func (target *Target) begunByAll(now time.Time) float64 {
	begun := float64(target.brittle.begun)
	others := begun * float64(max(0, target.roster.fleetSize-1))
	ended := 0.0
	if serviceTime := target.roster.serviceTimes[target.entry.Service]; serviceTime > 0 {
		ended = float64(target.brittle.load.Running) * now.Sub(target.brittle.loadAt).Seconds() / serviceTime.Seconds()
	}
	return begun + max(0, others-ended)
}

// roomNow returns the number of requests that the target has room for. It returns false
// if the target does not report its slots.
func (brittle *brittle) roomNow(now time.Time) (float64, bool) {
	slots := float64(brittle.load.Slots)
	if slots == 0 {
		return brittle.room, brittle.room > 0
	}
	most := initialRoomPerSlot * slots
	if brittle.room == 0 {
		return most, true
	}
	grown := max(0, now.Sub(brittle.roomAt).Seconds()) * roomGrowthPerSecond * slots
	return min(most, brittle.room+grown), true
}

// brittleCost returns a random cost by which VMs that know the same loads spread their
// requests over the targets by their free room.
func (target *Target) brittleCost(now time.Time) int {
	room, ok := target.brittle.roomNow(now)
	if !ok {
		return int(4 * brittleCost * target.roster.random.ExpFloat64()) // as if it were half full
	}
	free := max(0.01, 1-target.occupancy(now)/room)
	return int(brittleCost * target.roster.random.ExpFloat64() / (free * free))
}

// reject records that the target was full at a time, with the given number of requests.
// Only waiting requests may become fewer: it has room for as many as it has slots.
func (brittle *brittle) reject(occupancy float64, at time.Time) {
	known, ok := brittle.roomNow(at)
	if !ok || occupancy < known {
		known = occupancy
	}
	brittle.room, brittle.roomAt = max(1, known, float64(brittle.load.Slots)), at
	if at.After(brittle.rejectedAt) {
		brittle.rejectedAt = at
	}
}

// hasRoom reports whether the target surely has room for a request, as far as this VM
// knows. A request that another target rejected needs more of it: it must not make one
// target after the other fall over.
func (target *Target) hasRoom(rejected bool, now time.Time) bool {
	brittle := &target.brittle
	if !target.isBrittle() {
		return true
	}
	if now.Before(brittle.pausedUntil) {
		return false
	}
	room, known := brittle.roomNow(now)
	recent := now.Sub(brittle.rejectedAt) < brittleRejectionTime
	switch {
	case !known:
		return !rejected
	case rejected:
		return !recent && target.occupancy(now) < clearOccupancy*room
	case recent:
		return target.occupancy(now) < clearOccupancy*room
	}
	return target.occupancy(now) < maxOccupancy*room
}

// isBrittle reports whether the target said that it is brittle, or has not yet answered
// while others of its service say so.
func (target *Target) isBrittle() bool {
	return target.tolerance() > 0
}

// tolerance returns the rejections a second that the target bears; 0 if it is not
// brittle.
func (target *Target) tolerance() float64 {
	if !target.brittle.learned.IsZero() {
		return target.brittle.value
	}
	if admission := target.roster.admissions[target.entry.Service]; admission != nil {
		return admission.tolerance
	}
	return 0
}

// pauseAfterRejection sets the time until which this VM sends the target nothing: from
// when it used up its share of the rejections that the target bears.
func (target *Target) pauseAfterRejection(now time.Time) {
	brittle := &target.brittle
	recent := brittle.rejections[:0]
	for _, at := range brittle.rejections {
		if now.Sub(at) < brittleRejectionTime {
			recent = append(recent, at)
		}
	}
	brittle.rejections = append(recent, now)
	allowed := target.tolerance() / float64(max(1, target.roster.fleetSize))
	switch {
	case allowed <= 0:
	case allowed < 1:
		pause := time.Duration(float64(brittleRejectionTime) / allowed)
		brittle.pausedUntil = now.Add(min(maxBrittlePause, pause))
	case float64(len(brittle.rejections)) >= math.Floor(allowed):
		brittle.pausedUntil = brittle.rejections[0].Add(brittleRejectionTime)
	}
}

// RecordRejection records that the target rejected the request for want of room.
func (assignment *Assignment) RecordRejection(now time.Time) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	target := assignment.target
	occupancy := float64(target.inFlight)
	if !target.brittle.loadAt.Before(assignment.assignedAt) {
		occupancy = float64(target.brittle.load.Running + target.brittle.load.Waiting)
	}
	target.brittle.reject(occupancy, now)
	if !target.isBrittle() {
		return
	}
	target.pauseAfterRejection(now)
	if admission := target.roster.admissions[target.entry.Service]; admission != nil {
		admission.reject(now)
	}
}

// ObserveTolerance records the rejections a second that an answer says the target bears,
// 0 if it names none. The second result reports whether that changed.
func (assignment *Assignment) ObserveTolerance(tolerance float64, now time.Time) (ToleranceChange, bool) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	return assignment.target.learnTolerance(tolerance, SourceAnswer, now, now)
}

// ObserveTolerance is like that of Assignment, except that an answer to a report or an
// order that names none does not end it.
func (contact *Contact) ObserveTolerance(tolerance float64, now time.Time) (ToleranceChange, bool) {
	if tolerance == 0 {
		return ToleranceChange{}, false
	}
	contact.roster.mu.Lock()
	defer contact.roster.mu.Unlock()
	return contact.target.learnTolerance(tolerance, SourceAnswer, now, now)
}

// ToleranceChange is a change of the rejections a second that a target says it bears.
type ToleranceChange struct {
	Target    string
	Service   string
	Tolerance float64 // 0 if the target is no longer brittle
	Source    Source
}

// learnTolerance records what the target said at a time. The caller holds mu.
func (target *Target) learnTolerance(tolerance float64, source Source, at, now time.Time) (ToleranceChange, bool) {
	change := ToleranceChange{Target: target.entry.ID, Service: target.entry.Service, Tolerance: tolerance, Source: source}
	first := target.brittle.learned.IsZero()
	changed := target.brittle.learn(tolerance, at)
	if changed || first {
		target.roster.updateAdmission(target.entry.Service, now)
	}
	return change, changed
}

// Brittle is what one VM knows of a start of a target that is brittle or was so lately,
// to be sent to other VMs.
type Brittle struct {
	Target     string
	StartTime  int64
	Tolerance  float64 // rejections a second; 0 if it is no longer brittle
	Learned    time.Time
	Load       Load
	LoadAt     time.Time
	Room       float64   // when it last rejected a request
	RejectedAt time.Time // zero if it rejected none
	// Admitted is the part of the requests for its service that the VM admits.
	Admitted float64
}

// BrittleTargets returns the targets that are brittle or were so lately.
func (roster *Roster) BrittleTargets(now time.Time) []Brittle {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var reported []Brittle
	for _, target := range roster.targets {
		if !target.brittle.learned.IsZero() && target.brittle.reported(now) {
			reported = append(reported, target.brittleWord())
		}
	}
	slices.SortFunc(reported, func(a, b Brittle) int { return strings.Compare(a.Target, b.Target) })
	return reported
}

// brittleWord returns what other VMs are told of the target. The caller holds mu.
func (target *Target) brittleWord() Brittle {
	brittle := &target.brittle
	word := Brittle{
		Target: target.entry.ID, StartTime: target.entry.StartTime, Tolerance: brittle.value, Learned: brittle.learned,
		Load: brittle.load, LoadAt: brittle.loadAt, Room: brittle.room, RejectedAt: brittle.rejectedAt, Admitted: 1,
	}
	if admission := target.roster.admissions[target.entry.Service]; admission != nil {
		word.Admitted = admission.part
	}
	return word
}

// MergeBrittle records the word of another VM. The second result reports whether the
// target became brittle or ceased to be so.
func (roster *Roster) MergeBrittle(word Brittle, now time.Time) (ToleranceChange, bool) {
	if !(word.Tolerance >= 0) || math.IsInf(word.Tolerance, 0) || !(word.Room >= 0) || math.IsInf(word.Room, 0) {
		return ToleranceChange{}, false
	}
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[word.Target]
	if !ok || target.entry.StartTime != word.StartTime {
		return ToleranceChange{}, false
	}
	unknown := roster.admissions[target.entry.Service] == nil
	change, changed := target.learnTolerance(word.Tolerance, SourcePeer, word.Learned, now)
	if word.LoadAt.Sub(target.brittle.loadAt) > loadTimeError {
		target.brittle.report(word.Load, word.LoadAt)
	}
	admission := roster.admissions[target.entry.Service]
	if word.RejectedAt.Sub(target.brittle.rejectedAt) > rejectionTimeError {
		target.brittle.reject(word.Room, word.RejectedAt)
		if admission != nil {
			admission.reject(now)
		}
	}
	if admission != nil && unknown && word.Admitted >= 0 && word.Admitted <= 1 {
		admission.part = max(minAdmitted, word.Admitted)
	}
	return change, changed
}

// SetFleetSize sets the number of VMs, which share the rejections that a brittle target
// bears.
func (roster *Roster) SetFleetSize(vms int) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.fleetSize = vms
}
