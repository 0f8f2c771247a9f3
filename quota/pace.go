package quota

import (
	"math"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
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
)

// admitPaced admits a part of the requests, so that the fleet spends as fast as its
// bucket allows. The factor is by how much the request is smaller than others.
func (account *fleetAccount) admitPaced(self string, tokens, factor float64, now time.Time) (time.Time, bool) {
	limit := account.limit
	outlook := account.outlook(self, now)
	spare, oldest := outlook.Spare, outlook.Oldest
	if spare-paceGain*limit.Rate*oldest.Seconds() >= tokens {
		account.spend(account.vm(self, now), tokens)
		return now, true // whatever the others may spend meanwhile
	}
	if oldest > 0 && spare > 0 { // otherwise the bucket surely holds too little
		pace := limit.Rate * (1 + paceGain*(spare/limit.Burst-paceLevel))
		account.credit += min(1, pace/outlook.Demand*factor)
	}
	if account.credit < 1 {
		// By then the bucket holds enough for this request.
		missing := min(tokens, limit.Burst) - spare
		return now.Add(max(minRetry, secondsToGain(missing, max(1, limit.Rate)))), false
	}
	account.credit--
	account.spend(account.vm(self, now), tokens)
	return now, true
}

// Outlook is what a VM goes by when it admits requests of an account.
type Outlook struct {
	// Spare is the tokens in the fleet's bucket, less what others are taken to have
	// spent since they told.
	Spare float64
	// Demand is the tokens a second that the fleet is asked for.
	Demand float64
	// Oldest is the age of the oldest counts, unseenTime at the most.
	Oldest time.Duration
	// Informed is set when enough of the VMs are heard; otherwise this VM spends its
	// share alone.
	Informed bool
}

// Outlook returns what this VM goes by for an account.
func (fleet *Fleet) Outlook(name string, now time.Time) Outlook {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	account, ok := fleet.accounts[name]
	if !ok {
		return Outlook{}
	}
	outlook := account.outlook(fleet.self, now)
	outlook.Informed = fleet.informed(now)
	return outlook
}

func (account *fleetAccount) outlook(self string, now time.Time) Outlook {
	outlook := Outlook{Spare: account.level}
	for name, count := range account.vms {
		if count.told && now.Sub(count.made) > forgetTime {
			continue
		}
		young := count.young(now)
		outlook.Demand += count.demand * young
		if name != self {
			age := min(unseenTime, now.Sub(count.made))
			outlook.Spare -= count.spending * young * age.Seconds()
			outlook.Oldest = max(outlook.Oldest, age)
		}
	}
	return outlook
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

// phase returns a number from 0 to 1 by which VMs that see few requests differ, so
// that they do not all refuse or admit their next one.
func phase(vm, account string) float64 {
	return float64(prefix.Mix(prefix.Digest(vm)^prefix.Digest(account))) / math.MaxUint64
}
