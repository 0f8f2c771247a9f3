package relay

import (
	"testing"
	"time"

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
