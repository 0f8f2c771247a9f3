package connection

import (
	"bytes"
	"net"
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
)

// errNoRoom is returned for a head for which there is no room.
var errNoRoom = errors.New("connections hold all the memory that they may")

// BoundedListener accepts connections as long as a table has room for them, and counts
// what they hold.
type BoundedListener struct {
	net.Listener
	Table *occupancy.Table
	// Heads is set if the connections carry HTTP/1.1, so that what is read while no request
	// runs is the head of the next one.
	Heads bool
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
		if conn.Entry, ok = listener.Table.Open(time.Now(), conn.end); ok {
			return conn, nil
		}
		_ = inner.Close() // nothing was read of it
	}
}

// Bounded is a connection whose memory and progress a table knows.
type Bounded struct {
	net.Conn
	Entry *occupancy.Entry
	heads bool
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
	count, err := conn.Conn.Read(buffer)
	if count == 0 {
		return count, err
	}
	phase, now := conn.Entry.Phase(), time.Now()
	if phase == occupancy.Waiting && conn.heads && !conn.Entry.Grow(headBytes(buffer[:count]), now) {
		return 0, errors.CombineErrors(errNoRoom, conn.Close())
	}
	conn.Entry.Received(count, now)
	return count, err
}

// headBytes returns the memory that a part of a head takes.
func headBytes(part []byte) int64 {
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

// end closes the connection because it stopped. What it did not read is dropped.
func (conn *Bounded) end(phase occupancy.Phase) {
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
