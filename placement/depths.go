package placement

import (
	"sync"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// depthSets is the number of sets of counters, selected by the request's seed;
	// seeds that collide share a set.
	depthSets = 1024
	depthBins = 17 // depths of 0 to 16 blocks; deeper ones count as 16
	// minSharedShare is the minimum share of requests that had at least a depth in
	// common with an earlier request; below it, the depth is not treated as shared.
	minSharedShare = 0.1
	// minBoundaryShare is the share of requests below which a message boundary is
	// treated as not shared.
	minBoundaryShare = 0.02
	// minObservedRequests is the number of requests before boundaries can be treated
	// as not shared: most contexts are new to a VM that has just started.
	minObservedRequests = 300
	// halvingThreshold is the number of requests at which all counts are halved, so
	// that newer requests have more weight.
	halvingThreshold = 1000
)

// depthStats counts, for each account, model and weights version, how many leading
// blocks requests share. A prefix that is new to this VM can then be placed where other
// VMs place it.
type depthStats struct {
	mu   sync.Mutex // guards sets
	sets [depthSets]depthCounts
}

// depthCounts counts requests by the number of leading blocks that they share with
// an earlier request.
type depthCounts struct {
	bins  [depthBins]uint16
	total uint16
}

// record counts a request.
func (stats *depthStats) record(seed prefix.Hash, depth int) {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	set := &stats.sets[uint64(seed)%depthSets]
	set.bins[min(depth, depthBins-1)]++
	set.total++
	if set.total < halvingThreshold {
		return
	}
	set.total = 0
	for i := range set.bins {
		set.bins[i] /= 2
		set.total += set.bins[i]
	}
}

// predict returns the number of leading blocks by which to place a request: the
// message boundary, unless requests hardly ever share it, or else the greatest
// depth that is shared often enough.
func (stats *depthStats) predict(seed prefix.Hash, boundary int) int {
	stats.mu.Lock()
	defer stats.mu.Unlock()
	set := &stats.sets[uint64(seed)%depthSets]
	if boundary > 0 && (set.total < minObservedRequests || set.atLeast(boundary) >= minBoundaryShare*float64(set.total)) {
		return boundary
	}
	needed := max(1, minSharedShare*float64(set.total))
	for depth := depthBins - 1; depth > 0; depth-- {
		if set.atLeast(depth) >= needed {
			return depth
		}
	}
	return 0
}

// atLeast returns the number of requests that shared at least the depth.
func (counts *depthCounts) atLeast(depth int) float64 {
	total := 0.0
	for _, number := range counts.bins[min(depth, depthBins-1):] {
		total += float64(number)
	}
	return total
}
