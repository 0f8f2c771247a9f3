package caller

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/connection"
)

// watchInterval is how often callers' connections are checked. The HTTP
// library does not tell that a caller went away.
const watchInterval = 200 * time.Millisecond

// watches is the connections with a request that runs.
type watches struct {
	mu     sync.Mutex // guards active
	active map[*watch]bool
}

type watch struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// begin returns a context that ends when the caller goes away, or when end is
// called.
func (watches *watches) begin(ctx context.Context, conn net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	begun := &watch{conn: conn, cancel: cancel}
	watches.mu.Lock()
	defer watches.mu.Unlock()
	if watches.active == nil {
		watches.active = map[*watch]bool{}
	}
	watches.active[begun] = true
	return ctx, func() {
		cancel()
		watches.mu.Lock()
		defer watches.mu.Unlock()
		delete(watches.active, begun)
	}
}

// run checks all connections until the context ends.
func (watches *watches) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, watch := range watches.list() {
			if connection.Closed(watch.conn) {
				watch.cancel()
			}
		}
	}
}

func (watches *watches) list() []*watch {
	watches.mu.Lock()
	defer watches.mu.Unlock()
	list := make([]*watch, 0, len(watches.active))
	for watch := range watches.active {
		list = append(list, watch)
	}
	return list
}
