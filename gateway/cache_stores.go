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

// storeLook is how often the connections to the stores of KV cache are looked
// after.
const storeLook = 250 * time.Millisecond

// cacheStores knows which stores of KV cache answer, by an idle connection to
// each: a target that asks a dead one loses some hundred milliseconds.
type cacheStores struct {
	log *event.Log

	mu     sync.Mutex // guards stores and what they hold
	stores map[netip.AddrPort]*cacheStore
}

// cacheStore is one store.
type cacheStore struct {
	seed uint64   // by which it takes part in rendezvous hashing
	conn net.Conn // nil while there is none
}

func newCacheStores(log *event.Log) *cacheStores {
	return &cacheStores{log: log, stores: map[netip.AddrPort]*cacheStore{}}
}

// set takes the addresses from the configuration.
func (stores *cacheStores) set(addresses []netip.AddrPort) {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	named := map[netip.AddrPort]bool{}
	for _, address := range addresses {
		named[address] = true
		if _, ok := stores.stores[address]; !ok {
			stores.stores[address] = &cacheStore{seed: prefix.Mix(prefix.Digest(address.String()))}
		}
	}
	for address, store := range stores.stores {
		if named[address] {
			continue
		}
		if store.conn != nil {
			_ = store.conn.Close() // nothing was sent
		}
		delete(stores.stores, address)
	}
}

// Usable implements relay.CacheStores: of the stores that answer, the first in an
// order that all VMs compute alike for the key.
func (stores *cacheStores) Usable(key uint64) netip.AddrPort {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	var usable netip.AddrPort
	var most uint64
	for address, store := range stores.stores {
		if score := prefix.Mix(key ^ store.seed); store.conn != nil && (!usable.IsValid() || score > most) {
			usable, most = address, score
		}
	}
	return usable
}

// run connects to the stores that have no connection.
func (stores *cacheStores) run(ctx context.Context) error {
	for {
		for _, address := range stores.missing() {
			go stores.runConnection(ctx, address)
		}
		if !retry.Wait(ctx, time.Now().Add(storeLook)) {
			return nil
		}
	}
}

func (stores *cacheStores) missing() []netip.AddrPort {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	var missing []netip.AddrPort
	for address, store := range stores.stores {
		if store.conn == nil {
			missing = append(missing, address)
		}
	}
	return missing
}

// runConnection keeps a connection open. The store may close an idle one: it is
// taken for down only when no other can be made at once.
func (stores *cacheStores) runConnection(ctx context.Context, address netip.AddrPort) {
	up := false
	for {
		conn, err := connection.Dialer().DialContext(ctx, "tcp", address.String())
		if err != nil || !stores.hold(address, conn, up) {
			break
		}
		up = true
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read below
		_, _ = io.Copy(io.Discard, conn)                            // returns when the connection has ended
		stop()
		_ = conn.Close() // nothing was sent
		if ctx.Err() != nil {
			return
		}
	}
	if up {
		stores.lose(address)
	}
}

// hold notes a connection; false when the store is not named any more or has
// another one.
func (stores *cacheStores) hold(address netip.AddrPort, conn net.Conn, again bool) bool {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	known, ok := stores.stores[address]
	if !ok || known.conn != nil && !again {
		_ = conn.Close() // nothing was sent
		return false
	}
	known.conn = conn
	if !again {
		stores.log.Emit(event.CacheStoreUp, event.F("address", address.String()))
	}
	return true
}

func (stores *cacheStores) lose(address netip.AddrPort) {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	if known, ok := stores.stores[address]; ok {
		known.conn = nil
	}
	stores.log.Emit(event.CacheStoreDown, event.F("address", address.String()))
}
