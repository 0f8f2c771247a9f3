package front

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/relay"
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
