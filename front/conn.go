package front

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/connection"
)

// phase is how far a connection is with its current request.
type phase int

const (
	phaseIdle    phase = iota // nothing of the next request has been read
	phaseHead                 // the head is being received
	phaseBody                 // the body is being received
	phaseRunning              // the request has been received and is not answered yet
)

// String returns the phase's name for logs.
func (phase phase) String() string {
	return [...]string{"idle", "head", "body", "running"}[phase]
}

// conn is a connection of a caller. It records what the caller has sent of its current
// request.
type conn struct {
	net.Conn
	onClose func(ending)

	mu    sync.Mutex // guards the fields below
	phase phase
	since time.Time // when the phase began
	// received is the number of bytes that were read since the last request was answered.
	received int64
	// peerEnded is set once a read has found the end of the connection.
	peerEnded bool
	closed    bool
}

// ending is the state of a connection when it was closed.
type ending struct {
	phase    phase
	since    time.Time
	received int64 // bytes of the current request that were read
	unread   bool  // whether further data had arrived
	byCaller bool
}

func newConn(inner net.Conn, now time.Time, onClose func(ending)) *conn {
	return &conn{Conn: inner, onClose: onClose, since: now}
}

// NetConn returns the connection beneath.
func (conn *conn) NetConn() net.Conn {
	return conn.Conn
}

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.received += int64(count)
	if count > 0 && conn.phase == phaseIdle {
		conn.phase, conn.since = phaseHead, time.Now()
	}
	var netErr net.Error
	if err != nil && !errors.Is(err, net.ErrClosed) && !(errors.As(err, &netErr) && netErr.Timeout()) {
		conn.peerEnded = true
	}
	return count, err
}

// enter records the begin of a phase of the current request.
func (conn *conn) enter(phase phase, now time.Time) {
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.phase, conn.since = phase, now
	if phase == phaseIdle {
		conn.received = 0
	}
}

// Close implements net.Conn.
func (conn *conn) Close() error {
	conn.mu.Lock()
	first := !conn.closed
	conn.closed = true
	ending := ending{phase: conn.phase, since: conn.since, received: conn.received, byCaller: conn.peerEnded}
	conn.mu.Unlock()
	if first {
		ending.unread = connection.Pending(conn.Conn)
		conn.onClose(ending)
	}
	return conn.Conn.Close()
}

// CloseWrite closes the sending side, so that a caller that is still sending reads the answer
// before it finds the connection closed.
func (conn *conn) CloseWrite() error {
	if inner, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that has not been sent.
func (conn *conn) SetLinger(seconds int) error {
	if inner, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (listener *listener) Accept() (net.Conn, error) {
	inner, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return listener.wrap(inner), nil
}

// connKey is the key under which the context of a request holds the caller's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
