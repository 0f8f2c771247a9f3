package quota

import (
	"math"
	"time"
)

// minAveragingTime is the shortest time over which a rate is averaged.
const minAveragingTime = 500 * time.Millisecond

// accountState is this VM's view of one account.
type accountState struct {
	limit        Account
	countedSince time.Time // when this VM began to count
	level        float64   // tokens in the fleet's bucket; negative when overspent
	levelUpdated time.Time
	shareLevel   float64 // tokens in this VM's share
	shareUpdated time.Time
	sources      map[string]*sourceCount
	silent       silentSources // of sources, those of other VMs
	// credit accumulates the fractions in which requests are to be admitted. A
	// request is admitted when credit reaches 1, which is then deducted.
	credit float64
	// continueCredit is the same for requests that continue an answer.
	continueCredit float64
	zone           zoneCounts
}

// newAccountState returns the state of an account without a limit.
func newAccountState(now time.Time) *accountState {
	return &accountState{countedSince: now, sources: map[string]*sourceCount{}, zone: zoneCounts{vms: map[string]*zoneVM{}}}
}

// sourceCount is an account's count from one source: a VM, or the sum of several.
type sourceCount struct {
	boot         string
	count        Count
	madeAt       time.Time // when the source made the count
	remote       bool      // reported by another VM
	demand       float64   // tokens requested a second, averaged
	spending     float64   // tokens admitted a second, averaged
	averagedAt   time.Time // time up to which both averages are decayed
	countedSince time.Time // when counting of its tokens began
	zoneVM       *zoneVM   // set for VMs of this VM's availability zone
	// silent, checkAt and queuePosition belong to silentSources: whether the source is
	// part of the sum, when that is checked next, and the source's position in the queue
	// from 1 on, or 0.
	silent        bool
	checkAt       time.Time
	queuePosition int
	// reporters holds the processes that report sums of the source's tokens, by boot.
	// It is nil for sources that are not sums.
	reporters map[string]reporter
}

// reporter is a process that reports the sums of a source. Reporters count from
// different times on: offset is what the source had counted before the reporter did.
type reporter struct {
	offset Count
	madeAt time.Time // when its last report was made
}

// reporterExpiry is how long a process that no longer reports is remembered.
const reporterExpiry = 5 * time.Second

// sums converts a reporter's sums to the source's counts since this VM began to count,
// so that they continue those of other reporters. sameStart is set if the reporter began
// at about the same time as this VM: its sums are then the source's counts. Counts
// never decrease: a reporter may receive the latest tokens of a VM later than another.
func (count *sourceCount) sums(source Source, reported Count, sameStart bool, made time.Time) Count {
	known, ok := count.reporters[source.Boot]
	if !ok && !sameStart {
		known.offset = Count{Spent: count.count.Spent - reported.Spent, Wanted: count.count.Wanted - reported.Wanted}
	}
	known.madeAt = made
	for boot, other := range count.reporters {
		if made.Sub(other.madeAt) > reporterExpiry {
			delete(count.reporters, boot)
		}
	}
	count.reporters[source.Boot] = known
	return Count{
		Account: reported.Account,
		Spent:   max(count.count.Spent, known.offset.Spent+reported.Spent),
		Wanted:  max(count.count.Wanted, known.offset.Wanted+reported.Wanted),
	}
}

// startupFactor returns the factor that corrects the averages for a short counting
// time: they start at zero and are too low at first.
func (count *sourceCount) startupFactor(now time.Time) float64 {
	counted := max(minAveragingTime, now.Sub(count.countedSince))
	return 1 / (1 - math.Exp(-counted.Seconds()/demandTime.Seconds()))
}

// admitShare admits requests from this VM's share alone. Of requests larger than the
// share's level, it admits a fraction in proportion to the level, so that all VMs
// together spend what their shares hold even if each receives a single request.
func (account *accountState) admitShare(own *sourceCount, share, tokens float64, now time.Time) (time.Time, bool) {
	if account.level > 0 {
		account.credit += min(1, max(0, account.shareLevel)/tokens)
	}
	if account.level > 0 && account.credit >= 1 {
		account.credit--
		account.spend(own, tokens)
		return now, true
	}
	missing := max(tokens-account.shareLevel, -account.level)
	wait := max(minRetryAfter, accrualTime(missing, max(share*account.limit.Rate, 1)))
	// The wait is bounded because other VMs may become reachable sooner, or may have
	// more tokens.
	return now.Add(min(wait, countsMaxAge)), false
}

// spend debits tokens from the fleet's bucket and from this VM's share.
func (account *accountState) spend(own *sourceCount, tokens float64) {
	own.count.Spent += tokens
	own.spending += tokens / demandTime.Seconds()
	account.level -= tokens
	account.shareLevel -= tokens
}

// applyCount records a source's count and debits what the source spent since its
// last one from the fleet's bucket.
func (account *accountState) applyCount(source Source, count Count, made, now time.Time) {
	previous, ok := account.sources[source.Name]
	switch {
	case !ok:
		previous = account.addSource(source, count, made, now)
	case source.Summed || previous.boot == source.Boot:
	case account.isRecent(source, now):
		previous = account.addSource(source, count, made, now)
	default:
		// The source restarted. What it spent before this report may not be recent,
		// and is not debited.
		account.silent.exclude(previous)
		previous.boot, previous.count, previous.madeAt = source.Boot, count, made
		account.silent.schedule(previous)
		return
	}
	if source.Summed {
		sameStart := account.isRecent(source, now) && source.Began.Before(account.countedSince.Add(newSourceMaxLead))
		count = previous.sums(source, count, sameStart, made)
	}
	if source.SameZone && !source.Summed && previous.zoneVM == nil {
		previous.zoneVM = account.zone.vm(source.Name)
	}
	spent, wanted := count.Spent-previous.count.Spent, count.Wanted-previous.count.Wanted
	account.refillLevel(now)
	account.level -= spent
	switch {
	case source.SameZone && source.Summed:
		account.zone.addSums(Count{Spent: spent, Wanted: wanted}, made)
	case source.SameZone:
		account.zone.add(previous.zoneVM, Count{Spent: spent, Wanted: wanted})
	}
	account.silent.exclude(previous)
	previous.decay(now)
	previous.demand += wanted / demandTime.Seconds()
	previous.spending += max(0, spent) / demandTime.Seconds()
	previous.count, previous.madeAt = count, made
	account.silent.schedule(previous)
}

// isRecent reports whether all that a source counted may have been spent recently, and
// was not debited yet: it started a short time ago, not long before this VM began to
// count, and after the last sums that may include its tokens were made.
func (account *accountState) isRecent(source Source, now time.Time) bool {
	if source.SameZone && !source.Summed && source.Began.Before(account.zone.coveredUntil) {
		return false
	}
	return now.Sub(source.Began) <= newSourceMaxAge && !source.Began.Before(account.countedSince.Add(-newSourceMaxLead))
}

// addSource adds or replaces a source. Unless its tokens may all have been spent
// recently, those of its first count are not debited.
func (account *accountState) addSource(source Source, count Count, made, now time.Time) *sourceCount {
	added := &sourceCount{boot: source.Boot, remote: true, madeAt: made, averagedAt: now, countedSince: source.Began}
	if source.Summed {
		added.reporters = map[string]reporter{}
	}
	recent := account.isRecent(source, now)
	if !recent {
		added.countedSince = now
		if !source.Summed {
			added.count = count
		}
	}
	switch {
	case source.SameZone && source.Summed:
		added.count = account.zone.total // debited when other sources reported it
	case source.SameZone && !recent:
		account.zone.resume(account.zone.vm(source.Name), source, count, account.countedSince)
	}
	if replaced, ok := account.sources[source.Name]; ok {
		account.silent.remove(replaced)
	}
	account.sources[source.Name] = added
	return added
}

// removeSource removes a source of another VM, if there is one.
func (account *accountState) removeSource(name string) {
	removed, ok := account.sources[name]
	if !ok {
		return
	}
	account.silent.remove(removed)
	delete(account.sources, name)
	if removed.zoneVM != nil {
		account.zone.removed(removed.zoneVM, removed)
	}
}

// own returns this VM's own count.
func (account *accountState) own(self string) Count {
	if own, ok := account.sources[self]; ok {
		return own.count
	}
	return Count{}
}

// refillLevel refills the fleet's bucket up to now, less what silent VMs are
// assumed to spend.
func (account *accountState) refillLevel(now time.Time) {
	elapsed := now.Sub(account.levelUpdated).Seconds()
	if elapsed <= 0 {
		return
	}
	account.silent.advance(now)
	account.level = min(account.limit.Burst, account.level+elapsed*max(0, account.limit.Rate-account.silent.spending))
	account.levelUpdated = now
}

// refillShare refills this VM's share up to now. A lower limit drops the excess.
func (account *accountState) refillShare(limit Account, share, saved float64, now time.Time) {
	if elapsed := now.Sub(account.shareUpdated).Seconds(); elapsed > 0 {
		account.shareLevel += elapsed * limit.Rate * share
		account.shareUpdated = now
	}
	account.shareLevel = min(account.shareLevel, limit.Burst*max(share, saved))
}

// source returns this VM's own count; name is the VM's name. It creates the count if
// there is none. applyCount creates the counts of other sources.
func (account *accountState) source(name string, now time.Time) *sourceCount {
	known, ok := account.sources[name]
	if !ok {
		known = &sourceCount{madeAt: now, averagedAt: now, countedSince: now}
		account.sources[name] = known
	}
	return known
}

// addDemand adds requested tokens. The caller must have decayed the averages up to
// now.
func (count *sourceCount) addDemand(tokens float64) {
	count.count.Wanted += tokens
	count.demand += tokens / demandTime.Seconds()
}

// decay decays the averages up to now.
func (count *sourceCount) decay(now time.Time) {
	if elapsed := now.Sub(count.averagedAt); elapsed > 0 {
		remaining := max(0, 1-elapsed.Seconds()/demandTime.Seconds())
		count.demand *= remaining
		count.spending *= remaining
		count.averagedAt = now
	}
}
