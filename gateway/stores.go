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
)

// storeLook is how often the connections to the stores of KV cache are looked
// after.
const storeLook = 250 * time.Millisecond

// cacheStores knows which stores of KV cache answer, by an idle connection to
// each: a target that asks a dead one loses some hundred milliseconds.
type cacheStores struct {
	log *event.Log

	mu    sync.Mutex // guards conns
	conns map[netip.AddrPort]net.Conn
}

func newCacheStores(log *event.Log) *cacheStores {
	return &cacheStores{log: log, conns: map[netip.AddrPort]net.Conn{}}
}

// set takes the addresses from the configuration.
func (stores *cacheStores) set(addresses []netip.AddrPort) {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	named := map[netip.AddrPort]bool{}
	for _, address := range addresses {
		named[address] = true
		if _, ok := stores.conns[address]; !ok {
			stores.conns[address] = nil
		}
	}
	for address, conn := range stores.conns {
		if named[address] {
			continue
		}
		if conn != nil {
			_ = conn.Close() // nothing was sent
		}
		delete(stores.conns, address)
	}
}

// Usable implements relay.CacheStores.
func (stores *cacheStores) Usable(time.Time) netip.AddrPort {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	for address, conn := range stores.conns {
		if conn != nil {
			return address
		}
	}
	return netip.AddrPort{}
}

// run connects to the stores that have no connection.
func (stores *cacheStores) run(ctx context.Context) error {
	for {
		for _, address := range stores.missing() {
			go stores.runConnection(ctx, address)
		}
		if !sleepUntil(ctx, time.Now().Add(storeLook)) {
			return nil
		}
	}
}

func (stores *cacheStores) missing() []netip.AddrPort {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	var missing []netip.AddrPort
	for address, conn := range stores.conns {
		if conn == nil {
			missing = append(missing, address)
		}
	}
	return missing
}

// runConnection keeps one connection until its end.
func (stores *cacheStores) runConnection(ctx context.Context, address netip.AddrPort) {
	conn, err := connection.Dialer().DialContext(ctx, "tcp", address.String())
	if err != nil {
		return // the next look tries again
	}
	stores.mu.Lock()
	if known, ok := stores.conns[address]; !ok || known != nil {
		stores.mu.Unlock()
		_ = conn.Close() // nothing was sent
		return
	}
	stores.conns[address] = conn
	stores.mu.Unlock()
	stores.log.Emit(event.CacheStoreUp, event.F("address", address.String()))
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read below
	defer stop()
	_, _ = io.Copy(io.Discard, conn) // returns when the store is gone
	_ = conn.Close()
	stores.mu.Lock()
	defer stores.mu.Unlock()
	if _, ok := stores.conns[address]; ok {
		stores.conns[address] = nil
	}
	stores.log.Emit(event.CacheStoreDown, event.F("address", address.String()))
}
