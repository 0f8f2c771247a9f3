package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/occupancy"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/routing"
)

// The connections are looked at each sweepInterval, and more often in a stop.
const (
	sweepInterval    = 200 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// acceptPollInterval is the interval at which the listener's queue is looked at in a stop.
	acceptPollInterval = time.Millisecond
)

// conns holds the open connections of callers. It is the listener that accepts them.
type conns struct {
	net.Listener
	limits   func() routing.Limits
	onEnding func(ending)

	mu   sync.Mutex // guards open
	open map[*conn]struct{}
}

func newConns(listener net.Listener, limits func() routing.Limits, onEnding func(ending)) *conns {
	return &conns{Listener: listener, limits: limits, onEnding: onEnding, open: map[*conn]struct{}{}}
}

// Accept implements net.Listener.
func (conns *conns) Accept() (net.Conn, error) {
	inner, err := conns.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: inner, limits: conns.limits, onClose: conns.remove, since: time.Now()}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	conns.open[accepted] = struct{}{}
	return accepted, nil
}

// remove removes a connection that is being closed.
func (conns *conns) remove(conn *conn, ending ending) {
	conns.mu.Lock()
	delete(conns.open, conn)
	conns.mu.Unlock()
	conns.onEnding(ending)
}

// interrupt ends the connections that have been in a phase since before the given time, and
// returns the number of connections that are open.
func (conns *conns) interrupt(phase phase, before time.Time) int {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for conn := range conns.open {
		conn.interrupt(phase, before)
	}
	return len(conns.open)
}

// runSweep ends connections that are idle, or receive a head, for longer than the limits allow.
func (conns *conns) runSweep(ctx context.Context) {
	for retry.Wait(ctx, time.Now().Add(sweepInterval)) {
		now, limits := time.Now(), conns.limits()
		idleSince := now.Add(-max(time.Duration(limits.IdleTimeout), reuseTime))
		conns.interrupt(phaseNew, idleSince)
		conns.interrupt(phaseIdle, idleSince)
		conns.interrupt(phaseHead, now.Add(-time.Duration(limits.HeaderTimeout)))
	}
}

// recordState records that the head of a request on a connection was read, or that the request
// was answered.
func recordState(wrapped net.Conn, state http.ConnState) {
	conn, ok := wrapped.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.endHead()
	case http.StateIdle:
		now := time.Now()
		conn.enter(phaseIdle, now)
		connection.EntryOf(conn.Conn).Enter(occupancy.Waiting, now)
	}
}
