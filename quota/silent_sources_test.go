package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a bucket that refills by an outdated sum of what silent VMs spend: VMs
// report late, restart, are removed, expire and return in random order.
func TestSilentSourcesAreDeducted(t *testing.T) {
	limit := Account{Name: "school", Rate: 1e6, Burst: 1e9}
	silences := 0
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1_700_000_000, 0)
		limiter := newSizedLimiter("vm", 9)
		limiter.SetLimits([]Account{limit}, now)
		account, spent := limiter.accounts[limit.Name], map[string]float64{}
		for step := range 3000 {
			now = now.Add(time.Duration(random.Int64N(int64(300 * time.Millisecond))))
			if random.IntN(200) == 0 {
				now = now.Add(time.Duration(random.Int64N(int64(40 * time.Second))))
			}
			elapsed, rate := now.Sub(account.levelUpdated).Seconds(), limit.Rate
			for _, source := range account.sources {
				if silence := now.Sub(source.madeAt); source.remote && silence > maxExtrapolation && silence < sourceExpiry {
					rate -= source.spending
					silences++
				}
			}
			account.level = 0
			limiter.SetLimits([]Account{limit}, now)
			if got, want := account.level, elapsed*max(0, rate); math.Abs(got-want) > 1e-6*max(1, want) {
				t.Fatalf("seed %d, step %d: got %f tokens refilled, want %f", seed, step, got, want)
			}
			name := vmName(random.IntN(8))
			switch random.IntN(8) {
			case 0:
				limiter.Admit(limit, Request{Tokens: 100}, now)
			case 1:
				if random.IntN(10) == 0 {
					limiter.RemoveSource(name)
				}
			default:
				spent[name] += random.Float64() * 1e5
				source := Source{Name: name, Boot: fmt.Sprint(random.IntN(20) / 19), VMs: 1, Began: now.Add(-time.Duration(random.IntN(10)) * time.Second)}
				made := now.Add(-time.Duration(random.Int64N(int64(2 * time.Second))))
				limiter.UpdateCounts(source, []Count{{Account: limit.Name, Spent: spent[name]}}, made, now)
			}
		}
	}
	if silences == 0 {
		t.Error("got no silent source")
	}
}
