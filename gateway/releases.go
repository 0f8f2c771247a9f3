package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/lease"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/mirror"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/release"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/settings"
)

const (
	// releaseInterval is how often a VM judges the versions that are being released and,
	// if it leads, takes the next step.
	releaseInterval = 100 * time.Millisecond
	// ordersReadInterval is the least time between two lists of the orders because a
	// version is listed that may have been ordered since.
	ordersReadInterval = 500 * time.Millisecond
	// notWatcherInterval is how often a VM that does not watch the orders checks whether
	// it has become a prompt watcher.
	notWatcherInterval = 300 * time.Millisecond
	// releasesLeaseName is the object of the lease that allows one VM at a time to decide
	// on releases.
	releasesLeaseName = "releases"
)

// releases takes part in the releases of software versions that operators order. A nil
// value does nothing.
type releases struct {
	gateway *Gateway
	tracker *release.Tracker
	lease   *lease.Lease
	holder  string // this VM, as the lease names it
	// notify sends a notice to the other VMs.
	notify func(ctx context.Context, notice peer.Notice)
	// ordersRead is the store's revision up to which this VM knows the orders.
	ordersRead atomic.Uint64

	mu sync.Mutex // guards the fields below
	// leadUntil is when this VM's lease expires. stages are those that it stored, by
	// order, and token is that of its lease.
	leadUntil time.Time
	token     uint64
	stages    map[string]release.Stage
}

// buildReleases sets up the releases if operators order any.
func (gateway *Gateway) buildReleases() {
	vm := gateway.Settings
	if !vm.Releases {
		return
	}
	releases := &releases{gateway: gateway, tracker: release.NewTracker(vm.Bounds, rand.Float64), notify: gateway.notify, stages: map[string]release.Stage{}}
	releases.holder = vm.Name + holderSeparator + vm.Peer.Addr().String()
	releases.lease = lease.New(gateway.Store, releasesLeaseName, releases.holder)
	releases.lease.Boot = gateway.bootID
	releases.lease.TakeoverDelay = vm.Bounds.TakeoverDelay + settings.Span(takeoverMargin)
	// What this VM issues is valid for release.MaxAge, which must end before another VM
	// may lead.
	releases.lease.ValidFor = max(vm.Bounds.TakeoverDelay-settings.Span(release.MaxAge), vm.Bounds.TakeoverDelay/2)
	gateway.releases = releases
	gateway.roster.SetReleases(releases.tracker)
	gateway.relay.Releases = releases.tracker
}

// watchesOrders reports whether this VM reads the orders from the store. The others learn
// of them from VMs that do.
func (releases *releases) watchesOrders(now time.Time) bool {
	return releases.gateway.rank(now) < promptWatchers
}

// runOrders keeps the orders in sync with the store while this VM is a prompt watcher.
func (releases *releases) runOrders(ctx context.Context) error {
	gateway := releases.gateway
	for ctx.Err() == nil {
		if !releases.watchesOrders(time.Now()) {
			retry.Wait(ctx, time.Now().Add(notWatcherInterval))
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		go releases.runUntilOthersWatch(watchCtx, cancel)
		gateway.syncCollection(watchCtx, collectionSync{objects.Rollouts, defaultWatchTimeout, func() time.Duration { return 0 }})
		cancel()
	}
	return nil
}

// runUntilOthersWatch cancels the watch of the orders once enough other VMs watch them. It
// lists the orders whenever a version is listed that may have been ordered since.
func (releases *releases) runUntilOthersWatch(ctx context.Context, cancel context.CancelFunc) {
	listedAt := time.Now()
	for retry.Wait(ctx, time.Now().Add(releaseInterval)) {
		now := time.Now()
		if !releases.watchesOrders(now) {
			cancel()
			return
		}
		if !releases.gateway.roster.AwaitsOrders() || now.Sub(listedAt) < ordersReadInterval {
			continue
		}
		listedAt = now
		if err := releases.gateway.listCollection(ctx, objects.Rollouts); err != nil && ctx.Err() == nil {
			releases.gateway.recordStoreFailure(err, now)
		}
	}
}

// recordRead records that this VM's copy of the store has the orders up to a revision.
func (releases *releases) recordRead(revision uint64) {
	if releases == nil || revision <= releases.ordersRead.Load() {
		return
	}
	releases.gateway.updating.Lock()
	releases.applyCopy(revision, time.Now())
	releases.gateway.updating.Unlock()
	for known := releases.ordersRead.Load(); known < revision; known = releases.ordersRead.Load() {
		if releases.ordersRead.CompareAndSwap(known, revision) {
			break
		}
	}
	releases.gateway.roster.RecordOrders(revision)
}

// applyCopy puts all orders of this VM's copy of the store into effect, and removes those
// that the copy, complete up to the given revision, lacks: another VM may have told of an
// order that was deleted since. The caller holds Gateway.updating.
func (releases *releases) applyCopy(revision uint64, now time.Time) {
	listed := map[string]bool{}
	for _, object := range releases.gateway.mirror.Objects(objects.Rollouts) {
		listed[object.Metadata.Name] = true
		if order, err := releases.gateway.Decoder.Order(object); err == nil {
			releases.tracker.Put(order, now)
		}
	}
	for _, word := range releases.tracker.All() {
		if !listed[word.Order.Name] && word.Order.Revision <= revision {
			releases.tracker.Remove(word.Order.Name, now)
		}
	}
}

// known reports whether this VM has known the orders at least once. Before, no target gets
// a request.
func (releases *releases) known() bool {
	return releases == nil || releases.ordersRead.Load() > 0
}

// applyOrder puts a change of an order into effect.
func (releases *releases) applyOrder(change mirror.Change, now time.Time) {
	if releases == nil {
		return
	}
	name := change.Object.Metadata.Name
	if change.Removed {
		releases.tracker.Remove(name, now)
		return
	}
	order, err := releases.gateway.Decoder.Order(change.Object)
	if err != nil {
		releases.gateway.Log.Emit(event.ReleaseUnreadable, event.F("object", name), event.Err(err))
		return
	}
	if releases.tracker.Put(order, now) {
		releases.logOrder(order)
	}
}

func (releases *releases) logOrder(order release.Order) {
	releases.gateway.Log.Emit(event.ReleaseOrdered, event.F("service", order.Service), event.F("to", order.To), event.F("state", string(order.State)),
		event.F("duration_ms", time.Duration(order.Duration).Milliseconds()))
}

// runJudge judges the versions that are being released by what this VM and others
// observed, with or without a leader, and issues the stages that this VM leads.
func (releases *releases) runJudge(ctx context.Context) error {
	for retry.Wait(ctx, time.Now().Add(releaseInterval)) {
		releases.judge(ctx, time.Now())
	}
	return nil
}

func (releases *releases) judge(ctx context.Context, now time.Time) {
	running := releases.tracker.Running()
	releases.gateway.metrics.Releases.Set(int64(len(running)))
	for _, word := range running {
		sum := releases.tracker.Total(word.Order.Service, anySource, now)
		releases.issue(word, sum.Rate(word.Ordered, now), now)
		verdict := release.Judge(sum.Counts)
		if !verdict.Bad || !releases.tracker.FindBad(word.Order.ID(), verdict.Reason+" "+verdict.Route) {
			continue
		}
		releases.gateway.Log.Emit(event.ReleaseBad, event.F("service", word.Order.Service), event.F("to", word.Order.To),
			event.F("route", verdict.Route), event.F("reason", verdict.Reason), event.F("source", releases.gateway.Settings.Name))
		go releases.runTell(ctx)
	}
}

// anySource includes all sources of counts.
func anySource(string) bool { return true }

// issue makes the stage of an order valid for a while if this VM leads.
func (releases *releases) issue(word release.Word, rate float64, now time.Time) {
	id := word.Order.ID()
	releases.mu.Lock()
	defer releases.mu.Unlock()
	stage, ok := releases.stages[id]
	if !ok || !now.Before(releases.leadUntil) {
		return
	}
	share := word.Order.Share(stage, releases.gateway.Settings.Bounds, rate)
	releases.tracker.Issue(id, release.Issue{Stage: stage, Share: share, Token: releases.token, At: now})
}

// setStage records a stage that this VM stored; it is issued while the lease is valid.
func (releases *releases) setStage(id string, stage release.Stage) {
	releases.mu.Lock()
	defer releases.mu.Unlock()
	releases.stages[id] = stage
}

// setLead records the validity of this VM's lease. The stages of an earlier lease are
// dropped: another VM may have led since.
func (releases *releases) setLead() {
	releases.mu.Lock()
	defer releases.mu.Unlock()
	if token := releases.lease.Token(); token != releases.token {
		releases.token, releases.stages = token, map[string]release.Stage{}
	}
	releases.leadUntil = releases.lease.Deadline()
}

// runTell tells other VMs what this one knows of the orders, without waiting for the next
// heartbeats.
func (releases *releases) runTell(ctx context.Context) {
	releases.notify(ctx, peer.Notice{Releases: toReleases(releases.tracker.Words(time.Now()), time.Now())})
}

// moveBack makes all times earlier, after the clock stood still for the given length.
func (releases *releases) moveBack(length time.Duration) {
	if releases == nil {
		return
	}
	releases.tracker.MoveBack(length)
	releases.mu.Lock()
	defer releases.mu.Unlock()
	releases.leadUntil = releases.leadUntil.Add(-length)
}

// complete reports whether all VMs that live, as far as this one knows, are among the
// sources of a sum.
func (releases *releases) complete(sources map[string]bool, now time.Time) bool {
	members := releases.gateway.members
	if !members.Hierarchical(maxHeartbeatPeers, now) {
		return !slices.ContainsFunc(members.LivePeers(now), func(other membership.Peer) bool { return !sources[other.Name] })
	}
	for _, other := range members.LivePeers(now) {
		if other.Zone == members.Zone && !sources[other.Name] {
			return false
		}
	}
	return !slices.ContainsFunc(members.Zones(), func(zone string) bool { return zone != members.Zone && !sources[zoneSource(zone)] })
}
