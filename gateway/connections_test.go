package gateway

import (
	"fmt"
	"maps"
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

// send sends a request by each VM; the assignments are in the order of the VMs.
func (fleet *largeFleet) send(criteria roster.Criteria) []roster.Assignment {
	assignments := make([]roster.Assignment, len(fleet.addresses))
	for i, address := range fleet.addresses {
		assignments[i], _ = fleet.vms[address].roster.Choose(criteria, time.Now())
	}
	return assignments
}

// Guards against VMs of different availability zones using different homes of a prefix whose
// load none of them sees alone, and against loads of VMs that are counted twice. Each VM
// sends a request a second: 84,000 prompt tokens and 21,000 for answers. A home takes 27,777
// of them.
func TestHomesAreAgreedOverZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newAdaptiveFleet(42, 3, 90)
		for range 15 {
			for _, assignment := range fleet.send(roster.Criteria{Service: "app", Model: "m", Prefix: 7, Tokens: 2000}) {
				assignment.End()
			}
			fleet.run(time.Second)
			for _, gateway := range fleet.vms {
				gateway.updateHomes(time.Now())
			}
		}
		homes := make([]map[string]bool, len(fleet.addresses))
		for range 400 { // requests in flight make each home cost more in turn
			for i, assignment := range fleet.send(roster.Criteria{Service: "app", Model: "m", Prefix: 7}) {
				if homes[i] == nil {
					homes[i] = map[string]bool{}
				}
				homes[i][assignment.ID] = true
			}
		}
		for _, got := range homes {
			if !maps.Equal(got, homes[0]) || len(got) < 4 || len(got) > 6 {
				t.Fatalf("got homes %v and %v, want the same 4 to 6 at all VMs", got, homes[0])
			}
		}
	})
}

// Guards against VMs that probe a target which lets them wait and sends bytes to another VM.
func TestVMsTellWhichTargetsSentBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newAdaptiveFleet(6, 3, 1)
		fleet.run(3 * time.Second)
		assignments := fleet.send(roster.Criteria{Service: "app", Model: "m"})
		for range 3 {
			assignments[0].Received(time.Now())
			fleet.run(heartbeatInterval)
			for _, address := range fleet.addresses[1:] {
				if probes := fleet.vms[address].roster.Probes(time.Now()); len(probes) > 0 {
					t.Errorf("%s: got probes %v, want none", fleet.vms[address].Settings.Name, probes)
				}
			}
		}
	})
}
