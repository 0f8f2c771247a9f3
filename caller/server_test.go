package caller

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/settings"
)

// Guards against LOST in a planned stop: a caller that has not been told for how long it may reuse a
// connection sends a request as the VM closes it.
func TestAnswersLimitTheReuseOfConnections(t *testing.T) {
	for _, test := range []struct {
		name          string
		drainNotice   time.Duration
		draining      bool
		wantKeepAlive string
		wantClose     bool
	}{
		{"less than the notice", 3 * time.Second, false, "timeout=2", false},
		{"less than the idle time", time.Hour, false, "timeout=74", false},
		{"no whole second", time.Second, false, "", false},
		{"none in a stop", 3 * time.Second, true, "", true},
	} {
		server := &Server{Limits: settings.Limits{DrainNotice: settings.Span(test.drainNotice)}, Ready: func() bool { return false }}
		if test.draining {
			server.Drain()
		}
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI(HealthPath)
		server.serve(ctx)
		gotKeepAlive, gotClose := string(ctx.Response.Header.Peek("Keep-Alive")), ctx.Response.ConnectionClose()
		if gotKeepAlive != test.wantKeepAlive || gotClose != test.wantClose {
			t.Errorf("%s: got Keep-Alive %q and close %t, want %q and %t", test.name, gotKeepAlive, gotClose, test.wantKeepAlive, test.wantClose)
		}
	}
}
