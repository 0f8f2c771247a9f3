package relay

import (
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/settings"
)

// Budgets holds a retry budget for each service. The platform's bound applies to all
// VMs together: each VM may use an equal part of the bound's reserve. It is safe for
// concurrent use.
type Budgets struct {
	bounds settings.Bounds
	vms    func() int

	mu      sync.Mutex // guards budgets
	budgets map[string]*retry.Window
}

// retryMargin is the fraction of the platform's bound that is used. The platform
// counts requests when they reach the target, slightly later than they are counted
// here.
const retryMargin = 0.8

// NewBudgets returns budgets without recorded requests. The function vms returns the
// number of VMs that share the bound.
func NewBudgets(bounds settings.Bounds, vms func() int) *Budgets {
	return &Budgets{bounds: bounds, vms: vms, budgets: map[string]*retry.Window{}}
}

// RecordRequest counts a request for a service.
func (budgets *Budgets) RecordRequest(service string, now time.Time) {
	budgets.get(service, now).RecordRequest(now)
}

// Allow takes a retry out of a service's budget. It returns false when the budget
// is empty.
func (budgets *Budgets) Allow(service string, now time.Time) bool {
	return budgets.get(service, now).Allow(now)
}

func (budgets *Budgets) get(service string, now time.Time) *retry.Window {
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	budget, ok := budgets.budgets[service]
	if !ok {
		reserve := budgets.bounds.RetryReserve * retryMargin / float64(max(1, budgets.vms()))
		budget = retry.NewWindow(budgets.bounds.RetryShare*retryMargin, reserve, now, budgets.bounds.RetryWindow.After(now))
		budgets.budgets[service] = budget
	}
	return budget
}
