package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/retry"
)

const (
	partSourceStore = "store"
	// partsSendTime is the uptime up to which a VM receives all blocked parts in the
	// replies to its heartbeats. A VM that runs for longer knows them.
	partsSendTime = 10 * time.Second
	// peerPartsTime is how long a starting VM waits for such a reply before it lists
	// the parts in the store.
	peerPartsTime = time.Second
	// maxWriteTime bounds the attempts to store one change.
	maxWriteTime = time.Minute
	// maxPartWrites is the maximum number of changes that wait for the store.
	maxPartWrites = 100
)

// storedPart is the spec of a blocked part in the store.
type storedPart struct {
	Part  string    `json:"part"`
	Until time.Time `json:"until"`
}

// partStore keeps the blocked parts of prompts in the store, for VMs that start when no
// other VM runs.
type partStore struct {
	gateway *Gateway
	// fromPeer is set once a VM that has run for long has reported its blocked parts.
	fromPeer atomic.Bool

	mu     sync.Mutex // guards writes
	writes []partWrite
	wake   chan struct{}
}

// partWrite is a change that is to be stored; until is zero for a part that is no longer
// blocked.
type partWrite struct {
	part  string
	until time.Time
}

func newPartStore(gateway *Gateway) *partStore {
	return &partStore{gateway: gateway, wake: make(chan struct{}, 1)}
}

// recordReply records the reply to a heartbeat of a VM that has run for the given time.
func (partStore *partStore) recordReply(uptime time.Duration) {
	if uptime > partsSendTime {
		partStore.fromPeer.Store(true)
	}
}

// add queues a change. When too many wait, the oldest is dropped.
func (partStore *partStore) add(write partWrite) {
	partStore.mu.Lock()
	defer partStore.mu.Unlock()
	if len(partStore.writes) >= maxPartWrites {
		partStore.writes = partStore.writes[1:]
	}
	partStore.writes = append(partStore.writes, write)
	select {
	case partStore.wake <- struct{}{}:
	default: // the loop is about to run
	}
}

func (partStore *partStore) take() []partWrite {
	partStore.mu.Lock()
	defer partStore.mu.Unlock()
	writes := partStore.writes
	partStore.writes = nil
	return writes
}

// run reads the blocked parts at the start of the VM and stores changes.
func (partStore *partStore) run(ctx context.Context) error {
	if !partStore.gateway.Settings.FirstStart && retry.Wait(ctx, time.Now().Add(peerPartsTime)) && !partStore.fromPeer.Load() {
		partStore.gateway.retryUntilSuccess(ctx, partStore.list)
	}
	for {
		select {
		case <-partStore.wake:
		case <-ctx.Done():
			return nil
		}
		for _, write := range partStore.take() {
			partStore.storeInTime(ctx, write)
		}
	}
}

// storeInTime repeats a write until it succeeds or maxWriteTime has passed.
func (partStore *partStore) storeInTime(ctx context.Context, write partWrite) {
	ctx, cancel := context.WithTimeout(ctx, maxWriteTime)
	defer cancel()
	stored := partStore.gateway.retryUntilSuccess(ctx, func(ctx context.Context) error { return partStore.store(ctx, write) })
	if !stored {
		partStore.gateway.Log.Emit(event.PartNotStored, event.F("part", loggedPart(write.part)))
	}
}

// list reads the blocked parts from the store and removes those whose time is over.
func (partStore *partStore) list(ctx context.Context) error {
	gateway := partStore.gateway
	gateway.countStoreCall("list", objects.Quarantines)
	list, err := gateway.Store.List(ctx, objects.Quarantines)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, item := range list.Items {
		var stored storedPart
		if err := json.Unmarshal(item.Spec, &stored); err != nil {
			gateway.Log.Emit(event.ConfigRejected, event.Err(err), event.F("object", item.Metadata.Name))
			continue
		}
		if !now.Before(stored.Until) {
			partStore.add(partWrite{part: stored.Part})
			continue
		}
		// The time of day may be wrong.
		until := now.Add(min(stored.Until.Sub(now), quarantine.BlockTime))
		gateway.blockPart(quarantine.BlockedPart{Part: stored.Part, Until: until}, partSourceStore, now)
	}
	return nil
}

// store writes one change. Another VM may have written the part before.
func (partStore *partStore) store(ctx context.Context, write partWrite) error {
	gateway := partStore.gateway
	name := string(quarantine.DigestOf("", []byte(write.part)))
	if write.until.IsZero() {
		return partStore.remove(ctx, name)
	}
	spec := storedPart{Part: write.part, Until: write.until.UTC().Round(time.Second)}
	gateway.countStoreCall("create", objects.Quarantines)
	_, err := gateway.Store.Create(ctx, objects.Quarantines, name, spec)
	if !errors.Is(err, objects.ErrExists) {
		return err
	}
	gateway.countStoreCall("get", objects.Quarantines)
	object, err := gateway.Store.Get(ctx, objects.Quarantines, name)
	var stored storedPart
	if err != nil || json.Unmarshal(object.Spec, &stored) == nil && !stored.Until.Before(spec.Until) {
		return err
	}
	gateway.countStoreCall("update", objects.Quarantines)
	_, err = gateway.Store.Update(ctx, objects.Quarantines, name, object.Metadata.ResourceVersion, spec)
	return err
}

func (partStore *partStore) remove(ctx context.Context, name string) error {
	gateway := partStore.gateway
	gateway.countStoreCall("get", objects.Quarantines)
	object, err := gateway.Store.Get(ctx, objects.Quarantines, name)
	if err == nil {
		gateway.countStoreCall("delete", objects.Quarantines)
		err = gateway.Store.Delete(ctx, objects.Quarantines, name, object.Metadata.ResourceVersion)
	}
	if errors.Is(err, objects.ErrNotFound) {
		return nil
	}
	return err
}
