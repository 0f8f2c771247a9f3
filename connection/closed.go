package connection

import (
	"net"
	"syscall"
)

// Closed reports whether the other end has closed the connection, without
// reading what it sent. Connections that are not TCP underneath are never
// reported.
func Closed(conn net.Conn) bool {
	return look(conn) == ended
}

// Quiet reports whether the other end has neither closed the connection nor
// sent anything that is not read yet. Connections that are not TCP underneath
// are always quiet.
func Quiet(conn net.Conn) bool {
	return look(conn) == nothing
}

// sight is what can be seen on a connection without reading.
type sight int

const (
	nothing sight = iota
	bytesWaiting
	ended
)

func look(conn net.Conn) sight {
	for {
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapped.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nothing
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return ended
	}
	seen := nothing
	// Control, unlike Read, does not fail once the read deadline has passed.
	if err := raw.Control(func(fd uintptr) { seen = peek(int(fd)) }); err != nil {
		return ended
	}
	return seen
}

func peek(fd int) sight {
	var buffer [1]byte
	for {
		count, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return nothing
		case err != nil || count == 0:
			return ended
		}
		return bytesWaiting
	}
}
