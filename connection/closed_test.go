package connection

import (
	"net"
	"testing"
	"time"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (local, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // both ends are open by then
	local, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	remote, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = local.Close()
		_ = remote.Close()
	})
	return local, remote
}

// A server sets a read deadline for the header of a request. The caller is still
// connected after the deadline, so the connection must not be reported as closed.
func TestExpiredReadDeadlineIsNotReportedAsClosed(t *testing.T) {
	local, _ := connPair(t)
	if err := local.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if Closed(local) || !Reusable(local) {
		t.Error("got a closed connection after its read deadline, want an open one")
	}
}

func TestConnectionWithUnreadDataIsNotReusable(t *testing.T) {
	local, remote := connPair(t)
	if _, err := remote.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	for Reusable(local) { // until the byte has arrived
	}
	if Closed(local) {
		t.Error("got a closed connection, want an open one with unread data")
	}
}

func TestClosedReportsClosedConnection(t *testing.T) {
	local, remote := connPair(t)
	if err := remote.Close(); err != nil {
		t.Fatal(err)
	}
	for !Closed(local) { // until the peer's FIN has arrived
	}
	if Reusable(local) {
		t.Error("got a reusable connection, want a closed one")
	}
}
