package dispatch

import (
	"crypto/tls"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/queue"
	"github.com/bramleygw/bramleygw/target"
)

// slotsPerTarget is the number of requests without a first token that all VMs
// together may have at one target. It is large enough to keep the target busy, and
// small enough that fairness is decided in the fair queue, not at the target.
const slotsPerTarget = 12

// Targets holds a client for each target and the pools that serve models and
// services. It is safe for concurrent use.
type Targets struct {
	// TLS is used for targets that are listed with TLS; set before use.
	TLS *tls.Config

	table   *placement.Table
	current atomic.Pointer[poolSet]

	mu       sync.Mutex // guards the fields below; requests read current without it
	clients  map[string]*target.Client
	queues   map[string]*queue.Queue
	snapshot *catalog.Snapshot
	leaving  map[string]bool
}

// poolSet is an immutable set of pools and clients.
type poolSet struct {
	pools   map[poolKey]*pool
	clients map[string]*target.Client
}

type poolKey struct {
	serves  string
	weights string
}

// pool is the set of targets of one model at one weights version, or of one
// service.
type pool struct {
	*placement.Pool
	weights string
	queue   *queue.Queue
}

// NewTargets returns an empty set.
func NewTargets() *Targets {
	targets := &Targets{
		table:   placement.NewTable(),
		clients: map[string]*target.Client{},
		queues:  map[string]*queue.Queue{},
	}
	targets.current.Store(&poolSet{})
	return targets
}

// Close closes the idle connections.
func (targets *Targets) Close() {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	for _, client := range targets.clients {
		client.Close()
	}
}

// Table returns the state of all targets.
func (targets *Targets) Table() *placement.Table {
	return targets.table
}

// SetLeaving sets the targets that the platform lists as leaving or gone, and marks
// them as draining.
func (targets *Targets) SetLeaving(leaving map[string]bool) {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	targets.leaving = leaving
	for _, state := range targets.table.All() {
		if leaving[state.Name] {
			state.SetDraining(true)
		}
	}
}

// update applies the configuration and sizes the queues for the number of VMs.
func (targets *Targets) update(snapshot *catalog.Snapshot, vms int) {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	if targets.snapshot != snapshot {
		targets.snapshot = snapshot
		targets.rebuild(snapshot)
	}
	now := time.Now()
	slots := int(math.Ceil(slotsPerTarget / float64(vms)))
	for _, pool := range targets.current.Load().pools {
		if pool.queue != nil {
			pool.queue.SetSlots(max(1, slots*pool.Usable(now)))
		}
	}
}

// rebuild creates the pool set of a snapshot. The caller holds mu.
func (targets *Targets) rebuild(snapshot *catalog.Snapshot) {
	rebuilt := &poolSet{pools: map[poolKey]*pool{}, clients: map[string]*target.Client{}}
	states := map[poolKey][]*placement.State{}
	names := map[string]bool{}
	for _, listed := range snapshot.Targets() {
		names[listed.Name] = true
		rebuilt.clients[listed.Name] = targets.client(listed)
		state := targets.table.State(listed.Name, listed.AvailabilityZone)
		state.SetDraining(listed.Draining || targets.leaving[listed.Name])
		key := poolKey{listed.Serves, listed.Weights}
		states[key] = append(states[key], state)
	}
	for key, members := range states {
		newPool := &pool{Pool: placement.NewPool(members), weights: key.weights}
		if key.weights != "" {
			newPool.queue = targets.queue(key)
		}
		rebuilt.pools[key] = newPool
	}
	targets.removeUnlisted(names)
	targets.current.Store(rebuilt)
}

func (targets *Targets) client(listed *catalog.Target) *target.Client {
	existing, ok := targets.clients[listed.Name]
	if ok && existing.Address() == listed.Address {
		return existing
	}
	if ok {
		existing.Close()
	}
	var tlsConfig *tls.Config
	if listed.TLS {
		tlsConfig = targets.TLS
	}
	client := target.New(listed.Address, tlsConfig)
	targets.clients[listed.Name] = client
	return client
}

func (targets *Targets) queue(key poolKey) *queue.Queue {
	name := key.serves + "\x00" + key.weights
	fairQueue, ok := targets.queues[name]
	if !ok {
		fairQueue = queue.New()
		targets.queues[name] = fairQueue
	}
	return fairQueue
}

func (targets *Targets) removeUnlisted(names map[string]bool) {
	for name, client := range targets.clients {
		if !names[name] {
			client.Close()
			delete(targets.clients, name)
		}
	}
	targets.table.Retain(names)
}

// Client returns the client of a target, or nil.
func (targets *Targets) Client(name string) *target.Client {
	return targets.current.Load().clients[name]
}

// service returns the pool of a plain service, or nil.
func (targets *Targets) service(name string) *pool {
	return targets.current.Load().pools[poolKey{serves: name}]
}

// model returns the pool for a model. While a weights roll-out is in progress, both
// versions serve. Requests are split in proportion to the number of usable targets
// of each version, and requests with the same key stay with the same version.
func (targets *Targets) model(model *catalog.Model, key uint64, now time.Time) *pool {
	pools := targets.current.Load().pools
	currentPool := pools[poolKey{model.Name, model.Weights}]
	if model.NextWeights == "" {
		return currentPool
	}
	nextPool := pools[poolKey{model.Name, model.NextWeights}]
	switch {
	case nextPool == nil || nextPool.Usable(now) == 0:
		return currentPool
	case currentPool == nil || currentPool.Usable(now) == 0:
		return nextPool
	}
	nextUsable := uint64(nextPool.Usable(now))
	totalUsable := nextUsable + uint64(currentPool.Usable(now))
	if key%totalUsable < nextUsable {
		return nextPool
	}
	return currentPool
}
