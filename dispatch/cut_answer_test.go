package dispatch

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

// serveOnce accepts connections, and answers the first request on each one with the text.
func serveOnce(listener net.Listener, text func() string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && request.Body.Close() == nil {
			_, _ = io.WriteString(conn, text()) // fails if the caller has disconnected
		}
		_ = conn.Close()
	}
}

// startCutting returns a dispatcher with one target, e1, that sends the text.
func startCutting(t *testing.T, text func() string) *Dispatcher {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go serveOnce(listener, text)
	spec, err := json.Marshal(catalog.Target{Name: "e1", Kind: catalog.Engine, Address: listener.Addr().(*net.TCPAddr).AddrPort(), Serves: "m", Weights: "w1", AvailabilityZone: "a"})
	if err != nil {
		t.Fatal(err)
	}
	store := catalog.New()
	store.Load([]catalog.Object{{ID: catalog.ID(catalog.KindTarget, "e1"), Version: 1, Spec: spec}}, 1)
	dispatcher := &Dispatcher{
		Limits: settings.Limits{StreamSilence: settings.Span(time.Minute)}, Policy: &placement.LeastLoaded{},
		Targets: NewTargets(), Metrics: metric.New(t.Name()), Log: event.New(io.Discard, "vm", event.LevelError),
	}
	dispatcher.Targets.update(store.Snapshot(), 1)
	t.Cleanup(dispatcher.Targets.Close)
	return dispatcher
}

// Guards against answers that break off in their heads or bodies, or have heads that no answer
// may have, and are taken for whole, on the way of each kind of request.
func TestAnswersCutAtEachByteAreNotWhole(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\n"
		whole  = `{"choices":[{"message":{"content":"whole"},"finish_reason":"stop"}]}`
		stream = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"whole\"}}]}\n\n" +
			"id: 1\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\nid: 2\ndata: [DONE]\n\n"
	)
	inChunks := func(body string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	// attempt runs one attempt and returns what it took for the whole answer.
	attempt := func(maxTokens int) func(*Dispatcher) (string, error) {
		return func(dispatcher *Dispatcher) (string, error) {
			job := &job{
				Completion: &Completion{ID: "r1", Request: &completion.Request{MaxTokens: maxTokens}}, dispatcher: dispatcher,
				pool: &pool{}, deadline: time.Now().Add(10 * time.Second), forwardedBody: []byte("{}"), leaveQueue: func() {},
			}
			err := job.attempt(t.Context(), dispatcher.Targets.table.State("e1", ""))
			return job.progress.text.String() + string(job.result.Body), err
		}
	}
	call := func(dispatcher *Dispatcher) (string, error) {
		call := &Call{Route: &catalog.Route{}, Method: http.MethodPost, Path: "/", ID: "r1"}
		serviceCall := dispatcher.newServiceCall(call, time.Now().Add(10*time.Second))
		err := serviceCall.exchange(t.Context(), dispatcher.Targets.table.State("e1", ""))
		return string(serviceCall.answer.Body), err
	}
	for _, test := range []struct {
		name, text, want string
		send             func(*Dispatcher) (string, error)
	}{
		{"answer with a length", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(whole)) + whole, whole, attempt(maxUnstreamedTokens)},
		{"answer in chunks", head + inChunks(whole), whole, attempt(maxUnstreamedTokens)},
		{"answer with neither", head + "\r\n" + whole, whole, attempt(maxUnstreamedTokens)},
		{"stream in chunks", head + inChunks(stream), "whole", attempt(maxUnstreamedTokens + 1)},
		{"stream with neither", head + "\r\n" + stream, "whole", attempt(maxUnstreamedTokens + 1)},
		{"call with a length", head + "Content-Length: 5\r\n\r\nwhole", "whole", call},
		{"call in chunks", head + inChunks("whole"), "whole", call},
		{"call with neither and an empty body", head + "\r\n", "", call},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, malformed := range []string{"HTTP/1.1 000 OK\r\n", head + "X-A : b\r\n"} {
				dispatcher := startCutting(t, func() string { return strings.Replace(test.text, head, malformed, 1) })
				if got, err := test.send(dispatcher); !errors.Is(err, target.ErrConnectionLost) {
					t.Errorf("got %q, %v for an answer that begins with %q, want ErrConnectionLost", got, err, malformed)
				}
			}
			cut := 0
			dispatcher := startCutting(t, func() string { return test.text[:cut] })
			for ; cut <= len(test.text); cut++ {
				got, err := test.send(dispatcher)
				if err == nil && (got != test.want || got == "") {
					t.Errorf("got %q as whole of an answer cut after %d of %d bytes, want an error", got, cut, len(test.text))
				}
				if err != nil && cut == len(test.text) && test.want != "" {
					t.Errorf("got %v for a whole answer, want it", err)
				}
			}
		})
	}
}
