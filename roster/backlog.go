package roster

import (
	"slices"
	"time"
)

// backlog is the number of unprocessed prompt tokens at a point in time.
type backlog struct {
	tokens     int
	measuredAt int64 // in nanoseconds since the roster's epoch
}

// remaining returns the estimated rest of a backlog, given that the target
// processes one token per prefillTokenCost.
func (backlog backlog) remaining(now int64) int {
	processed := int((now-backlog.measuredAt)/int64(time.Microsecond)) / prefillTokenCost
	return max(0, backlog.tokens-processed)
}

// moment returns the tokens times measuredAt in microseconds.
func (backlog backlog) moment() int64 {
	return int64(backlog.tokens) * (backlog.measuredAt / int64(time.Microsecond))
}

// reporter is a VM, or several VMs under one name, that reported backlogs.
type reporter struct {
	index   int       // in peerBacklogs of each target
	targets []*Target // that have a backlog of it
}

// peerBacklogs are the backlogs that other VMs reported of a target.
type peerBacklogs struct {
	byReporter []backlog // without tokens where a VM has none
	// tokens and moment are the sums of those of byReporter, so that their mean age is known
	// without a pass over them. moment may overflow, but not the age that it is used for.
	tokens int
	moment int64
}

// set replaces the backlog of the reporter with an index.
func (backlogs *peerBacklogs) set(index int, reported backlog) {
	for len(backlogs.byReporter) <= index {
		backlogs.byReporter = append(backlogs.byReporter, backlog{})
	}
	known := backlogs.byReporter[index]
	backlogs.tokens += reported.tokens - known.tokens
	backlogs.moment += reported.moment() - known.moment()
	backlogs.byReporter[index] = reported
}

// get returns the backlog of the reporter with an index.
func (backlogs *peerBacklogs) get(index int) backlog {
	if index >= len(backlogs.byReporter) {
		return backlog{}
	}
	return backlogs.byReporter[index]
}

// sinceEpoch returns the nanoseconds since the roster's epoch, which is the time in its first
// call. The caller holds mu.
func (roster *Roster) sinceEpoch(now time.Time) int64 {
	if roster.epoch.IsZero() {
		roster.epoch = now
	}
	return int64(now.Sub(roster.epoch))
}

// peerTokens estimates the unprocessed prompt tokens of the other VMs.
func (target *Target) peerTokens(now time.Time) int {
	if !target.roster.adaptive(target.entry.Service) {
		tokens, at := 0, target.roster.sinceEpoch(now)
		for _, peerBacklog := range target.peerBacklogs.byReporter {
			tokens += peerBacklog.remaining(at)
		}
		return tokens
	}
	reported, part := target.unprocessed(now)
	return int(float64(reported) * part)
}

// peerTokensOf is like peerTokens for the VMs with the given indexes.
func (target *Target) peerTokensOf(reporters []int, now time.Time) int {
	if len(reporters) == 0 {
		return 0
	}
	tokens, adaptive, at := 0, target.roster.adaptive(target.entry.Service), target.roster.sinceEpoch(now)
	for _, index := range reporters {
		if peerBacklog := target.peerBacklogs.get(index); adaptive {
			tokens += peerBacklog.tokens
		} else {
			tokens += peerBacklog.remaining(at)
		}
	}
	if !adaptive {
		return tokens
	}
	_, part := target.unprocessed(now)
	return int(float64(tokens) * part)
}

// unprocessed returns the prompt tokens that the other VMs reported and estimates the part
// of them that the target has not processed since. The target processes one prompt at a
// time, so what it processed counts once for all VMs, and not once for each.
func (target *Target) unprocessed(now time.Time) (tokens int, part float64) {
	tokens = target.peerBacklogs.tokens
	if tokens == 0 {
		return 0, 1
	}
	// The age is in microseconds, summed by tokens.
	age := int64(tokens)*(target.roster.sinceEpoch(now)/int64(time.Microsecond)) - target.peerBacklogs.moment
	processed := float64(age) / float64(tokens) / prefillTokenCost
	return tokens, max(0, 1-processed/float64(tokens+target.pendingTokens))
}

// MeanWait estimates how long a new prompt waits at the usable targets of a service, in
// the mean over them.
func (roster *Roster) MeanWait(service string, now time.Time) time.Duration {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	sum, count := time.Duration(0), 0
	for _, target := range roster.services[service] {
		if target.usable(now) && !target.ejected() {
			sum, count = sum+target.wait(now), count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// Backlog is the number of unprocessed prompt tokens at a target.
type Backlog struct {
	Target string
	Tokens int
}

// Backlogs returns this VM's unprocessed prompt tokens at each target, to be sent
// to other VMs; targets without any are left out.
func (roster *Roster) Backlogs() []Backlog {
	return roster.SummedBacklogs(nil, time.Time{})
}

// SummedBacklogs returns the unprocessed prompt tokens at each target, summed over
// this VM and the named ones.
func (roster *Roster) SummedBacklogs(vms map[string]bool, now time.Time) []Backlog {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	indexes := make([]int, 0, len(vms))
	for vm, included := range vms {
		if reporter, ok := roster.reporters[vm]; ok && included {
			indexes = append(indexes, reporter.index)
		}
	}
	slices.Sort(indexes)
	backlogs := make([]Backlog, 0, len(roster.targets))
	for id, target := range roster.targets {
		tokens := target.pendingTokens + target.peerTokensOf(indexes, now)
		if tokens > 0 {
			backlogs = append(backlogs, Backlog{Target: id, Tokens: tokens})
		}
	}
	return backlogs
}

// SetBacklogs replaces the backlogs of another VM, or the sum of several VMs' backlogs
// under one name. Targets that are missing from backlogs have none. measuredAt is when
// the backlogs were measured.
func (roster *Roster) SetBacklogs(vm string, backlogs []Backlog, measuredAt time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	known, ok := roster.reporters[vm]
	if !ok {
		if len(backlogs) == 0 {
			return
		}
		known = roster.newReporter(vm)
	}
	for _, target := range known.targets {
		target.peerBacklogs.set(known.index, backlog{})
	}
	known.targets = known.targets[:0]
	at := roster.sinceEpoch(measuredAt)
	for _, reported := range backlogs {
		if target, ok := roster.targets[reported.Target]; ok && reported.Tokens > 0 {
			target.peerBacklogs.set(known.index, backlog{tokens: reported.Tokens, measuredAt: at})
			known.targets = append(known.targets, target)
		}
	}
	if len(known.targets) == 0 {
		delete(roster.reporters, vm)
		roster.freeIndexes = append(roster.freeIndexes, known.index)
	}
}

// newReporter returns a reporter with an index that no other one has. The caller holds mu.
func (roster *Roster) newReporter(vm string) *reporter {
	added := &reporter{index: len(roster.reporters)}
	if last := len(roster.freeIndexes) - 1; last >= 0 {
		added.index, roster.freeIndexes = roster.freeIndexes[last], roster.freeIndexes[:last]
	}
	roster.reporters[vm] = added
	return added
}
