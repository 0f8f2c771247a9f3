package quota

import (
	"math"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// maxExtrapolation is how long after its last report a VM is assumed to
	// continue to spend as before, in addition to its reported counts. A VM that
	// is silent for longer is assumed to spend a part of the rate.
	maxExtrapolation = time.Second
	// targetLevel is the fraction of the burst that the fleet's bucket holds while
	// all VMs together spend the rate. For each burst by which the level is higher,
	// they spend faster by paceGain times the rate. Counts are about half a second
	// old: a larger gain makes the level oscillate.
	targetLevel = 0.3
	paceGain    = 2
	// sizeBias is the exponent by which small requests are admitted more often
	// than large ones of the same kind, because refusing a small one saves little.
	// By the users' rules, the largest tenth of a kind must be admitted at least half
	// as often as all requests of it.
	sizeBias = 0.3
	// kindBias is the exponent by which kinds of small requests are admitted more
	// often than kinds of large ones.
	kindBias = 0.8
	// sizeSamples is the approximate number of requests over which sizes are
	// averaged.
	sizeSamples = 64
	// kindSamples is the approximate number of requests over which the size of a kind
	// is averaged. More than for all kinds: a large request must not change the weight
	// of its own kind by much.
	kindSamples = 512
	// maxKinds is the number of kinds whose sizes are kept apart.
	maxKinds = 256
)

// admitPaced admits a fraction of the requests, so that the fleet spends as fast
// as its bucket allows. factor corrects this fraction for the size of the request:
// it is higher for small ones. credit is the part of a request
// that was not admitted yet.
func (account *accountState) admitPaced(self string, tokens, factor float64, credit *float64, now time.Time) (time.Time, bool) {
	limit := account.limit
	estimate := account.estimate(self, now)
	spare, countsAge := estimate.Spare, estimate.CountsAge
	if spare-paceGain*limit.Rate*countsAge.Seconds() >= tokens {
		account.spend(account.source(self, now), tokens)
		return now, true // enough, whatever other VMs may have spent meanwhile
	}
	if countsAge > 0 && spare > 0 { // otherwise the bucket certainly holds too little
		pace := limit.Rate * (1 + paceGain*(spare/limit.Burst-targetLevel))
		*credit += min(1, pace/estimate.Demand*factor)
	}
	if *credit < 1 {
		// By then the bucket holds enough for this request.
		missing := min(tokens, limit.Burst) - spare
		return now.Add(max(minRetryAfter, accrualTime(missing, max(1, limit.Rate)))), false
	}
	*credit--
	account.spend(account.source(self, now), tokens)
	return now, true
}

// Estimate is a VM's estimate of the fleet's bucket and demand for an account, by
// which it admits requests.
type Estimate struct {
	// Spare is the number of tokens in the fleet's bucket, less what other VMs are
	// estimated to have spent since their last report.
	Spare float64
	// Demand is the tokens a second that are requested from the whole fleet.
	Demand float64
	// CountsAge is the age of the oldest counts, at most maxExtrapolation.
	CountsAge time.Duration
	// FleetReachable is set if enough VMs are reachable; otherwise this VM spends
	// from its share alone.
	FleetReachable bool
}

// Estimate returns this VM's current estimate for an account, or the zero value for
// an unknown account.
func (limiter *Limiter) Estimate(name string, now time.Time) Estimate {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	account, ok := limiter.accounts[name]
	if !ok {
		return Estimate{}
	}
	estimate := account.estimate(limiter.self, now)
	estimate.FleetReachable = limiter.fleetReachable(now)
	return estimate
}

func (account *accountState) estimate(self string, now time.Time) Estimate {
	estimate := Estimate{Spare: account.level}
	for name, count := range account.sources {
		if count.remote && now.Sub(count.madeAt) > sourceExpiry {
			continue
		}
		factor := count.startupFactor(now)
		estimate.Demand += count.demand * factor
		if name != self {
			age := min(maxExtrapolation, now.Sub(count.madeAt))
			estimate.Spare -= count.spending * factor * age.Seconds()
			estimate.CountsAge = max(estimate.CountsAge, age)
		}
	}
	return estimate
}

// requestSizes averages the sizes of recent requests of all accounts.
type requestSizes struct {
	tokens   float64            // sum of sizes, decaying
	weighted float64            // sum of sizes, each multiplied by its weight, decaying
	means    map[string]float64 // mean size by kind
}

// admissionFactor adds a request and returns the factor that corrects the admitted
// fraction for its size and kind: above 1 for small requests, below 1 for large ones.
func (requestSizes *requestSizes) admissionFactor(request Request) float64 {
	weight := sizeWeight(request.Tokens, requestSizes.addToMean(request))
	requestSizes.tokens += request.Tokens - requestSizes.tokens/sizeSamples
	requestSizes.weighted += request.Tokens*weight - requestSizes.weighted/sizeSamples
	if requestSizes.weighted <= 0 {
		return 1
	}
	return weight * requestSizes.tokens / requestSizes.weighted
}

// addToMean adds a request to the mean size of its kind, and returns the mean of those
// before it.
func (requestSizes *requestSizes) addToMean(request Request) float64 {
	mean, ok := requestSizes.means[request.Kind]
	if !ok {
		if len(requestSizes.means) >= maxKinds {
			clear(requestSizes.means)
		}
		mean = request.Tokens
	}
	requestSizes.means[request.Kind] = mean + (request.Tokens-mean)/kindSamples
	return mean
}

// sizeWeight returns the weight of a request of a kind with the given mean size.
func sizeWeight(tokens, mean float64) float64 {
	mean = max(1, mean)
	return math.Pow(mean, -kindBias) * math.Pow(max(1, tokens)/mean, -sizeBias)
}

// initialCredit returns a number from 0 to 1 that differs between VMs, so that VMs
// which receive few requests do not all refuse or admit their next one.
func initialCredit(vm, account string) float64 {
	return float64(prefix.Mix(prefix.Digest(vm)^prefix.Digest(account))) / math.MaxUint64
}
