package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/roster"
)

// newAdaptiveFleet returns a fleet of several availability zones with adaptive targets.
func newAdaptiveFleet(vms, zones, targets int) *largeFleet {
	fleet := newLargeFleet(vms, zones)
	for _, gateway := range fleet.vms {
		gateway.roster.SetMemoryPressure(true)
		for i := range targets {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(1 + i)}), 80)
			gateway.roster.Put(roster.Entry{ID: fmt.Sprint("e", i), Service: "app", Address: address, Models: []roster.Model{{Name: "m"}}}, time.Now())
		}
	}
	return fleet
}

// Guards against VMs of different availability zones using different homes of a prefix whose
// load none of them sees alone, and against loads of VMs that are counted twice.
func TestHomesAreAgreedOverZones(t *testing.T) {
	const vms, zones, targets, tokens = 42, 3, 90, 2000
	synctest.Test(t, func(t *testing.T) {
		fleet := newAdaptiveFleet(vms, zones, targets)
		// Each VM sends a request a second: 84,000 prompt tokens and 21,000 for answers. A
		// home takes 27,777 of them.
		const least, most = 4, 6
		criteria := roster.Criteria{Service: "app", Model: "m", Prefix: 7, Tokens: tokens}
		for range 15 {
			for _, gateway := range fleet.vms {
				if assignment, ok := gateway.roster.Choose(criteria, time.Now()); ok {
					assignment.End()
				}
			}
			fleet.run(time.Second)
			for _, gateway := range fleet.vms {
				gateway.updateHomes(time.Now())
			}
		}
		known := map[int]int{} // VMs by number of homes
		criteria.Tokens = 0
		for _, gateway := range fleet.vms {
			homes := map[string]bool{}
			for range 400 {
				if assignment, ok := gateway.roster.Choose(criteria, time.Now()); ok {
					homes[assignment.ID] = true // requests in flight make each home cost more in turn
				}
			}
			known[len(homes)]++
		}
		for homes := range known {
			if len(known) != 1 || homes < least || homes > most {
				t.Errorf("got VMs by number of homes %v, want all with the same, %d to %d", known, least, most)
				break
			}
		}
	})
}

// Guards against a target being probed by VMs that it merely lets wait, although it sends
// bytes to another VM.
func TestVMsTellWhichTargetsSentBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newAdaptiveFleet(6, 3, 1)
		fleet.run(3 * time.Second)
		var assignments []*roster.Assignment
		for _, address := range fleet.addresses {
			assignment, ok := fleet.vms[address].roster.Choose(roster.Criteria{Service: "app", Model: "m"}, time.Now())
			if !ok {
				t.Fatal("got no target, want one")
			}
			assignments = append(assignments, &assignment)
		}
		for range 3 {
			assignments[0].Received(time.Now())
			fleet.run(heartbeatInterval)
			for _, address := range fleet.addresses[1:] {
				if probes := fleet.vms[address].roster.Probes(time.Now()); len(probes) > 0 {
					t.Errorf("%s: got probes %v, want none of a target that sends bytes", fleet.vms[address].Settings.Name, probes)
				}
			}
		}
	})
}
