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

// name notes that a version was named at a time or before. It returns false when
// nothing new was learned.
func (weights *weights) name(model string, version uint64, at time.Time) bool {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	known := weights.named[model]
	for i := range known {
		if known[i].Version != version {
			continue
		}
		if earlier := at.Before(known[i].Learned); !earlier {
			return false
		}
		known[i].Learned = at
		return false
	}
	newest := len(known) == 0 || known[len(known)-1].Version < version
	known = append(known, rollout.Named{Weights: rollout.Weights{Model: model, Version: version}, Learned: at})
	sort.Slice(known, func(i, j int) bool { return known[i].Version < known[j].Version })
	for len(known) > 1 && at.Sub(known[1].Learned) > keepNamed {
		known = known[1:]
	}
	weights.named[model] = known
	if newest {
		close(weights.changed)
		weights.changed = make(chan struct{})
	}
	return newest
}

// recent returns what was named after a time, for other VMs.
func (weights *weights) recent(after time.Time) []rollout.Named {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	var recent []rollout.Named
	for _, known := range weights.named {
		for _, named := range known {
			if named.Learned.After(after) {
				recent = append(recent, named)
			}
		}
	}
	return recent
}

// Named implements relay.Weights.
func (weights *weights) Named(model string, at time.Time) uint64 {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	version := uint64(0)
	for _, named := range weights.named[model] {
		if !named.Learned.After(at) {
			version = max(version, named.Version)
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
