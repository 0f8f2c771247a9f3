package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/occupancy"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/target"
)

// pipeListener accepts the far ends of pipes, which work in virtual time.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (pipeListener *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-pipeListener.accepted:
		return conn, nil
	case <-pipeListener.closed:
		return nil, net.ErrClosed
	}
}

func (pipeListener *pipeListener) Close() error {
	select {
	case <-pipeListener.closed:
		return net.ErrClosed
	default:
		close(pipeListener.closed)
		return nil
	}
}

func (pipeListener *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testCaller is a caller with one connection.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

func (pipeListener *pipeListener) connect() *testCaller {
	return pipeListener.connectThrough(func(conn net.Conn) net.Conn { return conn })
}

// connectThrough is connect with the server's end wrapped.
func (pipeListener *pipeListener) connectThrough(wrap func(net.Conn) net.Conn) *testCaller {
	near, far := net.Pipe()
	_ = near.SetDeadline(time.Now().Add(5 * time.Minute)) // never fails on a pipe
	pipeListener.accepted <- wrap(far)
	return &testCaller{near, bufio.NewReader(near)}
}

// send writes a request, or a part of one. Errors show when the answer is read.
func (testCaller *testCaller) send(text string) { _, _ = io.WriteString(testCaller, text) }

// answer reads the head of an answer; it is nil if the connection has ended.
func (testCaller *testCaller) answer() *http.Response {
	response, err := http.ReadResponse(testCaller.reader, nil)
	if err != nil {
		return nil
	}
	return response
}

// keepAlive returns how long an answer lets its connection be reused: without a word of it, four
// fifths of the idle time that the configuration allows.
func keepAlive(response *http.Response) time.Duration {
	text, ok := strings.CutPrefix(response.Header.Get("Keep-Alive"), "timeout=")
	if !ok {
		return time.Duration(routing.DefaultLimits().IdleTimeout) * 4 / 5
	}
	seconds, _ := strconv.Atoi(text) // 0 gives no time at all
	return time.Duration(seconds) * time.Second
}

// streamingRelay answers with a stream that goes on until end is closed.
type streamingRelay struct{ end chan struct{} }

func (streamingRelay streamingRelay) Serve(_ context.Context, _ *relay.Request, answer relay.Answer) error {
	if err := answer.Start(target.Head{Status: http.StatusOK, Stream: true}); err != nil {
		return err
	}
	if err := answer.Write([]byte("data: a\n\n")); err != nil { // sends the head
		return err
	}
	<-streamingRelay.end
	return nil
}

// statusDialect writes the statuses of refusals.
type statusDialect struct{ plainDialect }

func (statusDialect) Refuse(writer http.ResponseWriter, _ *http.Request, refused *refusal.Refusal, _ time.Time) {
	writer.WriteHeader(refused.Status())
}

const request = "GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n"

// Guards against LOST in a planned stop: a request that arrives while its caller may still use the
// connection ends with neither an answer nor a refusal.
func TestStopAnswersRequestsOnOpenConnections(t *testing.T) {
	const drainTime = 2600 * time.Millisecond
	for _, test := range []struct {
		name string
		// play begins to use a connection, ends when the VM begins to stop, and returns what
		// happens from then on, up to the answer to the request in question.
		play func(t *testing.T, caller *testCaller, end chan struct{}) func() *http.Response
		want int
	}{
		{"idle for as long as it may be", func(t *testing.T, caller *testCaller, end chan struct{}) func() *http.Response {
			close(end)
			caller.send(request)
			first := caller.answer()
			_, _ = io.Copy(io.Discard, first.Body) // the answer that counts is the next one
			return func() *http.Response {
				<-time.After(keepAlive(first))
				caller.send(request)
				return caller.answer()
			}
		}, http.StatusOK},
		{"after a stream that began before the stop", func(t *testing.T, caller *testCaller, end chan struct{}) func() *http.Response {
			caller.send(request)
			first := caller.answer()
			return func() *http.Response {
				<-time.After(drainTime + time.Second)
				close(end)
				_, _ = io.Copy(io.Discard, first.Body) // as above
				caller.send(request)
				return caller.answer()
			}
		}, http.StatusServiceUnavailable},
		{"a head that was received in part", func(t *testing.T, caller *testCaller, end chan struct{}) func() *http.Response {
			close(end)
			caller.send(request)
			_, _ = io.Copy(io.Discard, caller.answer().Body) // as above
			return func() *http.Response {
				<-time.After(drainTime - time.Second)
				caller.send(request[:10])
				<-time.After(2 * time.Second)
				caller.send(request[10:])
				return caller.answer()
			}
		}, http.StatusServiceUnavailable},
		{"the first request of a connection", func(t *testing.T, caller *testCaller, end chan struct{}) func() *http.Response {
			return func() *http.Response {
				<-time.After(drainTime + 900*time.Millisecond)
				caller.send(request)
				return caller.answer()
			}
		}, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener, end := newPipeListener(), make(chan struct{})
				server := &Server{Listener: listener, Dialect: statusDialect{}, Relay: streamingRelay{end}, Log: event.New(io.Discard, "vm", event.LevelInfo)}
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- server.Run(ctx, t.Context()) }()
				caller := listener.connect()
				defer func() { _ = caller.Close() }() // the server has closed its end
				rest := test.play(t, caller, end)
				server.Drain()
				time.AfterFunc(drainTime, stop)
				response := rest()
				if response == nil {
					t.Fatal("got the end of the connection, want an answer")
				}
				if response.StatusCode != test.want || !response.Close {
					t.Errorf("got status %d, last on its connection %t, want %d, the last", response.StatusCode, response.Close, test.want)
				}
				_, _ = io.Copy(io.Discard, response.Body) // lets the server end the connection
				if err := <-ended; err != nil {
					t.Errorf("got error %v from Run, want none", err)
				}
			})
		})
	}
}

// lateListener accepts its last connection in the moment in which it is closed.
type lateListener struct {
	*pipeListener
	last net.Conn
}

func (lateListener *lateListener) Accept() (net.Conn, error) {
	conn, err := lateListener.pipeListener.Accept()
	if err == nil || lateListener.last == nil {
		return conn, err
	}
	<-time.After(time.Millisecond) // the stop goes on
	conn, lateListener.last = lateListener.last, nil
	return conn, nil
}

// Guards against LOST in a planned stop: the connection that is accepted as the listener is closed
// is closed without an answer.
func TestStopAnswersOnTheLastConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		server := &Server{
			Listener: &lateListener{newPipeListener(), far}, Dialect: statusDialect{}, Relay: patientRelay{}, Log: event.New(io.Discard, "vm", event.LevelInfo),
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- server.Run(ctx, t.Context()) }()
		synctest.Wait()
		stop()
		caller := &testCaller{near, bufio.NewReader(near)}
		caller.send(request)
		if response := caller.answer(); response == nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got answer %v, want status 503", response)
		}
		if err := <-ended; err != nil {
			t.Errorf("got error %v from Run, want none", err)
		}
	})
}

// slowListener accepts nothing before ready is closed.
type slowListener struct {
	*net.TCPListener
	ready chan struct{}
}

func (slowListener slowListener) Accept() (net.Conn, error) {
	<-slowListener.ready
	return slowListener.TCPListener.Accept()
}

// Guards against LOST in a planned stop: connections that wait to be accepted as the listener is
// closed are reset, with the requests that were sent on them.
func TestStopAnswersOnQueuedConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := slowListener{inner.(*net.TCPListener), make(chan struct{})}
	bounded := &connection.BoundedListener{Listener: listener, Table: occupancy.NewTable(occupancy.Limits{}), Heads: true}
	server := &Server{Listener: bounded, Dialect: statusDialect{}, Relay: patientRelay{}, Log: event.New(io.Discard, "vm", event.LevelInfo)}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, t.Context()) }()
	callers := make([]*testCaller, 20)
	for i := range callers {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }() // the server has closed its end
		callers[i] = &testCaller{conn, bufio.NewReader(conn)}
		callers[i].send(request)
	}
	stop()
	for !server.closed.Load() {
		runtime.Gosched()
	}
	close(listener.ready)
	for i, caller := range callers {
		if response := caller.answer(); response == nil || response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("connection %d: got answer %v, want status 503", i, response)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("got error %v from Run, want none", err)
	}
}
