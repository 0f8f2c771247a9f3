package placement

import (
	"sync"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	levelSets = 1024 // accounts and models remembered; collisions share
	levelBins = 17   // depths of 0 to 16 blocks; deeper ones count as 16
	// repeatShare is the least share of requests that must have repeated a
	// depth for it to count as shared.
	repeatShare = 0.1
	// doubtShare is the share of requests below which a boundary that their
	// structure shows counts as not shared.
	doubtShare = 0.02
	// enoughRequests is how many must be seen before structure is doubted: a VM
	// that has just started sees many contexts for the first time.
	enoughRequests = 300
	// maxWeight halves old counts, so that changes of habit show.
	maxWeight = 1000
)

// levels learns, for each account and model, how deep the prefixes are that
// requests share, so that a prefix that this VM has not seen yet can be placed
// where other VMs place it.
type levels struct {
	mu   sync.Mutex // guards sets
	sets [levelSets]levelCount
}

// levelCount counts requests by the number of leading blocks that an earlier
// request had too.
type levelCount struct {
	bins  [levelBins]uint16
	total uint16
}

// note counts a request.
func (levels *levels) note(seed prefix.Hash, depth int) {
	levels.mu.Lock()
	defer levels.mu.Unlock()
	set := &levels.sets[uint64(seed)%levelSets]
	set.bins[min(depth, levelBins-1)]++
	set.total++
	if set.total < maxWeight {
		return
	}
	set.total = 0
	for i := range set.bins {
		set.bins[i] /= 2
		set.total += set.bins[i]
	}
}

// predict returns the depth to place by: the boundary that the request's
// structure shows, unless requests hardly ever share it, or the deepest depth
// that is shared often enough.
func (levels *levels) predict(seed prefix.Hash, boundary int) int {
	levels.mu.Lock()
	defer levels.mu.Unlock()
	set := &levels.sets[uint64(seed)%levelSets]
	if boundary > 0 && (set.total < enoughRequests || set.reached(boundary) >= doubtShare*float64(set.total)) {
		return boundary
	}
	needed := max(1, repeatShare*float64(set.total))
	for depth := levelBins - 1; depth > 0; depth-- {
		if set.reached(depth) >= needed {
			return depth
		}
	}
	return 0
}

// reached returns how many requests shared at least the depth.
func (count *levelCount) reached(depth int) float64 {
	total := 0.0
	for _, number := range count.bins[min(depth, levelBins-1):] {
		total += float64(number)
	}
	return total
}
