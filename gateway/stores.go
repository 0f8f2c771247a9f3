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
	"github.com/bramleygw/bramleygw/retry"
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
		if !retry.Wait(ctx, time.Now().Add(storeLook)) {
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
	known, ok := stores.conns[address]
	if !ok || known != nil && !again {
		_ = conn.Close() // nothing was sent
		return false
	}
	stores.conns[address] = conn
	if !again {
		stores.log.Emit(event.CacheStoreUp, event.F("address", address.String()))
	}
	return true
}

func (stores *cacheStores) lose(address netip.AddrPort) {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	if _, ok := stores.conns[address]; ok {
		stores.conns[address] = nil
	}
	stores.log.Emit(event.CacheStoreDown, event.F("address", address.String()))
}
