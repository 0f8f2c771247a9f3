package gateway

import (
	"sort"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/rollout"
)

// weights is the versions that operators named. It is safe for concurrent use.
type weights struct {
	mu      sync.Mutex // guards the fields below
	named   map[string]rollout.Named
	changed chan struct{}
}

func newWeights() *weights {
	return &weights{named: map[string]rollout.Named{}, changed: make(chan struct{})}
}

// name notes a version; false when it is not newer than what was named.
func (weights *weights) name(model string, version uint64, now time.Time) bool {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	if weights.named[model].Version >= version {
		return false
	}
	weights.named[model] = rollout.Named{Weights: rollout.Weights{Model: model, Version: version}, Learned: now}
	close(weights.changed)
	weights.changed = make(chan struct{})
	return true
}

// Newest implements relay.Weights.
func (weights *weights) Newest(model string) (uint64, time.Time) {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	named := weights.named[model]
	return named.Version, named.Learned
}

// all returns what was named, by model, and a channel that is closed at the next
// change.
func (weights *weights) all() ([]rollout.Named, <-chan struct{}) {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	var all []rollout.Named
	for _, named := range weights.named {
		all = append(all, named)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Model < all[j].Model })
	return all, weights.changed
}
