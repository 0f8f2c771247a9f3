package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/routing"
)

// Guards against GONE: requests reach targets after their callers have left, if only the
// connection shows it, if the context ended before a target was chosen, or if the caller
// left during an attempt that another one follows.
func TestNothingIsSentForCallersThatLeft(t *testing.T) {
	const (
		requests       = 50 // the context ends in another goroutine, which may be late
		requestsDuring = 1  // the target that fails is not used again at once
	)
	for _, test := range []struct {
		name string
		// leave lets the caller of a request leave before it is served, or, if during is
		// set, while a target has it that fails.
		leave  func(answer *recordedAnswer, cancel context.CancelFunc)
		during bool
		want   int // requests that targets receive
	}{
		{"seen on the connection", func(answer *recordedAnswer, _ context.CancelFunc) { answer.left.Store(true) }, false, 0},
		{"seen by the context", func(_ *recordedAnswer, cancel context.CancelFunc) { cancel() }, false, 0},
		{"seen on the connection during an attempt", func(answer *recordedAnswer, _ context.CancelFunc) { answer.left.Store(true) }, true, requestsDuring},
		{"seen by the context during an attempt", func(_ *recordedAnswer, cancel context.CancelFunc) { cancel() }, true, requestsDuring},
		{"stays", func(*recordedAnswer, context.CancelFunc) {}, false, requests},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, routing.Route{Kind: routing.Idempotent, Splits: []routing.Split{{Service: "s1", Weight: 1}}})
			var answer *recordedAnswer
			var cancel context.CancelFunc
			for range 3 {
				target := fixture.addTarget(t, "s1", "")
				if test.during {
					target.receive = func(id string) {
						if len(fixture.receivers(id)) == 1 {
							test.leave(answer, cancel)
							panic(http.ErrAbortHandler)
						}
					}
				}
			}
			count := requests
			if test.during {
				count = requestsDuring
			}
			for i := range count {
				var ctx context.Context
				ctx, cancel = context.WithCancel(t.Context())
				answer = &recordedAnswer{}
				if !test.during {
					test.leave(answer, cancel)
				}
				request := &Request{ID: fmt.Sprint("r", i), Method: http.MethodGet, Host: "a.example", Path: "/x", PathAndQuery: "/x", Key: "k1", Body: []byte(fmt.Sprint("body ", i)), Arrived: time.Now()}
				err := fixture.relay.Serve(ctx, request, answer)
				if stays := ctx.Err() == nil && !answer.left.Load(); stays != (err == nil) || !stays && refusal.From(err).Code != refusal.CallerGone {
					t.Fatalf("request %d: got %v, want an answer or a refusal because the caller is gone", i, err)
				}
				cancel()
			}
			got := 0
			for _, target := range fixture.targets {
				got += len(target.received)
			}
			if got != test.want {
				t.Errorf("got %d requests at targets, want %d of %d", got, test.want, count)
			}
		})
	}
}
