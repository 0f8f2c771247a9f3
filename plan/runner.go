package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
)

const (
	// pollInterval is the delay between two checks or attempts while a plan is
	// active.
	pollInterval = 250 * time.Millisecond
	// standbyInterval is the time between two attempts of a VM that is not the preferred one to
	// acquire the lease while a plan is active.
	standbyInterval = 2 * time.Second
	// idlePolls is the number of consecutive polls that must find the targets
	// without requests before they count as idle.
	idlePolls = 3
	// idleTimeout is the longest wait for the requests at targets to end.
	idleTimeout = 2 * time.Minute
	// propagationTime is the time that a configuration change needs to reach all VMs.
	propagationTime = 2 * time.Second
	// minLeaseTime is the remaining lease time below which the lease must be renewed
	// before an order or a write is sent.
	minLeaseTime = 2 * time.Second
)

// errLeaseLost aborts a step when the VM's lease has expired. Another VM continues
// the plan.
var errLeaseLost = errors.New("lease expired; another VM continues the plan")

// Lease restricts the execution of steps to one VM at a time.
type Lease interface {
	AcquireOrRenew(ctx context.Context) bool
	Held(now time.Time) bool
	Deadline() time.Time
	Token() uint64
	Release(ctx context.Context)
}

// TargetStatus is the status that a target reports.
type TargetStatus struct {
	// Running is the number of requests in flight.
	Running int
	Weights string
}

// Fleet provides the configuration and the targets that steps change.
type Fleet interface {
	Catalog() *catalog.Store
	// Change writes a configuration object if its version is the given one, and
	// announces the change.
	Change(ctx context.Context, kind catalog.Kind, name string, version objects.Version, spec any) error
	// Delete deletes an object if its version is the given one.
	Delete(ctx context.Context, kind catalog.Kind, name string, version objects.Version) error
	// LoadWeights orders an engine to load weights and returns when the engine has
	// loaded them.
	LoadWeights(ctx context.Context, target, weights string, token uint64, deadline time.Time) error
	// Status requests a target's status.
	Status(ctx context.Context, target string) (TargetStatus, error)
	// Preferred reports whether this VM is the preferred one to execute plans.
	Preferred() bool
}

// Runner executes confirmed plans. Set the exported fields before Run.
type Runner struct {
	VM    string
	Fleet Fleet
	Lease Lease
	Log   *event.Log
}

// Run executes plans until the context ends.
func (runner *Runner) Run(ctx context.Context) error {
	var lastAttempt time.Time
	for {
		changed := runner.Fleet.Catalog().Changed()
		now := time.Now()
		active := runner.activePlans()
		switch {
		case len(active) == 0:
			if runner.Lease.Held(now) {
				runner.Lease.Release(ctx)
			}
		case runner.Fleet.Preferred() || runner.Lease.Held(now) || now.Sub(lastAttempt) >= standbyInterval:
			lastAttempt = now
			if runner.Lease.AcquireOrRenew(ctx) {
				runner.runNextStep(ctx, active[0])
				continue
			}
		}
		if !waitForChange(ctx, changed, len(active) > 0) {
			return nil
		}
	}
}

// waitForChange waits for a change of the configuration; if a plan is active, at most
// for pollInterval. It returns false if the context ends first.
func waitForChange(ctx context.Context, changed <-chan struct{}, active bool) bool {
	var tick <-chan time.Time
	if active {
		timer := time.NewTimer(pollInterval)
		defer timer.Stop()
		tick = timer.C
	}
	select {
	case <-changed:
	case <-tick:
	case <-ctx.Done():
		return false
	}
	return true
}

// storedPlan is a plan with the version of its object.
type storedPlan struct {
	Plan
	version objects.Version
}

// activePlans returns the active plans, the oldest first.
func (runner *Runner) activePlans() []storedPlan {
	var active []storedPlan
	for _, object := range runner.Fleet.Catalog().ObjectsOf(catalog.KindPlan) {
		plan, err := Decode(object)
		if err == nil && plan.Active() {
			active = append(active, storedPlan{Plan: plan, version: object.Version})
		}
	}
	sort.Slice(active, func(i, j int) bool { return active[i].ID < active[j].ID })
	return active
}

// runNextStep executes the next step of a plan and records the outcome.
func (runner *Runner) runNextStep(ctx context.Context, current storedPlan) {
	index := current.NextPending()
	if current.State == Stopping || index < 0 {
		current.State = Done
		if index >= 0 {
			current.State = Stopped
		}
		runner.storeProgress(ctx, current)
		return
	}
	step := &current.Steps[index]
	err := runner.execute(ctx, step)
	if errors.Is(err, errLeaseLost) || ctx.Err() != nil {
		return
	}
	step.VM = runner.VM
	if err != nil {
		step.State, step.Detail = Failed, err.Error()
		current.State = Failed
		runner.Log.Emit(event.PlanFailed, event.F("plan", current.ID), event.F("step", index), event.Err(err))
	} else {
		step.State = Done
		runner.Log.Emit(event.PlanStep, event.F("plan", current.ID), event.F("step", index))
	}
	if current.NextPending() < 0 && current.State == Confirmed {
		current.State = Done
	}
	runner.storeProgress(ctx, current)
}

// storeProgress stores the plan's progress. If that fails, this VM or another one
// repeats the step.
func (runner *Runner) storeProgress(ctx context.Context, current storedPlan) {
	err := runner.Fleet.Change(ctx, catalog.KindPlan, current.ID, current.version, current.Plan)
	if err != nil {
		waitForChange(ctx, nil, true)
	}
}

func (runner *Runner) execute(ctx context.Context, step *Step) error {
	switch step.Action {
	case Drain:
		return runner.updateTargets(ctx, step, func(target *catalog.Target) { target.Draining = true })
	case AwaitIdle:
		return runner.awaitIdle(ctx, step.Targets)
	case Remove:
		return runner.removeTargets(ctx, step.Targets)
	case LoadWeights:
		return runner.loadWeights(ctx, step)
	case Restore:
		return runner.updateTargets(ctx, step, func(target *catalog.Target) {
			target.Draining = false
			target.Weights = step.Weights
		})
	case BeginRoll:
		return runner.updateModel(ctx, step.Model, func(model *catalog.Model) { model.NextWeights = step.Weights })
	case EndRoll:
		return runner.updateModel(ctx, step.Model, func(model *catalog.Model) {
			model.Weights = step.Weights
			model.NextWeights = ""
		})
	case MarkWithdrawn:
		return runner.withdrawKey(ctx, step.Key)
	}
	return errors.Newf("step %s is not known to this release; run the plan with a newer one", step.Action)
}

// updateObject reads an object, edits it and writes it on condition that it is
// unchanged. It retries after a conflict or a lost reply while the lease is held.
func updateObject[T any](ctx context.Context, runner *Runner, kind catalog.Kind, name string, edit func(*T)) error {
	var lastErr error
	for runner.ensureLease(ctx) {
		object, ok := runner.Fleet.Catalog().Object(kind, name)
		if !ok {
			return errors.Newf("%s %s no longer exists; compute the plan again", kind, name)
		}
		var value T
		if err := json.Unmarshal(object.Spec, &value); err != nil {
			return errors.Wrap(err, "object is not readable; write it again")
		}
		before := fmt.Sprint(value)
		edit(&value)
		if fmt.Sprint(value) == before {
			return nil // an earlier attempt took effect
		}
		lastErr = runner.Fleet.Change(ctx, kind, name, object.Version, value)
		if lastErr == nil {
			return nil
		}
		waitForChange(ctx, nil, true)
	}
	return errors.CombineErrors(errLeaseLost, lastErr)
}

// ensureLease renews the lease if it is about to expire. It returns whether the lease
// is held, and false if the context has ended.
func (runner *Runner) ensureLease(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if time.Until(runner.Lease.Deadline()) > minLeaseTime {
		return true
	}
	return runner.Lease.AcquireOrRenew(ctx)
}

func (runner *Runner) updateTargets(ctx context.Context, step *Step, edit func(*catalog.Target)) error {
	for _, name := range step.Targets {
		if err := updateObject(ctx, runner, catalog.KindTarget, name, edit); err != nil {
			return err
		}
	}
	return nil
}

func (runner *Runner) updateModel(ctx context.Context, name string, edit func(*catalog.Model)) error {
	return updateObject(ctx, runner, catalog.KindModel, name, edit)
}

func (runner *Runner) withdrawKey(ctx context.Context, name string) error {
	return updateObject(ctx, runner, catalog.KindKey, name, func(key *catalog.Key) { key.Withdrawn = true })
}

// awaitIdle waits until the drained targets have no requests. It waits first for
// propagationTime, so that the change has reached every VM, then until the targets report
// no running requests.
func (runner *Runner) awaitIdle(ctx context.Context, names []string) error {
	deadline := time.Now().Add(idleTimeout)
	propagatedAt := time.Now().Add(propagationTime)
	idleCount := 0
	for idleCount < idlePolls {
		if !runner.ensureLease(ctx) {
			return errLeaseLost
		}
		if time.Now().After(deadline) {
			return errors.New("requests still run at the targets; stop them or compute the plan again later")
		}
		idleCount++
		if time.Now().Before(propagatedAt) || !runner.allIdle(ctx, names) {
			idleCount = 0
		}
		waitForChange(ctx, nil, true)
	}
	return nil
}

func (runner *Runner) allIdle(ctx context.Context, names []string) bool {
	for _, name := range names {
		status, err := runner.Fleet.Status(ctx, name)
		if err == nil && status.Running > 0 {
			return false // a target that does not answer counts as idle
		}
	}
	return true
}

func (runner *Runner) removeTargets(ctx context.Context, names []string) error {
	for _, name := range names {
		for {
			if !runner.ensureLease(ctx) {
				return errLeaseLost
			}
			object, ok := runner.Fleet.Catalog().Object(catalog.KindTarget, name)
			if !ok {
				break
			}
			err := runner.Fleet.Delete(ctx, catalog.KindTarget, name, object.Version)
			if err == nil || errors.Is(err, objects.ErrNotFound) {
				break
			}
			waitForChange(ctx, nil, true)
		}
	}
	return nil
}

// loadWeights orders all targets of a step to load weights and checks that they have
// loaded them. It sends orders only while enough lease time remains; their deadline
// is the end of the lease.
func (runner *Runner) loadWeights(ctx context.Context, step *Step) error {
	for attempt := 0; attempt < 5; attempt++ {
		if !runner.ensureLease(ctx) {
			return errLeaseLost
		}
		token, deadline := runner.Lease.Token(), runner.Lease.Deadline()
		var group errgroup.Group
		for _, name := range step.Targets {
			group.Go(func() error { return runner.Fleet.LoadWeights(ctx, name, step.Weights, token, deadline) })
		}
		if err := group.Wait(); err == nil && runner.weightsLoaded(ctx, step) {
			return nil
		}
		waitForChange(ctx, nil, true)
	}
	return errors.Newf("targets %v do not load %s; check them and the weight store", step.Targets, step.Weights)
}

func (runner *Runner) weightsLoaded(ctx context.Context, step *Step) bool {
	for _, name := range step.Targets {
		status, err := runner.Fleet.Status(ctx, name)
		if err != nil || status.Weights != step.Weights {
			return false
		}
	}
	return true
}
