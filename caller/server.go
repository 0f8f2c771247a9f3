// Package caller is the HTTP server for callers: an OpenAI-compatible API for
// models, and the routes of plain services.
//
// It checks keys, parses requests and writes answers. Package dispatch runs the
// requests. Callers' credentials are not passed on to targets.
//
// # Usage
//
//	server := &caller.Server{Listener: listener, Dispatcher: dispatcher, ...}
//	err := server.Run(ctx) // until the context ends, then stops gracefully
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/dispatch"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/report"
	"github.com/bramleygw/bramleygw/settings"
)

const (
	// HealthPath is the path of the health check by the platform's load balancer.
	HealthPath = "/healthz"
	// idleTimeout bounds how long a connection stays open without a request.
	idleTimeout = 75 * time.Second
	// writeMargin is added to the request deadline to get the deadline for writing
	// the answer.
	writeMargin = 10 * time.Second
	// reuseMargin is the time that an answer and the next request take.
	reuseMargin = 500 * time.Millisecond
)

// Server serves callers. The exported fields are set before Run.
type Server struct {
	Listener   net.Listener
	TLS        *tls.Config
	Limits     settings.Limits
	Catalog    *catalog.Store
	Members    *membership.Table
	Dispatcher *dispatch.Dispatcher
	Burn       *report.Recorder
	// Ready reports whether a configuration has been applied.
	Ready func() bool

	draining atomic.Bool
	// requestsCtx is the parent of the contexts of all requests. It ends when the
	// server must stop without waiting for them.
	requestsCtx context.Context
	monitor     monitor
}

// Run serves until the context ends, then waits for the requests in flight, at most
// for the length of the request deadline.
func (server *Server) Run(ctx context.Context) error {
	var abort context.CancelFunc
	server.requestsCtx, abort = context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	http := server.http()
	listener := server.Listener
	if server.TLS != nil {
		listener = tls.NewListener(listener, server.TLS)
	}
	monitorCtx, stopMonitor := context.WithCancel(context.WithoutCancel(ctx))
	defer stopMonitor()
	go server.monitor.run(monitorCtx)
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { stopped <- server.shutdown(http) })
	err := http.Serve(listener)
	if stop() {
		return errors.Wrap(err, "serve callers")
	}
	return <-stopped
}

// http returns the configured HTTP server.
func (server *Server) http() *fasthttp.Server {
	now := time.Now()
	span := func(span settings.Span) time.Duration { return span.After(now).Sub(now) }
	return &fasthttp.Server{
		Handler:                      server.serve,
		ErrorHandler:                 handleReadError,
		ReadBufferSize:               server.Limits.MaxHeaderBytes,
		MaxRequestBodySize:           server.Limits.MaxBodyBytes,
		Concurrency:                  server.Limits.MaxConnections,
		MaxConnsPerIP:                server.Limits.MaxConnectionsPerAddress,
		ReadTimeout:                  span(server.Limits.HeaderDeadline),
		WriteTimeout:                 span(server.Limits.RequestDeadline) + writeMargin,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       connection.DiscardLogger{},
	}
}

// Drain makes the health check fail, so that the load balancer sends no new
// callers. The server still serves requests, but closes each connection after the
// next answer.
func (server *Server) Drain() {
	server.draining.Store(true)
}

// Draining reports whether Drain was called.
func (server *Server) Draining() bool {
	return server.draining.Load()
}

// shutdown stops accepting connections and waits for the requests in flight.
func (server *Server) shutdown(http *fasthttp.Server) error {
	deadline := server.Limits.RequestDeadline.After(time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return errors.Wrap(http.ShutdownWithContext(ctx), "stop serving callers")
}

// handleReadError answers a request that could not be read.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var tooSmall *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &tooSmall):
		refuse(ctx, refusal.New(refusal.TooLarge, "the headers are too large; send fewer or shorter ones"))
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refuse(ctx, refusal.New(refusal.TooLarge, "the body is too large; shorten the prompt"))
	default:
		refuse(ctx, refusal.New(refusal.BadRequest, "the request could not be read; send well-formed HTTP within the time allowed"))
	}
	ctx.SetConnectionClose()
}

// serve routes a request by its path.
func (server *Server) serve(ctx *fasthttp.RequestCtx) {
	defer server.setReuse(ctx) // refusals reset the headers
	path := string(ctx.Path())
	switch path {
	case HealthPath:
		server.serveHealth(ctx)
	case "/v1/models":
		server.serveModels(ctx)
	case completion.Chat.Path():
		server.serveCompletion(ctx, completion.Chat)
	case completion.Text.Path():
		server.serveCompletion(ctx, completion.Text)
	default:
		if name, ok := strings.CutPrefix(path, "/v1/models/"); ok {
			server.serveModel(ctx, name)
			return
		}
		server.serveCall(ctx, path)
	}
}

// setReuse tells the caller whether, and for how long, it may reuse the connection. That time ends
// before a planned stop closes idle connections.
func (server *Server) setReuse(ctx *fasthttp.RequestCtx) {
	if server.draining.Load() {
		ctx.SetConnectionClose()
		return
	}
	reuse := min(time.Duration(server.Limits.DrainNotice), idleTimeout) - reuseMargin
	if reuse >= time.Second {
		ctx.Response.Header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(reuse/time.Second)))
	}
}

func (server *Server) serveHealth(ctx *fasthttp.RequestCtx) {
	switch {
	case server.draining.Load():
		refuse(ctx, refusal.New(refusal.NotReady, "this VM is leaving; use another"))
	case !server.Ready():
		refuse(ctx, refusal.New(refusal.NotReady, "this VM has no configuration yet; use another"))
	case server.Members.Isolated(time.Now()):
		refuse(ctx, refusal.New(refusal.Isolated, "this VM is cut off; use another"))
	default:
		ctx.SetContentType("text/plain")
		ctx.SetBodyString("ok\n")
	}
}
