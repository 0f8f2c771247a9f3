package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// tunnelTo opens a tunnel to a listener on the loopback interface and returns its near end
// and the connection that the listener accepted.
func tunnelTo(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	handler := &handler{dial: func(target string) (net.Conn, error) {
		if target != "e1" {
			return nil, errors.Newf("unknown target %s", target)
		}
		return net.Dial("tcp", listener.Addr().String())
	}}
	dialer, address, _ := start(t, handler)
	if _, err := dialer.Tunnel(t.Context(), address, "e2"); !errors.Is(err, ErrNoTunnel) {
		t.Errorf("got %v for a target that is not reached, want ErrNoTunnel", err)
	}
	if near, err = dialer.Tunnel(t.Context(), address, "e1"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return near, accepted.(*net.TCPConn)
}

func TestTunnelCarriesBytesBothWays(t *testing.T) {
	near, far := tunnelTo(t)
	want := bytes.Repeat([]byte("0123456789abcdef"), 10*maxTunnelPart/16)
	go func() { _, _ = near.Write(want) }() // a lost byte shows in what is read
	got := make([]byte, len(want))
	if _, err := io.ReadFull(far, got); err != nil || !bytes.Equal(got, want) {
		t.Errorf("got %d other bytes or %v at the target, want what was sent", len(got), err)
	}
	go func() {
		_, _ = far.Write(want)
		_ = far.Close()
	}()
	if got, err := io.ReadAll(near); err != nil || !bytes.Equal(got, want) {
		t.Errorf("got %d bytes and %v from the target, want all %d and its end", len(got), err, len(want))
	}
}

// Guards against answers that look complete: a target resets its connection, and an answer
// without length ends with the connection.
func TestTunnelDistinguishesEndFromReset(t *testing.T) {
	near, far := tunnelTo(t)
	if err := far.SetLinger(0); err != nil { // closing resets the connection
		t.Fatal(err)
	}
	_ = far.Close()
	if _, err := io.ReadAll(near); err == nil {
		t.Error("got a regular end after a reset, want an error")
	}
}

// Guards against work for callers that have left: the target must see the end at once.
func TestTunnelEndsAtTheTargetWhenClosed(t *testing.T) {
	near, far := tunnelTo(t)
	_ = near.Close()
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("got data at the target after the tunnel was closed, want its end")
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v from a closed tunnel, want net.ErrClosed", err)
	}
}

func TestTunnelReadsEndAtTheDeadline(t *testing.T) {
	near, _ := tunnelTo(t)
	if err := near.SetDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	_, err := near.Read(make([]byte, 1))
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("got %v after the deadline, want a timeout", err)
	}
	if err := near.SetDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	context.AfterFunc(ctx, func() { _ = near.SetDeadline(time.Now()) })
	cancel()
	if _, err := near.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("got %v from a pending read, want a timeout", err)
	}
}

// Guards against a process that ends because a tunnel is neither open nor failed, when
// the time for opening it ends while the answer of the other VM arrives.
func TestTunnelWhoseTimeEndsIsNotOpen(t *testing.T) {
	var cancel atomic.Pointer[context.CancelFunc]
	handler := &handler{dial: func(string) (net.Conn, error) {
		near, far := net.Pipe()
		(*cancel.Load())()
		go func() { _, _ = io.Copy(io.Discard, far) }() // until the tunnel ends
		return near, nil
	}}
	dialer, address, _ := start(t, handler)
	for range 500 {
		ctx, end := context.WithCancel(t.Context())
		cancel.Store(&end)
		conn, err := dialer.Tunnel(ctx, address, "e1")
		if err == nil && conn == nil {
			t.Fatal("got neither a connection nor an error, want one of them")
		}
		if err == nil {
			_ = conn.Close() // it was open in time
		}
		end()
	}
}
