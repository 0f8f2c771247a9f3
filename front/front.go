// Package front is the HTTP server for callers whose requests are forwarded
// unchanged.
//
// It reads the complete request before the request is processed, detects at once
// that a caller has disconnected, and writes the events of a stream as they
// arrive. If an answer cannot be completed, it closes the connection, so that the
// caller cannot mistake the answer for a complete one. A Dialect decodes the heads
// of requests and writes refusals.
//
// The server is that of net/http, because fasthttp neither reports that a caller
// has disconnected nor allows an answer to be aborted.
//
// # Usage
//
//	server := &front.Server{Listener: listener, Dialect: platform.Requests{}, Relay: relay}
//	err := server.Run(ctx, abort) // until ctx ends, then stops gracefully
package front

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/buffer"
	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/occupancy"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/target"
)

const (
	// maxHeaderBytes bounds heads whatever the configuration allows.
	maxHeaderBytes = 1 << 20
	// keepAliveTime is how long callers are told that they may reuse an idle connection, in
	// whole seconds. It is shorter than the time from Drain to the end of Run's context, so
	// that no caller uses a connection that is closed then.
	keepAliveTime = 2 * time.Second
	// reuseTime is how long after an answer a request may arrive on the connection. It is
	// longer than keepAliveTime by the time that the answer and the request take.
	reuseTime = keepAliveTime + 500*time.Millisecond
	// longestBody bounds the time in which a caller sends the body, if its time budget is not
	// shorter.
	longestBody = 2 * time.Minute
	// lateRequestTime is how long after the listener was closed callers that have opened a
	// connection but sent nothing may still send a request, and get a refusal. Callers
	// send at once when they have connected.
	lateRequestTime = time.Second
	// refusalTime is the time for writing refusals to requests that are cancelled when
	// the process ends.
	refusalTime = 150 * time.Millisecond
)

// Dialect decodes the heads of requests and writes refusals.
type Dialect interface {
	// Decode decodes a request's head. The error is a refusal.
	Decode(request *http.Request, now time.Time) (*relay.Request, error)
	// Refuse writes a refusal as the answer to the request.
	Refuse(writer http.ResponseWriter, request *http.Request, refused *refusal.Refusal, now time.Time)
}

// Relay forwards requests to targets.
type Relay interface {
	// Serve forwards a request and writes its answer. A refusal is not written but
	// returned as the error.
	Serve(ctx context.Context, request *relay.Request, answer relay.Answer) error
}

// Limits provides the operators' limits on what callers may send.
type Limits interface {
	// Limits returns the limits for requests that begin now.
	Limits() routing.Limits
}

// Server serves callers. The exported fields are set before Run.
type Server struct {
	Listener net.Listener
	Dialect  Dialect
	Relay    Relay
	Log      *event.Log
	// Limits may be nil; then the default limits apply.
	Limits Limits
	// Buffers is the memory in which bodies are held; it may be nil, and is unbounded then.
	// What connections hold is bounded if Listener is a connection.BoundedListener.
	Buffers *buffer.Budget
	// Cuts, if set, counts connections that ended before the answer, by phase and by who
	// closed them.
	Cuts Counter

	draining atomic.Bool
	closed   atomic.Bool // whether new requests are refused

	cutSampler      event.Sampler
	notTakenSampler event.Sampler
}

// Drain makes the server close each connection after its current or next answer.
func (server *Server) Drain() {
	server.draining.Store(true)
}

// Draining reports whether Drain was called.
func (server *Server) Draining() bool {
	return server.draining.Load()
}

// Run serves until ctx ends, then waits for the requests in flight to complete. Requests
// that arrive later, on connections that were opened before, are refused: nobody knows
// whether they would be answered in time. If abort ends, the requests in flight are
// cancelled too, and refused with its cause if that is a refusal.
func (server *Server) Run(ctx, abort context.Context) error {
	http := &http.Server{
		Handler:        server,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // drops messages on callers' broken connections
		BaseContext:    func(net.Listener) context.Context { return abort },
		ConnContext:    withConn,
		ConnState:      recordState,
	}
	conns := newConns(server.Listener, server.limits, server.recordEnding)
	// Requests that abort cancels still get their refusals.
	closing, closeNow := context.WithCancel(context.Background())
	defer closeNow()
	stopAbort := context.AfterFunc(abort, func() { time.AfterFunc(refusalTime, closeNow) })
	defer stopAbort()
	served, stopped := make(chan struct{}), make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { stopped <- server.stop(closing, http, conns, served) })
	go conns.runSweep(closing)
	err := http.Serve(conns)
	close(served)
	if stop() {
		return errors.Wrap(err, "serve callers")
	}
	return errors.Wrap(<-stopped, "stop serving callers")
}

// stop closes the listener, once it has accepted the connections that have arrived, and waits until
// no connection is left or the context ends. Idle connections are closed once no request is to be
// expected on them. http.Server.Shutdown would close them at once and drop requests that it has
// read, so that their callers would not know whether they ran.
func (server *Server) stop(ctx context.Context, http *http.Server, conns *conns, served <-chan struct{}) error {
	server.closed.Store(true)
	// Those that the listener has queued would be reset.
	for until := time.Now().Add(lateRequestTime); connection.Queued(server.Listener) && time.Now().Before(until); {
		if !retry.Wait(ctx, time.Now().Add(acceptPollInterval)) {
			break
		}
	}
	_ = server.Listener.Close() // Close below reports errors
	<-served                    // it may still have been accepting a connection
	lateRequests := time.Now().Add(lateRequestTime)
	for conns.interrupt(phaseIdle, time.Now().Add(-reuseTime)) > 0 {
		if now := time.Now(); now.After(lateRequests) {
			conns.interrupt(phaseNew, now)
		}
		if !retry.Wait(ctx, time.Now().Add(stopPollInterval)) {
			break
		}
	}
	if err := http.Close(); !errors.Is(err, net.ErrClosed) { // the listener's
		return err
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	defer server.logPanic(httpRequest)
	server.setReuse(writer.Header())
	now := time.Now()
	caller, _ := httpRequest.Context().Value(connKey{}).(net.Conn)
	wrapped, _ := caller.(*conn)
	wrapped.enter(phaseBody, now)
	entry := connection.EntryOf(caller)
	hasRoom := entry.Receive(now.Add(longestBody), now)
	request, err := server.Dialect.Decode(httpRequest, now)
	if err == nil && !hasRoom {
		err = noMemory(now)
	}
	share := server.Buffers.Share()
	defer share.Close()
	share.Holder = entry
	if err == nil {
		entry.SetDeadline(bodyDeadline(request, now))
		request.Body, err = readBody(httpRequest, share, server.limits().MaxBodyBytes)
	}
	if err == nil && server.closed.Load() {
		err = refusal.New(refusal.NotReady, "this VM stops; retry elsewhere").WithRetryAt(now)
	}
	answer := &answer{writer: writer, controller: http.NewResponseController(writer), setReuse: server.setReuse, conn: caller, entry: entry}
	wrapped.enter(phaseRunning, time.Now())
	if err == nil {
		entry.Enter(occupancy.Running, time.Now())
		ctx, stopMonitor := monitorDeparture(httpRequest.Context(), answer.conn)
		defer stopMonitor()
		err = server.Relay.Serve(ctx, request, answer)
	} else {
		entry.Enter(occupancy.Refusing, time.Now()) // net/http reads the rest of the body
		server.logNotTaken(httpRequest, request, refusal.From(err), now)
	}
	if err == nil {
		return
	}
	refused := refusal.From(err)
	if answer.headSent || refused.Code == refusal.StreamInterrupted || refused.Code == refusal.CallerGone {
		if !httpRequest.ProtoAtLeast(1, 1) {
			answer.resetAtClose()
		}
		panic(http.ErrAbortHandler) // closes the connection
	}
	server.setReuse(writer.Header())
	server.Dialect.Refuse(writer, httpRequest, refused, time.Now())
}

// setReuse tells the caller whether, and for how long, it may reuse the connection.
func (server *Server) setReuse(header http.Header) {
	if server.draining.Load() || server.closed.Load() {
		header.Set("Connection", "close")
		header.Del("Keep-Alive")
		return
	}
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(keepAliveTime/time.Second)))
}

// logPanic logs a panic of the handler other than http.ErrAbortHandler, and lets it
// close the connection.
func (server *Server) logPanic(httpRequest *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != any(http.ErrAbortHandler) {
		server.Log.Emit(event.HandlerPanicked, event.F("path", httpRequest.URL.Path), event.F("panic", fmt.Sprint(cause)), event.F("stack", string(debug.Stack())))
	}
	panic(http.ErrAbortHandler)
}

// bodyDeadline returns the time until which a caller may send the body.
func bodyDeadline(request *relay.Request, now time.Time) time.Time {
	latest := now.Add(longestBody)
	if request.Deadline.IsZero() || request.Deadline.After(latest) {
		return latest
	}
	return request.Deadline
}

func (server *Server) limits() routing.Limits {
	if server.Limits == nil {
		return routing.DefaultLimits()
	}
	return server.Limits.Limits()
}

// readBody reads the complete body. The error is a refusal.
func readBody(httpRequest *http.Request, share *buffer.Share, maxBodyBytes int) ([]byte, error) {
	if httpRequest.ContentLength == 0 {
		return nil, nil
	}
	if httpRequest.ContentLength > int64(maxBodyBytes) {
		return nil, tooLarge()
	}
	body, err := share.ReadAll(httpRequest.Body, maxBodyBytes)
	switch {
	case errors.Is(err, buffer.ErrTooLong):
		return nil, tooLarge()
	case errors.Is(err, buffer.ErrFull):
		return nil, noMemory(time.Now())
	case brokeOff(err):
		return nil, refusal.New(refusal.CallerGone, "the body broke off")
	case err != nil:
		return nil, refusal.New(refusal.BadRequest, "the body's chunks are malformed; check the caller")
	}
	return body, nil
}

// brokeOff reports whether a body ended because its connection did. Other errors of reading it
// are those of its encoding.
func brokeOff(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

func noMemory(now time.Time) error {
	return refusal.New(refusal.Overloaded, "this VM has no memory left for the request; retry after the time in Retry-After").WithRetryAt(now.Add(delivery.RetryAfter))
}

func tooLarge() error {
	return refusal.New(refusal.TooLarge, "the body is too large; shorten it")
}

// answer writes the answer to one request. It implements relay.Answer.
type answer struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	conn       net.Conn // nil if unknown
	entry      *occupancy.Entry
	setReuse   func(http.Header)
	status     int
	stream     bool
	headSent   bool // nothing but the rest of the answer may follow
}

// Start sets the head, and sends it at once if the answer is a stream.
func (answer *answer) Start(head target.Head) error {
	header := answer.writer.Header()
	for _, field := range head.Fields {
		header.Add(field.Name, field.Value)
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // prevents net/http from guessing one
	}
	answer.setReuse(header) // the VM may have begun to stop
	answer.status, answer.stream = head.Status, head.Stream
	if answer.stream {
		answer.headSent = true
		answer.writer.WriteHeader(answer.status)
	}
	return nil
}

// CallerLeft implements relay.Answer.
func (answer *answer) CallerLeft() bool {
	return answer.conn != nil && connection.Closed(answer.conn)
}

// resetAtClose makes the close of the connection a reset. Without chunks, which HTTP/1.0 does
// not have, a plain close is the proper end of a stream.
func (answer *answer) resetAtClose() {
	if conn, ok := answer.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // fails if the connection is closed already
	}
}

// Write sends the next part of a stream, or the complete body of another answer.
func (answer *answer) Write(text []byte) error {
	answer.entry.SetAnswer(int64(len(text)))
	defer answer.entry.SetAnswer(0)
	if !answer.stream {
		answer.headSent = true
		answer.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
		answer.writer.WriteHeader(answer.status)
	}
	if _, err := answer.writer.Write(text); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(answer.controller.Flush(), "write to caller")
}
