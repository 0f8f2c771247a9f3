package gateway

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/lease"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
)

// idleVM is a VM of a large fleet that serves no requests. Another VM gives orders.
type idleVM struct {
	*Gateway
	fleet   *largeFleet
	heardAt time.Time
}

func newIdleVM(vms, zones, targets int) *idleVM {
	fleet := newLargeFleet(vms, zones)
	idle := &idleVM{Gateway: fleet.vms[fleet.addresses[0]], fleet: fleet}
	fleet.vms = nil
	idle.started = time.Now().Add(-time.Minute)
	idle.Store = newFakeStore()
	idle.origins.durable = newDurableOrigins(idle.Gateway)
	var accounts []quota.Account
	for i := range 40 {
		accounts = append(accounts, quota.Account{Name: fmt.Sprint("account-", i), Rate: 100, Burst: 100})
	}
	idle.limits.SetLimits(accounts, time.Now())
	var entries []roster.Entry
	for i := range targets {
		service := fmt.Sprint("service-", i%4)
		entries = append(entries, roster.Entry{
			ID: fmt.Sprint("target-", i), Service: service, Zone: fmt.Sprint("zone-", i%zones),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, 0, byte(1 + i)}), 80),
			Models:  []roster.Model{{Name: service, Weights: 1}}, Software: "1",
		})
	}
	idle.roster.Replace(entries, time.Now())
	idle.origins.durable.logs.configure([]routing.Route{{Kind: routing.ResumableStream, Splits: []routing.Split{{Service: "service-0"}}}})
	idle.receive()
	return idle
}

// receive records what the VM receives within a heartbeat interval.
func (idle *idleVM) receive() {
	now := time.Now()
	if now.Sub(idle.heardAt) < heartbeatInterval {
		return
	}
	idle.heardAt = now
	idle.storeHealth.recordAnswer(now)
	for i, vm := range idle.fleet.listed[1:] {
		name, zone := vm.Name, vm.AvailabilityZone
		if zone == idle.members.Zone {
			idle.members.RecordHeartbeat(name, idle.fleet.addresses[i+1], 0, now)
			idle.members.RecordStatus(name, 1, 0)
			idle.ordersLease.Observe(lease.Observation{Version: 1, Holder: name + holderSeparator, At: now})
		} else if idle.roster.Size() > 0 && i < 12 {
			idle.members.RecordRepresentative(membership.Peer{Name: name, Address: idle.fleet.addresses[i+1], Zone: zone}, now)
			idle.mergeSummary(peer.ZoneSummary{Zone: zone, Origin: name, Number: uint64(now.UnixNano()), VMs: 49}, now)
		}
	}
}

// Measures the loops of an idle VM, whose processor time must hardly grow with the fleet.
func BenchmarkIdleVM(b *testing.B) {
	const vms, zones, targets = 295, 6, 165
	run := func(name string, prepare func(idle *idleVM) func()) {
		b.Run(name, func(b *testing.B) {
			idle := newIdleVM(vms, zones, targets)
			loop := prepare(idle)
			b.ReportAllocs()
			for b.Loop() {
				idle.receive()
				loop()
			}
		})
	}
	sweep := func(idle *idleVM) func() {
		sweeper := newSweeper(idle.Gateway)
		return func() { sweeper.sweep(b.Context(), time.Now()) }
	}
	run("sweep", sweep)
	run("sweep adaptive targets", func(idle *idleVM) func() {
		idle.roster.SetMemoryPressure(true)
		return sweep(idle)
	})
	run("sweep limited targets", func(idle *idleVM) func() {
		for _, entry := range idle.roster.Entries() {
			idle.roster.MergeLimit(roster.Limit{Target: entry.ID, Rate: 10, Learned: time.Now()})
		}
		return sweep(idle)
	})
	run("roll", func(idle *idleVM) func() {
		idle.weights.add("service-0", 2, time.Now())
		rollLoop := newRollLoop(idle.Gateway)
		named, _ := idle.weights.newest()
		return func() { rollLoop.advance(b.Context(), named) }
	})
	run("rank", func(idle *idleVM) func() { return func() { idle.rank(time.Now()) } })
	run("vmCount", func(idle *idleVM) func() { return func() { idle.vmCount() } })
	run("heartbeatReceivers", func(idle *idleVM) func() { return func() { idle.heartbeatReceivers(time.Now()) } })
	run("probes", func(idle *idleVM) func() { return func() { idle.roster.Probes(time.Now()) } })
	run("softwareLogs", func(idle *idleVM) func() { return func() { idle.origins.durable.logs.due(time.Now()) } })
	run("summary", func(idle *idleVM) func() {
		isRepresentative, vm := false, idle.fleet.listed[zones] // of the same zone
		return func() {
			isRepresentative = !isRepresentative
			idle.members.RecordZone(vm.Name, vm.AvailabilityZone, isRepresentative)
			idle.members.Peers(time.Now())
		}
	})
	run("views", func(idle *idleVM) func() { return func() { idle.members.Views(time.Now()) } })
}
