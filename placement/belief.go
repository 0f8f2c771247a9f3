package placement

import (
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// DefaultBeliefs is the usual number of entries of a belief table.
const DefaultBeliefs = 1 << 17

// EntryBytes is the memory that one entry takes.
const EntryBytes = 56

const (
	holders = 4 // targets remembered for each block
	ways    = 4 // entries in which a hash may stand
	shards  = 64
)

// holder is a target believed to hold a block.
type holder struct {
	id    uint16
	epoch uint16
	at    uint32 // milliseconds on the table's clock
}

// entry is what is believed of one block.
type entry struct {
	hash    prefix.Hash
	seen    uint32 // requests that began with the block
	at      uint32 // milliseconds of the last one
	holders [holders]holder
	next    uint8 // holder to overwrite next
}

// beliefs is a set-associative table of bounded size. Shard locks are taken
// one at a time.
type beliefs struct {
	sets   [][ways]entry
	mask   uint64
	shards [shards]sync.Mutex
}

func newBeliefs(entries int) *beliefs {
	sets := 1
	for sets*ways < entries {
		sets *= 2
	}
	return &beliefs{sets: make([][ways]entry, sets), mask: uint64(sets - 1)}
}

// clock returns milliseconds since a fixed time, so that an entry needs 4 bytes
// for it; it wraps after 49 days.
func (beliefs *beliefs) clock(now time.Time) uint32 {
	return uint32(now.UnixMilli())
}

func (beliefs *beliefs) lock(hash prefix.Hash) (*[ways]entry, *sync.Mutex) {
	index := uint64(hash) & beliefs.mask
	shard := &beliefs.shards[index%shards]
	shard.Lock()
	return &beliefs.sets[index], shard
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

// take returns the entry of a hash, in place of the oldest when it is new.
func take(set *[ways]entry, hash prefix.Hash, now uint32) *entry {
	if found := find(set, hash); found != nil {
		return found
	}
	oldest := &set[0]
	for i := range set {
		if now-set[i].at > now-oldest.at {
			oldest = &set[i]
		}
	}
	*oldest = entry{hash: hash, at: now}
	return oldest
}

// see counts a request for the block and returns how often it was seen before
// and who is believed to hold it.
func (beliefs *beliefs) see(hash prefix.Hash, now uint32) (uint32, [holders]holder) {
	set, shard := beliefs.lock(hash)
	defer shard.Unlock()
	found := take(set, hash, now)
	before := found.seen
	found.seen++
	found.at = now
	return before, found.holders
}

// look returns who is believed to hold the block.
func (beliefs *beliefs) look(hash prefix.Hash) [holders]holder {
	set, shard := beliefs.lock(hash)
	defer shard.Unlock()
	if found := find(set, hash); found != nil {
		return found.holders
	}
	return [holders]holder{}
}

// hold notes that a target has the block now. It returns when the target was
// last known to have it, zero when it was not.
func (beliefs *beliefs) hold(hash prefix.Hash, state *State, now uint32) uint32 {
	set, shard := beliefs.lock(hash)
	defer shard.Unlock()
	found := take(set, hash, now)
	epoch := uint16(state.epoch.Load())
	for i := range found.holders {
		if held := &found.holders[i]; held.id == state.id {
			former := held.at
			if held.epoch != epoch {
				former = 0
			}
			held.epoch, held.at = epoch, now
			return former
		}
	}
	found.holders[found.next%holders] = holder{id: state.id, epoch: epoch, at: now}
	found.next++
	return 0
}

// valid reports whether the holder is the state's current epoch and recent
// enough to be trusted.
func (held holder) valid(state *State, now uint32) bool {
	if held.id != state.id || held.epoch != uint16(state.epoch.Load()) {
		return false
	}
	age := time.Duration(now-held.at) * time.Millisecond
	return age <= time.Duration(state.retention.Load())
}
