package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bramleygw/bramleygw/peer/peerpb"
)

// maxTunnelPart is the number of bytes in one message of a tunnel, and the number of
// received bytes that wait for their reader.
const maxTunnelPart = 16 << 10

// ErrNoTunnel is returned if another VM cannot connect to a target.
var ErrNoTunnel = errors.New("the other VM cannot connect to the target; use another VM")

// Tunnel connects to a target through another VM, which connects to it before the
// deadline of the context. The end of that connection is the end of this one, and if
// either is broken, so is this one.
func (dialer *Dialer) Tunnel(ctx context.Context, through netip.AddrPort, target string) (net.Conn, error) {
	conn, err := dialer.beginTunnel(through)
	if err != nil {
		return nil, err
	}
	streamCtx, cancelStream := context.WithCancel(context.Background())
	cancel := sync.OnceFunc(func() {
		cancelStream()
		dialer.endTunnel(conn)
	})
	stop := context.AfterFunc(ctx, cancel)
	stream, err := peerpb.NewPeerClient(conn).Tunnel(streamCtx)
	if err == nil {
		err = stream.Send(&peerpb.TunnelPart{Target: target})
	}
	if err == nil || errors.Is(err, io.EOF) { // Recv returns the cause
		_, err = stream.Recv()
	}
	if err == nil && !stop() {
		err = context.Cause(ctx) // the time ended while the answer arrived
	}
	if err != nil {
		stop()
		cancel()
		return nil, errors.Mark(errors.Wrap(err, "open tunnel"), ErrNoTunnel)
	}
	tunnel := &tunnel{stream: stream, cancel: cancel}
	tunnel.changed.L = &tunnel.mu
	go tunnel.runReceive()
	return tunnel, nil
}

// tunnel is the near end of a connection through another VM.
type tunnel struct {
	stream grpc.BidiStreamingClient[peerpb.TunnelPart, peerpb.TunnelPart]
	cancel context.CancelFunc

	mu       sync.Mutex // guards the fields below
	changed  sync.Cond  // after a change of received, end, closed, or when the deadline passes
	received []byte
	end      error // why nothing more is received; io.EOF if the target closed the connection
	closed   bool
	sending  bool
	deadline time.Time
	timer    *time.Timer
}

// runReceive stores what the target sends until the tunnel ends.
func (tunnel *tunnel) runReceive() {
	for {
		part, err := tunnel.stream.Recv()
		tunnel.mu.Lock()
		for len(tunnel.received) >= maxTunnelPart && !tunnel.closed {
			tunnel.changed.Wait()
		}
		tunnel.received = append(tunnel.received, part.GetData()...)
		tunnel.end = err
		tunnel.changed.Broadcast()
		tunnel.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Read implements net.Conn.
func (tunnel *tunnel) Read(buffer []byte) (int, error) {
	tunnel.mu.Lock()
	defer tunnel.mu.Unlock()
	for {
		switch {
		case tunnel.closed:
			return 0, net.ErrClosed
		case tunnel.expired():
			return 0, os.ErrDeadlineExceeded
		case len(tunnel.received) > 0:
			count := copy(buffer, tunnel.received)
			tunnel.received = slices.Delete(tunnel.received, 0, count)
			tunnel.changed.Broadcast()
			return count, nil
		case errors.Is(tunnel.end, io.EOF):
			return 0, io.EOF
		case tunnel.end != nil:
			return 0, &net.OpError{Op: "read", Net: "tunnel", Err: tunnel.end}
		}
		tunnel.changed.Wait()
	}
}

// Write implements net.Conn.
func (tunnel *tunnel) Write(text []byte) (int, error) {
	if err := tunnel.beginSend(); err != nil {
		return 0, err
	}
	defer tunnel.endSend()
	sent := 0
	for part := range slices.Chunk(text, maxTunnelPart) {
		if err := tunnel.stream.Send(&peerpb.TunnelPart{Data: part}); err != nil {
			return sent, &net.OpError{Op: "write", Net: "tunnel", Err: err}
		}
		sent += len(part)
	}
	return sent, nil
}

func (tunnel *tunnel) beginSend() error {
	tunnel.mu.Lock()
	defer tunnel.mu.Unlock()
	switch {
	case tunnel.closed:
		return net.ErrClosed
	case tunnel.expired():
		return os.ErrDeadlineExceeded
	}
	tunnel.sending = true
	return nil
}

func (tunnel *tunnel) endSend() {
	tunnel.mu.Lock()
	defer tunnel.mu.Unlock()
	tunnel.sending = false
}

// expired reports whether the deadline has passed. The caller holds mu.
func (tunnel *tunnel) expired() bool {
	return !tunnel.deadline.IsZero() && !time.Now().Before(tunnel.deadline)
}

// Close implements net.Conn. The other VM closes its connection to the target.
func (tunnel *tunnel) Close() error {
	tunnel.mu.Lock()
	defer tunnel.mu.Unlock()
	tunnel.closed = true
	if tunnel.timer != nil {
		tunnel.timer.Stop()
	}
	tunnel.changed.Broadcast()
	tunnel.cancel()
	return nil
}

// SetDeadline implements net.Conn.
func (tunnel *tunnel) SetDeadline(deadline time.Time) error {
	tunnel.mu.Lock()
	defer tunnel.mu.Unlock()
	tunnel.deadline = deadline
	if tunnel.timer != nil {
		tunnel.timer.Stop()
	}
	if !deadline.IsZero() && !tunnel.closed {
		tunnel.timer = time.AfterFunc(time.Until(deadline), tunnel.expire)
	}
	return nil
}

// expire wakes a reader, and ends a write that is blocked.
func (tunnel *tunnel) expire() {
	tunnel.mu.Lock()
	defer tunnel.mu.Unlock()
	if !tunnel.expired() {
		return // a later deadline was set
	}
	tunnel.changed.Broadcast()
	if tunnel.sending {
		tunnel.cancel()
	}
}

// SetReadDeadline implements net.Conn. Reads and writes share one deadline.
func (tunnel *tunnel) SetReadDeadline(deadline time.Time) error { return tunnel.SetDeadline(deadline) }

// SetWriteDeadline implements net.Conn. Reads and writes share one deadline.
func (tunnel *tunnel) SetWriteDeadline(deadline time.Time) error { return tunnel.SetDeadline(deadline) }

// LocalAddr implements net.Conn.
func (tunnel *tunnel) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (tunnel *tunnel) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// farEnd is the end of a tunnel at the VM that is connected to the target.
type farEnd struct {
	stream grpc.BidiStreamingServer[peerpb.TunnelPart, peerpb.TunnelPart]
	conn   net.Conn

	mu       sync.Mutex // held while data is written to conn; guards writeErr
	writeErr error      // the last write's
}

// Tunnel implements peerpb.PeerServer.
func (service *service) Tunnel(stream grpc.BidiStreamingServer[peerpb.TunnelPart, peerpb.TunnelPart]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	conn, err := service.handler.DialTarget(stream.Context(), first.GetTarget())
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	defer func() { _ = conn.Close() }() // what was sent there can no longer be corrected
	if err := stream.Send(&peerpb.TunnelPart{}); err != nil {
		return err
	}
	farEnd := &farEnd{stream: stream, conn: conn}
	go farEnd.runSend()
	return farEnd.receive()
}

// runSend sends the target what arrives from the other VM. It closes the connection to the
// target once the other VM has closed the tunnel.
func (farEnd *farEnd) runSend() {
	defer func() { _ = farEnd.conn.Close() }()
	for {
		part, err := farEnd.stream.Recv()
		if err != nil {
			return
		}
		if err := farEnd.write(part.GetData()); err != nil {
			return
		}
	}
}

func (farEnd *farEnd) write(data []byte) error {
	farEnd.mu.Lock()
	defer farEnd.mu.Unlock()
	_, farEnd.writeErr = farEnd.conn.Write(data)
	return farEnd.writeErr
}

// wasReset reports whether the connection was reset, after a read has found its end. The
// kernel reports a reset once. If a write that is in progress takes the report, reads find the
// end that they find after an orderly close, and may do so before the write returns.
func (farEnd *farEnd) wasReset() bool {
	_ = farEnd.conn.SetWriteDeadline(time.Now()) // ends the write; fails if the connection is closed
	farEnd.mu.Lock()
	defer farEnd.mu.Unlock()
	return farEnd.writeErr != nil && !errors.Is(farEnd.writeErr, os.ErrDeadlineExceeded)
}

// receive passes on what the target sends. A nil error means that the target closed the
// connection; an error tells the other VM that the connection was broken.
func (farEnd *farEnd) receive() error {
	buffer := make([]byte, maxTunnelPart)
	for {
		count, err := farEnd.conn.Read(buffer)
		if count > 0 {
			if sendErr := farEnd.stream.Send(&peerpb.TunnelPart{Data: buffer[:count]}); sendErr != nil {
				return sendErr
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !farEnd.wasReset():
			return nil
		case err != nil:
			return status.Error(codes.Aborted, "the connection to the target broke")
		}
	}
}
