package relay

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

// deadlineDialect records the deadline that a target gets.
type deadlineDialect struct {
	testDialect
	deadline time.Time
}

func (deadlineDialect *deadlineDialect) Fill(request *fasthttp.Request, call *target.Call) {
	deadlineDialect.deadline = call.Deadline
	deadlineDialect.testDialect.Fill(request, call)
}

// Guards against LOST: a request that was sent before a change of its route's timeout, and is
// read after it, ends at the new timeout.
func TestRequestsAroundAChangeKeepTheirTimeout(t *testing.T) {
	const former, current, delay = settings.Span(time.Minute), settings.Span(20 * time.Second), settings.Span(2 * time.Second)
	for _, test := range []struct {
		name   string
		caller settings.Span // the caller's own time budget
		want   settings.Span
	}{
		{"longer timeout", 0, former},
		{"caller's time budget", current / 2, current / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t, routing.Route{Kind: routing.Stream, Splits: []routing.Split{{Service: "s1", Weight: 1}}})
			fixture.addTarget(t, "s1", "")
			dialect := &deadlineDialect{}
			fixture.relay.Clients, fixture.relay.Bounds.ConfigDelay = NewClients(dialect), delay
			for _, timeout := range []settings.Span{former, current} {
				route := *fixture.relay.Table().Match("a.example", "/x")
				route.Timeout = timeout
				fixture.relay.Configure(routing.NewTable(routing.Config{
					Routes: []routing.Route{route}, Services: []routing.Service{{Name: "s1"}}, Accounts: []routing.Account{{Name: "t1", Keys: []string{"k1"}}},
				}))
			}
			request := Request{ID: "r1"}
			if test.caller > 0 {
				request.Deadline = test.caller.After(time.Now())
			}
			before := time.Now()
			if _, err := fixture.serve(t, request); err != nil {
				t.Fatal(err)
			}
			if got := dialect.deadline; got.Before(test.want.After(before).Add(-time.Second)) || got.After(test.want.After(time.Now())) {
				t.Errorf("got a deadline %v after the request, want %v", got.Sub(before), time.Duration(test.want))
			}
		})
	}
}
