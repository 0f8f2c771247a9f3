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
	// vmInterval is how often the list of VMs is read.
	vmInterval = time.Second
	// fetchTimeout bounds taking the configuration from another VM.
	fetchTimeout = 3 * time.Second
	// quietAfter is how long the platform is silent until it is called down.
	quietAfter = 2 * time.Second
)

var reconnect = retry.Backoff{Initial: 100 * time.Millisecond, Max: 2 * time.Second}

// runConfig follows the configuration: from another VM at the start, then by
// the platform's watch.
func (router *Router) runConfig(ctx context.Context) error {
	router.fetchFromSeeds(ctx)
	down := false
	for attempt := 0; ctx.Err() == nil; attempt++ {
		began := time.Now()
		err := router.follow(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(began) > quietAfter {
			attempt, down = 0, false // it worked for a while
		}
		if !down && !errors.Is(err, objects.ErrGone) {
			down = true
			router.Log.Emit(event.PlatformDown, event.Err(err))
		}
		if !router.ready() {
			router.Log.Emit(event.NotReady)
			router.fetchFromSeeds(ctx)
		}
		if !retry.Wait(ctx, reconnect.Next(attempt, time.Now())) {
			return nil
		}
	}
	return nil
}

// fetchFromSeeds takes the configuration from the first VM that has one, so
// that a herd of restarts does not read it all from the platform.
func (router *Router) fetchFromSeeds(ctx context.Context) {
	for _, seed := range router.members.Seeds() {
		if router.ready() || ctx.Err() != nil {
			return
		}
		if seed != router.PeerAddress() {
			router.fetch(ctx, seed)
		}
	}
}

// fetch takes another VM's configuration when it is newer.
func (router *Router) fetch(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	objects, version, err := router.dialer.Snapshot(ctx, address, router.store.Snapshot().Version, nil)
	if err != nil || version == 0 {
		return
	}
	if router.store.Load(objects, version) {
		router.configChanged()
		router.Log.Emit(event.ConfigFromPeer, event.F("version", uint64(version)), event.F("from", address.String()))
	}
}

// runFetches takes configurations that heartbeats told of.
func (router *Router) runFetches(ctx context.Context) error {
	for {
		select {
		case address := <-router.fetches:
			router.fetch(ctx, address)
		case <-ctx.Done():
			return nil
		}
	}
}

// follow lists if nothing is known yet and watches until the watch breaks.
func (router *Router) follow(ctx context.Context) error {
	if !router.ready() {
		if err := router.list(ctx); err != nil {
			return err
		}
	}
	from := router.store.Snapshot().Version
	router.metrics.PlatformCalls.Add(1)
	heard := false
	err := router.platform.Watch(ctx, objects.Configs, from, func(change objects.WatchEvent) error {
		if !heard {
			heard = true
			router.Log.Emit(event.PlatformUp)
		}
		router.take(change)
		return nil
	})
	if errors.Is(err, objects.ErrGone) {
		router.Log.Emit(event.WatchGone)
		return errors.CombineErrors(router.list(ctx), err)
	}
	return err
}

func (router *Router) list(ctx context.Context) error {
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
		router.configChanged()
	}
	return nil
}

// take applies one watch event.
func (router *Router) take(change objects.WatchEvent) {
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
	router.configChanged()
}

func (router *Router) configChanged() {
	version := router.store.Snapshot().Version
	router.metrics.ConfigVersion.Set(int64(version))
	router.Log.Emit(event.ConfigApplied, event.F("version", uint64(version)))
}

// runVMs reads the platform's list of VMs.
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
	router.dialer.Retain(router.reachable(now))
	snapshot := router.store.Snapshot()
	router.dispatcher.Ledger.RetainAccounts(func(account string) bool { return snapshot.Account(account) != nil })
	router.dispatcher.Targets.SetLeaving(leaving)
}

// reachable returns the addresses of the VMs that calls may go to.
func (router *Router) reachable(now time.Time) map[netip.AddrPort]bool {
	addresses := map[netip.AddrPort]bool{}
	for _, other := range router.members.Peers(now) {
		addresses[other.Address] = true
	}
	for _, seed := range router.members.Seeds() {
		addresses[seed] = true
	}
	return addresses
}
