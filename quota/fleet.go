package quota

import (
	"math"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
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
	// unseenTime is how long after it told a VM is taken to have spent what it did
	// before, on top of what is known; a VM that is silent for longer is taken to
	// spend a part of the rate.
	unseenTime = time.Second
	// paceLevel is the part of the burst that the fleet's bucket holds while all
	// together spend the rate, and paceGain how much faster they spend, in rates for
	// each burst above it. Counts are about half a second old: a larger gain makes the
	// bucket swing.
	paceLevel = 0.3
	paceGain  = 2
	// sizeBias is the exponent by which small requests are admitted more often than
	// large ones: refusing one saves little. The largest tenth must be admitted half
	// as often as all at least, by the users' rules.
	sizeBias = 0.3
	// sizesKept is about how many requests the usual sizes are judged by.
	sizesKept = 64
	// savedBursts is how many bursts all VMs together may save up of their shares, so
	// that requests larger than a VM's share of the burst find enough.
	savedBursts = 2.4
	// startShare is the part of the burst that VMs which start together may spend
	// before they hear of each other: what was spent just before is not known.
	startShare = 0.45
	// freshTime is how much earlier than this VM another one may have begun to count
	// for all that it counted to be recent.
	freshTime = 2 * time.Second
	// shortestTime is the least time over which a rate is judged.
	shortestTime = 500 * time.Millisecond
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

// sizes is the sizes of the last requests, of all accounts.
type sizes struct {
	tokens float64 // sum of sizes, fading
	biased float64 // sum of sizes, each less by the bias
}

// note takes the size of a request.
func (sizes *sizes) note(tokens float64) {
	sizes.tokens += tokens - sizes.tokens/sizesKept
	sizes.biased += tokens*bias(tokens) - sizes.biased/sizesKept
}

// factor returns how much more often a request of the size is admitted than a part
// of all tokens says.
func (sizes *sizes) factor(tokens float64) float64 {
	if sizes.biased <= 0 {
		return 1
	}
	return bias(tokens) * sizes.tokens / sizes.biased
}

func bias(tokens float64) float64 {
	return math.Pow(max(1, tokens), -sizeBias)
}

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

// admitPaced admits a part of the requests, so that the fleet spends as fast as its
// bucket allows. The factor is by how much the request is smaller than others.
func (account *fleetAccount) admitPaced(self string, tokens, factor float64, now time.Time) (time.Time, bool) {
	limit := account.limit
	demand, unseen, oldest := 0.0, 0.0, time.Duration(0)
	for name, count := range account.vms {
		young := count.young(now)
		demand += count.demand * young
		if name != self {
			age := min(unseenTime, now.Sub(count.made))
			unseen += count.spending * young * age.Seconds()
			oldest = max(oldest, age)
		}
	}
	spare := account.level - unseen
	if spare-paceGain*limit.Rate*oldest.Seconds() >= tokens {
		account.spend(account.vm(self, now), tokens)
		return now, true // whatever the others may spend meanwhile
	}
	pace := limit.Rate * (1 + paceGain*(spare/limit.Burst-paceLevel))
	part := min(1, max(0, pace)/demand*factor)
	account.credit += part
	if account.credit < 1 {
		// By then the bucket holds enough for this request.
		missing := min(tokens, limit.Burst) - spare
		return now.Add(max(minRetry, secondsToGain(missing, max(1, limit.Rate)))), false
	}
	account.credit--
	account.spend(account.vm(self, now), tokens)
	return now, true
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

// take notes a source's count and takes what it spent out of the bucket.
func (account *fleetAccount) take(source Source, count Count, made, now time.Time) {
	known, ok := account.vms[source.Name]
	if !ok || known.boot != source.Boot {
		known = &vmCount{boot: source.Boot, made: made, told: true, at: now, since: source.Began}
		account.vms[source.Name] = known
		if source.Began.Before(account.began.Add(-freshTime)) {
			// What was spent before this VM listened is not known to be recent.
			known.count, known.since = count, now
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

// phase returns a number from 0 to 1 by which VMs that see few requests differ, so
// that they do not all refuse or admit their next one.
func phase(vm, account string) float64 {
	return float64(prefix.Mix(prefix.Digest(vm)^prefix.Digest(account))) / math.MaxUint64
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
