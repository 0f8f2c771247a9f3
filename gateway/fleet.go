package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/cockroachdb/errors"
)

const (
	// heartbeatInterval is the time between two heartbeats to the same VM.
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = 300 * time.Millisecond
	// heartbeatPeers bounds the VMs that get a heartbeat in one interval.
	heartbeatPeers = 12
	// failsToRedial is the number of heartbeats in a row that failed after which
	// a new connection is made: the former may have gone silent.
	failsToRedial = 2
	notifyTimeout = 150 * time.Millisecond
	// handOverTime bounds what a stopping VM tells the store.
	handOverTime = 300 * time.Millisecond
	// confirmTime is how long after it entered a VM looks at its entry again: changes
	// whose answer was lost take effect within seconds.
	confirmTime = 2 * time.Second
	// tellNamed is how long named weights are told to other VMs: longer than
	// targets may begin work on the former ones.
	tellNamed = 10 * time.Second
	// startTime is how long after its start a VM takes the VMs that the store
	// lists for present, and unknownVMs how many it assumes when none is known:
	// the size of the users' fleets of today.
	startTime  = 3 * time.Second
	unknownVMs = 8
	// silentAfter is when a VM that is not heard is worth a log line.
	silentAfter = 2 * time.Second
	// presentTime is how long a VM that is not heard counts for shares.
	presentTime = 10 * time.Second
)

// runRegistration lets other VMs find this one and finds those that are there: it
// registers first, so that of two VMs at least one sees the other. Later it looks
// whether the entry still stands: that the VM's former process removed it may take
// effect late.
func (gateway *Gateway) runRegistration(ctx context.Context) error {
	if !gateway.untilDone(ctx, gateway.enter) || !retry.Wait(ctx, time.Now().Add(confirmTime)) {
		return nil
	}
	gateway.untilDone(ctx, gateway.confirm)
	return nil
}

// untilDone repeats calls to the store until they succeed; false when the context
// ended first.
func (gateway *Gateway) untilDone(ctx context.Context, call func(context.Context) error) bool {
	for attempt := 0; call(ctx) != nil; attempt++ {
		if !retry.Wait(ctx, storeBackoff.Next(attempt, time.Now())) {
			return false
		}
	}
	return true
}

// enter registers this VM and meets the others.
func (gateway *Gateway) enter(ctx context.Context) error {
	gateway.calls("create", objects.VMs)
	_, err := gateway.Store.Create(ctx, objects.VMs, gateway.Settings.Name, gateway.entry())
	if errors.Is(err, objects.ErrExists) {
		err = nil // of this VM's former process; whether it is right is looked at later
	}
	if err == nil {
		err = gateway.listVMs(ctx)
	}
	if err == nil {
		gateway.sendHeartbeats(ctx) // what the fleet spends is known the sooner
	}
	return err
}

// entry is what the store's list tells of this VM.
func (gateway *Gateway) entry() objects.VM {
	vm := gateway.Settings
	return objects.VM{Name: vm.Name, AvailabilityZone: vm.AvailabilityZone, Address: vm.Peer.String(), Role: objects.RoleRouter, State: objects.Live}
}

// confirm writes this VM's entry, unless it stands there already.
func (gateway *Gateway) confirm(ctx context.Context) error {
	name := gateway.Settings.Name
	gateway.calls("get", objects.VMs)
	object, err := gateway.Store.Get(ctx, objects.VMs, name)
	if errors.Is(err, objects.ErrNotFound) {
		gateway.calls("create", objects.VMs)
		_, err = gateway.Store.Create(ctx, objects.VMs, name, gateway.entry())
		return err
	}
	if err != nil {
		return err
	}
	var known objects.VM
	if json.Unmarshal(object.Spec, &known) == nil && known == gateway.entry() {
		return nil
	}
	gateway.calls("update", objects.VMs)
	_, err = gateway.Store.Update(ctx, objects.VMs, name, object.Metadata.ResourceVersion, gateway.entry())
	return err
}

// unregister removes this VM's entry.
func (gateway *Gateway) unregister(ctx context.Context) {
	object, err := gateway.Store.Get(ctx, objects.VMs, gateway.Settings.Name)
	if err == nil {
		err = gateway.Store.Delete(ctx, objects.VMs, gateway.Settings.Name, object.Metadata.ResourceVersion)
	}
	if err != nil {
		gateway.Log.Emit(event.NotUnregistered, event.Err(err))
	}
}

func (gateway *Gateway) listVMs(ctx context.Context) error {
	gateway.calls("list", objects.VMs)
	list, err := gateway.Store.List(ctx, objects.VMs)
	if err != nil {
		return err
	}
	vms := make([]objects.VM, 0, len(list.Items))
	for _, item := range list.Items {
		var vm objects.VM
		if err := json.Unmarshal(item.Spec, &vm); err != nil {
			gateway.Log.Emit(event.ConfigRejected, event.Err(err), event.F("object", item.Metadata.Name))
			continue
		}
		vms = append(vms, vm)
	}
	gateway.members.List(vms, time.Now())
	gateway.listed.Store(true)
	gateway.expectVMs(time.Now())
	return nil
}

// expectVMs tells the limits how many VMs there are.
func (gateway *Gateway) expectVMs(now time.Time) {
	gateway.limits.Expect(gateway.vms(), gateway.listed.Load() || now.Sub(gateway.started) > startTime)
}

// vms returns the number of VMs that share the limits, this one included.
func (gateway *Gateway) vms() int {
	now := time.Now()
	starting := now.Sub(gateway.started) < startTime
	count := 1 + gateway.zones.summaries.VMs(now.Add(-presentTime))
	known := count > 1
	for _, view := range gateway.members.Views(now) {
		if view.Name == gateway.Settings.Name || gateway.summed(view.AvailabilityZone, now) {
			continue
		}
		if gateway.present(view, now) {
			count++
			known = true
		}
	}
	if starting && !known {
		return unknownVMs
	}
	return count
}

// noteSilent logs VMs that are no longer heard, and those that are again.
func (gateway *Gateway) noteSilent(silence *membership.Silence, now time.Time) {
	views := gateway.zones.summaries.Views(sourceOf, now)
	for _, view := range gateway.members.Views(now) {
		if !gateway.summed(view.AvailabilityZone, now) {
			views = append(views, view)
		}
	}
	lost, heard := silence.Note(views, now.Add(-silentAfter), now)
	for _, name := range lost {
		gateway.Log.Emit(event.PeerLost, event.F("peer", name))
	}
	for _, name := range heard {
		gateway.Log.Emit(event.PeerHeard, event.F("peer", name))
	}
}

// runHeartbeats exchanges heartbeats with other VMs. Of two VMs that hear each
// other only the one with the lower name begins.
func (gateway *Gateway) runHeartbeats(ctx context.Context) error {
	for next := time.Now(); ; next = next.Add(heartbeatInterval) {
		if now := time.Now(); next.Before(now) {
			next = now
		}
		gateway.sendHeartbeats(ctx)
		if !retry.Wait(ctx, next.Add(heartbeatInterval)) {
			return nil
		}
	}
}

// sendHeartbeats begins one interval's heartbeats.
func (gateway *Gateway) sendHeartbeats(ctx context.Context) {
	for _, other := range gateway.heartbeatTargets(time.Now()) {
		go gateway.runHeartbeat(ctx, other)
	}
}

func (gateway *Gateway) heartbeatTargets(now time.Time) []membership.Peer {
	var next []membership.Peer
	heard := map[string]bool{}
	for _, view := range gateway.members.Views(now) {
		heard[view.Name] = view.HeardMS >= 0 && view.HeardMS < 2*heartbeatInterval.Milliseconds()
	}
	others := gateway.members.Partners(heartbeatPeers, now)
	for _, other := range others {
		if gateway.Settings.Name < other.Name || !heard[other.Name] {
			next = append(next, other)
		}
	}
	if len(others) > 0 {
		return next
	}
	for _, seed := range gateway.members.Seeds() {
		if seed != gateway.Settings.Peer {
			next = append(next, membership.Peer{Address: seed})
		}
	}
	return next
}

func (gateway *Gateway) runHeartbeat(ctx context.Context, other membership.Peer) {
	address := other.Address
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	gateway.metrics.Heartbeats.Add(1)
	reply, err := gateway.dialer.Heartbeat(ctx, address, gateway.beat(other.Zone))
	if err == nil {
		gateway.heard(reply)
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if err == nil {
		delete(gateway.fails, address)
		return
	}
	if gateway.fails[address]++; gateway.fails[address]%failsToRedial == 0 {
		gateway.dialer.Drop(address)
	}
}

// beat returns a heartbeat for a VM in an availability zone, empty when it is not
// known. In a large fleet another zone gets sums alone.
func (gateway *Gateway) beat(zone string) peer.Beat {
	now := time.Now()
	beat := peer.Beat{
		Name: gateway.Settings.Name, Boot: gateway.boot, Address: gateway.Settings.Peer,
		Version: gateway.mirror.Newest(), PlatformAge: gateway.health.silence(now),
		Positions: gateway.mirror.Positions(), Zone: gateway.members.Zone,
		Uptime: now.Sub(gateway.started),
	}
	for _, named := range gateway.weights.recent(now.Add(-tellNamed)) {
		beat.Named = append(beat.Named, peer.NamedWeights{Model: named.Model, Version: named.Version, Age: now.Sub(named.Learned)})
	}
	layered := gateway.members.Layered(heartbeatPeers, now)
	if layered {
		beat.Speaks = gateway.members.Speaks(now)
		gateway.tellZones(&beat, zone, now)
	}
	if !layered || zone == "" || zone == gateway.members.Zone {
		beat.Spending = spendings(gateway.limits.Counts())
		beat.Backlogs = told(gateway.roster.Backlogs())
	}
	return beat
}

// heard takes what another VM's heartbeat says.
func (gateway *Gateway) heard(beat peer.Beat) {
	now := time.Now()
	gateway.members.Heard(beat.Name, beat.Address, 0, now)
	gateway.members.Told(beat.Name, beat.Version, beat.PlatformAge)
	if summed := gateway.heardZones(beat, now); !summed {
		near := beat.Zone == gateway.members.Zone
		source := quota.Source{Name: beat.Name, Boot: beat.Boot, VMs: 1, Began: now.Add(-beat.Uptime), Near: near}
		gateway.limits.Heard(source, counts(beat.Spending), now, now)
		gateway.roster.Told(beat.Name, backlogs(beat.Backlogs), now)
	}
	for _, named := range beat.Named {
		gateway.nameWeights(named.Model, named.Version, now.Add(-named.Age))
	}
	gateway.learn(beat.Targets)
	if gateway.mirror.Behind(beat.Positions) {
		select {
		case gateway.fetches <- beat.Address:
		default: // one is on its way
		}
	}
}

// learn takes news of targets.
func (gateway *Gateway) learn(news []peer.TargetNews) {
	now := time.Now()
	for _, told := range news {
		if told.Rolling {
			gateway.roster.Rolling(told.Target, told.Model, told.Weights, now.Add(rollingTime))
			continue
		}
		gateway.roster.Weights(told.Target, told.Model, told.Weights)
	}
}

// Beat implements peer.Handler.
func (gateway *Gateway) Beat(beat peer.Beat) peer.Beat {
	gateway.heard(beat)
	return gateway.beat(beat.Zone)
}

// Objects implements peer.Handler.
func (gateway *Gateway) Objects(_ objects.Version, known []objects.Position) ([]catalog.Object, objects.Version) {
	return gateway.mirror.Since(known)
}

// Notified implements peer.Handler.
func (gateway *Gateway) Notified(notice peer.Notice) {
	gateway.learn(notice.Targets)
	if notice.Relay {
		notice.Relay = false
		go gateway.runRelay(notice)
	}
	now := time.Now()
	for _, charge := range notice.Charges {
		gateway.suspects.Charge(quarantine.Digest(charge.Digest), charge.Death, now)
	}
}

// Lend implements peer.Handler; this VM holds no rights.
func (gateway *Gateway) Lend(int, quota.Share, float64, float64) quota.Grant {
	return quota.Grant{}
}

// TakeBack implements peer.Handler.
func (gateway *Gateway) TakeBack(int, quota.Share, float64) {}

// Charged implements relay.Charger.
func (gateway *Gateway) Charged(ctx context.Context, digest quarantine.Digest, death string, _ quarantine.Standing) {
	gateway.notify(ctx, peer.Notice{Charges: []peer.Charge{{Digest: string(digest), Death: death}}})
}
