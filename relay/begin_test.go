package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/release"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
)

// pipes implements Tunnels by connections in memory to one target. It is the listener of that
// target's server.
type pipes struct {
	opened chan net.Conn
	closed chan struct{}
}

func (pipes *pipes) Open(*roster.Assignment) (net.Conn, error) {
	here, there := net.Pipe()
	pipes.opened <- there
	return here, nil
}

func (pipes *pipes) Reached(context.Context, string) bool { return false }

func (pipes *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-pipes.opened:
		return conn, nil
	case <-pipes.closed:
		return nil, net.ErrClosed
	}
}

func (pipes *pipes) Close() error {
	close(pipes.closed)
	return nil
}

func (pipes *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// addPipedTarget adds a target with the weights of the model m that is reached in memory, so that
// virtual time passes while it works.
func (fixture *fixture) addPipedTarget(t *testing.T, weights uint64, handler http.HandlerFunc) {
	pipes := &pipes{opened: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(pipes) }() // until it is closed
	t.Cleanup(func() { _ = server.Close() })
	fixture.relay.Tunnels = pipes
	entry := entry("old", 1)
	entry.Service, entry.Models = "s1", []roster.Model{{Name: "m", Weights: weights}}
	now := time.Now()
	fixture.relay.Roster.Put(entry, now)
	assignment, _ := fixture.relay.Roster.Choose(roster.Criteria{Service: "s1"}, now)
	assignment.Failed(true, now)
	assignment.End()
	fixture.relay.Roster.RecordTunnel("old", netip.MustParseAddrPort("10.0.0.2:1"), now)
}

// libraryIdle is longer than a goroutine of the HTTP library outlives its connection.
const libraryIdle = 30 * time.Second

// noStores implements CacheStores.
type noStores struct{}

func (noStores) Usable(uint64) netip.AddrPort { return netip.AddrPort{} }

// Guards against VERSION: a request that was sent in time to a target with replaced weights waits
// there for longer than estimated, and begins on them after the platform's bound.
func TestRequestThatWaitsOnReplacedWeightsIsWithdrawnBeforeTheBound(t *testing.T) {
	const (
		bound  = 6 * time.Second
		sentAt = 500 * time.Millisecond // after the naming
	)
	for _, test := range []struct {
		name    string
		route   routing.Route
		weights uint64
		// first is how long the target waits before the first event, and rest until the others.
		first, rest time.Duration
		// comments is set if the target sends a comment at once.
		comments, wantAnswer bool
	}{
		{"at most once", routing.Route{Kind: routing.Stream}, 2, 10 * time.Second, 0, false, false},
		{"repeatable", routing.Route{Kind: routing.ResumableStream}, 2, 10 * time.Second, 0, false, false},
		{"sends a comment", routing.Route{Kind: routing.Stream}, 2, 10 * time.Second, 0, true, false},
		{"begins in time", routing.Route{Kind: routing.Stream}, 2, 4 * time.Second, 0, false, true},
		{"sends a comment and begins in time", routing.Route{Kind: routing.Stream}, 2, 4 * time.Second, 9 * time.Second, true, true},
		{"has begun at the bound", routing.Route{Kind: routing.Stream}, 2, time.Second, 9 * time.Second, false, true},
		{"on the newest weights", routing.Route{Kind: routing.Stream}, 3, 10 * time.Second, 0, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test.route.Splits = []routing.Split{{Service: "s1", Weight: 1}}
				fixture := newFixtureWithServices(t, test.route, []routing.Service{{Name: "s1", Engines: true}})
				named := time.Now()
				fixture.relay.Weights, fixture.relay.Stores = replacedWeights{named}, noStores{}
				fixture.relay.Bounds.WeightsGrace = settings.Span(bound)
				left := make(chan time.Time, 1) // when the request was withdrawn
				fixture.addPipedTarget(t, test.weights, func(writer http.ResponseWriter, request *http.Request) {
					if test.comments {
						writer.Header().Set("Content-Type", "text/event-stream")
						writer.Header().Set(testRequestID, "r")
						_, _ = writer.Write([]byte(": the stream is open\n\n")) // fails if the VM has disconnected
						_ = http.NewResponseController(writer).Flush()
					}
					select {
					case <-time.After(test.first):
					case <-request.Context().Done():
						left <- time.Now()
						return
					}
					standin := &standinTarget{receive: func(string) {}}
					standin.ServeHTTP(writer, request)
					_ = http.NewResponseController(writer).Flush() // fails if the VM has disconnected
					<-time.After(test.rest)
				})
				<-time.After(sentAt)
				prompt := &Prompt{Model: "m", Input: 100, Parts: []Part{{ID: "p", Tokens: 100}}}
				_, err := fixture.serve(t, Request{ID: "r", Prompt: prompt})
				<-time.After(libraryIdle)
				if test.wantAnswer {
					if err != nil {
						t.Errorf("got %v, want an answer", err)
					}
					return
				}
				select {
				case at := <-left:
					if got := at.Sub(named); got >= bound || got < bound-2*weightsMargin {
						t.Errorf("got the request withdrawn %v after the naming, want it shortly before %v", got, bound)
					}
				default:
					t.Error("got the request not withdrawn, want it withdrawn")
				}
				var refused *refusal.Refusal
				if !errors.As(err, &refused) || refused.Outcome != refusal.Unknown {
					t.Errorf("got %v, want a refusal that promises nothing", err)
				}
			})
		})
	}
}

// Guards against DRAIN: a request that was chosen for a target in time is sent there although the
// target has left, or its weights have been replaced, while its connection was opened.
func TestRequestIsNotSentToTargetThatMayNoLongerGetIt(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(relay *Relay, entry roster.Entry, weights *replacedWeights)
		want   bool // sent
	}{
		{"nothing changed", func(*Relay, roster.Entry, *replacedWeights) {}, true},
		{"drains", func(relay *Relay, entry roster.Entry, _ *replacedWeights) {
			entry.Draining = true
			relay.Roster.Put(entry, time.Now())
		}, false},
		{"is removed", func(relay *Relay, entry roster.Entry, _ *replacedWeights) { relay.Roster.Remove(entry.ID, time.Now()) }, false},
		{"has started anew elsewhere", func(relay *Relay, entry roster.Entry, _ *replacedWeights) {
			entry.StartTime, entry.Address = 2, netip.MustParseAddrPort("10.0.0.9:1")
			relay.Roster.Put(entry, time.Now())
		}, false},
		{"loads weights", func(relay *Relay, entry roster.Entry, _ *replacedWeights) {
			relay.Roster.BeginRollout(entry.ID, "m", 3, time.Now().Add(time.Second))
		}, false},
		{"its weights were replaced", func(_ *Relay, _ roster.Entry, weights *replacedWeights) {
			weights.namedAt = weights.namedAt.Add(-time.Hour)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			relay := newReplacedRelay(now)
			weights := &replacedWeights{now}
			relay.Weights = weights
			job := promptJob(relay, 100)
			assignment, ok := relay.Roster.Choose(job.criteria(now), now)
			if !ok {
				t.Fatal("got no target, want the target")
			}
			job.attempt = attempt{assignment: assignment, chosenAt: now, scope: job.cacheScope()}
			changed := entry("old", 1)
			changed.Models = []roster.Model{{Name: "m", Weights: 2}}
			test.change(relay, changed, weights)
			if got := job.beforeSend() == nil; got != test.want {
				t.Errorf("got the request sent: %t, want %t", got, test.want)
			}
		})
	}
}

// Guards against EXPOSURE in reverse: requests that are withdrawn because their target's weights were
// replaced count as failures of its software version, which is released and sound.
func TestWithdrawnRequestSaysNothingOfTheSoftware(t *testing.T) {
	now := time.Now()
	tracker := release.NewTracker(settings.Bounds{}, func() float64 { return 0 })
	tracker.Put(release.Order{Name: "o", Service: "s1", To: "v2", Duration: settings.Span(time.Minute)}, now)
	for _, test := range []struct {
		result error
		want   bool // counted
	}{{errReplaced, false}, {errFailedAnswer, true}} {
		job := &job{relay: &Relay{}, route: &routing.Route{Name: "sum"}, attempt: attempt{sample: tracker.Begin("s1", "sum", "v2", now)}}
		job.endSample(t.Context(), outcomeOf(test.result), test.result)
		bad := 0.0
		table, _ := tracker.Own("s1", time.Now())
		for _, counts := range table {
			bad += counts.Bad
		}
		if got := bad > 0; got != test.want {
			t.Errorf("%v: got a failure counted: %t, want %t", test.result, got, test.want)
		}
	}
}
