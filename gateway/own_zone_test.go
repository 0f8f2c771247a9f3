package gateway

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/quota"
)

// Guards against heartbeats, and with them processor time, that grow with the number of VMs
// in an availability zone (SHORT), and against what that may cost: VMs that take live ones for
// dead, that miss what others spent, or that count it twice, also after faults.
func TestVMsOfCrowdedZoneReportToItsRepresentatives(t *testing.T) {
	const (
		vms, zones = 80, 4
		// maxHeartbeats is how many a VM that is no representative may send and receive in
		// an interval, in the mean: two for representatives and two in turn with others.
		maxHeartbeats = 5
	)
	for _, test := range []struct {
		name  string
		fault func(fleet *largeFleet, account quota.Account)
	}{
		{"no fault", func(*largeFleet, quota.Account) {}},
		{"representatives stop", func(fleet *largeFleet, _ quota.Account) { fleet.stopRepresentatives("zone-1") }},
		{"representatives and those that take over stop", func(fleet *largeFleet, account quota.Account) {
			fleet.stopRepresentatives("zone-1")
			fleet.run(2 * time.Second)
			fleet.stopRepresentatives("zone-1")
		}},
		{"half of the VMs stop", func(fleet *largeFleet, account quota.Account) {
			for i, address := range fleet.addresses {
				fleet.down[address] = i%8 < zones
			}
		}},
		{"representatives are cut off for some time", func(fleet *largeFleet, _ quota.Account) {
			stopped := fleet.stopRepresentatives("zone-1")
			fleet.run(8 * time.Second)
			for _, address := range stopped {
				fleet.down[address] = false
			}
		}},
		{"a representative starts again", func(fleet *largeFleet, account quota.Account) {
			for _, address := range fleet.stopRepresentatives("zone-1") {
				fleet.run(3 * time.Second)
				for i := range fleet.addresses {
					if fleet.addresses[i] == address {
						fleet.start(i, "2")
						fleet.vms[address].members.UpdateList(fleet.listed, time.Now())
						fleet.vms[address].limits.SetLimits([]quota.Account{account}, time.Now())
						fleet.vms[address].storeHealth.recordAnswer(time.Now())
						fleet.down[address] = false
					}
				}
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newLargeFleet(vms, zones)
				account := quota.Account{Name: "school", Rate: 1, Burst: 1e9}
				fleet.limit(account)
				fleet.run(5 * time.Second)
				test.fault(fleet, account)
				fleet.run(5 * time.Second)
				before := fleet.spare("school")
				spent := 0.0
				for _, address := range fleet.live() {
					if _, ok := fleet.vms[address].limits.Admit(account, quota.Request{Tokens: 100}, time.Now()); ok {
						spent += 100
					}
				}
				fleet.run(8 * time.Second) // until no spending is extrapolated
				after := fleet.spare("school")
				clear(fleet.heartbeats)
				fleet.run(10 * heartbeatInterval)
				ranks := map[int]int{}
				for _, address := range fleet.live() {
					gateway := fleet.vms[address]
					name := gateway.Settings.Name
					ranks[gateway.rank(time.Now())]++
					if got := before[name] - after[name]; math.Abs(got-spent) > 50 {
						t.Errorf("%s: got %.0f tokens spent by the fleet, want %.0f", name, got, spent)
					}
					if got := fleet.heartbeats[name]; !gateway.members.IsRepresentative(time.Now()) && got > 10*maxHeartbeats {
						t.Errorf("%s: got %d heartbeats in 10 intervals, want %d at most", name, got, 10*maxHeartbeats)
					}
					want := 0
					for other := range fleet.vms {
						if !fleet.down[other] && other != address && fleet.vms[other].members.Zone == gateway.members.Zone {
							want++
						}
					}
					local := 0
					for _, peer := range gateway.members.LivePeers(time.Now()) {
						if peer.Zone == gateway.members.Zone {
							local++
						}
					}
					if local != want {
						t.Errorf("%s: got %d live VMs in its zone, want %d", name, local, want)
					}
				}
				for rank := range promptWatchers {
					if ranks[rank] != 1 {
						t.Errorf("rank %d: got %d VMs, want 1", rank, ranks[rank])
					}
				}
			})
		})
	}
}

// limit sets the limit of an account on all VMs.
func (fleet *largeFleet) limit(account quota.Account) {
	for _, gateway := range fleet.vms {
		gateway.limits.SetLimits([]quota.Account{account}, time.Now())
	}
}

// spare returns the tokens of an account that each VM takes the fleet's bucket to hold.
func (fleet *largeFleet) spare(account string) map[string]float64 {
	spare := map[string]float64{}
	for _, address := range fleet.live() {
		gateway := fleet.vms[address]
		spare[gateway.Settings.Name] = gateway.limits.Estimate(account, time.Now()).Spare
	}
	return spare
}

// live returns the addresses of the VMs that run.
func (fleet *largeFleet) live() []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(fleet.addresses), func(address netip.AddrPort) bool { return fleet.down[address] })
}

// Guards against VMs that take live ones of their zone for dead, and then others for its
// representatives, because the first representative is cut off from some of them.
func TestVMsCutOffFromRepresentativeKnowLiveVMsOfTheirZone(t *testing.T) {
	const vms, zones = 80, 4
	for _, cut := range []int{1, 9} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newLargeFleet(vms, zones)
				fleet.run(5 * time.Second)
				zone := fleet.vms[fleet.addresses[1]].members.Zone
				representatives := fleet.vms[fleet.addresses[1]].members.Representatives(zone, time.Now())
				cutOff := map[string]bool{}
				for i := 1; len(cutOff) < cut; i += zones {
					cutOff[fleet.listed[i].Name] = !isAmong(representatives, fleet.listed[i].Name)
				}
				first := representatives[0].Name
				fleet.loses = func(from, to *Gateway) bool {
					return cutOff[from.Settings.Name] && to.Settings.Name == first || cutOff[to.Settings.Name] && from.Settings.Name == first
				}
				fleet.run(15 * time.Second)
				for i := 1; i < vms; i += zones {
					members := fleet.vms[fleet.addresses[i]].members
					got := 0
					for _, other := range members.LivePeers(time.Now()) {
						if other.Zone == zone {
							got++
						}
					}
					if want := vms/zones - 1; got != want {
						t.Errorf("%s: got %d live VMs in its zone, want %d", fleet.listed[i].Name, got, want)
					}
					if got := members.Representatives(zone, time.Now()); !slices.EqualFunc(got, representatives, samePeer) {
						t.Errorf("%s: got representatives %v, want %v", fleet.listed[i].Name, got, representatives)
					}
				}
			})
		})
	}
}

func samePeer(a, b membership.Peer) bool { return a.Name == b.Name }

// Guards against processor time of representatives (SHORT): each made the sums of its zone for
// each VM, and dropped them where the VM had those of the other representative.
func TestSumsOfCrowdedZoneAreMadeByOneRepresentativeForEachVM(t *testing.T) {
	const vms, zones, intervals = 80, 4, 10
	synctest.Test(t, func(t *testing.T) {
		fleet := newLargeFleet(vms, zones)
		fleet.run(5 * time.Second)
		made := func() uint64 {
			sum := uint64(0)
			for _, gateway := range fleet.vms {
				sum += gateway.zones.nextNumber()
			}
			return sum
		}
		before := made()
		fleet.run(intervals * heartbeatInterval)
		// For each VM, for one in turn by each representative, and for the other zones.
		const maxMade = intervals*(vms+2*2*zones) + vms
		if got := made() - before; got > maxMade {
			t.Errorf("got %d sums made in %d intervals, want %d at most", got, intervals, maxMade)
		}
	})
}
