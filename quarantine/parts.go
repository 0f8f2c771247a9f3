package quarantine

import (
	"slices"
	"sync"
	"time"
)

const (
	// blockingPartDeaths is the number of separate deaths, each with another request in
	// flight, from which a part is blocked that was in no answered prompt since the
	// first. It is larger for parts that were answered before, and for parts whose
	// deaths another part explains as well: the next death may tell them apart.
	blockingPartDeaths     = 3
	blockingAnsweredDeaths = 5
	blockingTiedDeaths     = 5
	// togetherTime is the time within which the deaths of several targets are one fault.
	togetherTime = 100 * time.Millisecond
	// faultSpacing is the time between faults that count. The reports of one fault may
	// take longer than togetherTime.
	faultSpacing = 2 * togetherTime
	// maxOtherFaults is how many other faults there may be for each one that a part
	// explains: several parts may crash targets at the same time.
	maxOtherFaults = 4
	// minFaultsAlone is how many faults a part must explain alone before the deaths with
	// it are left out when other parts are judged. A fault that stops several targets
	// has no such part at each of its deaths.
	minFaultsAlone = 2
	// settleTime is how long after its first report a death is not counted: the other
	// VMs report what they had in flight there. It is longer than they wait for notices.
	settleTime = 200 * time.Millisecond
	// minOtherAnswers is the number of answered prompts without the part since its
	// first death. Without it, an outage of all targets would block every part.
	minOtherAnswers = 5
	// RunningTime is how long the answer to a prompt must have been written until its
	// parts count as answered: a part that crashes targets does so when they begin.
	RunningTime = time.Second
	// partMemory is how long deaths and answers are remembered. What is older is
	// dropped every sweepInterval.
	partMemory    = time.Hour
	sweepInterval = time.Minute
	// maxParts and maxDeaths limit what is remembered; the oldest is evicted.
	maxParts  = 10000
	maxDeaths = 256
)

// Death is the death of one start of a target with a prompt in flight.
type Death struct {
	Target  string // identifies the start
	Request string // identifies the request, however often it is sent
	Parts   []string
}

// Answer states when a prompt with a part was last answered.
type Answer struct {
	Part string
	At   time.Time
}

// BlockedPart is a part of prompts that crashes targets.
type BlockedPart struct {
	Part  string
	Until time.Time
}

// Parts finds and blocks the parts of prompts that crash targets, whatever else the
// prompts hold. A part is blocked that was in flight at several deaths, if no prompt
// with it was answered since the first of them, no other part explains more of the
// deaths, and not many more faults stopped targets without it. An answered prompt clears its
// parts. Parts is safe for concurrent use.
type Parts struct {
	mu     sync.Mutex // guards the fields below
	parts  map[string]*part
	deaths map[string]*partDeath
	// blockedIDs are the IDs of the blocked parts, and of some that no longer are.
	blockedIDs map[string]bool
	// answers is the number of prompts that this VM saw answered.
	answers uint64
	// settlesAt is when the next death can be counted; zero if none can.
	settlesAt time.Time
	sweptAt   time.Time
	// blocked and cleared are the changes that other VMs do not know yet.
	blocked []BlockedPart
	cleared []string
}

// part is what is known of one part.
type part struct {
	used         time.Time
	answered     time.Time // when a prompt with it was last answered; zero if never
	lastDeath    time.Time
	blockedUntil time.Time
	// deaths are those at which a request with it was in flight, without those before an
	// answer and without those that a blocked part explains.
	deaths []*partDeath
	// requests are those that were in flight at a death since the last answer, and fresh
	// the deaths at which one of them was for the first time. A request that is sent
	// again after a death may run into the next one by chance.
	requests map[string]bool
	fresh    map[*partDeath]bool
}

// partDeath is the death of one start of a target.
type partDeath struct {
	at    time.Time
	parts map[string]bool // of the prompts in flight
	// local are the parts of the prompts that this VM had in flight, with the time from
	// which the other VMs' replies to its report are known.
	local map[string]time.Time
	// explained is set if one of the parts is blocked.
	explained bool
	// answersBefore is the number of answered prompts when the death was reported.
	answersBefore uint64
}

// NewParts returns a Parts that knows no part.
func NewParts() *Parts {
	return &Parts{parts: map[string]*part{}, deaths: map[string]*partDeath{}, blockedIDs: map[string]bool{}}
}

// Blocked returns the first of the parts that is blocked, and until when.
func (parts *Parts) Blocked(ids []string, now time.Time) (BlockedPart, bool) {
	if len(ids) == 0 {
		return BlockedPart{}, false
	}
	parts.mu.Lock()
	defer parts.mu.Unlock()
	parts.settle(now)
	for _, id := range ids {
		if known, ok := parts.parts[id]; ok && now.Before(known.blockedUntil) {
			return BlockedPart{Part: id, Until: known.blockedUntil}, true
		}
	}
	return BlockedPart{}, false
}

// RecordDeath records a death; local is set if the request was this VM's.
func (parts *Parts) RecordDeath(death Death, local bool, now time.Time) {
	if len(death.Parts) == 0 {
		return
	}
	parts.mu.Lock()
	defer parts.mu.Unlock()
	known := parts.death(death.Target, now)
	for _, id := range death.Parts {
		entry := parts.get(id, now)
		entry.lastDeath = now
		known.parts[id] = true
		if local && known.local[id].IsZero() {
			known.local[id] = now.Add(settleTime)
			parts.settleAt(known.local[id])
		}
		if known.at.After(entry.answered) && !known.explained {
			entry.add(known, death.Request)
		}
		if now.Before(entry.blockedUntil) {
			parts.explain(id)
		}
	}
}

// add adds a death with a request in flight.
func (part *part) add(death *partDeath, request string) {
	if !slices.Contains(part.deaths, death) {
		part.deaths = append(part.deaths, death)
	}
	if len(part.requests) < maxDeaths && !part.requests[request] {
		part.requests[request], part.fresh[death] = true, true
	}
}

// death returns the entry of a death, and creates it if there is none. The caller holds
// mu.
func (parts *Parts) death(target string, now time.Time) *partDeath {
	known, ok := parts.deaths[target]
	if ok {
		return known
	}
	parts.evictDeath()
	known = &partDeath{at: now, parts: map[string]bool{}, local: map[string]time.Time{}, answersBefore: parts.answers}
	parts.deaths[target] = known
	parts.settleAt(now.Add(settleTime))
	return known
}

// RecordAnswer records that a prompt with the parts was answered completely at this VM.
func (parts *Parts) RecordAnswer(ids []string, now time.Time) {
	parts.mu.Lock()
	defer parts.mu.Unlock()
	parts.answers++
	parts.answerLocally(ids, now)
}

// RecordRunning records that the answer to a prompt with the parts has been written at
// this VM for RunningTime. Prompts with long answers die more often than others with
// targets that other parts crash, and are seldom answered in between.
func (parts *Parts) RecordRunning(ids []string, now time.Time) {
	parts.mu.Lock()
	defer parts.mu.Unlock()
	parts.answerLocally(ids, now)
}

// answerLocally records an answer that this VM saw. The caller holds mu.
func (parts *Parts) answerLocally(ids []string, now time.Time) {
	for _, id := range ids {
		if parts.answer(id, now, now) {
			parts.cleared = append(parts.cleared, id)
		}
	}
}

// MergeAnswers records when other VMs last saw prompts with parts answered.
func (parts *Parts) MergeAnswers(answers []Answer, now time.Time) {
	parts.mu.Lock()
	defer parts.mu.Unlock()
	for _, answer := range answers {
		parts.answer(answer.Part, answer.At, now)
		parts.cleared = slices.DeleteFunc(parts.cleared, func(id string) bool { return id == answer.Part })
	}
}

// Answers returns when prompts with the parts were last answered, for those that were.
func (parts *Parts) Answers(ids []string) []Answer {
	parts.mu.Lock()
	defer parts.mu.Unlock()
	var answers []Answer
	for _, id := range ids {
		if entry, ok := parts.parts[id]; ok && !entry.answered.IsZero() {
			answers = append(answers, Answer{Part: id, At: entry.answered})
		}
	}
	return answers
}

// answer records an answer at a time and drops the deaths before it. It reports whether
// the part was blocked and no longer is. The caller holds mu.
func (parts *Parts) answer(id string, at, now time.Time) bool {
	entry := parts.get(id, now)
	if !at.After(entry.answered) {
		return false
	}
	entry.answered = at
	clear(entry.requests)
	clear(entry.fresh)
	entry.deaths = slices.DeleteFunc(entry.deaths, func(death *partDeath) bool { return !death.at.After(at) })
	if !now.Before(entry.blockedUntil) || !at.After(entry.lastDeath) {
		return false
	}
	entry.blockedUntil = time.Time{}
	return true
}

// Block blocks a part that another VM found or that was stored. It returns false if that
// was known.
func (parts *Parts) Block(blocked BlockedPart, now time.Time) bool {
	parts.mu.Lock()
	defer parts.mu.Unlock()
	entry := parts.get(blocked.Part, now)
	if !blocked.Until.After(entry.blockedUntil) || !now.Before(blocked.Until) {
		return false
	}
	wasBlocked := now.Before(entry.blockedUntil)
	entry.blockedUntil, entry.lastDeath = blocked.Until, now
	parts.blockedIDs[blocked.Part] = true
	parts.explain(blocked.Part)
	return !wasBlocked
}

// AllBlocked returns the parts that are blocked now, in no order.
func (parts *Parts) AllBlocked(now time.Time) []BlockedPart {
	parts.mu.Lock()
	defer parts.mu.Unlock()
	var blocked []BlockedPart
	for id := range parts.blockedIDs {
		if entry, ok := parts.parts[id]; ok && now.Before(entry.blockedUntil) {
			blocked = append(blocked, BlockedPart{Part: id, Until: entry.blockedUntil})
		} else {
			delete(parts.blockedIDs, id)
		}
	}
	return blocked
}

// Changes returns the parts that this VM blocked or cleared since the last call.
func (parts *Parts) Changes(now time.Time) (blocked []BlockedPart, cleared []string) {
	parts.mu.Lock()
	defer parts.mu.Unlock()
	parts.settle(now)
	blocked, cleared = parts.blocked, parts.cleared
	parts.blocked, parts.cleared = nil, nil
	return blocked, cleared
}

// get returns the entry of a part, and creates it if there is none. The caller holds mu.
func (parts *Parts) get(id string, now time.Time) *part {
	entry, ok := parts.parts[id]
	if !ok {
		parts.evictPart(now)
		entry = &part{requests: map[string]bool{}, fresh: map[*partDeath]bool{}}
		parts.parts[id] = entry
	}
	entry.used = now
	return entry
}

// evictPart makes room for one part: it deletes the one that was not used for longest
// among a few, for there are many. The caller holds mu.
func (parts *Parts) evictPart(now time.Time) {
	const examined = 16
	if len(parts.parts) < maxParts {
		return
	}
	victim, count := "", 0
	for id, entry := range parts.parts {
		if len(entry.deaths) > 0 || now.Before(entry.blockedUntil) {
			continue
		}
		if victim == "" || entry.used.Before(parts.parts[victim].used) {
			victim = id
		}
		if count++; count == examined {
			break
		}
	}
	delete(parts.parts, victim)
}

// evictDeath makes room for one death: it deletes the oldest. The caller holds mu.
func (parts *Parts) evictDeath() {
	if len(parts.deaths) < maxDeaths {
		return
	}
	oldest := ""
	for id, death := range parts.deaths {
		if oldest == "" || death.at.Before(parts.deaths[oldest].at) {
			oldest = id
		}
	}
	parts.forget(oldest)
}

// forget deletes a death. The caller holds mu.
func (parts *Parts) forget(id string) {
	death := parts.deaths[id]
	delete(parts.deaths, id)
	for name := range death.parts {
		if entry, ok := parts.parts[name]; ok {
			entry.deaths = slices.DeleteFunc(entry.deaths, func(known *partDeath) bool { return known == death })
		}
	}
}

// Sweep drops what was not used within partMemory.
func (parts *Parts) Sweep(now time.Time) {
	parts.mu.Lock()
	defer parts.mu.Unlock()
	if now.Sub(parts.sweptAt) < sweepInterval {
		return
	}
	parts.sweptAt = now
	for id, death := range parts.deaths {
		if now.Sub(death.at) > partMemory {
			parts.forget(id)
		}
	}
	for id, entry := range parts.parts {
		if now.Sub(entry.used) > partMemory && !now.Before(entry.blockedUntil) {
			delete(parts.parts, id)
		}
	}
}
