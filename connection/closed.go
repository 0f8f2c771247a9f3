package connection

import (
	"net"
	"syscall"
)

// Closed reports whether the other end has closed the connection, without
// reading what it sent. Connections that are not TCP underneath are never
// reported.
func Closed(conn net.Conn) bool {
	for {
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapped.NetConn()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		closed = peekClosed(int(fd))
		return true
	})
	return closed || err != nil
}

func peekClosed(fd int) bool {
	var buffer [1]byte
	for {
		count, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return false
		case err != nil:
			return true
		}
		return count == 0
	}
}
