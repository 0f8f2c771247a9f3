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

// window is the number of requests that all VMs together keep at one target
// before their first tokens: enough to keep it busy, few enough that fairness
// is decided here.
const window = 12

// Targets holds a client for each target and the pools that serve models and
// services. It is safe for concurrent use.
type Targets struct {
	// TLS is used for targets that offer it; set before use.
	TLS *tls.Config

	table   *placement.Table
	current atomic.Pointer[pools]

	mu      sync.Mutex // guards the fields below; taken by update alone
	clients map[string]*target.Client
	queues  map[string]*queue.Fair
	objects *catalog.Snapshot
	leaving map[string]bool
}

// pools is an immutable view.
type pools struct {
	serving map[poolKey]*pool
	clients map[string]*target.Client
}

type poolKey struct {
	serves  string
	weights string
}

// pool is the targets of one model at one weights version, or of one service.
type pool struct {
	*placement.Pool
	weights string
	queue   *queue.Fair
}

// NewTargets returns an empty set.
func NewTargets() *Targets {
	targets := &Targets{
		table:   placement.NewTable(),
		clients: map[string]*target.Client{},
		queues:  map[string]*queue.Fair{},
	}
	targets.current.Store(&pools{})
	return targets
}

// Close breaks the idle connections.
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

// SetLeaving takes the targets that the platform lists as leaving or gone.
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

// update follows the configuration and sizes the queues for the number of VMs.
func (targets *Targets) update(snapshot *catalog.Snapshot, vms int) {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	if targets.objects != snapshot {
		targets.objects = snapshot
		targets.rebuild(snapshot)
	}
	now := time.Now()
	slots := int(math.Ceil(window / float64(vms)))
	for _, pool := range targets.current.Load().serving {
		if pool.queue != nil {
			pool.queue.SetSlots(max(1, slots*pool.Usable(now)))
		}
	}
}

// rebuild makes the view of a snapshot. The caller holds mu.
func (targets *Targets) rebuild(snapshot *catalog.Snapshot) {
	next := &pools{serving: map[poolKey]*pool{}, clients: map[string]*target.Client{}}
	states := map[poolKey][]*placement.State{}
	names := map[string]bool{}
	for _, listed := range snapshot.Targets() {
		names[listed.Name] = true
		next.clients[listed.Name] = targets.client(listed)
		state := targets.table.State(listed.Name, listed.AvailabilityZone)
		state.SetDraining(listed.Draining || targets.leaving[listed.Name])
		key := poolKey{listed.Serves, listed.Weights}
		states[key] = append(states[key], state)
	}
	for key, members := range states {
		built := &pool{Pool: placement.NewPool(members), weights: key.weights}
		if key.weights != "" {
			built.queue = targets.queue(key)
		}
		next.serving[key] = built
	}
	targets.drop(names)
	targets.current.Store(next)
}

func (targets *Targets) client(listed *catalog.Target) *target.Client {
	known, ok := targets.clients[listed.Name]
	if ok && known.Address() == listed.Address {
		return known
	}
	if ok {
		known.Close()
	}
	var tlsConfig *tls.Config
	if listed.TLS {
		tlsConfig = targets.TLS
	}
	client := target.New(listed.Address, tlsConfig)
	targets.clients[listed.Name] = client
	return client
}

func (targets *Targets) queue(key poolKey) *queue.Fair {
	name := key.serves + "\x00" + key.weights
	found, ok := targets.queues[name]
	if !ok {
		found = queue.New()
		targets.queues[name] = found
	}
	return found
}

func (targets *Targets) drop(names map[string]bool) {
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
	return targets.current.Load().serving[poolKey{serves: name}]
}

// model returns the pool for a model. While a roll is under way both versions
// serve; the split follows the number of usable targets, and requests with the
// same key stay with the same version.
func (targets *Targets) model(model *catalog.Model, key uint64, now time.Time) *pool {
	serving := targets.current.Load().serving
	current := serving[poolKey{model.Name, model.Weights}]
	if model.NextWeights == "" {
		return current
	}
	next := serving[poolKey{model.Name, model.NextWeights}]
	switch {
	case next == nil || next.Usable(now) == 0:
		return current
	case current == nil || current.Usable(now) == 0:
		return next
	}
	share := uint64(next.Usable(now))
	total := share + uint64(current.Usable(now))
	if key%total < share {
		return next
	}
	return current
}
