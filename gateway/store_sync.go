package gateway

import (
	"context"
	"expvar"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/mirror"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/routing"
)

const (
	// configWatchTimeout is the length of one configuration watch. It is short so that
	// a connection that carries no data, or the loss of all prompt watchers, is detected
	// within the time in which a change must take effect.
	configWatchTimeout = 2 * time.Second
	// unhealthyWatchTimeout is the maximum length of any watch after a failed call:
	// the store may be unresponsive, and longer watches would detect only later that it
	// answers again.
	unhealthyWatchTimeout = time.Second
	// defaultWatchTimeout is the length of the other watches. It is longer because
	// each call to the store has a cost.
	defaultWatchTimeout = 6 * time.Second
	// aloneWatchTimeout is the maximum length of any watch of a VM that hears from no other
	// VM, which would tell it of changes. With the store's margin for the answer, a watch
	// on a connection that carries no data is given up within the 3 s after which a VM
	// counts as in touch again and the 2 s for which a removed target may still receive
	// requests.
	aloneWatchTimeout = 3500 * time.Millisecond
	// minTargetBatchDelay is how long a VM waits after registrations changed before it
	// requests more changes, so that a weight roll, which changes every registration,
	// does not cause one call per registration. The delay grows by
	// targetBatchDelayPerVM with each VM, which limits the fleet to 60 such calls a
	// second until the delay reaches maxTargetBatchDelay. This maximum plus the
	// duration of one call is less than the 2 s for which a draining target may still
	// receive new requests.
	minTargetBatchDelay   = 500 * time.Millisecond
	maxTargetBatchDelay   = 1200 * time.Millisecond
	targetBatchDelayPerVM = time.Second / 60
	// configBatchDelay is the same delay for configurations that change in quick
	// succession.
	configBatchDelay = 150 * time.Millisecond
	// promptWatchers is the number of VMs in a large fleet whose watches return
	// changes promptly. The others receive changes from these VMs, and late from the
	// store. The number is large enough that some remain in each availability zone
	// when others are lost.
	promptWatchers = 12
	// fetchTimeout bounds fetching changes from another VM. After fetchPatience they are fetched
	// from a further one too, of up to maxFetches at once.
	fetchTimeout  = time.Second
	fetchPatience = 100 * time.Millisecond
	maxFetches    = 4
)

var storeBackoff = retry.Backoff{Initial: 50 * time.Millisecond, Max: 500 * time.Millisecond}

// runConfigs keeps the operators' configuration in sync with the store.
func (gateway *Gateway) runConfigs(ctx context.Context) error {
	gateway.syncCollection(ctx, collectionSync{objects.Configs, configWatchTimeout, func() time.Duration { return configBatchDelay }})
	return nil
}

// runTargets keeps the registrations of targets in sync with the store.
func (gateway *Gateway) runTargets(ctx context.Context) error {
	gateway.syncCollection(ctx, collectionSync{objects.Targets, defaultWatchTimeout, func() time.Duration { return targetBatchDelay(gateway.vmCount()) }})
	return nil
}

// runWeights keeps the named weight versions in sync with the store.
func (gateway *Gateway) runWeights(ctx context.Context) error {
	gateway.syncCollection(ctx, collectionSync{objects.Weights, defaultWatchTimeout, func() time.Duration { return 0 }})
	return nil
}

// targetBatchDelay returns how long each of the given number of VMs waits after
// registrations changed before it requests more changes. Meanwhile it receives changes
// from other VMs.
func targetBatchDelay(vms int) time.Duration {
	return min(max(minTargetBatchDelay, time.Duration(vms)*targetBatchDelayPerVM), maxTargetBatchDelay)
}

// acceptsLateChanges reports whether this VM may receive changes late from the store
// because other VMs forward them in time: it receives heartbeats from enough prompt
// watchers.
func (gateway *Gateway) acceptsLateChanges(now time.Time) bool {
	return gateway.rank(now) >= promptWatchers
}

// collectionSync describes how a collection is kept in sync with the store.
type collectionSync struct {
	collection   objects.Collection
	watchTimeout time.Duration        // of one watch
	batchDelay   func() time.Duration // the pause after a watch that returned changes
}

// syncCollection keeps the mirror of a collection up to date until the context ends.
func (gateway *Gateway) syncCollection(ctx context.Context, collectionSync collectionSync) {
	collection := collectionSync.collection
	relist := true
	for failures := 0; ctx.Err() == nil; {
		var err error
		began := time.Now()
		if relist {
			err = gateway.listCollection(ctx, collection)
		} else {
			err = gateway.watchCollection(ctx, collectionSync)
		}
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			relist, failures = false, 0
			continue
		case errors.Is(err, objects.ErrGone):
			gateway.Log.Emit(event.WatchGone, event.F("collection", string(collection)))
			relist = true
			continue
		}
		gateway.recordStoreFailure(err, began)
		if !retry.Wait(ctx, storeBackoff.Next(failures, time.Now())) {
			return
		}
		failures++
	}
}

func (gateway *Gateway) listCollection(ctx context.Context, collection objects.Collection) error {
	gateway.countStoreCall("list", collection)
	list, err := gateway.Store.List(ctx, collection)
	if err != nil {
		return err
	}
	gateway.recordStoreAnswer()
	_, listedBefore := gateway.mirror.SyncedVersion(collection)
	changes := gateway.update(sourceList, gateway.namedAt(collection), func() []mirror.Change {
		return gateway.mirror.Replace(collection, list.Items, list.Metadata.ResourceVersion)
	})
	if listedBefore {
		gateway.departures.announce(ctx, changes)
	}
	switch collection {
	case objects.Rollouts:
		gateway.releases.recordRead(uint64(list.Metadata.ResourceVersion))
	case objects.Weights:
		gateway.weights.known.Store(true)
	case objects.Targets:
		gateway.roster.RecordList(gateway.completeSince(listedBefore))
	}
	return nil
}

// namedAt returns the time at which weights were named that an answer shows for the first
// time, after an answer of the store for the collection.
func (gateway *Gateway) namedAt(collection objects.Collection) time.Time {
	if collection != objects.Weights {
		return time.Time{}
	}
	gateway.applySuspensions()
	return gateway.weights.recordSync(time.Now())
}

// completeSince returns the time since which the list of targets that was just received
// and its changes are complete. Nothing was missed before the first list of a system
// that has not run before.
func (gateway *Gateway) completeSince(listedBefore bool) time.Time {
	if gateway.Settings.FirstStart && !listedBefore {
		return time.Unix(0, 0)
	}
	return time.Now()
}

func (gateway *Gateway) watchCollection(ctx context.Context, collectionSync collectionSync) error {
	collection := collectionSync.collection
	from, _ := gateway.mirror.SyncedVersion(collection)
	now := time.Now()
	watch := objects.Watch{Collection: collection, From: from, Until: now.Add(collectionSync.watchTimeout), AcceptsLate: gateway.acceptsLateChanges(now)}
	switch {
	case gateway.storeHealth.lastCallFailed():
		watch.Until = now.Add(min(collectionSync.watchTimeout, unhealthyWatchTimeout))
	case len(gateway.members.LivePeers(now)) == 0:
		watch.Until = now.Add(min(collectionSync.watchTimeout, aloneWatchTimeout))
	}
	gateway.countStoreCall("watch", collection)
	watchCtx, removeWatch := gateway.storeHealth.addWatch(ctx)
	events, version, err := gateway.Store.Changes(watchCtx, watch)
	canceled := watchCtx.Err() != nil && ctx.Err() == nil
	removeWatch()
	switch {
	case err != nil && canceled:
		return nil // the caller starts the next watch
	case err != nil:
		if !time.Now().Before(watch.Until) {
			gateway.Log.Emit(event.WatchSilent, event.F("collection", string(collection)), event.F("after_ms", time.Since(now).Milliseconds()), event.Err(err))
		}
		return err
	}
	gateway.recordStoreAnswer()
	changes := gateway.update(sourceWatch, gateway.namedAt(collection), func() []mirror.Change {
		return gateway.mirror.Apply(collection, events, version)
	})
	gateway.departures.announce(ctx, changes)
	if collection == objects.Rollouts {
		gateway.releases.recordRead(uint64(version))
	}
	if len(events) > 0 {
		retry.Wait(ctx, time.Now().Add(collectionSync.batchDelay()))
	}
	return nil
}

// countStoreCall counts a call to the store in the metrics.
func (gateway *Gateway) countStoreCall(verb string, collection objects.Collection) {
	gateway.metrics.PlatformCalls.Add(1)
	gateway.metrics.StoreCalls.Add(verb+" "+string(collection), 1)
}

func (gateway *Gateway) recordStoreAnswer() {
	now := time.Now()
	gateway.members.RecordPlatformContact(0, now)
	if gateway.storeHealth.recordAnswer(now) {
		gateway.roster.PlatformUp(now)
		gateway.Log.Emit(event.PlatformUp)
	}
}

// recordStoreFailure records a call to the store that began at the given time and failed.
func (gateway *Gateway) recordStoreFailure(err error, began time.Time) {
	lastAnswer, unavailable := gateway.storeHealth.recordFailure(began, time.Now())
	if unavailable {
		gateway.roster.PlatformDown(lastAnswer)
		gateway.Log.Emit(event.PlatformDown, event.Err(err))
	}
}

// The sources of changes, for the log.
const (
	sourceList  = "list"
	sourceWatch = "watch"
	sourceVM    = "vm"
	// sourceNotice is another VM that did not wait for a heartbeat.
	sourceNotice = "notice"
)

// update merges what a source delivered into the mirror, puts the changes into effect and
// returns them. Sources take turns: if one merged while another one puts its changes into
// effect, an older version of an object could be put into effect after a newer one and
// would stay. namedAt is the time at which weights among the changes were named; zero if
// it is not known.
func (gateway *Gateway) update(source string, namedAt time.Time, merge func() []mirror.Change) []mirror.Change {
	gateway.updating.Lock()
	defer gateway.updating.Unlock()
	changes := merge()
	gateway.applyChanges(changes, source, namedAt)
	if gateway.roster.Size() > 0 {
		gateway.targetsKnown.Store(true)
	}
	return changes
}

// applyChanges implements update. The caller holds updating.
func (gateway *Gateway) applyChanges(changes []mirror.Change, source string, namedAt time.Time) {
	now := time.Now()
	for _, change := range changes {
		switch change.Collection {
		case objects.Configs:
			gateway.applyConfig(change, source)
		case objects.Targets:
			gateway.applyTarget(change, source, now)
		case objects.Weights:
			gateway.applyWeights(change, source, namedAt)
		case objects.Rollouts:
			gateway.releases.applyOrder(change, now)
		}
	}
}

func (gateway *Gateway) applyConfig(change mirror.Change, source string) {
	if change.Removed {
		return // the last configuration stays in effect
	}
	config, err := gateway.Decoder.Config(change.Object)
	if err != nil {
		gateway.Log.Emit(event.ConfigRejected, event.Err(err), event.F("object", change.Object.Metadata.Name))
		return
	}
	if table := gateway.relay.Table(); table != nil && table.Version > config.Version {
		gateway.Log.Emit(event.ConfigOlder, event.F("version", config.Version), event.F("in_force", table.Version), event.F("source", source))
		return
	}
	table := routing.NewTable(config)
	if gateway.origins.durable != nil {
		gateway.origins.durable.logs.configure(config.Routes)
	}
	gateway.relay.Configure(table)
	gateway.limits.SetLimits(accountLimits(config), time.Now())
	gateway.cacheStores.setAddresses(cacheStoreAddresses(table))
	gateway.metrics.ConfigVersion.Set(config.Version)
	gateway.metrics.ConfigApplied.Set(time.Now().UnixMilli())
	gateway.Log.Emit(event.ConfigApplied, event.F("version", config.Version), event.F("isolated_accounts", table.IsolatedAccounts()), event.F("cache_scope", string(table.Scope(nil))), event.F("object_version", uint64(change.Object.Metadata.ResourceVersion)), event.F("source", source))
}

// accountLimits returns the limits of the accounts that have one.
func accountLimits(config routing.Config) []quota.Account {
	var limits []quota.Account
	for i := range config.Accounts {
		if account := &config.Accounts[i]; account.Limited() {
			limits = append(limits, quota.Account{Name: account.Name, Rate: account.Rate, Burst: account.Burst})
		}
	}
	return limits
}

func cacheStoreAddresses(table *routing.Table) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, store := range table.CacheStores() {
		addresses = append(addresses, store.CacheStore)
	}
	return addresses
}

func (gateway *Gateway) applyTarget(change mirror.Change, source string, now time.Time) {
	id := change.Object.Metadata.Name
	if change.Removed {
		gateway.Log.Emit(event.TargetGone, event.F("target", id), event.F("source", source))
		gateway.roster.Remove(id, now)
		return
	}
	entry, err := gateway.Decoder.Target(change.Object)
	if err != nil {
		gateway.Log.Emit(event.TargetUnreadable, event.F("target", id), event.F("source", source), event.Err(err))
		gateway.roster.Remove(id, now) // another one by this name may have been readable
		return
	}
	gateway.Log.Emit(event.TargetListed, event.F("target", id), event.F("service", entry.Service), event.F("software", entry.Software), event.F("draining", entry.Draining), event.F("source", source))
	if change, changed := gateway.roster.Put(entry, now); changed {
		gateway.relay.RecordAvailability(change, now)
	}
}

func (gateway *Gateway) applyWeights(change mirror.Change, source string, namedAt time.Time) {
	if change.Removed {
		return // named versions stay in effect after the object is deleted
	}
	model, version, err := gateway.Decoder.Weights(change.Object)
	if err != nil {
		gateway.Log.Emit(event.ConfigRejected, event.Err(err), event.F("object", change.Object.Metadata.Name))
		return
	}
	gateway.addNamedWeights(model, version, source, namedAt)
}

// addNamedWeights records that a weight version was named at the given time or
// earlier; a zero time means that the time is not known.
func (gateway *Gateway) addNamedWeights(model string, version uint64, source string, at time.Time) {
	at = gateway.weights.capTime(model, version, at)
	fields := []event.Field{event.F("model", model), event.F("weights", version), event.F("source", source), event.F("age_known", !at.IsZero())}
	if !at.IsZero() {
		fields = append(fields, event.F("age_ms", time.Since(at).Milliseconds()))
	}
	if at.IsZero() {
		gateway.weights.recordLatest(model, version, time.Now())
	}
	newest, dated := gateway.weights.add(model, version, at)
	if dated {
		gateway.Log.Emit(event.WeightsDated, fields...)
	}
	if !newest {
		return
	}
	gauge := new(expvar.Int)
	gauge.Set(int64(version))
	gateway.metrics.Weights.Set(model, gauge)
	gateway.Log.Emit(event.WeightsNamed, fields...)
}

// mergeEmpty records which collections had no object on another VM that listed them.
func (gateway *Gateway) mergeEmpty(positions []objects.Position) {
	for _, position := range positions {
		if position.Version > 0 {
			continue
		}
		gateway.mirror.RecordEmpty(position.Collection)
		if position.Collection == objects.Weights {
			gateway.weights.known.Store(true)
		}
	}
}

// runFetches fetches changes from other VMs that hold newer objects. While one does not answer,
// the changes are fetched from others.
func (gateway *Gateway) runFetches(ctx context.Context) error {
	fetches := newFetches(gateway.fetch)
	for {
		select {
		case address := <-gateway.fetchAddresses:
			fetches.start(ctx, address)
		case <-ctx.Done():
			return nil
		}
	}
}

// fetches bounds the fetches in progress, since most often the first brings what is lacking.
type fetches struct {
	fetch func(ctx context.Context, address netip.AddrPort)

	mu         sync.Mutex                   // guards inProgress
	inProgress map[netip.AddrPort]time.Time // begin of the fetch, by the VM
}

func newFetches(fetch func(context.Context, netip.AddrPort)) *fetches {
	return &fetches{fetch: fetch, inProgress: map[netip.AddrPort]time.Time{}}
}

// start starts a fetch from another VM, unless one from it, too many, or one that may soon be
// answered are in progress: the next heartbeat shows whether changes are still lacking.
func (fetches *fetches) start(ctx context.Context, address netip.AddrPort) {
	fetches.mu.Lock()
	defer fetches.mu.Unlock()
	now := time.Now()
	for from, began := range fetches.inProgress {
		if from == address || now.Sub(began) < fetchPatience {
			return
		}
	}
	if len(fetches.inProgress) >= maxFetches {
		return
	}
	fetches.inProgress[address] = now
	go fetches.run(ctx, address)
}

func (fetches *fetches) run(ctx context.Context, address netip.AddrPort) {
	fetches.fetch(ctx, address)
	fetches.mu.Lock()
	defer fetches.mu.Unlock()
	delete(fetches.inProgress, address)
}

func (gateway *Gateway) fetch(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	began := time.Now()
	fetched, version, err := gateway.dialer.Snapshot(ctx, address, 0, gateway.mirror.Positions())
	if err != nil {
		gateway.Log.Emit(event.FetchFailed, event.F("from", address.String()), event.F("after_ms", time.Since(began).Milliseconds()), event.Err(err))
		return
	}
	if len(fetched) == 0 {
		return
	}
	changes := gateway.applyFetched(fetched)
	gateway.Log.Emit(event.ConfigFromPeer, event.F("version", uint64(version)), event.F("from", address.String()), event.F("changes", len(changes)))
}

// applyFetched merges objects fetched from another VM and puts the changes into effect.
// These are all that this VM lacked of their collections.
func (gateway *Gateway) applyFetched(fetched []catalog.Object) []mirror.Change {
	// Heartbeats tell when weights were named.
	changes := gateway.update(sourceVM, time.Time{}, func() []mirror.Change { return gateway.mirror.Merge(fetched) })
	// Weights that another source delivered before make no change; they were made known then.
	named := slices.ContainsFunc(changes, func(change mirror.Change) bool { return change.Collection == objects.Weights })
	removed := slices.ContainsFunc(fetched, func(object catalog.Object) bool {
		return object.Deleted && strings.HasPrefix(object.ID, string(objects.Weights)+"/")
	})
	if named || removed {
		gateway.weights.known.Store(true)
	}
	return changes
}
