package router

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/retry"
)

const (
	// vmInterval is the interval at which the platform's list of VMs is read.
	vmInterval = time.Second
	// fetchTimeout bounds one fetch of the configuration from another VM.
	fetchTimeout = 3 * time.Second
	// platformDownAfter is the time without contact with the platform after
	// which it counts as down.
	platformDownAfter = 2 * time.Second
)

var reconnectBackoff = retry.Backoff{Initial: 100 * time.Millisecond, Max: 2 * time.Second}

// runConfig keeps the configuration up to date: it fetches an initial copy from
// another VM and then watches the platform.
func (router *Router) runConfig(ctx context.Context) error {
	router.fetchFromSeeds(ctx)
	down := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		start := time.Now()
		err := router.syncConfig(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(start) > platformDownAfter {
			attempt, down = 0, false // the connection worked, so start the backoff anew
		}
		if !down && !errors.Is(err, objects.ErrGone) {
			down = true
			router.Log.Emit(event.PlatformDown, event.Err(err))
		}
		if !router.ready() {
			router.Log.Emit(event.NotReady)
			router.fetchFromSeeds(ctx)
		}
		if !retry.Wait(ctx, reconnectBackoff.Next(attempt, time.Now())) {
			return nil
		}
	}
	return nil
}

// fetchFromSeeds fetches the configuration from the first seed VM that has one,
// so that many VMs restarting at once don't all read it from the platform.
func (router *Router) fetchFromSeeds(ctx context.Context) {
	for _, seed := range router.members.Seeds() {
		if router.ready() || ctx.Err() != nil {
			return
		}
		if seed != router.PeerAddress() {
			router.fetchConfig(ctx, seed)
		}
	}
}

// fetchConfig fetches another VM's configuration and loads it if it is newer.
func (router *Router) fetchConfig(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	objects, version, err := router.dialer.Snapshot(ctx, address, router.store.Snapshot().Version, nil)
	if err != nil || version == 0 {
		return
	}
	if router.store.Load(objects, version) {
		router.recordConfigVersion()
		router.Log.Emit(event.ConfigFromPeer, event.F("version", uint64(version)), event.F("from", address.String()))
	}
}

// runFetches fetches the configuration from VMs whose heartbeats reported a
// newer version.
func (router *Router) runFetches(ctx context.Context) error {
	for {
		select {
		case address := <-router.fetches:
			router.fetchConfig(ctx, address)
		case <-ctx.Done():
			return nil
		}
	}
}

// syncConfig lists the configuration if none is loaded yet, and then watches it
// until the watch fails. If the platform no longer has the version at which the
// watch starts, syncConfig lists again before it returns.
func (router *Router) syncConfig(ctx context.Context) error {
	if !router.ready() {
		if err := router.listConfig(ctx); err != nil {
			return err
		}
	}
	from := router.store.Snapshot().Version
	router.metrics.PlatformCalls.Add(1)
	received := false
	err := router.platform.Watch(ctx, objects.Configs, from, func(change objects.WatchEvent) error {
		if !received {
			received = true
			router.Log.Emit(event.PlatformUp)
		}
		router.applyEvent(change)
		return nil
	})
	if errors.Is(err, objects.ErrGone) {
		router.Log.Emit(event.WatchGone)
		return errors.CombineErrors(router.listConfig(ctx), err)
	}
	return err
}

func (router *Router) listConfig(ctx context.Context) error {
	router.metrics.PlatformCalls.Add(1)
	list, err := router.platform.List(ctx, objects.Configs)
	if err != nil {
		return err
	}
	objects := make([]catalog.Object, len(list.Items))
	for i, item := range list.Items {
		objects[i] = catalog.FromPlatform(item)
	}
	if router.store.Load(objects, list.Metadata.ResourceVersion) {
		router.members.RecordPlatformContact(0, time.Now())
		router.recordConfigVersion()
	}
	return nil
}

// applyEvent applies one watch event to the store.
func (router *Router) applyEvent(change objects.WatchEvent) {
	router.members.RecordPlatformContact(0, time.Now())
	switch change.Type {
	case objects.Bookmark:
		router.store.Advance(change.Object.Metadata.ResourceVersion)
	case objects.Deleted:
		object := catalog.FromPlatform(change.Object)
		object.Deleted = true
		router.store.Apply(object)
	default:
		router.store.Apply(catalog.FromPlatform(change.Object))
	}
	router.recordConfigVersion()
}

func (router *Router) recordConfigVersion() {
	version := router.store.Snapshot().Version
	router.metrics.ConfigVersion.Set(int64(version))
	router.Log.Emit(event.ConfigApplied, event.F("version", uint64(version)))
}

// runVMs reads the platform's list of VMs every vmInterval.
func (router *Router) runVMs(ctx context.Context) error {
	for {
		router.readVMs(ctx)
		if !retry.Wait(ctx, time.Now().Add(vmInterval)) {
			return nil
		}
	}
}

func (router *Router) readVMs(ctx context.Context) {
	router.metrics.PlatformCalls.Add(1)
	list, err := router.platform.List(ctx, objects.VMs)
	now := time.Now()
	router.metrics.PlatformSilence.Set(router.members.PlatformAge(now).Milliseconds())
	if err != nil {
		return
	}
	vms := make([]objects.VM, 0, len(list.Items))
	leaving := map[string]bool{}
	for _, item := range list.Items {
		var vm objects.VM
		if json.Unmarshal(item.Spec, &vm) != nil {
			continue
		}
		vms = append(vms, vm)
		if vm.Role == objects.RoleTarget && vm.State == objects.Leaving {
			leaving[vm.Name] = true
		}
	}
	router.members.UpdateList(vms, now)
	router.dialer.Retain(router.peerAddresses(now))
	snapshot := router.store.Snapshot()
	router.dispatcher.Ledger.RetainAccounts(func(account string) bool { return snapshot.Account(account) != nil })
	router.dispatcher.Targets.SetLeaving(leaving)
}

// peerAddresses returns the addresses of the VMs that may be called. Connections
// to other addresses are dropped.
func (router *Router) peerAddresses(now time.Time) map[netip.AddrPort]bool {
	addresses := map[netip.AddrPort]bool{}
	for _, other := range router.members.Peers(now) {
		addresses[other.Address] = true
	}
	for _, seed := range router.members.Seeds() {
		addresses[seed] = true
	}
	return addresses
}
