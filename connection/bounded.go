package connection

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/occupancy"
)

const (
	// fieldBytes is the memory of one field of a head in addition to its text, which is
	// held twice: as it was received and as it was decoded.
	fieldBytes = 128
	// writeSize is the size of the parts in which an answer is written, so that its
	// progress is known.
	writeSize = 32 << 10
	// endOfHead is the blank line after the fields of a head.
	endOfHead = "\r\n\r\n"
	// Up to maxRefusing connections for which there is no room are kept for refusingTime at most,
	// until their peers have received a refusal. They are not kept beyond maxAwaited if their peers
	// have sent nothing yet.
	maxRefusing          = 48
	maxAwaited           = 24
	maxDropped           = 16 << 10 // bytes of a request that are read before its refusal
	refusingTime         = 500 * time.Millisecond
	refusingPollInterval = time.Millisecond
	refusingBufferSize   = 512
)

// ErrNoRoom marks the error of reading a head for which there is no room.
var ErrNoRoom = errors.New("connections hold all the memory that they may")

// errNoRoom is returned for such a head. An HTTP server closes a connection without an answer
// when a read fails with an error of the network.
var errNoRoom = errors.Mark(error(&net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom}), ErrNoRoom)

// BoundedListener accepts connections as long as a table has room for them, and counts
// what they hold.
type BoundedListener struct {
	net.Listener
	Table *occupancy.Table
	// Heads is set if the connections carry HTTP/1.1, so that what is read while no request
	// runs is the head of the next one.
	Heads bool
	// Refusal, if set, is the answer to what arrives on connections for which there is no room.
	Refusal string

	// refusing counts connections that get a refusal, awaited those of them on which nothing
	// had arrived when they were accepted.
	refusing, awaited atomic.Int64
}

// SyscallConn implements syscall.Conn if the listener beneath does.
func (listener *BoundedListener) SyscallConn() (syscall.RawConn, error) {
	inner, ok := listener.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.New("the listener has no descriptor")
	}
	return inner.SyscallConn()
}

// Accept implements net.Listener.
func (listener *BoundedListener) Accept() (net.Conn, error) {
	for {
		inner, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Bounded{Conn: inner, heads: listener.Heads}
		var ok bool
		if conn.Entry, ok = listener.Table.Open(time.Now(), conn); ok {
			return conn, nil
		}
		listener.refuse(inner)
	}
}

// refuse closes a connection for which there is no room. If its peer has sent something, or may be
// about to, it gets a refusal first. Others wait to be accepted meanwhile, if there are too many.
func (listener *BoundedListener) refuse(inner net.Conn) {
	if listener.Refusal == "" {
		_ = inner.Close() // its peer is not a caller
		return
	}
	awaited := !Pending(inner)
	if awaited && listener.awaited.Add(1) > maxAwaited {
		listener.awaited.Add(-1)
		_ = inner.Close() // nothing has arrived on it
		return
	}
	for listener.refusing.Add(1) > maxRefusing {
		listener.refusing.Add(-1)
		<-time.After(refusingPollInterval)
	}
	go listener.runRefuse(inner, awaited)
}

// runRefuse answers the first request on a connection for which there is no room.
func (listener *BoundedListener) runRefuse(inner net.Conn, awaited bool) {
	defer listener.refusing.Add(-1)
	if awaited {
		defer listener.awaited.Add(-1)
	}
	defer func() { _ = inner.Close() }() // the peer has the refusal, or does not take it
	deadline := time.Now().Add(refusingTime)
	_ = inner.SetDeadline(deadline) // fails if the connection is closed
	buffer := make([]byte, refusingBufferSize)
	if _, err := inner.Read(buffer); err != nil {
		return // the peer has sent nothing
	}
	for read := 0; read < maxDropped && Pending(inner); read += len(buffer) {
		if _, err := inner.Read(buffer); err != nil {
			return
		}
	}
	if _, err := io.WriteString(inner, listener.Refusal); err != nil {
		return
	}
	if closer, ok := inner.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite() // the connection is closed next
	}
	for Undelivered(inner) && time.Now().Before(deadline) {
		<-time.After(refusingPollInterval)
	}
}

// Bounded is a connection whose memory and progress a table knows.
type Bounded struct {
	net.Conn
	Entry *occupancy.Entry
	heads bool
	// ended is how much of the end of a head the last read ended with. Only Read uses it.
	ended int
}

// EntryOf returns the entry of a connection in its listener's table, or nil.
func EntryOf(conn net.Conn) *occupancy.Entry {
	for conn != nil {
		if bounded, ok := conn.(*Bounded); ok {
			return bounded.Entry
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapped.NetConn()
	}
	return nil
}

// NetConn returns the connection beneath.
func (conn *Bounded) NetConn() net.Conn {
	return conn.Conn
}

// Read implements net.Conn.
func (conn *Bounded) Read(buffer []byte) (int, error) {
	if conn.heads && conn.Entry.Phase() == occupancy.Waiting {
		return conn.readHead(buffer)
	}
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.Entry.Received(count, time.Now())
	}
	return count, err
}

// readHead reads a part of a head. The connection is not closed for lack of room from the arrival
// of the data on, and of a complete head until its request begins.
func (conn *Bounded) readHead(buffer []byte) (int, error) {
	count, err := conn.readArrived(buffer)
	now := time.Now()
	if count == 0 {
		conn.Entry.EndHead(false, now)
		return count, err
	}
	if !conn.Entry.Grow(headBytes(buffer[:count]), now) {
		return 0, errNoRoom
	}
	conn.Entry.Received(count, now)
	conn.ended = headEnd(conn.ended, buffer[:count])
	complete := conn.ended == len(endOfHead)
	if complete {
		conn.ended = 0
	}
	conn.Entry.EndHead(complete, now)
	return count, err
}

// readArrived reads what has arrived, or waits for it. The connection is held before the data
// leaves the socket, where Unfinished finds it.
func (conn *Bounded) readArrived(buffer []byte) (int, error) {
	raw, _ := rawConn(conn.Conn) // the read fails too
	if raw == nil {
		return conn.Conn.Read(buffer)
	}
	count, readErr := 0, error(nil)
	err := raw.Read(func(fd uintptr) bool {
		conn.Entry.BeginHead()
		count, readErr = read(int(fd), buffer)
		if errors.Is(readErr, syscall.EAGAIN) {
			conn.Entry.EndHead(false, time.Time{})
			return false
		}
		return true
	})
	switch {
	case err != nil:
		return conn.Conn.Read(buffer) // fails for the same reason, the deadline or a close
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", readErr)}
	case count == 0:
		return 0, io.EOF
	}
	return count, nil
}

// read reads from a descriptor once.
func read(fd int, buffer []byte) (int, error) {
	for {
		count, err := syscall.Read(fd, buffer)
		if err != syscall.EINTR {
			return max(0, count), err
		}
	}
}

// headEnd returns how much of the end of a head a part of it ends with, all of it if the part
// contains the end. The part before ended with the given length of it.
func headEnd(before int, part []byte) int {
	if bytes.Contains(part, []byte(endOfHead)) {
		return len(endOfHead)
	}
	for _, next := range part {
		switch {
		case next == endOfHead[before]:
			before++
		case next == endOfHead[0]:
			before = 1
		default:
			before = 0
		}
		if before == len(endOfHead) {
			return before
		}
	}
	return before
}

// headBytes returns the memory that a part of a head takes, without the beginning of a body
// that was read with it.
func headBytes(part []byte) int64 {
	if end := bytes.Index(part, []byte(endOfHead)); end >= 0 {
		part = part[:end]
	}
	return int64(2*len(part) + fieldBytes*bytes.Count(part, []byte("\n")))
}

// Write implements net.Conn.
func (conn *Bounded) Write(text []byte) (int, error) {
	defer conn.Entry.Written()
	written := 0
	for {
		conn.Entry.Write(time.Now())
		count, err := conn.Conn.Write(text[written:min(len(text), written+writeSize)])
		if written += count; err != nil || written == len(text) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (conn *Bounded) Close() error {
	conn.Entry.Close()
	return conn.Conn.Close()
}

// Unfinished implements occupancy.Connection. Checks of readiness and other VMs are repeated, so that
// nothing is owed to them: any of their connections may make room.
func (conn *Bounded) Unfinished() bool {
	return conn.heads && (Pending(conn.Conn) || Undelivered(conn.Conn))
}

// End implements occupancy.Connection. What the peer did not read is dropped.
func (conn *Bounded) End(phase occupancy.Phase) {
	if phase == occupancy.Waiting && conn.heads && Pending(conn.Conn) {
		return // a request has arrived meanwhile: the reader finds no room for it, and refuses it
	}
	if phase == occupancy.Writing {
		_ = conn.SetLinger(0) // fails if the connection is closed already
	}
	_ = conn.Conn.Close() // the reader or writer gets an error
}

// CloseWrite closes the sending side.
func (conn *Bounded) CloseWrite() error {
	if inner, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that has not been sent.
func (conn *Bounded) SetLinger(seconds int) error {
	if inner, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return nil
}
