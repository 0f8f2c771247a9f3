package front

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
)

// fixedLimits are limits that do not change.
type fixedLimits routing.Limits

func (fixedLimits fixedLimits) Limits() routing.Limits { return routing.Limits(fixedLimits) }

// Guards against LOST: heads and idle connections that the configuration allows are ended by
// constants of the server.
func TestConnectionsAreBoundByTheConfiguration(t *testing.T) {
	limits := fixedLimits{
		MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: settings.Span(20 * time.Second), IdleTimeout: settings.Span(90 * time.Second),
	}
	head := func(size int) string {
		return strings.Replace(request, "\r\n\r\n", "\r\nX-A: "+strings.Repeat("a", size)+"\r\n\r\n", 1)
	}
	for _, test := range []struct {
		name string
		play func(caller *testCaller)
		want int // status; 0 if the connection ends
	}{
		{"a head of almost the size", func(caller *testCaller) { caller.send(head(60 << 10)) }, http.StatusOK},
		{"a larger head", func(caller *testCaller) { caller.send(head(70 << 10)) }, http.StatusRequestHeaderFieldsTooLarge},
		{"a head of almost the time", func(caller *testCaller) {
			caller.send(request[:10])
			<-time.After(19 * time.Second)
			caller.send(request[10:])
		}, http.StatusOK},
		{"a slower head", func(caller *testCaller) {
			caller.send(request[:10])
			<-time.After(19 * time.Second)
			caller.send(request[10:20])
		}, http.StatusRequestTimeout},
		{"idle for almost the time", func(caller *testCaller) {
			<-time.After(89 * time.Second)
			caller.send(request)
		}, http.StatusOK},
		{"idle for longer", func(caller *testCaller) {
			<-time.After(91 * time.Second)
			caller.send(request)
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener, end := newPipeListener(), make(chan struct{})
				close(end)
				server := &Server{
					Listener: listener, Dialect: statusDialect{}, Relay: streamingRelay{end}, Limits: limits, Log: event.New(io.Discard, "vm", event.LevelInfo),
				}
				ctx, stop := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- server.Run(ctx, t.Context()) }()
				caller := listener.connect()
				played := make(chan struct{})
				go func() { // the server may answer before it has read everything
					test.play(caller)
					close(played)
				}()
				response, got := caller.answer(), 0
				if response != nil {
					got = response.StatusCode
				}
				if got != test.want {
					t.Errorf("got status %d, want %d", got, test.want)
				}
				_ = caller.Close() // the answer was read
				<-played
				stop()
				if err := <-ended; err != nil {
					t.Errorf("got error %v from Run, want none", err)
				}
			})
		})
	}
}
