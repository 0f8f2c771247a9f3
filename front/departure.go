package front

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/connection"
)

// departureCheckInterval is the interval at which the connections of running requests are
// looked at. Work for a caller that left must end within half a second.
const departureCheckInterval = 300 * time.Millisecond

// departureMonitor ends the context of a request whose caller has left. net/http does so at
// once, but not if bytes follow the request: it reads one of them and then no more until the
// request is answered.
type departureMonitor struct {
	conn   net.Conn
	cancel context.CancelFunc

	mu      sync.Mutex // guards the fields below
	timer   *time.Timer
	stopped bool
}

// monitorDeparture returns a context that ends when the caller has left, and a function that
// ends the monitoring. A nil connection is not monitored.
func monitorDeparture(ctx context.Context, conn net.Conn) (context.Context, func()) {
	if conn == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	departureMonitor := &departureMonitor{conn: conn, cancel: cancel}
	departureMonitor.mu.Lock()
	defer departureMonitor.mu.Unlock()
	departureMonitor.timer = time.AfterFunc(departureCheckInterval, departureMonitor.check)
	return ctx, departureMonitor.stop
}

func (departureMonitor *departureMonitor) check() {
	departureMonitor.mu.Lock()
	defer departureMonitor.mu.Unlock()
	switch {
	case departureMonitor.stopped:
	case connection.Closed(departureMonitor.conn):
		departureMonitor.cancel()
	default:
		departureMonitor.timer.Reset(departureCheckInterval)
	}
}

func (departureMonitor *departureMonitor) stop() {
	departureMonitor.mu.Lock()
	defer departureMonitor.mu.Unlock()
	departureMonitor.stopped = true
	departureMonitor.timer.Stop()
	departureMonitor.cancel()
}
