// Package dispatch takes admitted requests to targets and their answers back.
//
// For each request it checks the quarantine, reserves tokens of the client
// account, waits in the fair queue, chooses a target, sends the request and
// hands on the answer. It resumes streams, tries failed work again where that
// is allowed, and ends with an answer that is whole or a refusal that says
// truly whether anything ran.
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

// Charger tells the other VMs that a target died under a request. It returns
// when they know, or after a short while.
type Charger interface {
	Charged(ctx context.Context, digest quarantine.Digest, death string, standing quarantine.Standing)
}

// Dispatcher runs requests. The exported fields are set before Run.
type Dispatcher struct {
	VM      string
	Zone    string
	Boot    string // tells this process from earlier ones of the VM
	Limits  settings.Limits
	Catalog *catalog.Store
	Members *membership.Table
	Policy  placement.Policy
	Ledger  *quota.Ledger
	Suspect *quarantine.Book
	Claims  *claim.Book
	Charger Charger
	Targets *Targets
	Metrics *metric.Set
	Log     *event.Log

	budget  *retry.Budget
	running running
	counter atomic.Uint64
}

// slotInterval is how often the sizes of the fair queues follow the fleet.
const slotInterval = 500 * time.Millisecond

// Prepare must be called once before requests arrive.
func (dispatcher *Dispatcher) Prepare() {
	dispatcher.budget = retry.NewBudget(time.Now())
	dispatcher.Targets.update(dispatcher.Catalog.Snapshot(), dispatcher.Members.Live())
}

// Run follows the configuration until the context ends.
func (dispatcher *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(slotInterval)
	defer ticker.Stop()
	for {
		changed := dispatcher.Catalog.Changed()
		dispatcher.Targets.update(dispatcher.Catalog.Snapshot(), dispatcher.Members.Live())
		for range dispatcher.running.endWithdrawn(dispatcher.Catalog.Snapshot) {
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

// NewID returns a request identity that no other request of the fleet has.
func (dispatcher *Dispatcher) NewID() string {
	return dispatcher.VM + "-" + dispatcher.Boot + "-" + strconv.FormatUint(dispatcher.counter.Add(1), 36)
}

// InFlight returns the number of requests that run.
func (dispatcher *Dispatcher) InFlight() int {
	return dispatcher.running.count()
}

// begin counts a request. Its context ends with its deadline, with its caller or
// with its key.
func (dispatcher *Dispatcher) begin(ctx context.Context, key string, arrived time.Time) (context.Context, time.Time, func()) {
	dispatcher.Metrics.Requests.Add(1)
	dispatcher.budget.Request(arrived)
	ctx, run := dispatcher.running.begin(ctx, key)
	deadline := dispatcher.Limits.RequestDeadline.After(arrived)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, deadline, func() {
		cancel()
		dispatcher.running.end(run)
	}
}

// mayRepeat takes a repetition out of the retry budget; false when it is empty.
func (dispatcher *Dispatcher) mayRepeat(now time.Time) bool {
	if !dispatcher.budget.Allow(now) {
		return false
	}
	dispatcher.Metrics.Retries.Add(1)
	return true
}

// finish counts how a request ended; its error becomes a refusal.
func (dispatcher *Dispatcher) finish(err error) error {
	if err == nil {
		dispatcher.Metrics.Answered.Add(1)
		return nil
	}
	refused := refusal.From(err)
	if refused.Code == refusal.TargetFailed && refused.RetryAt.IsZero() {
		refused.RetryAt = time.Now().Add(comeBack)
	}
	dispatcher.Metrics.Refusals.Add(string(refused.Code), 1)
	return refused
}
