package caller

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/connection"
)

// checkInterval is the interval at which callers' connections are checked.
// fasthttp does not report that a caller has disconnected.
const checkInterval = 200 * time.Millisecond

// monitor cancels requests whose callers have disconnected. It holds the
// connections with a request in flight.
type monitor struct {
	mu     sync.Mutex // guards active
	active map[*watchedConn]bool
}

// watchedConn is a connection with a request in flight.
type watchedConn struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// watch returns a context that ends when the caller disconnects, and a function
// that ends it and stops the watching.
func (monitor *monitor) watch(ctx context.Context, conn net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	watched := &watchedConn{conn: conn, cancel: cancel}
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.active == nil {
		monitor.active = map[*watchedConn]bool{}
	}
	monitor.active[watched] = true
	return ctx, func() {
		cancel()
		monitor.mu.Lock()
		defer monitor.mu.Unlock()
		delete(monitor.active, watched)
	}
}

// run checks all connections at intervals until the context ends.
func (monitor *monitor) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, watched := range monitor.list() {
			if connection.Closed(watched.conn) {
				watched.cancel()
			}
		}
	}
}

// list returns a copy of the active connections.
func (monitor *monitor) list() []*watchedConn {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	list := make([]*watchedConn, 0, len(monitor.active))
	for watched := range monitor.active {
		list = append(list, watched)
	}
	return list
}
