package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
)

// Guards against a stream that goes on at another software version because its next
// target was reserved before its first event came.
func TestReservedTargetOfAnotherSoftwareVersionIsGivenUp(t *testing.T) {
	now := time.Now()
	targets := roster.New("a")
	targets.Put(roster.Entry{ID: "new", Service: "notes", Software: "v1.1"}, now)
	job := &job{
		answer: &recordedAnswer{},
		relay:  &Relay{Roster: targets}, request: &Request{}, route: &routing.Route{}, service: &routing.Service{Name: "notes"},
	}
	next, ok := targets.Choose(job.criteria(now), now)
	if !ok {
		t.Fatal("got no target, want the only one")
	}
	targets.Put(roster.Entry{ID: "old", Service: "notes", Software: "v1"}, now)
	job.next = &nextTarget{assignment: next, reservedAt: now}
	job.fixSoftware("v1")
	ok, err := job.ChooseTarget(t.Context())
	if err != nil || !ok || job.attempt.assignment.ID != "old" || job.next != nil {
		t.Errorf("got target %q, %v, want the one of the version that began the stream", job.attempt.assignment.ID, err)
	}
	for _, entry := range targets.Entries() {
		if entry.ID == "new" && entry.Running != 0 {
			t.Errorf("got %d requests counted at the target that was given up, want none", entry.Running)
		}
	}
}

var (
	resumableRoute = routing.Route{Kind: routing.ResumableStream, Splits: []routing.Split{{Service: "s1", Weight: 1}}}
	splitRoute     = routing.Route{Kind: routing.ResumableStream, Splits: []routing.Split{{Service: "s1", Weight: 1}, {Service: "s2", Weight: 1}}}
)

// Guards against a stream whose origin no VM knows because its VM was lost: the origin
// of each attempt must be recorded before a target can answer it.
func TestOriginIsRecordedBeforeEachAttempt(t *testing.T) {
	fixture := newFixture(t, resumableRoute)
	origins := &fakeOrigins{}
	fixture.relay.Origins = origins
	var attempts atomic.Int64
	for _, software := range []string{"v1", "v1.1"} {
		added := fixture.addTarget(t, "s1", software)
		added.receive = func(string) {
			attempt := attempts.Add(1)
			if got := origins.recorded(); got != int(attempt) {
				t.Errorf("got %d origins recorded when attempt %d arrives, want one for each attempt", got, attempt)
			}
			if attempt == 1 {
				panic(http.ErrAbortHandler)
			}
		}
	}
	started := time.Now()
	answer, err := fixture.serve(t, Request{ID: "first"})
	if err != nil || !strings.HasSuffix(string(answer.text), "id: 4\ndata: piece\n\n") {
		t.Fatalf("got %q, %v, want the complete stream", answer.text, err)
	}
	first, second := origins.records[0], origins.records[1]
	if first.Attempt != 1 || second.Attempt != 2 || first.RequestID != second.RequestID || first.Origin == second.Origin {
		t.Errorf("got %+v and %+v, want two attempts of one stream with the origin of each", first, second)
	}
	if limit := started.Add(20 * time.Second); !second.Until.After(limit) || second.Origin.Service != "s1" {
		t.Errorf("got %+v, want the service, kept until after the deadline", second)
	}
}

// Guards against a stream that begins at a second version while the store may still name
// the first one: after the loss of all VMs it would go on at the first.
func TestStreamMovesToAnotherVersionOnlyIfTheStoreHasIt(t *testing.T) {
	for _, test := range []struct {
		name    string
		origins *fakeOrigins
		same    int  // further targets of the first version
		moves   bool // to the second one
		ok      bool
	}{
		{"store available", &fakeOrigins{}, 0, true, true},
		{"store down", &fakeOrigins{down: true}, 0, false, false},
		{"store down, another target of the version", &fakeOrigins{down: true}, 1, false, true},
		{"store slow", &fakeOrigins{slow: true}, 0, false, false},
	} {
		fixture := newFixture(t, resumableRoute)
		fixture.relay.Origins = test.origins
		fixture.relay.Roster.SetLogged("s1", []string{"v1"}) // the first attempt goes there
		var attempts, moved atomic.Int64
		for range test.same + 1 {
			fixture.addTarget(t, "s1", "v1").receive = func(string) {
				if attempts.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
			}
		}
		fixture.addTarget(t, "s1", "v2").receive = func(string) { moved.Add(1) }
		_, err := fixture.serve(t, Request{ID: "first"})
		if got := moved.Load() > 0; got != test.moves {
			t.Errorf("%s: got moved %t, want %t", test.name, got, test.moves)
		}
		if (err == nil) != test.ok {
			t.Errorf("%s: got %v, want success %t", test.name, err, test.ok)
		}
	}
}

// Guards against take-ups at another service or software version than the one that
// began the stream, and against take-ups that wait for what cannot come.
func TestTakeUpGoesOnOnlyAtItsOrigin(t *testing.T) {
	known := func(service, software string) *fakeOrigins {
		return &fakeOrigins{records: []origin.Record{{RequestID: `"t1"/first`, Origin: origin.Origin{Service: service, Software: software}}}}
	}
	tests := []struct {
		name    string
		origins Origins
		want    string // software version of the target; empty if the request is refused
	}{
		{"known", known("s1", "v1.1"), "v1.1"},
		{"known, at the other service of the split", known("s2", "v3"), "v3"},
		{"known, of a version that left", known("s1", "v0"), ""},
		{"known, of a version that is draining", known("s1", "v0.9"), ""},
		{"known, of a service that left the route", known("s3", "v1"), ""},
		{"known, of a service that left the configuration", known("s4", "v1"), ""},
		{"unknown", &fakeOrigins{}, ""},
		{"unknown, without origins", nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, splitRoute)
			fixture.relay.Origins = test.origins
			for _, added := range [][2]string{{"s1", "v1"}, {"s1", "v1"}, {"s1", "v1.1"}, {"s2", "v2"}, {"s2", "v3"}, {"s3", "v1"}} {
				fixture.addTarget(t, added[0], added[1])
			}
			draining := fixture.addTarget(t, "s1", "v0.9").entry
			draining.Draining = true
			fixture.relay.Roster.Put(draining, time.Now())
			answer, err := fixture.serve(t, Request{ID: "second", Resumes: "first", LastEventID: "2"})
			receivers := fixture.receivers("second")
			if test.want == "" {
				refused := refusal.From(err)
				if err == nil || refused.Status() != http.StatusServiceUnavailable || refused.Outcome != refusal.NotRun || refused.RetryAt.IsZero() || len(receivers) != 0 ||
					!strings.Contains(refused.Message, "from the start") {
					t.Errorf("got %q, %v from %d targets, want a refusal of a request that did not run, with the remedy", answer.text, err, len(receivers))
				}
				return
			}
			if err != nil || len(receivers) != 1 || receivers[0].entry.Software != test.want || !strings.HasPrefix(string(answer.text), "id: 3\n") {
				t.Errorf("got %q, %v from %d targets, want the rest of the stream from version %s", answer.text, err, len(receivers), test.want)
			}
		})
	}
}

// Guards against the refusal of streams that any target can go on with.
func TestTakeUpGoesOnWhileOneSoftwareVersionServes(t *testing.T) {
	for name, origins := range map[string]Origins{"no origins": nil, "single version": &fakeOrigins{absent: origin.Single}} {
		fixture := newFixture(t, resumableRoute)
		fixture.relay.Origins = origins
		fixture.addTarget(t, "s1", "v1")
		for _, resumes := range []string{"first", ""} {
			if answer, err := fixture.serve(t, Request{ID: "second", Resumes: resumes, LastEventID: "2"}); err != nil || !strings.HasPrefix(string(answer.text), "id: 3\n") {
				t.Errorf("%s: got %q, %v, want the rest of the stream", name, answer.text, err)
			}
		}
	}
}

// Guards against a take-up that reaches another software version which starts while
// the request is being sent.
func TestTakeUpKeepsToTheVersionThatServedWhenItCame(t *testing.T) {
	for range 3 { // so that targets chosen by chance do not pass
		fixture := newFixture(t, resumableRoute)
		var once sync.Once
		for range 2 {
			added := fixture.addTarget(t, "s1", "v1")
			added.receive = func(string) {
				broken := false
				once.Do(func() { broken = true })
				if !broken {
					return
				}
				for range 5 {
					fixture.addTarget(t, "s1", "v1.1")
				}
				panic(http.ErrAbortHandler)
			}
		}
		answer, err := fixture.serve(t, Request{ID: "second", Resumes: "first", LastEventID: "2"})
		if receivers := fixture.receivers("second"); err != nil || len(receivers) != 2 || receivers[0].entry.Software != receivers[1].entry.Software {
			t.Errorf("got %q, %v from %d targets, want the rest of the stream from a second target of v1", answer.text, err, len(receivers))
		}
	}
}

// Only resumable streams are taken up. A request without the ID of an event begins a
// stream of its own, whatever earlier request it names.
func TestOtherRequestsAreNoTakeUps(t *testing.T) {
	origins := &fakeOrigins{}
	for _, kind := range []routing.Kind{routing.Stream, routing.Idempotent} {
		fixture := newFixture(t, routing.Route{Kind: kind, Splits: resumableRoute.Splits})
		fixture.relay.Origins = origins
		fixture.addTarget(t, "s1", "v1")
		if _, err := fixture.serve(t, Request{ID: "second", Resumes: "first", LastEventID: "2"}); err != nil || len(origins.sought)+len(origins.records) != 0 {
			t.Errorf("kind %v: got %v with origins %+v, want an answer without them", kind, err, origins)
		}
	}
	fixture := newFixture(t, resumableRoute)
	fixture.relay.Origins = origins
	fixture.addTarget(t, "s1", "v1")
	if _, err := fixture.serve(t, Request{ID: "second", Resumes: "first"}); err != nil || len(origins.sought) != 0 || origins.records[0].RequestID != `"t1"/second` {
		t.Errorf("got %v with origins %+v, want the origin recorded for the request's own ID", err, origins)
	}
}

// Guards against take-ups that a split route sends to another service than the one
// that began the stream, although nothing is known of its origin.
func TestTakeUpOnSplitRouteStaysAtItsService(t *testing.T) {
	fixture := newFixture(t, splitRoute)
	fixture.addTarget(t, "s1", "v1")
	fixture.addTarget(t, "s2", "v1")
	for i := range 20 {
		first, second := fmt.Sprint("first-", i), fmt.Sprint("second-", i)
		if _, err := fixture.serve(t, Request{ID: first}); err != nil {
			t.Fatal(err)
		}
		if _, err := fixture.serve(t, Request{ID: second, Resumes: first, LastEventID: "2"}); err != nil {
			t.Fatal(err)
		}
		if got, want := fixture.receivers(second)[0].entry.Service, fixture.receivers(first)[0].entry.Service; got != want {
			t.Errorf("got stream %s taken up at %s, want %s, which began it", first, got, want)
		}
	}
}

// Guards against callers that name a request of another account, or anything else.
func TestNamedRequestsAreOfTheSameAccountAndBounded(t *testing.T) {
	fixture := newFixture(t, resumableRoute)
	origins := &fakeOrigins{}
	fixture.relay.Origins = origins
	fixture.addTarget(t, "s1", "v1")
	if _, err := fixture.serve(t, Request{ID: "first", Key: "k2"}); err != nil {
		t.Fatal(err)
	}
	hostile := []string{
		"first", `t2"/first`, `"t2"/first`, "../t2/first", strings.Repeat("x", 100_000), "\xff\xfe", "a\x00b", " ", `"`,
	}
	for i, resumes := range hostile {
		id := fmt.Sprint("hostile-", i)
		if _, err := fixture.serve(t, Request{ID: id, Resumes: resumes, LastEventID: "2"}); err == nil || len(fixture.receivers(id)) != 0 {
			t.Errorf("got %v for a request that names %.20q, want a refusal", err, resumes)
		}
	}
	for _, key := range origins.sought {
		if len(key) > origin.MaxIDBytes || strings.HasPrefix(key, `"t2"`) {
			t.Errorf("got key %.100q, want a short one of the request's account", key)
		}
	}
	if limit := time.Now().Add(-20 * time.Second); !origins.since.Before(limit) {
		t.Errorf("got streams sought that began after %v, want all that may still run", origins.since)
	}
	if _, err := fixture.serve(t, Request{ID: "second", Resumes: "first", Key: "k2", LastEventID: "2"}); err != nil {
		t.Errorf("got %v for the account that began the stream, want an answer", err)
	}
}
