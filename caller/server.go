// Package caller serves callers: an OpenAI-compatible HTTP surface for models
// and the routes of plain services.
//
// It checks keys, parses requests and writes answers; what happens in between
// is package dispatch's. Callers' credentials end here: targets never see them.
//
// # Usage
//
//	server := &caller.Server{Listener: listener, Dispatcher: dispatcher, ...}
//	err := server.Run(ctx) // until the context ends, then gracefully
package caller

import (
	"context"
	"crypto/tls"
	"net"
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
	// HealthPath is asked by the platform's balancer.
	HealthPath = "/healthz"
	// idleTime is how long a connection may wait for its next request.
	idleTime = 75 * time.Second
	// writeMargin is added to the request deadline for writing the answer.
	writeMargin = 10 * time.Second
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
	// Ready reports whether a configuration is in force.
	Ready func() bool

	draining atomic.Bool
	requests context.Context // ends when the process must stop at once
	watches  watches
}

// Run serves until the context ends, then finishes the requests that run.
func (server *Server) Run(ctx context.Context) error {
	var abort context.CancelFunc
	server.requests, abort = context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	http := server.http()
	listener := server.Listener
	if server.TLS != nil {
		listener = tls.NewListener(listener, server.TLS)
	}
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWatching()
	go server.watches.run(watching)
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { stopped <- server.shutdown(http) })
	err := http.Serve(listener)
	if stop() {
		return errors.Wrap(err, "serve callers")
	}
	return <-stopped
}

func (server *Server) http() *fasthttp.Server {
	now := time.Now()
	span := func(span settings.Span) time.Duration { return span.After(now).Sub(now) }
	return &fasthttp.Server{
		Handler:                      server.serve,
		ErrorHandler:                 failedRead,
		ReadBufferSize:               server.Limits.MaxHeaderBytes,
		MaxRequestBodySize:           server.Limits.MaxBodyBytes,
		Concurrency:                  server.Limits.MaxConnections,
		MaxConnsPerIP:                server.Limits.MaxConnectionsPerAddress,
		ReadTimeout:                  span(server.Limits.HeaderDeadline),
		WriteTimeout:                 span(server.Limits.RequestDeadline) + writeMargin,
		IdleTimeout:                  idleTime,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       connection.DiscardLogger{},
	}
}

// Drain makes the health check fail, so that the balancer sends no new callers;
// requests are still served.
func (server *Server) Drain() {
	server.draining.Store(true)
}

// Draining reports whether Drain was called.
func (server *Server) Draining() bool {
	return server.draining.Load()
}

// shutdown stops accepting and waits for the requests that run.
func (server *Server) shutdown(http *fasthttp.Server) error {
	deadline := server.Limits.RequestDeadline.After(time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return errors.Wrap(http.ShutdownWithContext(ctx), "stop serving callers")
}

// failedRead answers requests that could not be read.
func failedRead(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		refuse(ctx, refusal.New(refusal.TooLarge, "the headers are too large; send fewer or shorter ones"))
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refuse(ctx, refusal.New(refusal.TooLarge, "the body is too large; shorten the prompt"))
	default:
		refuse(ctx, refusal.New(refusal.BadRequest, "the request could not be read; send well-formed HTTP within the time allowed"))
	}
	ctx.SetConnectionClose()
}

func (server *Server) serve(ctx *fasthttp.RequestCtx) {
	if server.draining.Load() {
		ctx.SetConnectionClose()
	}
	path := string(ctx.Path())
	switch path {
	case HealthPath:
		server.health(ctx)
	case "/v1/models":
		server.models(ctx)
	case completion.Chat.Path():
		server.complete(ctx, completion.Chat)
	case completion.Text.Path():
		server.complete(ctx, completion.Text)
	default:
		if name, ok := strings.CutPrefix(path, "/v1/models/"); ok {
			server.model(ctx, name)
			return
		}
		server.route(ctx, path)
	}
}

func (server *Server) health(ctx *fasthttp.RequestCtx) {
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
