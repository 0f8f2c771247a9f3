package front

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/occupancy"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/target"
)

// panickingRelay is a relay with a programming error.
type panickingRelay struct{}

func (panickingRelay) Serve(context.Context, *relay.Request, relay.Answer) error {
	panic("index out of range")
}

type plainDialect struct{}

func (plainDialect) Decode(*http.Request, time.Time) (*relay.Request, error) {
	return &relay.Request{}, nil
}

func (plainDialect) Refuse(http.ResponseWriter, *http.Request, *refusal.Refusal, time.Time) {}

// Guards against a panic that closes a caller's connection without a log line.
func TestPanicOfTheHandlerIsLogged(t *testing.T) {
	var lines bytes.Buffer
	log := event.New(&lines, "vm", event.LevelInfo)
	server := &Server{Dialect: plainDialect{}, Relay: panickingRelay{}, Log: log}
	func() {
		defer func() {
			if got := recover(); got != any(http.ErrAbortHandler) {
				t.Errorf("got panic %v, want http.ErrAbortHandler", got)
			}
		}()
		server.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/a", nil))
	}()
	if got := lines.String(); !strings.Contains(got, "handler_panicked") || !strings.Contains(got, "index out of range") {
		t.Errorf("got log %q, want the panic", got)
	}
}

// countingRelay counts the requests that it is to forward to targets.
type countingRelay struct{ served atomic.Int32 }

func (countingRelay *countingRelay) Serve(_ context.Context, _ *relay.Request, answer relay.Answer) error {
	if !answer.CallerLeft() {
		countingRelay.served.Add(1)
	}
	return refusal.New(refusal.CallerGone, "the caller went away")
}

// Guards against GONE: a VM that reads late finds a request and the end of its connection
// together, and nothing but the answer tells that the caller has left.
func TestAnswerTellsThatTheCallerHasLeft(t *testing.T) {
	const callers = 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte("GET /a HTTP/1.1\r\nHost: a.example\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
	decoded := make(chan struct{}, callers)
	served := &countingRelay{}
	server := &Server{Listener: listener, Dialect: reportingDialect{decoded: decoded}, Relay: served, Log: event.New(io.Discard, "vm", event.LevelInfo)}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, t.Context()) }()
	for range callers {
		<-decoded
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if got := served.served.Load(); got != 0 {
		t.Errorf("got %d of %d requests whose callers seemed present, want none", got, callers)
	}
}

// reportingDialect reports each request that it decodes.
type reportingDialect struct {
	plainDialect
	decoded chan<- struct{}
}

func (reportingDialect reportingDialect) Decode(*http.Request, time.Time) (*relay.Request, error) {
	reportingDialect.decoded <- struct{}{}
	return &relay.Request{}, nil
}

// breakingRelay begins a stream and then refuses the request.
type breakingRelay struct{ code refusal.Code }

func (breakingRelay breakingRelay) Serve(_ context.Context, _ *relay.Request, answer relay.Answer) error {
	if err := answer.Start(target.Head{Status: http.StatusOK, Stream: true}); err != nil {
		return err
	}
	if err := answer.Write([]byte("data: a\n\n")); err != nil {
		return err
	}
	return refusal.New(breakingRelay.code, "refused")
}

// refusingDialect writes refusals as its answers.
type refusingDialect struct{ plainDialect }

func (refusingDialect) Refuse(writer http.ResponseWriter, _ *http.Request, refused *refusal.Refusal, _ time.Time) {
	_, _ = writer.Write(refused.JSON()) // the caller reads it
}

// Guards against MIXED: a refusal is written into a stream that has begun.
func TestRefusalDoesNotFollowAStream(t *testing.T) {
	for _, code := range []refusal.Code{refusal.StreamInterrupted, refusal.Quarantined, refusal.KeyWithdrawn, refusal.NotReady, refusal.DeadlineExceeded, refusal.TargetFailed} {
		site := httptest.NewServer(&Server{Dialect: refusingDialect{}, Relay: breakingRelay{code}, Log: event.New(io.Discard, "vm", event.LevelInfo)})
		response, err := http.Get(site.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // it was read
		if want := "data: a\n\n"; string(body) != want || err == nil {
			t.Errorf("%s: got %q, complete %t, want %q broken off", code, body, err == nil, want)
		}
		site.Close()
	}
}

// Guards against ORDER: callers of HTTP/1.0 get no chunks, the end of the connection is the end
// of their stream, and one that breaks off looks complete.
func TestBrokenStreamsLookBrokenOverHTTP10(t *testing.T) {
	server := &Server{Dialect: refusingDialect{}, Relay: breakingRelay{refusal.StreamInterrupted}, Log: event.New(io.Discard, "vm", event.LevelInfo)}
	site := httptest.NewUnstartedServer(server)
	site.Config.ConnContext = withConn
	site.Start()
	defer site.Close()
	conn, err := net.Dial("tcp", site.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // it has ended
	if _, err := io.WriteString(conn, "GET /a HTTP/1.0\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); err == nil {
		t.Errorf("got %q and the end of the connection, want it reset", got)
	}
}

// Guards against bodies that stop and are held for good: one of them ends at its deadline
// although nothing is full.
func TestBodyThatStopsEndsAtItsDeadline(t *testing.T) {
	for _, test := range []struct {
		name      string
		remaining time.Duration // that the caller states; 0 is none
		want      time.Duration // until the connection is closed
	}{
		{"the caller's deadline", 20 * time.Second, 20 * time.Second},
		{"no deadline", 0, longestBody},
		{"a far deadline", time.Hour, longestBody},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			table, decoded := occupancy.NewTable(occupancy.Limits{}), make(chan time.Time, 1)
			server := &Server{
				Listener: &connection.BoundedListener{Listener: listener, Table: table, Heads: true},
				Dialect:  deadlineDialect{remaining: test.remaining, decoded: decoded},
			}
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- server.Run(ctx, t.Context()) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }() // closed by the server
			if _, err := conn.Write([]byte("POST /a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\n123456789")); err != nil {
				t.Fatal(err)
			}
			received := <-decoded
			for table.Usage().Bytes <= occupancy.ConnectionBytes+minBody { // the body is being read
				runtime.Gosched()
			}
			table.Sweep(received.Add(test.want - 1))
			if got := table.Usage().Closed; got != 0 {
				t.Fatalf("got %d connections closed before the deadline, want none", got)
			}
			table.Sweep(received.Add(test.want))
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("got an answer, want the connection closed")
			}
			stop()
			if err := <-ended; err != nil {
				t.Fatal(err)
			}
		})
	}
}

// minBody is less than the memory in which a body is received.
const minBody = 2 << 10

// deadlineDialect states a deadline for each request and reports when it began.
type deadlineDialect struct {
	plainDialect
	remaining time.Duration
	decoded   chan<- time.Time
}

func (dialect deadlineDialect) Decode(_ *http.Request, now time.Time) (*relay.Request, error) {
	dialect.decoded <- now
	if dialect.remaining == 0 {
		return &relay.Request{}, nil
	}
	return &relay.Request{Deadline: now.Add(dialect.remaining)}, nil
}
