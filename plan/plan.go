// Package plan computes the steps of an operator's intent and executes them.
//
// A plan is computed from the configuration and stored in the platform, together
// with the versions of the objects that it depends on. Nothing changes until the
// plan is confirmed, and a plan whose dependencies have changed cannot be confirmed.
// The VM that holds the lease executes the steps of confirmed plans. Steps are
// idempotent: another VM may repeat a step without applying its effect twice.
// See docs/design/plans.md for the alternatives that were considered.
//
// # Usage
//
//	computed, err := plan.Compute(intent, store, now)
//	differences := computed.StaleDependencies(store)
//	runner := &plan.Runner{Fleet: fleet, Lease: lease}
//	err = runner.Run(ctx)
package plan

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/refusal"
)

// Action is the kind of an intent or of a step.
type Action string

// The actions of intents.
const (
	RetireTarget Action = "retire_target"
	RollWeights  Action = "roll_weights"
	WithdrawKey  Action = "withdraw_key"
)

// The actions of steps.
const (
	Drain         Action = "drain"
	AwaitIdle     Action = "await_idle"
	Remove        Action = "remove"
	BeginRoll     Action = "begin_roll"
	LoadWeights   Action = "load_weights"
	Restore       Action = "restore"
	EndRoll       Action = "end_roll"
	MarkWithdrawn Action = "mark_withdrawn"
)

// State is the progress of a plan or a step.
type State string

// The states.
const (
	Proposed  State = "proposed"
	Confirmed State = "confirmed"
	Stopping  State = "stopping"
	Stopped   State = "stopped"
	Done      State = "done"
	Failed    State = "failed"
	Pending   State = "pending"
)

const (
	// maxConcurrentLoads is the number of engines that can load at once without
	// slowing down the weight store.
	maxConcurrentLoads = 2
	// Expected durations of the steps, in seconds.
	drainSeconds  = 2.0
	loadSeconds   = 0.3
	changeSeconds = 0.1
)

// Intent is an operator's request for a plan.
type Intent struct {
	Action  Action `json:"action"`
	Target  string `json:"target,omitempty"`
	Model   string `json:"model,omitempty"`
	Weights string `json:"weights,omitempty"`
	Key     string `json:"key,omitempty"`
	// AtOnce overrides the number of engines that load at once; 1 or 2.
	AtOnce int `json:"at_once,omitempty"`
}

// Step is one step of a plan.
type Step struct {
	Action  Action   `json:"action"`
	Targets []string `json:"targets,omitempty"`
	Model   string   `json:"model,omitempty"`
	Weights string   `json:"weights,omitempty"`
	Key     string   `json:"key,omitempty"`
	State   State    `json:"state"`
	// Seconds is the expected duration of the step, in seconds.
	Seconds float64 `json:"expected_seconds"`
	// Detail is the error of a failed step.
	Detail string `json:"detail,omitempty"`
	// VM is the name of the VM that executed the step.
	VM string `json:"vm,omitempty"`
}

// Dependency is a version of an object that a plan was computed from.
type Dependency struct {
	ID      string          `json:"id"`
	Version objects.Version `json:"version"`
}

// Plan is the spec of a plan's stored object.
type Plan struct {
	ID           string       `json:"id"`
	Intent       Intent       `json:"intent"`
	State        State        `json:"state"`
	Operator     string       `json:"operator"`
	Created      time.Time    `json:"created"`
	Steps        []Step       `json:"steps"`
	Dependencies []Dependency `json:"rests_on"`
	// Accounts are the names of the client accounts that the plan may affect.
	Accounts []string `json:"affected_accounts"`
	// InFlight is the number of requests in flight at the targets that the plan
	// changes, as known to the VM that computed it.
	InFlight int `json:"requests_in_flight"`
	// Seconds is the expected duration of the plan, in seconds.
	Seconds float64 `json:"expected_seconds"`
	Note    string  `json:"note,omitempty"`
}

// Check returns an error that names the fault of an invalid plan and its remedy.
func (plan Plan) Check() error {
	if plan.ID == "" {
		return errors.New("id must not be empty")
	}
	return nil
}

// Decode returns the plan that an object holds.
func Decode(object catalog.Object) (Plan, error) {
	var plan Plan
	if err := json.Unmarshal(object.Spec, &plan); err != nil {
		return Plan{}, errors.Wrap(err, "plan is not readable; compute it again")
	}
	return plan, nil
}

// Objects provides the configuration that plans are computed from.
type Objects interface {
	Object(kind catalog.Kind, name string) (catalog.Object, bool)
	Snapshot() *catalog.Snapshot
}

// Compute returns a proposed plan for an intent. It returns a refusal with code
// NotFound if an object does not exist, Conflict if a model would have fewer targets
// than its minimum or another roll of the model is in progress, and BadRequest for an
// invalid intent.
func Compute(intent Intent, objects Objects, now time.Time) (Plan, error) {
	plan := Plan{Intent: intent, State: Proposed, Created: now.UTC().Round(time.Second)}
	var err error
	switch intent.Action {
	case RetireTarget:
		err = plan.computeRetire(objects)
	case RollWeights:
		err = plan.computeRoll(objects)
	case WithdrawKey:
		err = plan.computeWithdraw(objects)
	default:
		err = refusal.New(refusal.BadRequest, "action must be retire_target, roll_weights or withdraw_key")
	}
	if err != nil {
		return Plan{}, err
	}
	for i := range plan.Steps {
		plan.Steps[i].State = Pending
		plan.Seconds += plan.Steps[i].Seconds
	}
	return plan, nil
}

// addDependency adds the current version of an object to the plan's dependencies.
func (plan *Plan) addDependency(objects Objects, kind catalog.Kind, name string) error {
	object, ok := objects.Object(kind, name)
	if !ok {
		return refusal.New(refusal.NotFound, fmt.Sprintf("there is no %s %q; list them to see the names", kind, name))
	}
	plan.Dependencies = append(plan.Dependencies, Dependency{ID: object.ID, Version: object.Version})
	return nil
}

func (plan *Plan) computeRetire(objects Objects) error {
	name := plan.Intent.Target
	if err := plan.addDependency(objects, catalog.KindTarget, name); err != nil {
		return err
	}
	snapshot := objects.Snapshot()
	target := targetNamed(snapshot, name)
	if model := snapshot.Model(target.Serves); target.Kind == catalog.Engine && model != nil {
		if err := plan.addDependency(objects, catalog.KindModel, model.Name); err != nil {
			return err
		}
		if remaining := inService(snapshot, model) - 1; remaining < max(1, model.MinTargets) {
			return refusal.New(refusal.Conflict, fmt.Sprintf("model %s would be left with %d targets; add one or lower its min_targets", model.Name, remaining))
		}
		plan.Accounts = accountsOf(snapshot, model)
	}
	names := []string{name}
	plan.Steps = []Step{
		{Action: Drain, Targets: names, Seconds: changeSeconds},
		{Action: AwaitIdle, Targets: names, Seconds: drainSeconds},
		{Action: Remove, Targets: names, Seconds: changeSeconds},
	}
	return nil
}

func targetNamed(snapshot *catalog.Snapshot, name string) *catalog.Target {
	for _, target := range snapshot.Targets() {
		if target.Name == name {
			return target
		}
	}
	return &catalog.Target{}
}

// inService returns the number of the model's targets that are not draining and
// have its current or next weights.
func inService(snapshot *catalog.Snapshot, model *catalog.Model) int {
	count := 0
	for _, target := range snapshot.Serving(model.Name) {
		if !target.Draining && (target.Weights == model.Weights || target.Weights == model.NextWeights) {
			count++
		}
	}
	return count
}

// accountsOf returns the sorted names of the accounts that may use the model.
func accountsOf(snapshot *catalog.Snapshot, model *catalog.Model) []string {
	var names []string
	for _, account := range snapshot.Accounts() {
		if model.Allows(account.Name) {
			names = append(names, account.Name)
		}
	}
	sort.Strings(names)
	return names
}

func (plan *Plan) computeRoll(objects Objects) error {
	intent := plan.Intent
	if err := plan.addDependency(objects, catalog.KindModel, intent.Model); err != nil {
		return err
	}
	snapshot := objects.Snapshot()
	model := snapshot.Model(intent.Model)
	if intent.Weights == "" || intent.Weights == model.Weights {
		return refusal.New(refusal.BadRequest, "weights must name another version than the one in use")
	}
	if model.NextWeights != "" && model.NextWeights != intent.Weights {
		return refusal.New(refusal.Conflict, "another roll of this model is under way; finish it first")
	}
	var names []string
	for _, target := range snapshot.Serving(model.Name) {
		if err := plan.addDependency(objects, catalog.KindTarget, target.Name); err != nil {
			return err
		}
		if target.Weights != intent.Weights {
			names = append(names, target.Name)
		}
	}
	batch, err := batchSize(intent, model, len(snapshot.Serving(model.Name)))
	if err != nil {
		return err
	}
	plan.Accounts = accountsOf(snapshot, model)
	plan.addRollSteps(names, batch)
	return nil
}

// batchSize returns how many engines may load at once without leaving the model
// with fewer targets than its minimum.
func batchSize(intent Intent, model *catalog.Model, targets int) (int, error) {
	batch := maxConcurrentLoads
	if intent.AtOnce == 1 {
		batch = 1
	}
	batch = min(batch, targets-max(1, model.MinTargets))
	if batch < 1 {
		return 0, refusal.New(refusal.Conflict, fmt.Sprintf("model %s has %d targets and must keep %d; add one or lower its min_targets", model.Name, targets, max(1, model.MinTargets)))
	}
	return batch, nil
}

func (plan *Plan) addRollSteps(names []string, batch int) {
	model, weights := plan.Intent.Model, plan.Intent.Weights
	plan.Steps = append(plan.Steps, Step{Action: BeginRoll, Model: model, Weights: weights, Seconds: changeSeconds})
	for len(names) > 0 {
		batchNames := names[:min(batch, len(names))]
		names = names[len(batchNames):]
		plan.Steps = append(plan.Steps,
			Step{Action: Drain, Targets: batchNames, Seconds: changeSeconds},
			Step{Action: AwaitIdle, Targets: batchNames, Seconds: drainSeconds},
			Step{Action: LoadWeights, Targets: batchNames, Weights: weights, Seconds: loadSeconds},
			Step{Action: Restore, Targets: batchNames, Weights: weights, Seconds: changeSeconds},
		)
	}
	plan.Steps = append(plan.Steps, Step{Action: EndRoll, Model: model, Weights: weights, Seconds: changeSeconds})
}

func (plan *Plan) computeWithdraw(objects Objects) error {
	if err := plan.addDependency(objects, catalog.KindKey, plan.Intent.Key); err != nil {
		return err
	}
	if key := objects.Snapshot().KeyNamed(plan.Intent.Key); key != nil {
		plan.Accounts = []string{key.Account}
	}
	plan.Steps = []Step{{Action: MarkWithdrawn, Key: plan.Intent.Key, Seconds: changeSeconds}}
	return nil
}

// StaleDependencies returns one line for each dependency that has changed since the
// plan was computed.
func (plan *Plan) StaleDependencies(objects Objects) []string {
	var differences []string
	for _, dependency := range plan.Dependencies {
		reference := catalog.Object{ID: dependency.ID}
		object, ok := objects.Object(reference.Kind(), reference.Name())
		switch {
		case !ok:
			differences = append(differences, dependency.ID+" no longer exists")
		case object.Version != dependency.Version:
			differences = append(differences, fmt.Sprintf("%s is at version %s, the plan rests on %s", dependency.ID, object.Version, dependency.Version))
		}
	}
	return differences
}

// NextPending returns the index of the first pending step, or -1 if there is none.
func (plan *Plan) NextPending() int {
	for i, step := range plan.Steps {
		if step.State == Pending {
			return i
		}
	}
	return -1
}

// Active reports whether the runner still has to act on the plan.
func (plan *Plan) Active() bool {
	return plan.State == Confirmed || plan.State == Stopping
}
