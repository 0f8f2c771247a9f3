package relay

import (
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

// All VMs of a large fleet restart together. Each handles its first requests before it
// knows how many VMs there are. The retries of all must remain within the platform's
// bound.
func TestRetryReserveFollowsFleetSize(t *testing.T) {
	const (
		fleetSize   = 295
		assumedSize = 8
		reserve     = 630
	)
	now := time.Unix(1_700_000_000, 0)
	vms := assumedSize
	bounds := settings.Bounds{RetryShare: 0.2, RetryReserve: reserve, RetryWindow: settings.Span(10 * time.Second)}
	budgets := NewBudgets(bounds, func() int { return vms })
	budgets.RecordRequest("engines", now)
	vms = fleetSize
	allowed := 0
	for budgets.Allow("engines", now.Add(100*time.Millisecond)) {
		allowed++
	}
	if got, want := allowed*fleetSize, reserve; got > want {
		t.Errorf("got %d retries allowed by all VMs together, want %d at most", got, want)
	}
	if allowed == 0 {
		t.Error("got no retry allowed, want at least one")
	}
}
