package quota

import (
	"sync"
	"time"
)

const (
	// demandTime is the time constant over which demand is averaged.
	demandTime = 2 * time.Second
	// heardTime is how old the last word of another VM may be while its tokens
	// are taken as known; heartbeats come several times a second.
	heardTime = 1500 * time.Millisecond
	// forgetTime is how long the share of a VM that is not heard is set aside.
	forgetTime = 30 * time.Second
	// plenty is the part of the burst above which the fleet's bucket need not be
	// shared out.
	plenty = 0.5
	// startShare is the part of the burst that VMs which start together may spend
	// before they hear of each other: what was spent just before is not known.
	startShare = 0.45
	// savedShare is the part of the burst that a VM may save up of its share, so
	// that requests larger than its share of the burst find enough. The fleet's
	// bucket bounds what all spend.
	savedShare = 0.3
	// minShare keeps a VM without demand able to serve its first requests.
	minShare = 0.02
)

// Count is one account's tokens at one VM since its process started.
type Count struct {
	Account string
	// Spent was admitted; Wanted was asked for, whether admitted or not.
	Spent  float64
	Wanted float64
}

// Source is who tells counts: a VM its own, or one that sums up those of several.
type Source struct {
	Name string
	// Boot tells the process whose counts these are.
	Boot string
	// VMs is the number of VMs whose tokens are counted.
	VMs int
	// Near sources' tokens are part of the totals that this VM tells others.
	Near bool
	// Summed counts are older than those that a VM tells itself: they are no reason
	// to admit from the fleet's bucket.
	Summed bool
}

// hearing is when a source was last heard.
type hearing struct {
	at     time.Time
	vms    int
	summed bool
}

// Fleet keeps accounts within their limits by counts that all VMs tell each
// other. Each VM fills a bucket at the account's whole rate and takes out what
// any VM spent. While it holds plenty, requests are admitted from it. Otherwise
// each VM spends a share of the rate that follows its share of the demand, and
// nothing while the fleet has overspent. A VM that is not heard keeps its share.
//
// Against an ideal bucket the fleet exceeds a limit by what all VMs can admit
// between two heartbeats while the bucket holds plenty; the bucket takes it off
// what is admitted next. It is safe for concurrent use.
type Fleet struct {
	self string

	mu       sync.Mutex // guards accounts and heard
	accounts map[string]*fleetAccount
	heard    map[string]hearing
	expected int
}

// fleetAccount is one account as this VM sees it.
type fleetAccount struct {
	limit   Account
	level   float64 // of the fleet's bucket; negative when overspent
	own     float64 // of this VM's share
	updated time.Time
	vms     map[string]*vmCount
	// total is what this VM and near ones counted since this process started.
	total Count
}

// vmCount is what one VM told of an account.
type vmCount struct {
	boot   string
	count  Count
	demand float64 // tokens a second, averaged
	at     time.Time
}

// NewFleet returns the fleet's limits as the named VM sees them; vms is how many
// VMs there may be.
func NewFleet(self string, vms int) *Fleet {
	return &Fleet{self: self, accounts: map[string]*fleetAccount{}, heard: map[string]hearing{}, expected: max(1, vms)}
}

// Expect notes how many VMs there are, heard or not.
func (fleet *Fleet) Expect(vms int) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.expected = max(1, vms)
}

// Admit takes tokens of the account, or says when to come back.
func (fleet *Fleet) Admit(limit Account, tokens float64, now time.Time) (retryAt time.Time, ok bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	account := fleet.account(limit, now)
	own := account.vm(fleet.self, now)
	own.want(tokens, now)
	account.total.Wanted += tokens
	share := fleet.share(account, now)
	account.refill(limit, share, now)
	if fleet.alone(now) || account.level < plenty*limit.Burst {
		return account.admitShare(own, limit, share, tokens, now)
	}
	account.spend(own, tokens)
	return now, true
}

// admitShare admits from this VM's share alone.
func (account *fleetAccount) admitShare(own *vmCount, limit Account, share, tokens float64, now time.Time) (time.Time, bool) {
	// A request larger than the share's burst passes when the share is full.
	needed := min(tokens, share*limit.Burst)
	missing := max(needed-account.own, -account.level)
	if missing <= 0 {
		account.spend(own, tokens)
		return now, true
	}
	rate := max(share*limit.Rate, 1)
	return now.Add(max(minRetry, secondsToGain(missing, rate))), false
}

// spend takes tokens out of both buckets.
func (account *fleetAccount) spend(own *vmCount, tokens float64) {
	own.count.Spent += tokens
	account.total.Spent += tokens
	account.level -= tokens
	account.own -= tokens
}

// Refund gives back the tokens of a request that did not run.
func (fleet *Fleet) Refund(name string, tokens float64, now time.Time) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	account, ok := fleet.accounts[name]
	if !ok {
		return
	}
	account.vm(fleet.self, now).count.Spent -= tokens
	account.total.Spent -= tokens
	account.level = min(account.limit.Burst, account.level+tokens)
	account.own += tokens
}

// Heard takes another VM's counts, or the sums of several VMs'.
func (fleet *Fleet) Heard(source Source, counts []Count, now time.Time) {
	if source.Name == fleet.self {
		return
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.heard[source.Name] = hearing{at: now, vms: source.VMs, summed: source.Summed}
	for _, count := range counts {
		account, ok := fleet.accounts[count.Account]
		if !ok {
			account = &fleetAccount{vms: map[string]*vmCount{}, updated: now}
			fleet.accounts[count.Account] = account
		}
		account.take(source, count, now)
	}
}

// Forget drops a source whose tokens another one tells of.
func (fleet *Fleet) Forget(name string) {
	if name == fleet.self {
		return
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	delete(fleet.heard, name)
	for _, account := range fleet.accounts {
		delete(account.vms, name)
	}
}

// take notes a source's count and takes what it spent out of the bucket.
func (account *fleetAccount) take(source Source, count Count, now time.Time) {
	known, ok := account.vms[source.Name]
	if !ok || known.boot != source.Boot {
		// What was spent before this VM listened is not known to be recent.
		account.vms[source.Name] = &vmCount{boot: source.Boot, count: count, at: now}
		return
	}
	spent, wanted := count.Spent-known.count.Spent, count.Wanted-known.count.Wanted
	account.level -= spent
	if source.Near {
		account.total.Spent += spent
		account.total.Wanted += wanted
	}
	known.want(wanted, now)
	known.count = count
}

// Totals returns what this VM and near ones counted since this process started.
func (fleet *Fleet) Totals() []Count {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	totals := make([]Count, 0, len(fleet.accounts))
	for name, account := range fleet.accounts {
		total := account.total
		total.Account = name
		totals = append(totals, total)
	}
	return totals
}

// Counts returns this VM's own counts.
func (fleet *Fleet) Counts() []Count {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var counts []Count
	for name, account := range fleet.accounts {
		if own, ok := account.vms[fleet.self]; ok {
			count := own.count
			count.Account = name
			counts = append(counts, count)
		}
	}
	return counts
}

// account returns the account with the limit in force.
func (fleet *Fleet) account(limit Account, now time.Time) *fleetAccount {
	account, ok := fleet.accounts[limit.Name]
	if !ok {
		account = &fleetAccount{vms: map[string]*vmCount{}}
		fleet.accounts[limit.Name] = account
	}
	if account.limit.Burst == 0 && account.limit.Rate == 0 {
		account.level += startShare * limit.Burst
		account.own += startShare * limit.Burst * max(fleet.share(account, now), savedShare)
		account.updated = now
	}
	account.limit = limit
	return account
}

// refill fills both buckets up to the time. A lower limit drops what is above.
func (account *fleetAccount) refill(limit Account, share float64, now time.Time) {
	if elapsed := now.Sub(account.updated).Seconds(); elapsed > 0 {
		account.level += elapsed * limit.Rate
		account.own += elapsed * limit.Rate * share
		account.updated = now
	}
	account.level = min(account.level, limit.Burst)
	account.own = min(account.own, limit.Burst*max(share, savedShare))
}

// vm returns what is known of a VM, which may be this one.
func (account *fleetAccount) vm(name string, now time.Time) *vmCount {
	known, ok := account.vms[name]
	if !ok {
		known = &vmCount{at: now}
		account.vms[name] = known
	}
	return known
}

// want counts demand.
func (count *vmCount) want(tokens float64, now time.Time) {
	count.decay(now)
	count.count.Wanted += tokens
	count.demand += tokens / demandTime.Seconds()
}

// decay lets the averaged demand fade.
func (count *vmCount) decay(now time.Time) {
	if elapsed := now.Sub(count.at); elapsed > 0 {
		count.demand *= max(0, 1-elapsed.Seconds()/demandTime.Seconds())
		count.at = now
	}
}

// share returns this VM's part of an account's rate: its part of the demand.
// VMs that are not heard any more keep the demand that they told last; those
// that were never heard are taken to have as much as the others.
func (fleet *Fleet) share(account *fleetAccount, now time.Time) float64 {
	equal := 1 / float64(fleet.expected)
	total, own := 0.0, 0.0
	for name, count := range account.vms {
		silent := name != fleet.self && now.Sub(fleet.heard[name].at) > heardTime
		if silent && now.Sub(fleet.heard[name].at) > forgetTime {
			continue
		}
		if !silent {
			count.decay(now)
		}
		total += count.demand
		if name == fleet.self {
			own = count.demand
		}
	}
	if total <= 0 {
		return equal
	}
	if known := fleet.known(now); known < fleet.expected {
		total *= float64(fleet.expected) / float64(known) // strangers are taken for the same
	}
	return min(1, max(own/total, min(minShare, equal)))
}

// known returns the number of VMs whose counts were told not long ago, this one
// included.
func (fleet *Fleet) known(now time.Time) int {
	known := 1
	for _, heard := range fleet.heard {
		if now.Sub(heard.at) <= forgetTime {
			known += heard.vms
		}
	}
	return known
}

// alone reports whether VMs that should be there are not heard themselves: then
// what they spend just now is not known.
func (fleet *Fleet) alone(now time.Time) bool {
	heard := 1
	for _, source := range fleet.heard {
		if now.Sub(source.at) <= heardTime && !source.summed {
			heard += source.vms
		}
	}
	return heard < fleet.expected
}
