package quota

import (
	"sync"
	"time"
)

const (
	// demandTime is the time constant over which demand and spending are averaged.
	demandTime = 2 * time.Second
	// countsMaxAge is the age up to which the counts of another VM are treated as
	// current. Heartbeats arrive several times a second.
	countsMaxAge = 1500 * time.Millisecond
	// sourceExpiry is how long the share of an unreachable VM remains reserved.
	sourceExpiry = 30 * time.Second
	// minReachableShare is the fraction of the VMs that must be reachable for a VM
	// to admit requests by the fleet's spending. The unreachable ones are assumed
	// to continue to spend as last reported.
	minReachableShare = 0.75
	// maxSavedBursts is how many bursts all VMs together may accumulate in their
	// shares, so that requests larger than a VM's share of the burst can be
	// admitted.
	maxSavedBursts = 2.4
	// startupShare is the fraction of the slack that VMs which start together may
	// spend before they receive each other's counts: the account may have spent all
	// that it is entitled to just before. The rest covers what is spent before counts
	// arrive. Without a slack, it is a fraction of the burst.
	startupShare        = 0.6
	startupShareOfBurst = 0.45
	// The counts of a new or restarted source are treated as recent spending if it
	// began to count at most newSourceMaxAge ago, and at most newSourceMaxLead
	// before this VM did.
	newSourceMaxAge  = 5 * time.Second
	newSourceMaxLead = 2 * time.Second
	// minShare lets a VM without demand serve its first requests.
	minShare = 0.02
)

// Count is one account's tokens at one VM since the VM's process started.
type Count struct {
	Account string
	// Spent is the number of tokens admitted, Wanted the number requested, whether
	// admitted or not.
	Spent  float64
	Wanted float64
}

// Source identifies the origin of counts: a VM that reports its own, or a
// representative that reports the sums of several VMs.
type Source struct {
	Name string
	// Boot identifies the process that reports the counts.
	Boot string
	// VMs is the number of VMs whose tokens are counted.
	VMs int
	// Began is when the process began to count.
	Began time.Time
	// SameZone is set for a VM of this VM's availability zone, and for the sums of the
	// zone's other VMs. Their tokens are included in the Totals that this VM reports to
	// others. A VM takes the counts of single VMs or sums: RemoveSource removes those of
	// the other kind when it begins or ceases to represent its zone.
	SameZone bool
	// Summed is set if the counts are sums of several VMs. Other processes may then
	// report sums of the same tokens under the same name.
	Summed bool
}

// Slack is what the fleet may admit of an account in any window of time, in addition to
// its rate times the length of the window and its burst.
type Slack struct {
	// Overage is a share of that entitlement.
	Overage       float64
	WindowSeconds float64
	// Tokens are admitted in addition to the overage.
	Tokens float64
}

// tokens returns the slack in tokens for an account's limit.
func (slack Slack) tokens(limit Account) float64 {
	return slack.Overage*(limit.Rate*slack.WindowSeconds+limit.Burst) + slack.Tokens
}

// sourceReport records when a source's latest counts were made and how many VMs
// they cover.
type sourceReport struct {
	madeAt time.Time
	vms    int
}

// Limiter keeps accounts within their limits by counts that all VMs exchange. Each
// VM maintains a model of the fleet's token bucket: it refills the bucket at the
// account's whole rate and debits what any VM spent, and what other VMs are
// estimated to have spent since their last report. The fuller the bucket, the
// faster the fleet may spend. When demand is higher than that, each VM admits the
// same fraction of its requests, and a somewhat larger fraction of small ones. A
// VM therefore needs an estimate of the demand of the whole fleet, but not of its
// own small part of it.
//
// A VM that does not receive the counts of the others spends a share of the rate
// in proportion to its share of the demand. An unreachable VM keeps its share.
//
// Compared with an ideal bucket, the fleet exceeds a limit by what all VMs admit
// between two heartbeats after demand grew; the bucket deducts the excess from
// what is admitted next. Limiter is safe for concurrent use.
type Limiter struct {
	// Slack is what the fleet may admit in addition to an account's limit. It is set
	// before use.
	Slack Slack

	self string

	mu             sync.Mutex // guards the fields below
	accounts       map[string]*accountState
	reports        map[string]sourceReport
	fleetSize      int
	fleetSizeKnown bool
	requestSizes   requestSizes
}

// NewLimiter returns the limiter of the VM that self names. vms is the assumed
// number of VMs until SetFleetSize is called.
func NewLimiter(self string, vms int) *Limiter {
	return &Limiter{self: self, accounts: map[string]*accountState{}, reports: map[string]sourceReport{}, fleetSize: max(1, vms), requestSizes: requestSizes{means: map[string]float64{}}}
}

// SetLimits sets the limits in force. Spending is counted from now on, so that it
// is known when an account's first request arrives.
func (limiter *Limiter) SetLimits(limits []Account, now time.Time) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	for _, limit := range limits {
		limiter.account(limit, now)
	}
}

// SetFleetSize sets the number of VMs, reachable or not. Until that number is
// certain, this VM does not rely on the counts that it receives: they may cover a
// small part of the fleet. What this VM may spend at its start is corrected when the
// number changes before it is certain.
func (limiter *Limiter) SetFleetSize(vms int, certain bool) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	vms = max(1, vms)
	if !limiter.fleetSizeKnown {
		correction := 1/float64(vms) - 1/float64(limiter.fleetSize)
		for _, account := range limiter.accounts {
			account.shareLevel += limiter.startupTokens(account.limit) * correction
		}
	}
	limiter.fleetSize, limiter.fleetSizeKnown = vms, certain
}

// Request is what a request asks of its account.
type Request struct {
	Tokens float64
	// Kind names the kind of request. Kinds differ in the size of their requests.
	Kind string
	// Continues is set if the caller already has a part of the answer.
	Continues bool
}

// continuesFactor is by how much requests that continue an answer are admitted more often
// than others while an account asks for more than its rate. After the loss of many VMs
// they come together with the retries of all others.
const continuesFactor = 5

// Admit debits the tokens of a request from the account, or returns the time at which
// to retry.
func (limiter *Limiter) Admit(limit Account, request Request, now time.Time) (retryAt time.Time, ok bool) {
	tokens := request.Tokens
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	account := limiter.account(limit, now)
	limit = account.limit
	own := account.source(limiter.self, now)
	own.decay(now)
	// Compute the share before counting this request: otherwise a VM with few
	// requests would overestimate its share of the demand.
	share := limiter.share(account, now)
	account.refillShare(limit, share, limiter.savedShare(), now)
	own.addDemand(tokens)
	factor := limiter.requestSizes.admissionFactor(request)
	credit := &account.credit
	if request.Continues {
		factor, credit = factor*continuesFactor, &account.continueCredit
	}
	if limiter.fleetReachable(now) {
		return account.admitPaced(limiter.self, tokens, factor, credit, now)
	}
	return account.admitShare(own, share, tokens, now)
}

// Refund returns the tokens of a request that did not run.
func (limiter *Limiter) Refund(name string, tokens float64, now time.Time) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	account, ok := limiter.accounts[name]
	if !ok {
		return
	}
	account.source(limiter.self, now).count.Spent -= tokens
	account.level = min(account.limit.Burst, account.level+tokens)
	account.shareLevel += tokens
}

// UpdateCounts merges the counts of another VM, or the sums of several VMs, that
// were made at the given time.
func (limiter *Limiter) UpdateCounts(source Source, counts []Count, made, now time.Time) {
	if source.Name == limiter.self {
		return
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	limiter.reports[source.Name] = sourceReport{madeAt: made, vms: source.VMs}
	for _, count := range counts {
		account, ok := limiter.accounts[count.Account]
		if !ok {
			account = newAccountState(now)
			limiter.accounts[count.Account] = account
		}
		account.applyCount(source, count, made, now)
	}
}

// RemoveSource removes a source whose tokens another source reports.
func (limiter *Limiter) RemoveSource(name string) {
	if name == limiter.self {
		return
	}
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	delete(limiter.reports, name)
	for _, account := range limiter.accounts {
		account.removeSource(name)
	}
}

// Totals returns what this VM and sources with SameZone set counted since this
// process started.
func (limiter *Limiter) Totals() []Count {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	totals := make([]Count, 0, len(limiter.accounts))
	for name, account := range limiter.accounts {
		total := account.zone.total.plus(account.own(limiter.self))
		total.Account = name
		totals = append(totals, total)
	}
	return totals
}

// TotalsWithout returns Totals less what the named VM, another one of this VM's
// availability zone, counted of them. The VM may compare successive results: they only
// change by what others counted. Therefore what it counted stays subtracted after its
// process was replaced by another, and after RemoveSource. Accounts are left out while
// that part is not known: after sources with SameZone and Summed set reported it, until
// the VM reports its own counts.
func (limiter *Limiter) TotalsWithout(name string) []Count {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	totals := make([]Count, 0, len(limiter.accounts))
	for accountName, account := range limiter.accounts {
		_, isSource := account.sources[name]
		if total, ok := account.zone.without(name, isSource); ok {
			total = total.plus(account.own(limiter.self))
			total.Account = accountName
			totals = append(totals, total)
		}
	}
	return totals
}

// Counts returns this VM's own counts.
func (limiter *Limiter) Counts() []Count {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	var counts []Count
	for name, account := range limiter.accounts {
		if own, ok := account.sources[limiter.self]; ok {
			count := own.count
			count.Account = name
			counts = append(counts, count)
		}
	}
	return counts
}

// account returns the account's state, after setting the limit in force. It
// creates the state if there is none.
func (limiter *Limiter) account(limit Account, now time.Time) *accountState {
	if limit.Burst <= 0 {
		limit.Burst = limit.Rate // tokens of one second
	}
	account, ok := limiter.accounts[limit.Name]
	if !ok {
		account = newAccountState(now)
		limiter.accounts[limit.Name] = account
	}
	if account.limit.Burst == 0 && account.limit.Rate == 0 {
		startupTokens := limiter.startupTokens(limit)
		account.level += startupTokens
		account.shareLevel += startupTokens / float64(limiter.fleetSize)
		account.levelUpdated, account.shareUpdated = now, now
		account.credit = initialCredit(limiter.self, limit.Name)
	}
	account.source(limiter.self, now) // from now on Counts includes the account, so that others receive its count from the start
	account.refillLevel(now)
	account.limit = limit
	account.level = min(account.level, limit.Burst)
	return account
}

// startupTokens returns what VMs that start together may spend of an account before
// they receive each other's counts.
func (limiter *Limiter) startupTokens(limit Account) float64 {
	if slack := limiter.Slack.tokens(limit); slack > 0 {
		return min(limit.Burst, startupShare*slack)
	}
	return startupShareOfBurst * limit.Burst
}

// share returns this VM's share of an account's rate, which is its share of the
// demand. VMs that became unreachable keep the demand that they last reported; VMs
// that never reported are assumed to have as much as the others.
func (limiter *Limiter) share(account *accountState, now time.Time) float64 {
	equal := 1 / float64(limiter.fleetSize)
	total, own := 0.0, 0.0
	for name, count := range account.sources {
		silent := name != limiter.self && now.Sub(limiter.reports[name].madeAt) > countsMaxAge
		if silent && now.Sub(limiter.reports[name].madeAt) > sourceExpiry {
			continue
		}
		if !silent {
			account.silent.decay(count, now)
		}
		total += count.demand
		if name == limiter.self {
			own = count.demand
		}
	}
	if total <= 0 {
		return equal
	}
	if known := limiter.knownVMs(now); known < limiter.fleetSize {
		total *= float64(limiter.fleetSize) / float64(known) // unknown VMs are assumed to have average demand
	}
	return min(1, max(own/total, min(minShare, equal)))
}

// knownVMs returns the number of VMs, including this one, whose latest counts have
// not expired.
func (limiter *Limiter) knownVMs(now time.Time) int {
	known := 1
	for _, report := range limiter.reports {
		if now.Sub(report.madeAt) <= sourceExpiry {
			known += report.vms
		}
	}
	return known
}

// savedShare returns the fraction of the burst that this VM may accumulate.
func (limiter *Limiter) savedShare() float64 {
	return min(1, maxSavedBursts/float64(limiter.fleetSize))
}

// fleetReachable reports whether nearly all expected VMs have sent counts
// recently, so that the fleet's spending is known.
func (limiter *Limiter) fleetReachable(now time.Time) bool {
	if !limiter.fleetSizeKnown {
		return false
	}
	reachable := 1
	for _, report := range limiter.reports {
		if now.Sub(report.madeAt) <= countsMaxAge {
			reachable += report.vms
		}
	}
	return float64(reachable) >= minReachableShare*float64(limiter.fleetSize)
}
