package connection

import (
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// maxLinger bounds how long a closed connection is kept until its peer has received
// everything.
const maxLinger = 2 * time.Second

// discardSize is the size of the buffer of each such connection, of which there may be many.
const discardSize = 512

// Lingering returns a listener whose TCP connections, when they are closed, still deliver
// what was written. Otherwise the system resets a connection on which the peer has sent data
// that nobody read, and the peer loses the end of the last answer.
func Lingering(listener net.Listener) net.Listener {
	return lingeringListener{listener}
}

type lingeringListener struct{ net.Listener }

// Accept implements net.Listener.
func (lingeringListener lingeringListener) Accept() (net.Conn, error) {
	conn, err := lingeringListener.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &lingeringConn{TCPConn: tcp}, err
	}
	return conn, err
}

type lingeringConn struct {
	*net.TCPConn
	resets atomic.Bool // whether Close is to reset the connection
	closed atomic.Bool
}

// NetConn returns the connection itself.
func (lingeringConn *lingeringConn) NetConn() net.Conn {
	return lingeringConn.TCPConn
}

// SetLinger sets what Close does with data that was not sent yet, as net.TCPConn does. After
// it, Close no longer waits for the peer.
func (lingeringConn *lingeringConn) SetLinger(seconds int) error {
	lingeringConn.resets.Store(true)
	return lingeringConn.TCPConn.SetLinger(seconds)
}

// Close closes the connection, at the latest after maxLinger. It does not block.
func (lingeringConn *lingeringConn) Close() error {
	if !lingeringConn.closed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	if lingeringConn.resets.Load() || !lingeringConn.undelivered() || lingeringConn.CloseWrite() != nil {
		return lingeringConn.TCPConn.Close()
	}
	go lingeringConn.runDiscard(time.Now().Add(maxLinger))
	return nil
}

// undelivered reports whether the peer has not received everything that was written.
func (lingeringConn *lingeringConn) undelivered() bool {
	raw, err := lingeringConn.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(fd uintptr) { count, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) // 0 if it fails
	return err == nil && count > 0
}

// runDiscard reads until the peer closes the connection too, and closes it then.
func (lingeringConn *lingeringConn) runDiscard(deadline time.Time) {
	var discarded [discardSize]byte
	err := lingeringConn.SetReadDeadline(deadline)
	for err == nil {
		_, err = lingeringConn.Read(discarded[:])
	}
	_ = lingeringConn.TCPConn.Close() // the peer has closed it, or the deadline has passed
}
