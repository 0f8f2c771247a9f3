// Package front serves callers over HTTP whose requests are passed on unchanged.
//
// It reads a whole request before anything is done with it, notices at once when
// the caller leaves, writes a stream's events as they come, and ends an answer
// that cannot be completed by breaking the connection, so that it never looks
// complete. The head of a request is read, and refusals are written, by a
// Dialect.
//
// The server is net/http's: fasthttp neither tells when a caller leaves nor lets
// an answer be broken off.
//
// # Usage
//
//	server := &front.Server{Listener: listener, Dialect: platform.Requests{}, Relay: relay}
//	err := server.Run(ctx) // until the context ends, then gracefully
package front

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/target"
)

const (
	// maxBody bounds a request's body; the platform accepts no larger ones.
	maxBody = 4 << 20 // bytes
	// maxHeader bounds a request's head; net/http adds some room by itself.
	maxHeader = 16 << 10 // bytes
	// headerTime is the longest that a caller may take to send a head.
	headerTime = 10 * time.Second
	// idleTime is how long a connection may wait for its next request: longer
	// than callers keep theirs, so that no request crosses its end.
	idleTime = 60 * time.Second
)

// Dialect reads heads of requests and writes refusals.
type Dialect interface {
	Decode(request *http.Request, now time.Time) (*relay.Request, error)
	Refuse(writer http.ResponseWriter, request *http.Request, refused *refusal.Refusal, now time.Time)
}

// Relay runs requests.
type Relay interface {
	Serve(ctx context.Context, request *relay.Request, answer relay.Answer) error
}

// Server serves callers. The exported fields are set before Run.
type Server struct {
	Listener net.Listener
	Dialect  Dialect
	Relay    Relay

	draining atomic.Bool
}

// Drain lets each answer be the last one on its connection.
func (server *Server) Drain() {
	server.draining.Store(true)
}

// Draining reports whether Drain was called.
func (server *Server) Draining() bool {
	return server.draining.Load()
}

// Run serves until the context ends, then finishes the requests that run. The
// second context ends them too.
func (server *Server) Run(ctx, abort context.Context) error {
	http := &http.Server{
		Handler:           server,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          log.New(io.Discard, "", 0), // callers' broken connections
		BaseContext:       func(net.Listener) context.Context { return abort },
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { stopped <- http.Shutdown(abort) })
	err := http.Serve(server.Listener)
	if stop() {
		return errors.Wrap(err, "serve callers")
	}
	if err := <-stopped; err != nil {
		return errors.CombineErrors(errors.Wrap(err, "stop serving callers"), http.Close())
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (server *Server) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	if server.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	now := time.Now()
	request, err := server.Dialect.Decode(incoming, now)
	if err == nil {
		request.Body, err = readBody(writer, incoming)
	}
	if err == nil {
		answer := &answer{writer: writer, controller: http.NewResponseController(writer), draining: &server.draining}
		err = server.Relay.Serve(incoming.Context(), request, answer)
	}
	if err == nil {
		return
	}
	refused := refusal.From(err)
	if refused.Code == refusal.StreamInterrupted || refused.Code == refusal.CallerGone {
		panic(http.ErrAbortHandler) // breaks the connection
	}
	server.Dialect.Refuse(writer, incoming, refused, time.Now())
}

// readBody reads the whole body. The error is a refusal.
func readBody(writer http.ResponseWriter, incoming *http.Request) ([]byte, error) {
	if incoming.ContentLength > maxBody {
		return nil, refusal.New(refusal.TooLarge, "the body is too large; shorten it")
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, incoming.Body, maxBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refusal.New(refusal.TooLarge, "the body is too large; shorten it")
	case err != nil:
		return nil, refusal.New(refusal.CallerGone, "the body broke off")
	}
	return body, nil
}

// answer writes one answer.
type answer struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	draining   *atomic.Bool
	status     int
	stream     bool
}

// Start implements relay.Answer.
func (answer *answer) Start(head target.Head) error {
	header := answer.writer.Header()
	for _, field := range head.Fields {
		header.Add(field.Name, field.Value)
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // net/http must not guess one
	}
	if answer.draining.Load() {
		header.Set("Connection", "close")
	}
	answer.status, answer.stream = head.Status, head.Stream
	if answer.stream {
		answer.writer.WriteHeader(answer.status)
	}
	return nil
}

// Write implements relay.Answer.
func (answer *answer) Write(text []byte) error {
	if !answer.stream {
		answer.writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
		answer.writer.WriteHeader(answer.status)
	}
	if _, err := answer.writer.Write(text); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(answer.controller.Flush(), "write to caller")
}
