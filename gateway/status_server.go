package gateway

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// readyTime bounds one readiness check.
const readyTime = time.Second

// metricsPath is where the counters are shown, beside the readiness checks.
const metricsPath = "/metrics"

// readiness answers the balancer, whatever the path but for the metrics': it has
// an address of its own.
type readiness struct {
	listener net.Listener
	ready    func() bool
}

// run serves until the context ends.
func (readiness *readiness) run(ctx context.Context) error {
	server := &http.Server{Handler: readiness, ReadHeaderTimeout: readyTime}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // a check that is cut counts as a miss
	defer stop()
	err := server.Serve(readiness.listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve readiness checks")
}

// ServeHTTP implements http.Handler.
func (readiness *readiness) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == metricsPath {
		expvar.Handler().ServeHTTP(writer, request)
		return
	}
	if !readiness.ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
