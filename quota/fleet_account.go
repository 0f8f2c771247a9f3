package quota

import (
	"math"
	"time"
)

// shortestTime is the least time over which a rate is judged.
const shortestTime = 500 * time.Millisecond

// fleetAccount is one account as this VM sees it.
type fleetAccount struct {
	limit   Account
	began   time.Time // when this VM began to count
	level   float64   // of the fleet's bucket; negative when overspent
	filled  time.Time
	own     float64 // of this VM's share
	updated time.Time
	vms     map[string]*vmCount
	// credit is the part of a request that may be admitted on top of the next one.
	credit float64
	// total is what this VM and near ones counted since this process started.
	total Count
}

// vmCount is what one VM, or the sum of several, told of an account.
type vmCount struct {
	boot     string
	count    Count
	made     time.Time // when it told that
	told     bool      // by another VM
	demand   float64   // tokens a second, averaged
	spending float64   // the same of what was admitted
	at       time.Time // up to when both are averaged
	since    time.Time // when its tokens began to be counted
}

// young returns the factor by which an average is too low that began to be taken
// not long ago.
func (count *vmCount) young(now time.Time) float64 {
	counted := max(shortestTime, now.Sub(count.since))
	return 1 / (1 - math.Exp(-counted.Seconds()/demandTime.Seconds()))
}

// admitShare admits from this VM's share alone. What is larger than what the share
// holds is admitted in proportion, so that all VMs together spend what their shares
// hold, also when each sees one request.
func (account *fleetAccount) admitShare(own *vmCount, share, tokens float64, now time.Time) (time.Time, bool) {
	if account.level > 0 {
		account.credit += min(1, max(0, account.own)/tokens)
	}
	if account.level > 0 && account.credit >= 1 {
		account.credit--
		account.spend(own, tokens)
		return now, true
	}
	missing := max(tokens-account.own, -account.level)
	wait := max(minRetry, secondsToGain(missing, max(share*account.limit.Rate, 1)))
	// Other VMs are heard again sooner, or others have more.
	return now.Add(min(wait, heardTime)), false
}

// spend takes tokens out of both buckets.
func (account *fleetAccount) spend(own *vmCount, tokens float64) {
	own.count.Spent += tokens
	own.spending += tokens / demandTime.Seconds()
	account.total.Spent += tokens
	account.level -= tokens
	account.own -= tokens
}

// take notes a source's count and takes what it spent out of the bucket.
func (account *fleetAccount) take(source Source, count Count, made, now time.Time) {
	known, ok := account.vms[source.Name]
	if !ok || known.boot != source.Boot {
		recent := now.Sub(source.Began) <= recentTime && !source.Began.Before(account.began.Add(-freshTime))
		if !ok || recent {
			known = &vmCount{told: true, at: now, since: source.Began}
			account.vms[source.Name] = known
		}
		known.boot = source.Boot
		if !recent {
			// What was spent before this VM listened is not known to be recent. When
			// another VM tells the sums of a zone, the averages go on.
			known.count, known.made = count, made
			if !ok {
				known.since = now
			}
			return
		}
	}
	spent, wanted := count.Spent-known.count.Spent, count.Wanted-known.count.Wanted
	account.fill(now)
	account.level -= spent
	if source.Near {
		account.total.Spent += spent
		account.total.Wanted += wanted
	}
	known.decay(now)
	known.demand += wanted / demandTime.Seconds()
	known.spending += max(0, spent) / demandTime.Seconds()
	known.count, known.made = count, made
}

// fill fills the fleet's bucket up to the time, with what silent VMs leave.
func (account *fleetAccount) fill(now time.Time) {
	elapsed := now.Sub(account.filled).Seconds()
	if elapsed <= 0 {
		return
	}
	rate := account.limit.Rate
	for _, count := range account.vms {
		if silent := now.Sub(count.made); count.told && silent > unseenTime && silent < forgetTime {
			rate -= count.spending
		}
	}
	account.level = min(account.limit.Burst, account.level+elapsed*max(0, rate))
	account.filled = now
}

// refill fills this VM's share up to the time. A lower limit drops what is above.
func (account *fleetAccount) refill(limit Account, share, saved float64, now time.Time) {
	if elapsed := now.Sub(account.updated).Seconds(); elapsed > 0 {
		account.own += elapsed * limit.Rate * share
		account.updated = now
	}
	account.own = min(account.own, limit.Burst*max(share, saved))
}

// vm returns what is known of a VM, which may be this one.
func (account *fleetAccount) vm(name string, now time.Time) *vmCount {
	known, ok := account.vms[name]
	if !ok {
		known = &vmCount{made: now, at: now, since: now}
		account.vms[name] = known
	}
	return known
}

// want counts demand; what came before has been decayed.
func (count *vmCount) want(tokens float64) {
	count.count.Wanted += tokens
	count.demand += tokens / demandTime.Seconds()
}

// decay lets the averages fade.
func (count *vmCount) decay(now time.Time) {
	if elapsed := now.Sub(count.at); elapsed > 0 {
		left := max(0, 1-elapsed.Seconds()/demandTime.Seconds())
		count.demand *= left
		count.spending *= left
		count.at = now
	}
}
