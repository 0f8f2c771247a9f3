package placement

import (
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// DefaultIndexEntries is the default number of entries of a cache index.
const DefaultIndexEntries = 1 << 17

// EntryBytes is the memory of one entry.
const EntryBytes = 56

const (
	maxHolders = 4 // targets recorded for each block
	ways       = 4 // entries of a set
	shards     = 64
)

// holder is a target expected to have a block in its cache.
type holder struct {
	id          uint16
	epoch       uint16
	confirmedAt uint32 // milliseconds, see cacheIndex.millis
}

// entry records which targets are expected to have one block.
type entry struct {
	hash       prefix.Hash
	requests   uint32 // requests whose prompt had the block
	lastSeen   uint32 // milliseconds, time of the last such request
	holders    [maxHolders]holder
	nextHolder uint8 // index, modulo maxHolders, of the holder to overwrite next
}

// cacheIndex is a set-associative table of fixed size that maps blocks to the
// targets expected to have them cached. At most one shard lock is held at a time.
type cacheIndex struct {
	sets   [][ways]entry
	mask   uint64
	shards [shards]sync.Mutex
}

func newCacheIndex(entries int) *cacheIndex {
	sets := 1
	for sets*ways < entries {
		sets *= 2
	}
	return &cacheIndex{sets: make([][ways]entry, sets), mask: uint64(sets - 1)}
}

// millis returns the Unix time in milliseconds, truncated to 4 bytes to keep entries
// small; it wraps around after 49 days.
func (index *cacheIndex) millis(now time.Time) uint32 {
	return uint32(now.UnixMilli())
}

func (index *cacheIndex) lock(hash prefix.Hash) (*[ways]entry, *sync.Mutex) {
	set := uint64(hash) & index.mask
	shard := &index.shards[set%shards]
	shard.Lock()
	return &index.sets[set], shard
}

// find returns the entry of a hash in its set, or nil.
func find(set *[ways]entry, hash prefix.Hash) *entry {
	for i := range set {
		if set[i].hash == hash {
			return &set[i]
		}
	}
	return nil
}

// findOrEvict returns the entry of a hash. If there is none, a new entry replaces
// the oldest one of the set.
func findOrEvict(set *[ways]entry, hash prefix.Hash, now uint32) *entry {
	if found := find(set, hash); found != nil {
		return found
	}
	oldest := &set[0]
	for i := range set {
		if now-set[i].lastSeen > now-oldest.lastSeen {
			oldest = &set[i]
		}
	}
	*oldest = entry{hash: hash, lastSeen: now}
	return oldest
}

// countRequest counts a request with the block. It returns the number of earlier
// ones and the targets expected to have the block.
func (index *cacheIndex) countRequest(hash prefix.Hash, now uint32) (uint32, [maxHolders]holder) {
	set, shard := index.lock(hash)
	defer shard.Unlock()
	found := findOrEvict(set, hash, now)
	earlier := found.requests
	found.requests++
	found.lastSeen = now
	return earlier, found.holders
}

// holdersOf returns the targets expected to have the block.
func (index *cacheIndex) holdersOf(hash prefix.Hash) [maxHolders]holder {
	set, shard := index.lock(hash)
	defer shard.Unlock()
	if found := find(set, hash); found != nil {
		return found.holders
	}
	return [maxHolders]holder{}
}

// recordHolder records that a target has the block now. It returns when the
// target was last recorded to have it, zero when it was not.
func (index *cacheIndex) recordHolder(hash prefix.Hash, state *State, now uint32) uint32 {
	set, shard := index.lock(hash)
	defer shard.Unlock()
	found := findOrEvict(set, hash, now)
	epoch := uint16(state.epoch.Load())
	for i := range found.holders {
		if holder := &found.holders[i]; holder.id == state.id {
			previous := holder.confirmedAt
			if holder.epoch != epoch {
				previous = 0
			}
			holder.epoch, holder.confirmedAt = epoch, now
			return previous
		}
	}
	found.holders[found.nextHolder%maxHolders] = holder{id: state.id, epoch: epoch, confirmedAt: now}
	found.nextHolder++
	return 0
}

// valid reports whether the record is of the state's current epoch and not older
// than the target's retention.
func (holder holder) valid(state *State, now uint32) bool {
	if holder.id != state.id || holder.epoch != uint16(state.epoch.Load()) {
		return false
	}
	age := time.Duration(now-holder.confirmedAt) * time.Millisecond
	return age <= time.Duration(state.retention.Load())
}
