// Package dispatch sends admitted requests to targets and returns their answers.
//
// For each request it checks the quarantine, reserves tokens of the client account,
// waits in the fair queue, selects a target, sends the request and forwards the
// answer. It resumes streams and retries failed requests where that is allowed.
// Each request ends with a complete answer, or with a refusal that states correctly
// whether anything ran.
//
// # Usage
//
//	dispatcher := &dispatch.Dispatcher{VM: "vm-1", Zone: "a", ...}
//	go dispatcher.Run(ctx)
//	result, err := dispatcher.Complete(ctx, &dispatch.Completion{...})
package dispatch

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/claim"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/settings"
)

// DeathReporter reports to the other VMs that a target died while it ran a request.
// ReportDeath returns once the other VMs have been informed, or after a short
// time-out.
type DeathReporter interface {
	ReportDeath(ctx context.Context, digest quarantine.Digest, death string, state quarantine.State)
}

// Dispatcher runs requests. The exported fields are set before Run.
type Dispatcher struct {
	VM            string
	Zone          string
	Boot          string // distinguishes this process from earlier ones on the VM
	Limits        settings.Limits
	Catalog       *catalog.Store
	Members       *membership.Table
	Policy        placement.Policy
	Ledger        *quota.Ledger
	Quarantine    *quarantine.Tracker
	Claims        *claim.Claimer
	DeathReporter DeathReporter
	Targets       *Targets
	Metrics       *metric.Set
	Log           *event.Log

	budget   *retry.Budget
	inFlight inFlight
	counter  atomic.Uint64
}

// updateInterval is the interval at which the slots of the fair queues are adapted
// to the number of live VMs and usable targets.
const updateInterval = 500 * time.Millisecond

// Prepare creates the retry budget and applies the current configuration. It must be
// called once before requests arrive.
func (dispatcher *Dispatcher) Prepare() {
	dispatcher.budget = retry.NewBudget(time.Now())
	dispatcher.Targets.update(dispatcher.Catalog.Snapshot(), dispatcher.Members.LiveCount())
}

// Run applies configuration changes and cancels the requests of withdrawn keys until
// the context ends. Then it closes the idle connections to targets.
func (dispatcher *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		changed := dispatcher.Catalog.Changed()
		dispatcher.Targets.update(dispatcher.Catalog.Snapshot(), dispatcher.Members.LiveCount())
		for range dispatcher.inFlight.cancelWithdrawn(dispatcher.Catalog.Snapshot) {
			dispatcher.Log.Emit(event.KeyWithdrawn)
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			dispatcher.Targets.Close()
			return nil
		}
	}
}

// NewID returns a request ID that is unique in the fleet.
func (dispatcher *Dispatcher) NewID() string {
	return dispatcher.VM + "-" + dispatcher.Boot + "-" + strconv.FormatUint(dispatcher.counter.Add(1), 36)
}

// InFlight returns the number of requests in flight.
func (dispatcher *Dispatcher) InFlight() int {
	return dispatcher.inFlight.count()
}

// begin counts a request and registers it as in flight. The context ends when the
// deadline passes, the caller disconnects or the key is withdrawn.
func (dispatcher *Dispatcher) begin(ctx context.Context, key string, arrived time.Time) (context.Context, time.Time, func()) {
	dispatcher.Metrics.Requests.Add(1)
	dispatcher.budget.RecordRequest(arrived)
	ctx, request := dispatcher.inFlight.begin(ctx, key)
	deadline := dispatcher.Limits.RequestDeadline.After(arrived)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, deadline, func() {
		cancel()
		dispatcher.inFlight.end(request)
	}
}

// allowRetry takes a retry out of the retry budget. It returns false when the
// budget is empty.
func (dispatcher *Dispatcher) allowRetry(now time.Time) bool {
	if !dispatcher.budget.Allow(now) {
		return false
	}
	dispatcher.Metrics.Retries.Add(1)
	return true
}

// finish counts the outcome of a request and converts its error to a refusal.
func (dispatcher *Dispatcher) finish(err error) error {
	if err == nil {
		dispatcher.Metrics.Answered.Add(1)
		return nil
	}
	refused := refusal.From(err)
	if refused.Code == refusal.TargetFailed && refused.RetryAt.IsZero() {
		refused.RetryAt = time.Now().Add(retryAfter)
	}
	dispatcher.Metrics.Refusals.Add(string(refused.Code), 1)
	return refused
}
