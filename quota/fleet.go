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
	// informedShare is the part of the VMs that must be heard for a VM to go by what
	// the fleet spends. The others are taken to spend as they did.
	informedShare = 0.75
	// savedBursts is how many bursts all VMs together may save up of their shares, so
	// that requests larger than a VM's share of the burst find enough.
	savedBursts = 2.4
	// startShare is the part of the burst that VMs which start together may spend
	// before they hear of each other: what was spent just before is not known.
	startShare = 0.45
	// recentTime is how long ago another VM may have begun to count, and freshTime how
	// much earlier than this one, for all that it counted to be recent.
	recentTime = 5 * time.Second
	freshTime  = 2 * time.Second
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
	// Began is when the process began to count.
	Began time.Time
	// Near sources' tokens are part of the totals that this VM tells others.
	Near bool
}

// hearing is when a source was last heard.
type hearing struct {
	at  time.Time
	vms int
}

// Fleet keeps accounts within their limits by counts that all VMs tell each
// other. Each VM fills a bucket at the account's whole rate and takes out what
// any VM spent, and what others are taken to have spent since they told. The
// fuller the bucket, the faster the fleet may spend; when all ask for more, each VM
// admits the same part of its requests, of small ones somewhat more. So a VM needs to
// know what all ask for, but not its own small part of it.
//
// A VM that does not hear the others spends a share of the rate that follows its
// share of the demand. A VM that is not heard keeps its share.
//
// Against an ideal bucket the fleet exceeds a limit by what all VMs admit between
// two heartbeats after demand grew; the bucket takes it off what is admitted next.
// It is safe for concurrent use.
type Fleet struct {
	self string

	mu       sync.Mutex // guards accounts and heard
	accounts map[string]*fleetAccount
	heard    map[string]hearing
	expected int
	sure     bool
	sizes    sizes
}

// NewFleet returns the fleet's limits as the named VM sees them; vms is how many
// VMs there may be, until Expect tells.
func NewFleet(self string, vms int) *Fleet {
	return &Fleet{self: self, accounts: map[string]*fleetAccount{}, heard: map[string]hearing{}, expected: max(1, vms)}
}

// Limit takes the limits in force. What is spent from then on is known when the
// first request comes.
func (fleet *Fleet) Limit(limits []Account, now time.Time) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, limit := range limits {
		fleet.account(limit, now)
	}
}

// Expect notes how many VMs there are, heard or not. Until that is sure, this VM
// does not go by what it hears: it may hear a small part of the fleet.
func (fleet *Fleet) Expect(vms int, sure bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.expected, fleet.sure = max(1, vms), sure
}

// Admit takes tokens of the account, or says when to come back.
func (fleet *Fleet) Admit(limit Account, tokens float64, now time.Time) (retryAt time.Time, ok bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	account := fleet.account(limit, now)
	limit = account.limit
	own := account.vm(fleet.self, now)
	own.decay(now)
	// The share is what it was before this request, which would make a VM with few
	// requests take itself for a large one.
	share := fleet.share(account, now)
	account.refill(limit, share, fleet.saved(), now)
	own.want(tokens)
	account.total.Wanted += tokens
	fleet.sizes.note(tokens)
	if fleet.informed(now) {
		return account.admitPaced(fleet.self, tokens, fleet.sizes.factor(tokens), now)
	}
	return account.admitShare(own, share, tokens, now)
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

// Heard takes another VM's counts, or the sums of several VMs', that were made at
// a time.
func (fleet *Fleet) Heard(source Source, counts []Count, made, now time.Time) {
	if source.Name == fleet.self {
		return
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.heard[source.Name] = hearing{at: made, vms: source.VMs}
	for _, count := range counts {
		account, ok := fleet.accounts[count.Account]
		if !ok {
			account = &fleetAccount{began: now, vms: map[string]*vmCount{}}
			fleet.accounts[count.Account] = account
		}
		account.take(source, count, made, now)
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
	if limit.Burst <= 0 {
		limit.Burst = limit.Rate // what a second brings
	}
	account, ok := fleet.accounts[limit.Name]
	if !ok {
		account = &fleetAccount{began: now, vms: map[string]*vmCount{}}
		fleet.accounts[limit.Name] = account
	}
	if account.limit.Burst == 0 && account.limit.Rate == 0 {
		account.level += startShare * limit.Burst
		account.own += startShare * limit.Burst / float64(fleet.expected)
		account.filled, account.updated = now, now
		account.credit = phase(fleet.self, limit.Name)
	}
	account.vm(fleet.self, now) // told from now on, so that others know from when it counts
	account.fill(now)
	account.limit = limit
	account.level = min(account.level, limit.Burst)
	return account
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

// saved returns the part of the burst that this VM may save up.
func (fleet *Fleet) saved() float64 {
	return min(1, savedBursts/float64(fleet.expected))
}

// informed reports whether nearly all VMs that should be there are heard, so that
// what the fleet spends is known.
func (fleet *Fleet) informed(now time.Time) bool {
	if !fleet.sure {
		return false
	}
	heard := 1
	for _, source := range fleet.heard {
		if now.Sub(source.at) <= heardTime {
			heard += source.vms
		}
	}
	return float64(heard) >= informedShare*float64(fleet.expected)
}
