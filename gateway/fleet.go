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
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/cockroachdb/errors"
)

const (
	// heartbeatInterval is the time between two heartbeats to the same VM.
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = 300 * time.Millisecond
	// maxHeartbeatPeers is the maximum number of VMs that receive a heartbeat in one
	// interval, not counting representatives of availability zones. A fleet is large
	// if a VM has more peers than this and some are in other zones.
	maxHeartbeatPeers = 12
	// forwardedHeartbeatPeers takes its place while representatives forward what the VMs
	// of this availability zone report.
	forwardedHeartbeatPeers = 1
	// failuresToRedial is the number of consecutive failed heartbeats after which a
	// new connection is made: the existing one may carry no data any more.
	failuresToRedial = 2
	notifyTimeout    = 150 * time.Millisecond
	// unregisterTimeout bounds the store calls with which a stopping VM removes its
	// entry.
	unregisterTimeout = 300 * time.Millisecond
	// confirmDelay is the time between registering and checking the VM's entry again:
	// a write whose response was lost may still take effect within seconds.
	confirmDelay = 2 * time.Second
	// namedWeightsSendTime is how long named weights are sent in heartbeats. It exceeds
	// the time for which targets may still start requests on the previous version.
	namedWeightsSendTime = 10 * time.Second
	// startupTime is how long after its start a VM counts every VM in the store's list
	// as present. assumedVMs is the fleet size that it assumes during that time while
	// it has found no other VM: the current size of the users' fleets.
	startupTime = 3 * time.Second
	assumedVMs  = 8
	// lossTimeout is the time without a heartbeat after which a VM is logged as lost.
	lossTimeout = 2 * time.Second
	// presentTime is how long after its last heartbeat a VM still counts when limits
	// are divided.
	presentTime = 10 * time.Second
)

// runRegistration registers this VM in the store and lists the other VMs. It registers
// first, so that of two VMs that start together at least one sees the other. After
// confirmDelay it checks that the entry still exists, because a delete sent by the
// VM's previous process may take effect late.
func (gateway *Gateway) runRegistration(ctx context.Context) error {
	if !gateway.retryUntilSuccess(ctx, gateway.register) || !retry.Wait(ctx, time.Now().Add(confirmDelay)) {
		return nil
	}
	gateway.retryUntilSuccess(ctx, gateway.confirmRegistration)
	return nil
}

// retryUntilSuccess repeats a call to the store until it succeeds. It returns false if
// the context ends first.
func (gateway *Gateway) retryUntilSuccess(ctx context.Context, call func(context.Context) error) bool {
	for attempt := 0; call(ctx) != nil; attempt++ {
		if !retry.Wait(ctx, storeBackoff.Next(attempt, time.Now())) {
			return false
		}
	}
	return true
}

// register registers this VM, lists the other VMs and sends them the first heartbeats.
func (gateway *Gateway) register(ctx context.Context) error {
	gateway.countStoreCall("create", objects.VMs)
	_, err := gateway.Store.Create(ctx, objects.VMs, gateway.Settings.Name, gateway.registration())
	if errors.Is(err, objects.ErrExists) {
		err = nil // created by this VM's previous process; confirmRegistration checks its content
	}
	if err == nil {
		err = gateway.listVMs(ctx)
	}
	if err == nil {
		gateway.sendHeartbeats(ctx) // do not wait for the next interval: the replies report the fleet's spending
	}
	return err
}

// registration returns this VM's entry for the store's list of VMs.
func (gateway *Gateway) registration() objects.VM {
	vm := gateway.Settings
	return objects.VM{Name: vm.Name, AvailabilityZone: vm.AvailabilityZone, Address: vm.Peer.String(), Role: objects.RoleRouter, State: objects.Live}
}

// confirmRegistration writes this VM's entry unless the store already holds it
// unchanged.
func (gateway *Gateway) confirmRegistration(ctx context.Context) error {
	name := gateway.Settings.Name
	gateway.countStoreCall("get", objects.VMs)
	object, err := gateway.Store.Get(ctx, objects.VMs, name)
	if errors.Is(err, objects.ErrNotFound) {
		gateway.countStoreCall("create", objects.VMs)
		_, err = gateway.Store.Create(ctx, objects.VMs, name, gateway.registration())
		return err
	}
	if err != nil {
		return err
	}
	var stored objects.VM
	if json.Unmarshal(object.Spec, &stored) == nil && stored == gateway.registration() {
		return nil
	}
	gateway.countStoreCall("update", objects.VMs)
	_, err = gateway.Store.Update(ctx, objects.VMs, name, object.Metadata.ResourceVersion, gateway.registration())
	return err
}

// unregister removes this VM's entry from the store.
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
	gateway.countStoreCall("list", objects.VMs)
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
	gateway.members.UpdateList(vms, time.Now())
	gateway.vmsListed.Store(true)
	gateway.updateVMCount(time.Now())
	return nil
}

// updateVMCount passes the number of VMs to the limiter.
func (gateway *Gateway) updateVMCount(now time.Time) {
	count := gateway.vmCount()
	gateway.lastCount.Store(int64(count))
	gateway.roster.SetFleetSize(count)
	gateway.relay.Admission.SetFleetSize(count)
	gateway.limits.SetFleetSize(count, gateway.vmsListed.Load() || now.Sub(gateway.started) > startupTime)
}

// fleetSize returns the number of VMs as last counted, including this one.
func (gateway *Gateway) fleetSize() int {
	if count := gateway.lastCount.Load(); count > 0 {
		return int(count)
	}
	return assumedVMs
}

// vmCount returns the number of VMs that share the limits, including this one.
func (gateway *Gateway) vmCount() int {
	now := time.Now()
	starting := now.Sub(gateway.started) < startupTime
	count := 1 + gateway.zones.summaries.VMs(now.Add(-presentTime))
	known := count > 1
	for view := range gateway.members.All(now) {
		if view.Name == gateway.Settings.Name || !gateway.present(view, now) || gateway.summarized(view.AvailabilityZone, now) {
			continue
		}
		count++
		known = true
	}
	if starting && !known {
		return assumedVMs
	}
	return count
}

// logReachability logs VMs and summarized zones whose heartbeats or summaries have
// stopped, and those whose have resumed.
func (gateway *Gateway) logReachability(detector *membership.FailureDetector, now time.Time) {
	views := gateway.zones.summaries.Views(zoneSource, now)
	for view := range gateway.members.All(now) {
		if view.HeartbeatAgeMS >= 0 && !gateway.summarized(view.AvailabilityZone, now) {
			views = append(views, view)
		}
	}
	lost, recovered := detector.Update(views, now.Add(-lossTimeout), now)
	for _, name := range lost {
		gateway.Log.Emit(event.PeerLost, event.F("peer", name))
	}
	for _, name := range recovered {
		gateway.Log.Emit(event.PeerHeard, event.F("peer", name))
	}
}

// runHeartbeats exchanges heartbeats with other VMs. Of two VMs that receive each
// other's heartbeats, only the one with the lower name sends; the other replies. It sends
// too while it cannot tell when the heartbeats of the first were sent.
func (gateway *Gateway) runHeartbeats(ctx context.Context) error {
	for scheduled := time.Now(); ; scheduled = scheduled.Add(heartbeatInterval) {
		if now := time.Now(); scheduled.Before(now) {
			scheduled = now
		}
		gateway.updateForwarded(time.Now())
		gateway.sendHeartbeats(ctx)
		if !retry.Wait(ctx, scheduled.Add(heartbeatInterval)) {
			return nil
		}
	}
}

// sendHeartbeats starts the heartbeats of one interval.
func (gateway *Gateway) sendHeartbeats(ctx context.Context) {
	for _, other := range gateway.heartbeatReceivers(time.Now()) {
		go gateway.runHeartbeat(ctx, other)
	}
}

func (gateway *Gateway) heartbeatReceivers(now time.Time) []membership.Peer {
	var receivers []membership.Peer
	recentlySeen := func(name string) bool {
		view, ok := gateway.members.View(name, now)
		return ok && view.HeartbeatAgeMS >= 0 && view.HeartbeatAgeMS < 2*heartbeatInterval.Milliseconds()
	}
	local := maxHeartbeatPeers
	started := now.Sub(gateway.started) >= startupTime // before, not all others know of this VM
	if gateway.forwardsZone(now) && started || gateway.zones.forwarded.Load() {
		local = forwardedHeartbeatPeers
	}
	reportsTo := gateway.reportsTo(now)
	others := gateway.members.HeartbeatPeers(maxHeartbeatPeers, local, now)
	for _, other := range others {
		if gateway.Settings.Name < other.Name || reportsTo[other.Name] || !recentlySeen(other.Name) || gateway.sendTimes.CheckDue(other.Name) {
			receivers = append(receivers, other)
		}
	}
	if len(others) > 0 {
		return receivers
	}
	for _, seed := range gateway.members.Seeds() {
		if seed != gateway.Settings.Peer {
			receivers = append(receivers, membership.Peer{Address: seed})
		}
	}
	return receivers
}

func (gateway *Gateway) runHeartbeat(ctx context.Context, other membership.Peer) {
	address := other.Address
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	gateway.metrics.Heartbeats.Add(1)
	calledAt, suspended := time.Now(), gateway.suspendedSinceStart()
	reply, err := gateway.dialer.Heartbeat(ctx, address, gateway.heartbeatFor(other.Name, other.Zone, false))
	if err == nil {
		gateway.applySuspensions()
		gateway.mergeHeartbeat(reply, calledAt.Add(suspended-gateway.suspendedSinceStart()))
		gateway.partStore.recordReply(reply.Uptime)
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if err == nil {
		delete(gateway.heartbeatFailures, address)
		return
	}
	gateway.members.RecordFailure(other.Name)
	if gateway.heartbeatFailures[address]++; gateway.heartbeatFailures[address]%failuresToRedial == 0 {
		gateway.dialer.Disconnect(address)
	}
}

// heartbeatFor returns a heartbeat for the named VM in the given availability zone. Both are
// empty if unknown. hasSummaries is set if the VM receives summaries from another one.
func (gateway *Gateway) heartbeatFor(name, zone string, hasSummaries bool) peer.Heartbeat {
	heartbeat, now := gateway.newHeartbeat(zone), time.Now()
	gateway.releases.addTo(&heartbeat, name, now)
	if hasSummaries {
		heartbeat.ZoneSummaries = nil
	}
	gateway.addOwnZone(&heartbeat, name, zone, hasSummaries, now)
	return heartbeat
}

// newHeartbeat returns a heartbeat for a VM in the given availability zone, which is
// empty if unknown. In a large fleet, VMs of other zones receive only aggregates.
func (gateway *Gateway) newHeartbeat(zone string) peer.Heartbeat {
	now := time.Now()
	heartbeat := peer.Heartbeat{
		Name: gateway.Settings.Name, Boot: gateway.bootID, Address: gateway.Settings.Peer,
		Version: gateway.mirror.NewestVersion(), PlatformAge: gateway.storeHealth.answerAge(now),
		Positions: gateway.mirror.Positions(), Zone: gateway.members.Zone,
		Uptime: now.Sub(gateway.started), OrdersLease: gateway.leaseWrite(now),
	}
	for _, named := range gateway.weights.recent(now.Add(-namedWeightsSendTime)) {
		heartbeat.NamedWeights = append(heartbeat.NamedWeights, peer.NamedWeights{Model: named.Model, Version: named.Version, Age: now.Sub(named.Learned)})
	}
	for _, departure := range gateway.roster.Departures(now.Add(-namedWeightsSendTime)) {
		heartbeat.Targets = append(heartbeat.Targets, peer.TargetUpdate{Target: departure.Target, Leaving: true, StartTime: departure.StartTime})
	}
	heartbeat.TargetLimits, heartbeat.BrittleTargets = gateway.toTargetLimits(now), gateway.toBrittleTargets(now)
	hierarchical := gateway.members.Hierarchical(maxHeartbeatPeers, now)
	if hierarchical {
		heartbeat.IsRepresentative = gateway.members.IsRepresentative(now)
		gateway.addZones(&heartbeat, zone, now)
	}
	if !hierarchical || zone == "" || zone == gateway.members.Zone {
		heartbeat.Spending = toSpendings(gateway.limits.Counts())
		heartbeat.Backlogs, heartbeat.Demands = toBacklogs(gateway.roster.Backlogs()), gateway.relay.Admission.Demands(now)
		heartbeat.HeardTargets = gateway.heardTargets(now)
		heartbeat.HotPrefixes = toHotPrefixes(gateway.roster.PrefixLoads(now))
	}
	return heartbeat
}

// mergeHeartbeat merges another VM's heartbeat into the state of this VM. The heartbeat was
// not sent before the given time.
func (gateway *Gateway) mergeHeartbeat(heartbeat peer.Heartbeat, notBefore time.Time) {
	now := time.Now()
	sentAt, exact := gateway.sendTimes.Record(heartbeat.Name, heartbeat.Boot, heartbeat.Uptime, notBefore, now)
	gateway.members.RecordHeartbeat(heartbeat.Name, heartbeat.Address, 0, now)
	gateway.members.RecordStatus(heartbeat.Name, heartbeat.Version, heartbeat.PlatformAge)
	sameZone := heartbeat.Zone == gateway.members.Zone
	if sameZone && len(heartbeat.PeerAges) > 0 {
		gateway.members.RecordStatuses(fromPeerAges(heartbeat.PeerAges), sentAt, now)
	}
	if summarized := gateway.mergeZones(heartbeat, now); !summarized && !(sameZone && gateway.zones.forwarded.Load()) {
		source := quota.Source{Name: heartbeat.Name, Boot: heartbeat.Boot, VMs: 1, Began: now.Add(-heartbeat.Uptime), SameZone: sameZone}
		gateway.limits.UpdateCounts(source, fromSpendings(heartbeat.Spending), now, now)
		gateway.roster.SetBacklogs(heartbeat.Name, fromBacklogs(heartbeat.Backlogs), now)
		gateway.relay.Admission.Merge(heartbeat.Name, heartbeat.Demands, now)
		gateway.roster.SetPrefixLoads(heartbeat.Name, fromHotPrefixes(heartbeat.HotPrefixes), now)
	}
	gateway.weights.recordContact(now)
	for _, named := range heartbeat.NamedWeights {
		at := time.Time{}
		if exact {
			at = sentAt.Add(-named.Age)
		} else {
			gateway.weights.recordLatest(named.Model, named.Version, now.Add(-named.Age))
		}
		gateway.addNamedWeights(named.Model, named.Version, sourceVM, at)
	}
	gateway.mergeLeaseWrite(heartbeat.OrdersLease, now)
	gateway.applyTargetUpdates(heartbeat.Targets)
	gateway.mergeBlocked(heartbeat.BlockedParts, now)
	gateway.mergeTargetLimits(heartbeat.TargetLimits, sentAt)
	gateway.mergeBrittleTargets(heartbeat.BrittleTargets, sentAt, now)
	gateway.roster.MergeHeard(fromHeard(heartbeat.HeardTargets, sentAt))
	gateway.mergeEmpty(heartbeat.Positions)
	gateway.releases.mergeHeartbeat(heartbeat, sentAt, now)
	if gateway.mirror.LacksChanges(heartbeat.Positions) {
		select {
		case gateway.fetchAddresses <- heartbeat.Address:
		default: // a fetch is already queued
		}
	}
}

// applyTargetUpdates records target updates received from another VM.
func (gateway *Gateway) applyTargetUpdates(updates []peer.TargetUpdate) {
	now := time.Now()
	for _, update := range updates {
		if update.Leaving {
			if change, changed := gateway.roster.MarkLeaving(update.Target, update.StartTime, now); changed {
				gateway.relay.RecordAvailability(change, now)
			}
			continue
		}
		if update.Rolling {
			gateway.roster.BeginRollout(update.Target, update.Model, update.Weights, now.Add(rollingTime))
			continue
		}
		gateway.roster.RaiseWeights(update.Target, update.Model, update.Weights)
	}
}

// HandleHeartbeat implements peer.Handler.
func (gateway *Gateway) HandleHeartbeat(heartbeat peer.Heartbeat) peer.Heartbeat {
	gateway.applySuspensions()
	gateway.mergeHeartbeat(heartbeat, gateway.earliestCall())
	reply := gateway.heartbeatFor(heartbeat.Name, heartbeat.Zone, heartbeat.HasSummaries)
	if gateway.disagrees(heartbeat, time.Now()) {
		reply.PeerAges = toPeerAges(gateway.members.Statuses(time.Now()))
	}
	if heartbeat.Uptime < partsSendTime {
		now := time.Now()
		reply.BlockedParts = toBlockedParts(gateway.parts.AllBlocked(now), now)
	}
	return reply
}

// Objects implements peer.Handler.
func (gateway *Gateway) Objects(_ objects.Version, known []objects.Position) ([]catalog.Object, objects.Version) {
	return gateway.mirror.ChangesSince(known)
}

// Lend implements peer.Handler. This VM holds no rights and lends nothing.
func (gateway *Gateway) Lend(int, quota.Share, float64, float64) quota.Grant {
	return quota.Grant{}
}

// AcceptReturn implements peer.Handler.
func (gateway *Gateway) AcceptReturn(int, quota.Share, float64) {}

// ReportDeath implements relay.DeathReporter.
func (gateway *Gateway) ReportDeath(ctx context.Context, death relay.Death) {
	notice := peer.Notice{Charges: []peer.Charge{{Digest: string(death.Digest), Death: death.Request}}}
	if len(death.Parts) > 0 {
		notice.PartDeaths = []peer.PartDeath{{Death: death.Target, Request: string(death.Digest), Parts: death.Parts}}
	}
	gateway.notify(ctx, notice)
}
