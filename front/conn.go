package front

import (
	"context"
	"io"
	"math"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/occupancy"
	"github.com/bramleygw/bramleygw/routing"
)

// phase is how far a connection is with its current request.
type phase int

const (
	phaseNew     phase = iota // nothing has been read yet
	phaseIdle                 // nothing of the next request has been read
	phaseHead                 // the head is being received
	phaseBody                 // the body is being received
	phaseRunning              // the request has been received and is not answered yet
)

// String returns the phase's name for logs.
func (phase phase) String() string {
	return [...]string{"new", "idle", "head", "body", "running"}[phase]
}

// waits reports whether nothing of a request has been read.
func (phase phase) waits() bool {
	return phase == phaseNew || phase == phaseIdle
}

// Answers to requests whose heads arrive too late, are too large or find no room. The HTTP
// library's own limits cannot follow the configuration.
const (
	lateHead = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// NoRoom is the answer to requests that find no room: they did not run. It is exported for the
	// listener, which gives it on connections that it does not take in.
	NoRoom    = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"
	largeHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

const (
	// readAhead is the number of bytes of a body that the HTTP library may read together
	// with the head.
	readAhead = 4 << 10
	// After the answer to a head that is not read to its end, up to maxDiscarded bytes are
	// read for discardTime: unread ones would reset the connection, and the caller would
	// lose the answer.
	discardTime       = 500 * time.Millisecond
	maxDiscarded      = 256 << 10
	discardBufferSize = 512
	// maxLinger is how long a closed connection is kept until its caller has received
	// everything.
	maxLinger = 2 * time.Second
)

// conn is a connection of a caller. It records what the caller has sent of its current
// request, and can be ended without losing a request that has arrived.
type conn struct {
	net.Conn
	limits  func() routing.Limits
	onClose func(*conn, ending)

	mu    sync.Mutex // guards the fields below
	phase phase
	since time.Time // when the phase began
	// received is the number of bytes that were read since the last request was answered.
	received int64
	maxHead  int64 // bytes of the current head
	// headEnded is set once the current head was read or refused: its limits end no read
	// from then on.
	headEnded bool
	// interrupted is set while reads are to end; the read deadline has passed then.
	interrupted bool
	// peerEnded is set once a read has found the end of the connection.
	peerEnded bool
	resets    bool // whether Close is to reset the connection
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

// NetConn returns the connection beneath.
func (conn *conn) NetConn() net.Conn {
	return conn.Conn
}

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	for {
		count, err := conn.Conn.Read(buffer)
		if conn.resumes(count, err) {
			continue
		}
		if answer := conn.recordRead(count, err); answer != "" {
			conn.refuseHead(answer)
			return 0, io.EOF
		}
		return count, err
	}
}

// resumes reports whether a read has to be repeated: it was interrupted while the connection
// waited for a request, and data has arrived nevertheless.
func (conn *conn) resumes(count int, err error) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.interrupted || !conn.phase.waits() || count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !connection.Pending(conn.Conn) {
		return false
	}
	conn.resumeLocked()
	return true
}

// resumeLocked lets reads go on. The caller holds mu.
func (conn *conn) resumeLocked() {
	conn.interrupted = false
	_ = conn.Conn.SetReadDeadline(time.Time{}) // a read fails if the connection is closed
}

// recordRead records the result of a read. It returns the answer to a head that is late or too
// large, or an empty string.
func (conn *conn) recordRead(count int, err error) string {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.received += int64(count)
	if count > 0 && conn.phase.waits() {
		conn.phase, conn.since, conn.maxHead = phaseHead, time.Now(), int64(conn.limits().MaxHeaderBytes)
		if conn.interrupted {
			conn.resumeLocked()
		}
	}
	late := errors.Is(err, os.ErrDeadlineExceeded)
	if errors.Is(err, connection.ErrNoRoom) {
		conn.headEnded = true
		return NoRoom
	}
	if err != nil && !late && !errors.Is(err, net.ErrClosed) {
		conn.peerEnded = true
	}
	switch {
	case conn.phase != phaseHead || conn.headEnded:
		return ""
	case late && conn.interrupted:
		conn.headEnded = true
		return lateHead
	case conn.received > conn.maxHead+readAhead:
		conn.headEnded = true
		return largeHead
	}
	return ""
}

// endHead records that the HTTP library has read a head, or has failed to. It calls endHead
// before it reads anything else: such a read must not end by an interruption, which would end
// the request too.
func (conn *conn) endHead() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.headEnded = true
	if conn.interrupted {
		conn.resumeLocked()
	}
}

// refuseHead answers a request whose head is not read any further.
func (conn *conn) refuseHead(answer string) {
	now := time.Now()
	connection.EntryOf(conn.Conn).Enter(occupancy.Refusing, now)
	_ = conn.Conn.SetWriteDeadline(now.Add(refusalTime)) // the write fails too then
	if _, err := io.WriteString(conn.Conn, answer); err != nil {
		return // the caller has left or does not read
	}
	_ = conn.CloseWrite() // the connection is closed next
	conn.discard(now.Add(discardTime), maxDiscarded)
}

// enter records the begin of a phase of the current request.
func (conn *conn) enter(phase phase, now time.Time) {
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.phase, conn.since, conn.headEnded = phase, now, false
	if phase == phaseIdle {
		conn.received = 0
	}
	if conn.interrupted {
		conn.resumeLocked()
	}
}

// interrupt ends the connection if it has been in a phase since before the given time: the
// pending read ends, and the HTTP library closes the connection. A request that has arrived on a
// connection that waits for one is read nevertheless.
func (conn *conn) interrupt(phase phase, before time.Time) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.phase != phase || conn.headEnded || conn.since.After(before) {
		return
	}
	conn.interrupted = true
	_ = conn.Conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
}

// Close implements net.Conn. A connection on which data has arrived that nobody reads is kept until
// its caller has received the last answer, for maxLinger at most: the system would reset it, and
// the caller would lose the end of the answer. It counts as open until then.
func (conn *conn) Close() error {
	conn.mu.Lock()
	if conn.closed {
		conn.mu.Unlock()
		return net.ErrClosed
	}
	conn.closed = true
	ending := ending{phase: conn.phase, since: conn.since, received: conn.received, byCaller: conn.peerEnded}
	resets := conn.resets
	conn.mu.Unlock()
	ending.unread = connection.Pending(conn.Conn)
	if !resets && connection.Undelivered(conn.Conn) && conn.CloseWrite() == nil {
		now := time.Now()
		deadline := now.Add(maxLinger)
		connection.EntryOf(conn.Conn).Linger(deadline, now) // makes room if others need it
		go conn.runDiscard(deadline, ending)
		return nil
	}
	return conn.finish(ending)
}

func (conn *conn) finish(ending ending) error {
	conn.onClose(conn, ending)
	return conn.Conn.Close()
}

// runDiscard reads until the caller closes the connection too.
func (conn *conn) runDiscard(deadline time.Time, ending ending) {
	conn.discard(deadline, math.MaxInt)
	_ = conn.finish(ending) // the caller has closed it, or does not in time
}

// discard reads up to a number of bytes until the deadline.
func (conn *conn) discard(deadline time.Time, longest int) {
	buffer := make([]byte, discardBufferSize)
	err := conn.Conn.SetReadDeadline(deadline)
	for count := 0; err == nil && longest > 0; longest -= count {
		count, err = conn.Conn.Read(buffer)
	}
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
	conn.mu.Lock()
	conn.resets = seconds == 0
	conn.mu.Unlock()
	if inner, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}

// connKey is the key under which the context of a request holds the caller's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
