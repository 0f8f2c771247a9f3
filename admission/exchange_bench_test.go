package admission

import (
	"fmt"
	"testing"
	"time"
)

// newZoneServices returns the controllers of a VM that is asked for a service by many
// accounts, as are the other VMs of its availability zone.
func newZoneServices(b *testing.B, vms, accounts int, now time.Time) (*Services, map[string]bool) {
	room := Room{TokensPerSecond: 1e5, Wait: time.Second, AimedWait: time.Second}
	services := &Services{Self: "vm-0", Started: now.Add(-time.Minute), Room: func(string, time.Time) Room { return room }}
	services.SetFleetSize(300)
	for i := range accounts {
		services.Get("notes").Decide(Request{Account: fmt.Sprint("account-", i), Level: LevelOf(i%3, i%2), Tokens: 2000}, now)
	}
	demands := services.Demands(now.Add(planInterval))
	if len(demands) != 1 {
		b.Fatalf("got demands %v, want those of one service", demands)
	}
	names := map[string]bool{}
	for i := range vms {
		name := fmt.Sprint("vm-", 1+i)
		names[name] = true
		services.Merge(name, demands, now)
	}
	return services, names
}

func BenchmarkSummedDemands(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	services, names := newZoneServices(b, 54, 430, now)
	b.ReportAllocs()
	for b.Loop() {
		services.SummedDemands(names, now.Add(planInterval))
	}
}
