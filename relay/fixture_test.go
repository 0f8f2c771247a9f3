package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

// testDialect sends what these tests need: the ID of the request, the ID of the last event and
// the salt.
type testDialect struct{}

const (
	testRequestID   = "Test-Request"
	testLastEventID = "Last-Event-Id"
	testSalt        = "Test-Salt"
)

func (testDialect) Fill(request *fasthttp.Request, call *target.Call) {
	request.Header.SetMethod(call.Method)
	request.SetRequestURI(call.Path)
	request.Header.SetHost("a.example")
	request.Header.Set(testRequestID, call.RequestID)
	request.Header.Set(testLastEventID, call.LastEventID)
	request.Header.Set(testSalt, call.Salt)
}

func (testDialect) Head(response *fasthttp.Response) target.Head {
	return target.Head{
		Status: response.StatusCode(), Stream: string(response.Header.ContentType()) == "text/event-stream",
		RequestID: string(response.Header.Peek(testRequestID)),
	}
}

// streamEvents is the number of events of each stream of the stand-in targets.
const streamEvents = 4

// standinTarget answers requests with streams and records their IDs.
type standinTarget struct {
	server *httptest.Server
	entry  roster.Entry
	// receive, if set, is called with each request before it is answered.
	receive func(id string)

	mu       sync.Mutex // guards received
	received []string
}

func (standinTarget *standinTarget) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(testRequestID)
	standinTarget.mu.Lock()
	standinTarget.received = append(standinTarget.received, id)
	standinTarget.mu.Unlock()
	if standinTarget.receive != nil {
		standinTarget.receive(id)
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(testRequestID, id)
	first, _ := strconv.Atoi(request.Header.Get(testLastEventID)) // 0 without one
	for i := first + 1; i <= streamEvents; i++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: piece\n\n", i) // fails if the VM has disconnected
	}
}

// got reports whether the target received a request with the ID.
func (standinTarget *standinTarget) got(id string) bool {
	standinTarget.mu.Lock()
	defer standinTarget.mu.Unlock()
	for _, received := range standinTarget.received {
		if received == id {
			return true
		}
	}
	return false
}

// fixture is a relay with targets.
type fixture struct {
	relay   *Relay
	targets []*standinTarget
}

// newFixture returns a relay whose configuration has the route and services without models.
func newFixture(t *testing.T, route routing.Route) *fixture {
	return newFixtureWithServices(t, route, []routing.Service{{Name: "s1"}, {Name: "s2"}, {Name: "s3"}})
}

// newFixtureWithServices returns a relay whose configuration has the route and the services.
func newFixtureWithServices(t *testing.T, route routing.Route, services []routing.Service) *fixture {
	route.Name, route.Host, route.Prefix, route.Attempts = "sum", "a.example", "/", 3
	route.Timeout, route.LatencyTarget = settings.Span(20*time.Second), settings.Span(5*time.Second)
	bounds := settings.Bounds{RetryReserve: 1000, RetryWindow: settings.Span(time.Second)}
	relay := &Relay{
		Bounds: bounds, Roster: roster.New("a"), Quarantine: quarantine.NewTracker(), Parts: quarantine.NewParts(), Clients: NewClients(testDialect{}),
		DeathReporter: ignoredDeaths{}, Budgets: NewBudgets(bounds, func() int { return 1 }), Metrics: metric.New(t.Name()),
	}
	relay.Configure(routing.NewTable(routing.Config{
		Version: 1, Routes: []routing.Route{route}, Services: services,
		Accounts: []routing.Account{{Name: "t1", Keys: []string{"k1"}}, {Name: "t2", Keys: []string{"k2"}}},
	}))
	return &fixture{relay: relay}
}

// ignoredDeaths implements DeathReporter.
type ignoredDeaths struct{}

func (ignoredDeaths) ReportDeath(context.Context, Death) {}

// addTarget registers a target that serves.
func (fixture *fixture) addTarget(t *testing.T, service, software string) *standinTarget {
	created := &standinTarget{}
	created.server = httptest.NewServer(created)
	t.Cleanup(func() {
		created.server.CloseClientConnections()
		created.server.Close()
	})
	created.entry = roster.Entry{
		ID: fmt.Sprint("target-", len(fixture.targets)), Service: service, Software: software, Zone: "a",
		Address: netip.MustParseAddrPort(created.server.Listener.Addr().String()),
	}
	fixture.targets = append(fixture.targets, created)
	fixture.relay.Roster.Put(created.entry, time.Now())
	return created
}

// serve serves a request of account t1, unless it has another account's key.
func (fixture *fixture) serve(t *testing.T, request Request) (*recordedAnswer, error) {
	request.Method, request.Host, request.Path, request.PathAndQuery = http.MethodPost, "a.example", "/x", "/x"
	request.Arrived = time.Now()
	request.Body = []byte("the body of " + request.ID)
	if request.Key == "" {
		request.Key = "k1"
	}
	answer := &recordedAnswer{}
	return answer, fixture.relay.Serve(t.Context(), &request, answer)
}

// receivers returns the targets that received a request with the ID.
func (fixture *fixture) receivers(id string) []*standinTarget {
	var receivers []*standinTarget
	for _, standinTarget := range fixture.targets {
		if standinTarget.got(id) {
			receivers = append(receivers, standinTarget)
		}
	}
	return receivers
}

// recordedAnswer implements Answer.
type recordedAnswer struct {
	text []byte
	left atomic.Bool // whether the caller has closed its connection
}

// CallerLeft implements Answer.
func (recordedAnswer *recordedAnswer) CallerLeft() bool { return recordedAnswer.left.Load() }

func (recordedAnswer *recordedAnswer) Start(target.Head) error { return nil }

func (recordedAnswer *recordedAnswer) Write(text []byte) error {
	recordedAnswer.text = append(recordedAnswer.text, text...)
	return nil
}

// fakeOrigins implements Origins with what was recorded, and absent for the rest.
type fakeOrigins struct {
	absent origin.Knowledge
	// Records of earlier attempts are in a store, which is down, or slow: it stores the
	// next one after the wait for it.
	down, slow bool

	mu      sync.Mutex // guards the fields below
	records []origin.Record
	sought  []string // keys
	since   time.Time
}

func (fakeOrigins *fakeOrigins) Record(record origin.Record) {
	fakeOrigins.mu.Lock()
	defer fakeOrigins.mu.Unlock()
	fakeOrigins.records = append(fakeOrigins.records, record)
}

// Await implements Origins.
func (fakeOrigins *fakeOrigins) Await(_ context.Context, _ origin.Record, moved bool) bool {
	return !moved || !fakeOrigins.slow
}

// MayMove implements Origins.
func (fakeOrigins *fakeOrigins) MayMove(string, string) bool { return !fakeOrigins.down }

func (fakeOrigins *fakeOrigins) Find(_ context.Context, requestID, _ string, since time.Time) (origin.Origin, origin.Knowledge) {
	fakeOrigins.mu.Lock()
	defer fakeOrigins.mu.Unlock()
	fakeOrigins.sought, fakeOrigins.since = append(fakeOrigins.sought, requestID), since
	for _, record := range fakeOrigins.records {
		if record.RequestID == requestID {
			return record.Origin, origin.Known
		}
	}
	return origin.Origin{}, fakeOrigins.absent
}

// recorded returns the number of records.
func (fakeOrigins *fakeOrigins) recorded() int {
	fakeOrigins.mu.Lock()
	defer fakeOrigins.mu.Unlock()
	return len(fakeOrigins.records)
}
