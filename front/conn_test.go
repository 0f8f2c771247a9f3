package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

// pausingConn pauses the goroutine that clears the read deadline for the second time, when the
// head has been read and before the handler is called. A read that was interrupted meanwhile ends
// before the deadline is cleared again.
type pausingConn struct {
	net.Conn
	pause  time.Duration
	ended  chan struct{} // a read ended
	clears int
}

func (pausingConn *pausingConn) Read(buffer []byte) (int, error) {
	count, err := pausingConn.Conn.Read(buffer)
	select {
	case pausingConn.ended <- struct{}{}:
	default:
	}
	return count, err
}

func (pausingConn *pausingConn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		return pausingConn.Conn.SetReadDeadline(deadline)
	}
	pausingConn.clears++
	if pausingConn.clears == 3 {
		<-pausingConn.ended
	}
	err := pausingConn.Conn.SetReadDeadline(deadline)
	if pausingConn.clears == 2 {
		<-pausingConn.ended // the read of the head
		<-time.After(pausingConn.pause)
	}
	return err
}

// patientRelay answers after a second, unless the caller is taken for gone.
type patientRelay struct{}

func (patientRelay) Serve(ctx context.Context, _ *relay.Request, answer relay.Answer) error {
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return refusal.New(refusal.CallerGone, "gone")
	}
	if err := answer.Start(target.Head{Status: http.StatusOK}); err != nil {
		return err
	}
	return answer.Write([]byte("a"))
}

// Guards against LOST, and against REFUSED by a 408: the time for a head ends a request whose head
// has been read, before its handler is called.
func TestTimeOfHeadsDoesNotEndRequestsThatWereRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := fixedLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: settings.Span(time.Second), IdleTimeout: settings.Span(time.Minute)}
		listener := newPipeListener()
		server := &Server{Listener: listener, Dialect: statusDialect{}, Relay: patientRelay{}, Limits: limits, Log: event.New(io.Discard, "vm", event.LevelInfo)}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx, t.Context()) }()
		caller := listener.connectThrough(func(conn net.Conn) net.Conn {
			return &pausingConn{Conn: conn, pause: 3 * time.Second, ended: make(chan struct{}, 1)}
		})
		caller.send(request)
		if response := caller.answer(); response == nil || response.StatusCode != http.StatusOK {
			t.Errorf("got answer %v, want status 200", response)
		}
		_ = caller.Close() // the answer was read
		stop()
		if err := <-ended; err != nil {
			t.Errorf("got error %v from Run, want none", err)
		}
	})
}

// Guards against LOST: a request that has arrived when its connection is ended as idle is dropped.
func TestInterruptedConnectionsReadWhatHasArrived(t *testing.T) {
	for _, phase := range []phase{phaseNew, phaseIdle} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conns := newConns(listener, routing.DefaultLimits, func(ending) {})
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := conns.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted.(*conn).enter(phase, time.Now())
		if _, err := io.WriteString(caller, request); err != nil {
			t.Fatal(err)
		}
		for !connection.Pending(accepted) {
			runtime.Gosched()
		}
		conns.interrupt(phase, time.Now())
		buffer := make([]byte, len(request))
		if _, err := io.ReadFull(accepted, buffer); err != nil || string(buffer) != request {
			t.Errorf("%s: got %q and error %v, want the request", phase, buffer, err)
		}
		conns.interrupt(phase, time.Now()) // the request is being read
		if _, err := io.WriteString(caller, "a"); err != nil {
			t.Fatal(err)
		}
		if count, err := accepted.Read(buffer); count != 1 || err != nil {
			t.Errorf("%s: got %d bytes and error %v, want the rest", phase, count, err)
		}
		for _, open := range []io.Closer{caller, accepted, listener} {
			_ = open.Close() // nothing is left on it
		}
	}
}
