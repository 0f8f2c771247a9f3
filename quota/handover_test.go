package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// zoneOfVMs plays an availability zone whose VMs spend at a steady rate. Each VM debits
// what the others spend from its model of the fleet's bucket: a representative by their
// counts, the others by the sums that the representatives send them.
type zoneOfVMs struct {
	vms             []*Limiter
	began, now      time.Time
	limit           Account
	representatives []int
	spent           float64
	startLevel      float64
}

const (
	zoneVMs       = 5
	zoneTick      = 20 * time.Millisecond
	tokensPerTick = 10.0 // of each VM
	zoneSums      = "zone 1"
)

func newZoneOfVMs(representatives ...int) *zoneOfVMs {
	now := time.Unix(1_700_000_000, 0)
	zone := &zoneOfVMs{representatives: representatives, began: now, now: now, limit: Account{Name: "school", Burst: 1e9}}
	for i := range zoneVMs {
		zone.vms = append(zone.vms, newSizedLimiter(vmName(i), zoneVMs))
		zone.vms[i].SetLimits([]Account{zone.limit}, now)
	}
	zone.startLevel = zone.vms[0].accounts[zone.limit.Name].level
	return zone
}

// spend lets all VMs spend, and exchanges counts every heartbeatInterval.
func (zone *zoneOfVMs) spend(length time.Duration, check func()) {
	for end := zone.now.Add(length); zone.now.Before(end); zone.now = zone.now.Add(zoneTick) {
		for _, vm := range zone.vms {
			if _, ok := vm.Admit(zone.limit, Request{Tokens: tokensPerTick}, zone.now); ok {
				zone.spent += tokensPerTick
			}
		}
		if zone.now.Sub(zone.began)%heartbeatInterval == 0 {
			zone.sendReports()
			zone.sendSums()
		}
		check()
	}
}

// sendReports sends each representative the counts of the other VMs.
func (zone *zoneOfVMs) sendReports() {
	for _, representative := range zone.representatives {
		for i, vm := range zone.vms {
			source := Source{Name: vmName(i), Boot: "1", VMs: 1, Began: zone.began, SameZone: true}
			zone.vms[representative].UpdateCounts(source, vm.Counts(), zone.now, zone.now)
		}
	}
}

// sendSums sends the VMs that are not representatives the sums of the other VMs.
func (zone *zoneOfVMs) sendSums() {
	for _, representative := range zone.representatives {
		source := Source{Name: zoneSums, Boot: vmName(representative), VMs: zoneVMs - 1, Began: zone.began, SameZone: true, Summed: true}
		for i, vm := range zone.vms {
			if !slices.Contains(zone.representatives, i) {
				vm.UpdateCounts(source, zone.vms[representative].TotalsWithout(vmName(i)), zone.now, zone.now)
			}
		}
	}
}

// handOver makes another VM the first representative. That VM and the former one remove
// the sources of their former part. The steps are taken in the given order.
func (zone *zoneOfVMs) handOver(to int, order []string) {
	from := zone.representatives[0]
	zone.representatives[0] = to
	for _, step := range order {
		switch step {
		case "reports":
			zone.sendReports()
		case "sums":
			zone.sendSums()
		case "remove":
			zone.vms[to].RemoveSource(zoneSums)
			for i := range zone.vms {
				zone.vms[from].RemoveSource(vmName(i))
			}
		}
	}
}

// Guards against tokens that are debited twice, or not at all, when another VM becomes
// the representative of the availability zone, soon after all started or later.
func TestTokensAreDebitedOnceWhenRepresentativeChanges(t *testing.T) {
	// What all VMs spend between two reports is not known yet, and may be lost at each
	// handover.
	const perReport = zoneVMs * tokensPerTick * float64(heartbeatInterval/zoneTick)
	orders := [][]string{{"remove"}, {"remove", "reports", "sums"}, {"reports", "sums", "remove"}, {"sums", "reports", "remove"}}
	for _, test := range []struct {
		after  time.Duration // since all VMs started
		others []int         // representatives beside vm-0
		next   []int         // these replace vm-0, one after the other
		pause  time.Duration // after each handover
	}{
		{800 * time.Millisecond, nil, []int{1}, time.Second},
		{800 * time.Millisecond, nil, []int{1, 0, 1, 0}, 0},
		{800 * time.Millisecond, nil, []int{1, 0, 1, 0}, 700 * time.Millisecond},
		{4 * time.Second, nil, []int{1, 0}, 700 * time.Millisecond},
		{4 * time.Second, nil, []int{1, 2}, 700 * time.Millisecond},
		{20 * time.Second, nil, []int{1, 0}, 0},
		{20 * time.Second, nil, []int{1, 0, 1}, 3 * time.Second},
		{20 * time.Second, nil, []int{1, 2, 0, 1}, 700 * time.Millisecond},
		{800 * time.Millisecond, []int{4}, []int{1, 0, 2}, 700 * time.Millisecond},
		{20 * time.Second, []int{4}, []int{1, 0, 1}, 3 * time.Second},
	} {
		for _, order := range orders {
			t.Run(fmt.Sprint(test, order), func(t *testing.T) {
				zone, handovers := newZoneOfVMs(append([]int{0}, test.others...)...), 0.0
				check := func() {
					for i, vm := range zone.vms {
						got, most := zone.startLevel-vm.accounts[zone.limit.Name].level, zone.spent
						if least := most - perReport*(1+handovers); got > most+0.01 || got < least {
							t.Fatalf("after %v: vm-%d debited %.0f tokens, want %.0f to %.0f", zone.now.Sub(zone.began), i, got, least, most)
						}
					}
				}
				zone.spend(test.after, check)
				for _, representative := range test.next {
					zone.handOver(representative, order)
					handovers++
					zone.spend(test.pause, check)
				}
				zone.spend(time.Second, check)
			})
		}
	}
}
