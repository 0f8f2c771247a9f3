package gateway

import (
	"context"
	"expvar"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/mirror"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/routing"
)

const (
	// configWait is how long one watch of the configuration waits: short, so that
	// a connection that went silent is noticed within the time in which a change
	// must be in force, and so is the loss of all close followers.
	configWait = 2 * time.Second
	// doubtfulWait is how long any watch waits after a call that failed: the store may
	// be silent, and other watches tell no sooner that it has returned.
	doubtfulWait = time.Second
	// otherWait is how long the other watches wait; each call has its price.
	otherWait = 6 * time.Second
	// gatherTargets is how long changes of registrations are left to gather after
	// some came, so that a roll of weights, which changes each registration, does
	// not make a call each. gatherMost bounds it in large fleets: with a call it
	// stays under the 2 s in which a leaving target may get new work. gatherEach is
	// the time for each VM, so that a fleet makes at most 60 such calls a second.
	gatherTargets = 500 * time.Millisecond
	gatherMost    = 1200 * time.Millisecond
	gatherEach    = time.Second / 60
	// gatherConfigs does so for quick successions of configurations.
	gatherConfigs = 150 * time.Millisecond
	// closeFollowers is the number of VMs that follow the store closely in a large
	// fleet; the others hear changes from them, and late from the store. With so
	// many, some are left in each availability zone when others are lost.
	closeFollowers = 12
	// fetchTimeout bounds taking changes from another VM.
	fetchTimeout = time.Second
	// unknownAge is how long ago weights are taken to have been named that a VM
	// finds in its first list, until another VM tells better: about the time in
	// which a process is started again.
	unknownAge = 2 * time.Second
)

var storeBackoff = retry.Backoff{First: 50 * time.Millisecond, Last: 500 * time.Millisecond}

// runConfigs follows the operators' configuration.
func (gateway *Gateway) runConfigs(ctx context.Context) error {
	gateway.follow(ctx, following{objects.Configs, configWait, func() time.Duration { return gatherConfigs }})
	return nil
}

// runTargets follows the registrations.
func (gateway *Gateway) runTargets(ctx context.Context) error {
	gateway.follow(ctx, following{objects.Targets, otherWait, func() time.Duration { return gatherFor(gateway.vms()) }})
	return nil
}

// runWeights follows the named versions of weights.
func (gateway *Gateway) runWeights(ctx context.Context) error {
	gateway.follow(ctx, following{objects.Weights, otherWait, func() time.Duration { return 0 }})
	return nil
}

// gatherFor returns for how long one of so many VMs leaves changes of
// registrations to gather. In between, other VMs tell it of them.
func gatherFor(vms int) time.Duration {
	return min(max(gatherTargets, time.Duration(vms)*gatherEach), gatherMost)
}

// mayHearLate reports whether other VMs tell this one of changes in time: it hears
// enough of those that follow the store closely.
func (gateway *Gateway) mayHearLate(now time.Time) bool {
	return gateway.rank(now) >= closeFollowers
}

// following is how a collection is followed.
type following struct {
	collection objects.Collection
	wait       time.Duration        // of one watch
	gather     func() time.Duration // the pause after changes came
}

// follow keeps a collection's copy in step until the context ends.
func (gateway *Gateway) follow(ctx context.Context, following following) {
	collection := following.collection
	relist := true
	for failures := 0; ctx.Err() == nil; {
		var err error
		if relist {
			err = gateway.list(ctx, collection)
		} else {
			err = gateway.watch(ctx, following)
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
		gateway.storeFailed(err)
		if !retry.Wait(ctx, storeBackoff.Next(failures, time.Now())) {
			return
		}
		failures++
	}
}

func (gateway *Gateway) list(ctx context.Context, collection objects.Collection) error {
	gateway.calls("list", collection)
	list, err := gateway.Store.List(ctx, collection)
	if err != nil {
		return err
	}
	gateway.storeAnswered()
	learned := time.Now()
	if _, listed := gateway.mirror.At(collection); !listed {
		learned = learned.Add(-unknownAge)
	}
	gateway.apply(gateway.mirror.Replace(collection, list.Items, list.Metadata.ResourceVersion), learned)
	return nil
}

func (gateway *Gateway) watch(ctx context.Context, following following) error {
	collection := following.collection
	from, _ := gateway.mirror.At(collection)
	now := time.Now()
	watch := objects.Watch{Collection: collection, From: from, Until: now.Add(following.wait), Late: gateway.mayHearLate(now)}
	if gateway.health.doubtful() {
		watch.Until = now.Add(min(following.wait, doubtfulWait))
	}
	gateway.calls("watch", collection)
	waiting, done := gateway.health.wait(ctx)
	events, at, err := gateway.Store.Changes(waiting, watch)
	renewed := waiting.Err() != nil && ctx.Err() == nil
	done()
	switch {
	case err != nil && renewed:
		return nil // the next watch takes its place
	case err != nil:
		return err
	}
	gateway.storeAnswered()
	gateway.apply(gateway.mirror.Apply(collection, events, at), time.Now())
	if len(events) > 0 {
		retry.Wait(ctx, time.Now().Add(following.gather()))
	}
	return nil
}

// calls counts a call to the store.
func (gateway *Gateway) calls(verb string, collection objects.Collection) {
	gateway.metrics.PlatformCalls.Add(1)
	gateway.metrics.StoreCalls.Add(verb+" "+string(collection), 1)
}

func (gateway *Gateway) storeAnswered() {
	now := time.Now()
	gateway.members.PlatformAnswered(0, now)
	if gateway.health.answered(now) {
		gateway.roster.PlatformFound(now)
		gateway.Log.Emit(event.PlatformUp)
	}
}

func (gateway *Gateway) storeFailed(err error) {
	heard, lost := gateway.health.failed()
	if lost {
		gateway.roster.PlatformLost(heard)
		gateway.Log.Emit(event.PlatformDown, event.Err(err))
	}
}

// apply puts changes in force. Named weights are taken for learned at the time.
func (gateway *Gateway) apply(changes []mirror.Change, learned time.Time) {
	now := time.Now()
	for _, change := range changes {
		switch change.Collection {
		case objects.Configs:
			gateway.applyConfig(change)
		case objects.Targets:
			gateway.applyTarget(change, now)
		case objects.Weights:
			gateway.applyWeights(change, learned)
		}
	}
}

func (gateway *Gateway) applyConfig(change mirror.Change) {
	if change.Removed {
		return // the last configuration stays in force
	}
	config, err := gateway.Decoder.Config(change.Object)
	if err != nil {
		gateway.Log.Emit(event.ConfigRejected, event.Err(err), event.F("object", change.Object.Metadata.Name))
		return
	}
	if table := gateway.relay.Table(); table != nil && table.Version > config.Version {
		return
	}
	table := routing.NewTable(config)
	gateway.relay.Configure(table)
	gateway.limits.Limit(limitsOf(config), time.Now())
	gateway.stores.set(cacheAddresses(table))
	gateway.metrics.ConfigVersion.Set(config.Version)
	gateway.metrics.ConfigApplied.Set(time.Now().UnixMilli())
	gateway.Log.Emit(event.ConfigApplied, event.F("version", config.Version), event.F("object_version", uint64(change.Object.Metadata.ResourceVersion)))
}

// limitsOf returns the limits of the accounts that have one.
func limitsOf(config routing.Config) []quota.Account {
	var limits []quota.Account
	for i := range config.Accounts {
		if account := &config.Accounts[i]; account.Limited() {
			limits = append(limits, quota.Account{Name: account.Name, Rate: account.Rate, Burst: account.Burst})
		}
	}
	return limits
}

func cacheAddresses(table *routing.Table) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, store := range table.CacheStores() {
		addresses = append(addresses, store.CacheStore)
	}
	return addresses
}

func (gateway *Gateway) applyTarget(change mirror.Change, now time.Time) {
	id := change.Object.Metadata.Name
	if change.Removed {
		gateway.Log.Emit(event.TargetGone, event.F("target", id))
		gateway.roster.Remove(id, now)
		return
	}
	entry, err := gateway.Decoder.Target(change.Object)
	if err != nil {
		gateway.Log.Emit(event.TargetUnreadable, event.F("target", id), event.Err(err))
		return
	}
	gateway.Log.Emit(event.TargetListed, event.F("target", id), event.F("service", entry.Service), event.F("draining", entry.Draining))
	gateway.roster.Put(entry, now)
}

func (gateway *Gateway) applyWeights(change mirror.Change, learned time.Time) {
	if change.Removed {
		return // what was named stays named
	}
	model, version, err := gateway.Decoder.Weights(change.Object)
	if err != nil {
		gateway.Log.Emit(event.ConfigRejected, event.Err(err), event.F("object", change.Object.Metadata.Name))
		return
	}
	gateway.nameWeights(model, version, learned)
}

// nameWeights notes that a version of weights was named at a time or before.
func (gateway *Gateway) nameWeights(model string, version uint64, at time.Time) {
	if !gateway.weights.name(model, version, at) {
		return
	}
	named := new(expvar.Int)
	named.Set(int64(version))
	gateway.metrics.Weights.Set(model, named)
	gateway.Log.Emit(event.WeightsNamed, event.F("model", model), event.F("weights", version),
		event.F("age_ms", time.Since(at).Milliseconds()))
}

// runFetches takes changes from other VMs that know more.
func (gateway *Gateway) runFetches(ctx context.Context) error {
	for {
		select {
		case address := <-gateway.fetches:
			gateway.fetch(ctx, address)
		case <-ctx.Done():
			return nil
		}
	}
}

func (gateway *Gateway) fetch(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	told, version, err := gateway.dialer.Snapshot(ctx, address, 0, gateway.mirror.Positions())
	if err != nil || len(told) == 0 {
		return
	}
	changes := gateway.mirror.Merge(told)
	gateway.Log.Emit(event.ConfigFromPeer, event.F("version", uint64(version)), event.F("from", address.String()), event.F("changes", len(changes)))
	gateway.apply(changes, time.Now())
}
