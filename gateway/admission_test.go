package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/admission"
)

// Guards against VMs that decide by a part of the demand, because what other availability
// zones are asked for does not reach them, and against messages about demand while there
// is room.
func TestDemandsReachAllZones(t *testing.T) {
	const vms, zones = 40, 4
	synctest.Test(t, func(t *testing.T) {
		fleet := newLargeFleet(vms, zones)
		room := admission.Room{TokensPerSecond: 1e6, Wait: time.Second, AimedWait: 70 * time.Millisecond}
		for _, gateway := range fleet.vms {
			gateway.relay.Admission.Room = func(string, time.Time) admission.Room { return room }
		}
		ask := func(length time.Duration) {
			for until := time.Now().Add(length); time.Now().Before(until); {
				for i, address := range fleet.addresses {
					request := admission.Request{Account: fmt.Sprint(i % 3), Tokens: 1000}
					fleet.vms[address].relay.Admission.Get("app").Decide(request, time.Now())
				}
				fleet.exchangeHeartbeats()
				sleep(heartbeatInterval)
			}
		}
		ask(5 * time.Second)
		for _, address := range fleet.addresses {
			known := 0
			for _, summary := range fleet.vms[address].zones.recent(time.Now().Add(-2*time.Second), time.Now()) {
				for _, demand := range summary.Demands {
					known += demand.VMs
				}
			}
			if want := vms - vms/zones; known != want {
				t.Errorf("%v: got the demand of %d VMs of other zones, want %d", address, known, want)
			}
		}
		room.Wait = 0
		ask(time.Second)
		for _, gateway := range fleet.vms {
			if heartbeat := gateway.newHeartbeat(gateway.members.Zone); len(heartbeat.Demands) > 0 {
				t.Errorf("%s: got %v while nothing waits, want nothing", gateway.Settings.Name, heartbeat.Demands)
			}
		}
	})
}
