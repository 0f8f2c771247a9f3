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
// current number of VMs that share the bound. It is called for each retry.
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

// Return gives back a retry that was allowed at the given time and not made.
func (budgets *Budgets) Return(service string, allowedAt, now time.Time) {
	budgets.get(service, now).Return(allowedAt, now)
}

// reserve returns this VM's part of the platform's reserve. The number of VMs is known
// only some time after a VM's start.
func (budgets *Budgets) reserve() float64 {
	return budgets.bounds.RetryReserve * retryMargin / float64(max(1, budgets.vms()))
}

func (budgets *Budgets) get(service string, now time.Time) *retry.Window {
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	budget, ok := budgets.budgets[service]
	if !ok {
		budget = retry.NewWindow(budgets.bounds.RetryShare*retryMargin, budgets.reserve, now, budgets.bounds.RetryWindow.After(now))
		budgets.budgets[service] = budget
	}
	return budget
}
