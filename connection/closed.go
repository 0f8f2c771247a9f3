package connection

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Closed reports whether the peer has closed the connection, without reading the
// data that it sent. It is always false for connections that are not based on TCP.
func Closed(conn net.Conn) bool {
	return inspect(conn) == closedByPeer
}

// Reusable reports whether an idle connection can be reused: the peer has neither
// closed it nor sent data that is still unread.
// It is always true for connections that are not based on TCP.
func Reusable(conn net.Conn) bool {
	return inspect(conn) == noData
}

// Pending reports whether the peer has sent data that is still unread, and has not closed the
// connection. It is always false for connections that are not based on TCP.
func Pending(conn net.Conn) bool {
	return inspect(conn) == dataPending
}

// Queued reports whether a connection waits to be accepted. It is always false for listeners
// that are not based on TCP.
func Queued(listener net.Listener) bool {
	inner, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	if err := raw.Control(func(fd uintptr) { queued = polls(int(fd), unix.POLLIN, unix.POLLIN) }); err != nil {
		return false
	}
	return queued
}

// readState is the state of a connection's receive side, determined without reading.
type readState int

const (
	noData readState = iota
	dataPending
	closedByPeer
)

func inspect(conn net.Conn) readState {
	state := noData
	if err := control(conn, func(fd uintptr) { state = peek(int(fd)) }); err != nil {
		return closedByPeer
	}
	return state
}

// Undelivered reports whether the peer has not received everything that was written. It is always
// false for connections that are not based on TCP.
func Undelivered(conn net.Conn) bool {
	count := 0
	err := control(conn, func(fd uintptr) { count, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) // 0 if it fails
	return err == nil && count > 0
}

// control calls operate with the descriptor of the TCP connection beneath, if there is one.
func control(conn net.Conn, operate func(fd uintptr)) error {
	raw, err := rawConn(conn)
	if raw == nil {
		return err
	}
	// Control, unlike Read, does not fail once the read deadline has passed.
	return raw.Control(operate)
}

// rawConn returns the TCP connection beneath, or nil if there is none or it is closed.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	for {
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapped.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	return raw, nil
}

func peek(fd int) readState {
	var buffer [1]byte
	for {
		count, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return noData
		case err != nil || count == 0 || hungUp(fd):
			return closedByPeer
		}
		return dataPending
	}
}

// hungUp reports whether the peer has closed the connection behind data that is still
// unread.
func hungUp(fd int) bool {
	return polls(fd, unix.POLLRDHUP, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR)
}

// polls reports whether one of the wanted events is found when the given ones are polled.
func polls(fd int, events, wanted int16) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
	count, err := unix.Poll(polled, 0)
	return err == nil && count > 0 && polled[0].Revents&wanted != 0
}
