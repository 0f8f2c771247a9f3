package standin

import (
	"container/list"
	"sync"

	"github.com/bramleygw/bramleygw/prefix"
)

// cache is an engine's prefix cache, made of blocks that are evicted in
// least-recently-used order.
type cache struct {
	capacity int // blocks
	events   *eventLog

	mu     sync.Mutex // guards order and blocks
	order  *list.List // most recently used first
	blocks map[prefix.Hash]*list.Element
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, events: &eventLog{}, order: list.New(), blocks: map[prefix.Hash]*list.Element{}}
}

// match returns the number of leading blocks of the chain that are cached.
func (cache *cache) match(chain []prefix.Hash) int {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for i, hash := range chain {
		if _, ok := cache.blocks[hash]; !ok {
			return i
		}
	}
	return len(chain)
}

// use stores the chain's blocks and marks them as the most recently used. It
// goes through the chain from the last block to the first, so that the end of a
// chain is evicted before its beginning.
func (cache *cache) use(chain []prefix.Hash) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for i := len(chain) - 1; i >= 0; i-- {
		if element, ok := cache.blocks[chain[i]]; ok {
			cache.order.MoveToFront(element)
			continue
		}
		cache.blocks[chain[i]] = cache.order.PushFront(chain[i])
		cache.events.add("stored", chain[i])
	}
	for cache.order.Len() > cache.capacity {
		last := cache.order.Back()
		cache.order.Remove(last)
		evicted := last.Value.(prefix.Hash)
		delete(cache.blocks, evicted)
		cache.events.add("evicted", evicted)
	}
}
