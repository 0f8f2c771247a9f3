package connection

import (
	"net"
	"testing"
	"time"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // both ends are made
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// A server sets a read deadline for the head of a request; the caller is still
// there when it has passed.
func TestConnectionIsNotClosedByItsReadDeadline(t *testing.T) {
	near, _ := pair(t)
	if err := near.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if Closed(near) || !Quiet(near) {
		t.Error("got a closed connection after its read deadline, want an open one")
	}
}

func TestBytesThatWaitAreNotQuiet(t *testing.T) {
	near, far := pair(t)
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for Quiet(near) { // until the byte has arrived
	}
	if Closed(near) {
		t.Error("got a closed connection, want one with bytes")
	}
}

func TestClosedConnectionIsSeen(t *testing.T) {
	near, far := pair(t)
	if err := far.Close(); err != nil {
		t.Fatal(err)
	}
	for !Closed(near) { // until the end has arrived
	}
	if Quiet(near) {
		t.Error("got a quiet connection, want a closed one")
	}
}
