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
	pollInterval = 250 * time.Millisecond
	// othersWait is how often a VM that is not the preferred one asks for the
	// lease while a plan is active.
	othersWait = 2 * time.Second
	// idlePolls is how often in a row a target must be seen without requests.
	idlePolls = 3
	// idleLimit is the longest wait for a target's requests to end.
	idleLimit = 2 * time.Minute
	// spread is the time that a change needs to reach all VMs.
	spread = 2 * time.Second
	// orderTime must be left of the lease for an order to be sent.
	orderTime = 2 * time.Second
)

// errLeaseLost ends the work of a VM whose lease ran out; another goes on.
var errLeaseLost = errors.New("the lease ran out; another VM goes on with the plan")

// Lease is the right to carry out steps.
type Lease interface {
	Try(ctx context.Context) bool
	Held(now time.Time) bool
	Deadline() time.Time
	Token() uint64
	Release(ctx context.Context)
}

// TargetStatus is what a target says of itself.
type TargetStatus struct {
	Running int
	Weights string
}

// Fleet is what steps act on.
type Fleet interface {
	Catalog() *catalog.Store
	// Change writes a configuration object on condition of its version and
	// makes it known.
	Change(ctx context.Context, kind catalog.Kind, name string, version objects.Version, spec any) error
	// Delete removes an object on condition of its version.
	Delete(ctx context.Context, kind catalog.Kind, name string, version objects.Version) error
	// LoadWeights orders an engine to load; it returns when it has.
	LoadWeights(ctx context.Context, target, weights string, token uint64, deadline time.Time) error
	// Status asks a target.
	Status(ctx context.Context, target string) (TargetStatus, error)
	// Preferred reports whether this VM should carry out plans.
	Preferred() bool
}

// Runner carries out confirmed plans. The exported fields are set before Run.
type Runner struct {
	VM    string
	Fleet Fleet
	Lease Lease
	Log   *event.Log
}

// Run works until the context ends.
func (runner *Runner) Run(ctx context.Context) error {
	var tried time.Time
	for {
		changed := runner.Fleet.Catalog().Changed()
		now := time.Now()
		active := runner.active()
		switch {
		case len(active) == 0:
			if runner.Lease.Held(now) {
				runner.Lease.Release(ctx)
			}
		case runner.Fleet.Preferred() || runner.Lease.Held(now) || now.Sub(tried) >= othersWait:
			tried = now
			if runner.Lease.Try(ctx) {
				runner.work(ctx, active[0])
				continue
			}
		}
		if !pause(ctx, changed, len(active) > 0) {
			return nil
		}
	}
}

// pause waits for a change, or a while when a plan is active.
func pause(ctx context.Context, changed <-chan struct{}, active bool) bool {
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

// stored is a plan with the version of its object.
type stored struct {
	Plan
	version objects.Version
}

// active returns the plans to carry out, the oldest first.
func (runner *Runner) active() []stored {
	var active []stored
	for _, object := range runner.Fleet.Catalog().ObjectsOf(catalog.KindPlan) {
		plan, err := Decode(object)
		if err == nil && plan.Active() {
			active = append(active, stored{Plan: plan, version: object.Version})
		}
	}
	sort.Slice(active, func(i, j int) bool { return active[i].ID < active[j].ID })
	return active
}

// work carries out one step of a plan and records it.
func (runner *Runner) work(ctx context.Context, current stored) {
	index := current.Next()
	if current.State == Stopping || index < 0 {
		current.State = Done
		if index >= 0 {
			current.State = Stopped
		}
		runner.record(ctx, current)
		return
	}
	step := &current.Steps[index]
	err := runner.carryOut(ctx, step)
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
	if current.Next() < 0 && current.State == Confirmed {
		current.State = Done
	}
	runner.record(ctx, current)
}

// record writes the plan's progress. When that fails, the step is begun again,
// here or by another VM.
func (runner *Runner) record(ctx context.Context, current stored) {
	err := runner.Fleet.Change(ctx, catalog.KindPlan, current.ID, current.version, current.Plan)
	if err != nil {
		pause(ctx, nil, true)
	}
}

func (runner *Runner) carryOut(ctx context.Context, step *Step) error {
	switch step.Action {
	case Drain:
		return runner.eachTarget(ctx, step, func(target *catalog.Target) { target.Draining = true })
	case AwaitIdle:
		return runner.awaitIdle(ctx, step.Targets)
	case Remove:
		return runner.remove(ctx, step.Targets)
	case LoadWeights:
		return runner.loadWeights(ctx, step)
	case Restore:
		return runner.eachTarget(ctx, step, func(target *catalog.Target) {
			target.Draining = false
			target.Weights = step.Weights
		})
	case BeginRoll:
		return runner.changeModel(ctx, step.Model, func(model *catalog.Model) { model.NextWeights = step.Weights })
	case EndRoll:
		return runner.changeModel(ctx, step.Model, func(model *catalog.Model) {
			model.Weights = step.Weights
			model.NextWeights = ""
		})
	case MarkWithdrawn:
		return runner.withdraw(ctx, step.Key)
	}
	return errors.Newf("step %s is not known to this release; run the plan with a newer one", step.Action)
}

// change reads an object, edits it and writes it on condition that it is
// unchanged; it begins again after a conflict or a lost answer.
func change[T any](ctx context.Context, runner *Runner, kind catalog.Kind, name string, edit func(*T)) error {
	var last error
	for runner.keepLease(ctx) {
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
			return nil // an earlier try took effect
		}
		last = runner.Fleet.Change(ctx, kind, name, object.Version, value)
		if last == nil {
			return nil
		}
		pause(ctx, nil, true)
	}
	return errors.CombineErrors(errLeaseLost, last)
}

// keepLease renews the lease when little of it is left.
func (runner *Runner) keepLease(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if time.Until(runner.Lease.Deadline()) > orderTime {
		return true
	}
	return runner.Lease.Try(ctx)
}

func (runner *Runner) eachTarget(ctx context.Context, step *Step, edit func(*catalog.Target)) error {
	for _, name := range step.Targets {
		if err := change(ctx, runner, catalog.KindTarget, name, edit); err != nil {
			return err
		}
	}
	return nil
}

func (runner *Runner) changeModel(ctx context.Context, name string, edit func(*catalog.Model)) error {
	return change(ctx, runner, catalog.KindModel, name, edit)
}

func (runner *Runner) withdraw(ctx context.Context, name string) error {
	return change(ctx, runner, catalog.KindKey, name, func(key *catalog.Key) { key.Withdrawn = true })
}

// awaitIdle waits until the drained targets have no requests: first until every
// VM knows that they are draining, then until they say so.
func (runner *Runner) awaitIdle(ctx context.Context, names []string) error {
	limit := time.Now().Add(idleLimit)
	from := time.Now().Add(spread)
	idle := 0
	for idle < idlePolls {
		if !runner.keepLease(ctx) {
			return errLeaseLost
		}
		if time.Now().After(limit) {
			return errors.New("requests still run at the targets; stop them or compute the plan again later")
		}
		idle++
		if time.Now().Before(from) || !runner.allIdle(ctx, names) {
			idle = 0
		}
		pause(ctx, nil, true)
	}
	return nil
}

func (runner *Runner) allIdle(ctx context.Context, names []string) bool {
	for _, name := range names {
		status, err := runner.Fleet.Status(ctx, name)
		if err == nil && status.Running > 0 {
			return false // a target that does not answer runs nothing
		}
	}
	return true
}

func (runner *Runner) remove(ctx context.Context, names []string) error {
	for _, name := range names {
		for {
			if !runner.keepLease(ctx) {
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
			pause(ctx, nil, true)
		}
	}
	return nil
}

// loadWeights orders all targets of a step to load and checks that they did.
// Orders go out only with lease time in hand and end before the lease does.
func (runner *Runner) loadWeights(ctx context.Context, step *Step) error {
	for attempt := 0; attempt < 5; attempt++ {
		if !runner.keepLease(ctx) {
			return errLeaseLost
		}
		token, deadline := runner.Lease.Token(), runner.Lease.Deadline()
		var group errgroup.Group
		for _, name := range step.Targets {
			group.Go(func() error { return runner.Fleet.LoadWeights(ctx, name, step.Weights, token, deadline) })
		}
		if err := group.Wait(); err == nil && runner.loaded(ctx, step) {
			return nil
		}
		pause(ctx, nil, true)
	}
	return errors.Newf("targets %v do not load %s; check them and the weight store", step.Targets, step.Weights)
}

func (runner *Runner) loaded(ctx context.Context, step *Step) bool {
	for _, name := range step.Targets {
		status, err := runner.Fleet.Status(ctx, name)
		if err != nil || status.Weights != step.Weights {
			return false
		}
	}
	return true
}
