package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readHeaderTimeout bounds reading the header of one readiness check.
const readHeaderTimeout = time.Second

// metricsPath is the path of the counters. All other paths are readiness checks.
const metricsPath = "/metrics"

// statusServer answers the load balancer's readiness checks on any path except
// metricsPath, which serves the counters. It has its own address.
type statusServer struct {
	listener net.Listener
	ready    func() bool
}

// run serves until the context ends.
func (statusServer *statusServer) run(ctx context.Context) error {
	server := &http.Server{Handler: statusServer, ReadHeaderTimeout: readHeaderTimeout}
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
