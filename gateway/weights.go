package gateway

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/rollout"
)

// replacedRetention is how long a replaced version is retained. It exceeds the time for
// which targets may still start requests on a replaced version.
const replacedRetention = time.Minute

// maxContactGap is the longest time without an answer of the store and a heartbeat of
// another VM after which other VMs still tell this one of a version that was named at the
// beginning of that time.
const maxContactGap = namedWeightsSendTime - lossTimeout

// namedWeights holds the weight versions that operators named. It is safe for
// concurrent use.
type namedWeights struct {
	mu    sync.Mutex                        // guards the fields below
	named map[string][]rollout.NamedWeights // by model, oldest first
	// latest holds the latest time at which a version can have been named that was reported to
	// this VM without the time of its naming.
	latest   map[rollout.Weights]time.Time
	changed  chan struct{}
	syncedAt time.Time // when the store last answered
	// contactAt is when the store last answered or another VM was last heard. No gap in
	// contact was longer than maxContactGap since contactSince.
	contactAt    time.Time
	contactSince time.Time
	// known is set once a complete list was received.
	known atomic.Bool
}

func newNamedWeights() *namedWeights {
	return &namedWeights{named: map[string][]rollout.NamedWeights{}, latest: map[rollout.Weights]time.Time{}, changed: make(chan struct{})}
}

// recordContact records an answer of the store or a heartbeat of another VM.
func (namedWeights *namedWeights) recordContact(now time.Time) {
	namedWeights.mu.Lock()
	defer namedWeights.mu.Unlock()
	namedWeights.extendContact(now)
}

// extendContact implements recordContact. The caller holds mu.
func (namedWeights *namedWeights) extendContact(now time.Time) {
	if namedWeights.contactAt.IsZero() || now.Sub(namedWeights.contactAt) > maxContactGap {
		namedWeights.contactSince = now
	}
	namedWeights.contactAt = now
}

// recordSync records an answer of the store and returns the time at which a version that
// it shows for the first time was named. This is now if this VM was in contact since the
// answer before: another VM would have told it of an earlier naming. Otherwise the time
// is not known, which a zero time means.
func (namedWeights *namedWeights) recordSync(now time.Time) time.Time {
	namedWeights.mu.Lock()
	defer namedWeights.mu.Unlock()
	namedWeights.extendContact(now)
	before := namedWeights.syncedAt
	namedWeights.syncedAt = now
	if before.IsZero() || before.Before(namedWeights.contactSince) {
		return time.Time{}
	}
	return now
}

// moveBack makes all times earlier, after the clock stood still for the given length.
func (namedWeights *namedWeights) moveBack(length time.Duration) {
	namedWeights.mu.Lock()
	defer namedWeights.mu.Unlock()
	for weights, at := range namedWeights.latest {
		namedWeights.latest[weights] = at.Add(-length)
	}
	times := []*time.Time{&namedWeights.syncedAt, &namedWeights.contactAt, &namedWeights.contactSince}
	for _, versions := range namedWeights.named {
		for i := range versions {
			times = append(times, &versions[i].Learned)
		}
	}
	for _, at := range times {
		if !at.IsZero() {
			*at = at.Add(-length)
		}
	}
}

// recordLatest records that this VM was told of a version without the time of its naming, which
// was at the given time or earlier.
func (namedWeights *namedWeights) recordLatest(model string, version uint64, latest time.Time) {
	namedWeights.mu.Lock()
	defer namedWeights.mu.Unlock()
	weights := rollout.Weights{Model: model, Version: version}
	if known, ok := namedWeights.latest[weights]; !ok || latest.Before(known) {
		namedWeights.latest[weights] = latest
	}
}

// capTime returns the time at which a version was named that the store or another VM
// showed as named at the given time: no later than what this VM was told before. A zero time
// stays zero.
func (namedWeights *namedWeights) capTime(model string, version uint64, at time.Time) time.Time {
	namedWeights.mu.Lock()
	defer namedWeights.mu.Unlock()
	if latest, ok := namedWeights.latest[rollout.Weights{Model: model, Version: version}]; ok && latest.Before(at) {
		return latest
	}
	return at
}

// add records that a version was named at the given time or earlier; a zero time means
// that the time is not known. It returns whether the version is the newest of its model
// and was unknown, and whether it was known with a later time or with none.
func (namedWeights *namedWeights) add(model string, version uint64, at time.Time) (newest, dated bool) {
	namedWeights.mu.Lock()
	defer namedWeights.mu.Unlock()
	versions := namedWeights.named[model]
	for i := range versions {
		if versions[i].Version != version {
			continue
		}
		// Times that VMs tell each other are not exact: one that comes back is no news.
		learned := versions[i].Learned
		if at.IsZero() || !learned.IsZero() && !at.Before(learned.Add(-membership.MaxSendError)) {
			return false, false
		}
		versions[i].Learned = at
		return false, true
	}
	newest = len(versions) == 0 || versions[len(versions)-1].Version < version
	versions = append(versions, rollout.NamedWeights{Weights: rollout.Weights{Model: model, Version: version}, Learned: at})
	sort.Slice(versions, func(i, j int) bool { return versions[i].Version < versions[j].Version })
	namedWeights.named[model] = withoutReplaced(versions, at)
	if newest {
		close(namedWeights.changed)
		namedWeights.changed = make(chan struct{})
	}
	return newest, false
}

// withoutReplaced returns the versions without those that were replaced more than
// replacedRetention before the given time.
func withoutReplaced(versions []rollout.NamedWeights, at time.Time) []rollout.NamedWeights {
	for i := len(versions) - 1; i > 0; i-- {
		if learned := versions[i].Learned; !learned.IsZero() && at.Sub(learned) > replacedRetention {
			return versions[i:]
		}
	}
	return versions
}

// recent returns the versions named after the given time and the ones that they
// replaced, to send to other VMs. Earlier and unknown times are the given time.
func (namedWeights *namedWeights) recent(after time.Time) []rollout.NamedWeights {
	namedWeights.mu.Lock()
	defer namedWeights.mu.Unlock()
	var recent []rollout.NamedWeights
	for _, versions := range namedWeights.named {
		for i, named := range versions {
			replaced := i+1 < len(versions) && versions[i+1].Learned.After(after)
			if !replaced && !named.Learned.After(after) {
				continue
			}
			if named.Learned.Before(after) {
				named.Learned = after
			}
			recent = append(recent, named)
		}
	}
	return recent
}

// Known implements relay.Weights.
func (namedWeights *namedWeights) Known() bool {
	return namedWeights.known.Load()
}

// Named implements relay.Weights. A version that was named at an unknown time counts as
// named before any time, so that it is required at once.
func (namedWeights *namedWeights) Named(model string, at time.Time) uint64 {
	namedWeights.mu.Lock()
	defer namedWeights.mu.Unlock()
	version := uint64(0)
	for _, named := range namedWeights.named[model] {
		if !named.Learned.After(at) {
			version = max(version, named.Version)
		}
	}
	return version
}

// newest returns the newest version of each model with its former ones, sorted by model,
// and a channel that is closed at the next change.
func (namedWeights *namedWeights) newest() ([]rollout.NamedWeights, <-chan struct{}) {
	namedWeights.mu.Lock()
	defer namedWeights.mu.Unlock()
	var newest []rollout.NamedWeights
	for _, versions := range namedWeights.named {
		last := len(versions) - 1
		named := versions[last]
		named.Former = slices.Clone(versions[:last])
		newest = append(newest, named)
	}
	sort.Slice(newest, func(i, j int) bool { return newest[i].Model < newest[j].Model })
	return newest, namedWeights.changed
}
