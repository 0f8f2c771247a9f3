package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/occupancy"
)

// The bounds of the connections for readiness checks and metrics. Load balancers and
// collectors use a few connections, and ask at least every minute.
const (
	readHeaderTimeout    = time.Second
	statusIdleTimeout    = 2 * time.Minute
	statusWriteTimeout   = 10 * time.Second
	maxStatusConnections = 64
	maxStatusHeaderBytes = 8 << 10
)

// metricsPath is the path of the counters. All other paths are readiness checks.
const metricsPath = "/metrics"

// statusServer answers the load balancer's readiness checks on any path except
// metricsPath, which serves the counters. It has its own address.
type statusServer struct {
	listener net.Listener
	ready    func() bool
}

func newStatusServer(listener net.Listener, ready func() bool) *statusServer {
	table := occupancy.NewTable(occupancy.Limits{Connections: maxStatusConnections})
	return &statusServer{listener: &connection.BoundedListener{Listener: listener, Table: table}, ready: ready}
}

// run serves until the context ends.
func (statusServer *statusServer) run(ctx context.Context) error {
	server := &http.Server{
		Handler: statusServer, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: statusIdleTimeout, WriteTimeout: statusWriteTimeout,
		MaxHeaderBytes: maxStatusHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // an interrupted check counts as failed
	defer stop()
	err := server.Serve(statusServer.listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve readiness checks")
}

// ServeHTTP implements http.Handler.
func (statusServer *statusServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == metricsPath {
		expvar.Handler().ServeHTTP(writer, request)
		return
	}
	if !statusServer.ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
