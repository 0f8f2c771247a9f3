package quota

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkFleet returns a limiter with 40 accounts, and a function that merges the
// next heartbeat: each source sends one every 750 ms, in turn.
func benchmarkFleet(sources int) (limiter *Limiter, limits []Account, heartbeat func() time.Time) {
	now := time.Unix(1_700_000_000, 0)
	began := now.Add(-time.Hour)
	limiter = newSizedLimiter("vm", sources+1)
	var counts []Count
	for i := range 40 {
		limits = append(limits, Account{Name: fmt.Sprint("account-", i), Rate: 1e5, Burst: 1e5})
		counts = append(counts, Count{Account: limits[i].Name})
	}
	limiter.SetLimits(limits, now)
	number := 0
	heartbeat = func() time.Time {
		now = now.Add(750 * time.Millisecond / time.Duration(sources))
		limiter.UpdateCounts(Source{Name: vmName(number % sources), Boot: "1", VMs: 1, Began: began, SameZone: true}, counts, now, now)
		number++
		return now
	}
	for range sources {
		heartbeat()
	}
	return limiter, limits, heartbeat
}

func BenchmarkUpdateCounts(b *testing.B) {
	for _, sources := range []int{8, 60, 300} {
		b.Run(fmt.Sprint(sources, " sources"), func(b *testing.B) {
			_, _, heartbeat := benchmarkFleet(sources)
			for b.Loop() {
				heartbeat()
			}
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, sources := range []int{8, 60, 300} {
		b.Run(fmt.Sprint(sources, " sources"), func(b *testing.B) {
			limiter, limits, heartbeat := benchmarkFleet(sources)
			now := heartbeat()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				limiter.Admit(limits[0], Request{Tokens: 1, Kind: "chat"}, now)
			}
		})
	}
}
