package gateway

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/retry"
)

// connectInterval is how often the cache stores without a connection are dialed.
const connectInterval = 250 * time.Millisecond

// cacheStores tracks which KV cache stores are reachable, by an idle connection to
// each: a target that queries an unreachable store loses some hundred milliseconds.
type cacheStores struct {
	log *event.Log

	mu     sync.Mutex // guards stores and the entries in it
	stores map[netip.AddrPort]*cacheStore
}

// cacheStore is one KV cache store.
type cacheStore struct {
	seed uint64   // for rendezvous hashing
	conn net.Conn // nil if not connected
}

func newCacheStores(log *event.Log) *cacheStores {
	return &cacheStores{log: log, stores: map[netip.AddrPort]*cacheStore{}}
}

// setAddresses replaces the addresses with those of the configuration.
func (cacheStores *cacheStores) setAddresses(addresses []netip.AddrPort) {
	cacheStores.mu.Lock()
	defer cacheStores.mu.Unlock()
	configured := map[netip.AddrPort]bool{}
	for _, address := range addresses {
		configured[address] = true
		if _, ok := cacheStores.stores[address]; !ok {
			cacheStores.stores[address] = &cacheStore{seed: prefix.Mix(prefix.Digest(address.String()))}
		}
	}
	for address, store := range cacheStores.stores {
		if configured[address] {
			continue
		}
		if store.conn != nil {
			_ = store.conn.Close() // nothing was sent
		}
		delete(cacheStores.stores, address)
	}
}

// Usable implements relay.CacheStores. It returns the reachable store that comes first
// in the key's rendezvous order, which is the same on every VM.
func (cacheStores *cacheStores) Usable(key uint64) netip.AddrPort {
	cacheStores.mu.Lock()
	defer cacheStores.mu.Unlock()
	var usable netip.AddrPort
	var highest uint64
	for address, store := range cacheStores.stores {
		if score := prefix.Mix(key ^ store.seed); store.conn != nil && (!usable.IsValid() || score > highest) {
			usable, highest = address, score
		}
	}
	return usable
}

// run connects to the stores that have no connection.
func (cacheStores *cacheStores) run(ctx context.Context) error {
	for {
		for _, address := range cacheStores.unconnected() {
			go cacheStores.runConnection(ctx, address)
		}
		if !retry.Wait(ctx, time.Now().Add(connectInterval)) {
			return nil
		}
	}
}

func (cacheStores *cacheStores) unconnected() []netip.AddrPort {
	cacheStores.mu.Lock()
	defer cacheStores.mu.Unlock()
	var unconnected []netip.AddrPort
	for address, store := range cacheStores.stores {
		if store.conn == nil {
			unconnected = append(unconnected, address)
		}
	}
	return unconnected
}

// runConnection keeps a connection to a store open. The store may close an idle
// connection, so it counts as down only if it cannot be dialed again at once.
func (cacheStores *cacheStores) runConnection(ctx context.Context, address netip.AddrPort) {
	connected := false
	for {
		conn, err := connection.Dialer().DialContext(ctx, "tcp", address.String())
		if err != nil || !cacheStores.addConnection(address, conn, connected) {
			break
		}
		connected = true
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks the read below
		_, _ = io.Copy(io.Discard, conn)                            // returns when the connection has ended
		stop()
		_ = conn.Close() // nothing was sent
		if ctx.Err() != nil {
			return
		}
	}
	if connected {
		cacheStores.removeConnection(address)
	}
}

// addConnection records a connection. It returns false if the store is no longer
// configured or already has another connection.
func (cacheStores *cacheStores) addConnection(address netip.AddrPort, conn net.Conn, reconnected bool) bool {
	cacheStores.mu.Lock()
	defer cacheStores.mu.Unlock()
	store, ok := cacheStores.stores[address]
	if !ok || store.conn != nil && !reconnected {
		_ = conn.Close() // nothing was sent
		return false
	}
	store.conn = conn
	if !reconnected {
		cacheStores.log.Emit(event.CacheStoreUp, event.F("address", address.String()))
	}
	return true
}

func (cacheStores *cacheStores) removeConnection(address netip.AddrPort) {
	cacheStores.mu.Lock()
	defer cacheStores.mu.Unlock()
	if store, ok := cacheStores.stores[address]; ok {
		store.conn = nil
	}
	cacheStores.log.Emit(event.CacheStoreDown, event.F("address", address.String()))
}
