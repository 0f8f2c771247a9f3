package gateway

import (
	"sort"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/rollout"
)

// keepNamed is how long a version that was replaced is remembered: longer than
// requests may run on the one before it.
const keepNamed = time.Minute

// weights is the versions that operators named. It is safe for concurrent use.
type weights struct {
	mu      sync.Mutex                 // guards the fields below
	named   map[string][]rollout.Named // by model, oldest first
	changed chan struct{}
}

func newWeights() *weights {
	return &weights{named: map[string][]rollout.Named{}, changed: make(chan struct{})}
}

// name notes a version; false when it is not newer than what was named.
func (weights *weights) name(model string, version uint64, now time.Time) bool {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	known := weights.named[model]
	if len(known) > 0 && known[len(known)-1].Version >= version {
		return false
	}
	for len(known) > 1 && now.Sub(known[1].Learned) > keepNamed {
		known = known[1:]
	}
	weights.named[model] = append(known, rollout.Named{Weights: rollout.Weights{Model: model, Version: version}, Learned: now})
	close(weights.changed)
	weights.changed = make(chan struct{})
	return true
}

// Named implements relay.Weights.
func (weights *weights) Named(model string, at time.Time) uint64 {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	version := uint64(0)
	for _, named := range weights.named[model] {
		if !named.Learned.After(at) {
			version = named.Version
		}
	}
	return version
}

// all returns the newest version of each model, by model, and a channel that is
// closed at the next change.
func (weights *weights) all() ([]rollout.Named, <-chan struct{}) {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	var all []rollout.Named
	for _, named := range weights.named {
		all = append(all, named[len(named)-1])
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Model < all[j].Model })
	return all, weights.changed
}
