package relay

import (
	"expvar"
	"fmt"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/target"
)

// Guards against a request that may run only once, or a retry, being sent on a connection
// that its target may have closed, and against a connection for each retry where targets
// pay for connections.
func TestConnectionsThatARequestMayUse(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	limit := now.Add(-time.Second) // stated by the users for requests that may run only once
	tests := []struct {
		name                        string
		adaptive, repeatable, retry bool
		want                        target.Call
	}{
		{name: "repeatable", repeatable: true},
		{name: "once", want: target.Call{UsedSince: limit}},
		{name: "retry", repeatable: true, retry: true, want: target.Call{UsedSince: limit, NewConnection: true}},
		{name: "adaptive, repeatable", adaptive: true, repeatable: true, want: target.Call{LeaveOlder: true}},
		{name: "adaptive, once", adaptive: true, want: target.Call{UsedSince: limit, LeaveOlder: true}},
		{name: "adaptive, retry", adaptive: true, repeatable: true, retry: true, want: target.Call{UsedSince: limit, LeaveOlder: true}},
	}
	for _, test := range tests {
		var got target.Call
		setReuse(&got, test.adaptive, test.repeatable, test.retry, now)
		if !got.UsedSince.Equal(test.want.UsedSince) || got.NewConnection != test.want.NewConnection || got.LeaveOlder != test.want.LeaveOlder {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

// Guards against a connection for nearly each request, as counted by the metric, when a VM
// has many targets.
func TestConnectionsPerRequest(t *testing.T) {
	const requests = 300
	opened := map[bool]int64{}
	for _, adaptive := range []bool{false, true} {
		fixture := newFixture(t, routing.Route{Kind: routing.AtMostOnce, Splits: []routing.Split{{Service: "s1", Weight: 1}}})
		for range 60 {
			fixture.addTarget(t, "s1", "")
		}
		fixture.relay.Clients.OnOpen = func(cause target.Cause) { fixture.relay.Metrics.Connections.Add(string(cause), 1) }
		fixture.relay.Roster.SetMemoryPressure(adaptive)
		fixture.relay.Roster.UpdateSubsets(roster.Peers{Self: "vm-1", FleetSize: 64}, time.Now())
		for i := range requests {
			if _, err := fixture.serve(t, Request{ID: fmt.Sprint("r", i)}); err != nil {
				t.Fatal(err)
			}
		}
		fixture.relay.Metrics.Connections.Do(func(entry expvar.KeyValue) { opened[adaptive] += entry.Value.(*expvar.Int).Value() })
		fixture.relay.Clients.Retain(func(string) bool { return false })
	}
	t.Logf("%d connections for %d requests without subsets, %d with", opened[false], requests, opened[true])
	if opened[true] > opened[false]/2 {
		t.Errorf("got %d connections with subsets and %d without, want at most half", opened[true], opened[false])
	}
}
