// Package plan turns an operator's intent into steps and carries them out.
//
// A plan is computed from the configuration and stored in the platform; it
// names the versions that it rests on. Nothing changes until it is confirmed,
// and a plan whose grounds have changed cannot be confirmed. Confirmed steps
// are carried out by the VM that holds the lease; every step may be begun again
// by another VM without doing its effect twice.
// docs/design/plans.md tells what was weighed.
//
// # Usage
//
//	computed, err := plan.Compute(intent, store, now)
//	differences := computed.Stale(store)
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

// Action names what an operator wants, or what a step does.
type Action string

// The intents.
const (
	RetireTarget Action = "retire_target"
	RollWeights  Action = "roll_weights"
	WithdrawKey  Action = "withdraw_key"
)

// The steps.
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

// State is how far a plan or a step is.
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
	// loadsAtOnce is how many engines the weight store serves without slowing.
	loadsAtOnce = 2
	// Expected times of the steps.
	drainSeconds  = 2.0
	loadSeconds   = 0.3
	changeSeconds = 0.1
)

// Intent is what an operator asks for.
type Intent struct {
	Action  Action `json:"action"`
	Target  string `json:"target,omitempty"`
	Model   string `json:"model,omitempty"`
	Weights string `json:"weights,omitempty"`
	Key     string `json:"key,omitempty"`
	// AtOnce overrides how many engines load at a time, 1 or 2.
	AtOnce int `json:"at_once,omitempty"`
}

// Step is one thing to do.
type Step struct {
	Action  Action   `json:"action"`
	Targets []string `json:"targets,omitempty"`
	Model   string   `json:"model,omitempty"`
	Weights string   `json:"weights,omitempty"`
	Key     string   `json:"key,omitempty"`
	State   State    `json:"state"`
	// Seconds is how long it is expected to take.
	Seconds float64 `json:"expected_seconds"`
	// Detail tells why it failed.
	Detail string `json:"detail,omitempty"`
	// VM carried it out.
	VM string `json:"vm,omitempty"`
}

// Ground is an object version that a plan rests on.
type Ground struct {
	ID      string          `json:"id"`
	Version objects.Version `json:"version"`
}

// Plan is the stored object.
type Plan struct {
	ID       string    `json:"id"`
	Intent   Intent    `json:"intent"`
	State    State     `json:"state"`
	Operator string    `json:"operator"`
	Created  time.Time `json:"created"`
	Steps    []Step    `json:"steps"`
	Grounds  []Ground  `json:"rests_on"`
	// Accounts may notice the plan.
	Accounts []string `json:"affected_accounts"`
	// InFlight is the requests that ran at what the plan touches, as seen by
	// the VM that computed it.
	InFlight int `json:"requests_in_flight"`
	// Seconds is how long it is expected to take.
	Seconds float64 `json:"expected_seconds"`
	Note    string  `json:"note,omitempty"`
}

// Check returns the fault of the plan, with its remedy.
func (plan Plan) Check() error {
	if plan.ID == "" {
		return errors.New("id must not be empty")
	}
	return nil
}

// Decode reads a plan's object.
func Decode(object catalog.Object) (Plan, error) {
	var plan Plan
	if err := json.Unmarshal(object.Spec, &plan); err != nil {
		return Plan{}, errors.Wrap(err, "plan is not readable; compute it again")
	}
	return plan, nil
}

// Objects is the configuration that plans are computed from.
type Objects interface {
	Object(kind catalog.Kind, name string) (catalog.Object, bool)
	Snapshot() *catalog.Snapshot
}

// Compute works out the steps for an intent. Refusals: NotFound for something
// that does not exist, Conflict when it would break a floor.
func Compute(intent Intent, objects Objects, now time.Time) (Plan, error) {
	plan := Plan{Intent: intent, State: Proposed, Created: now.UTC().Round(time.Second)}
	var err error
	switch intent.Action {
	case RetireTarget:
		err = plan.retire(objects)
	case RollWeights:
		err = plan.roll(objects)
	case WithdrawKey:
		err = plan.withdraw(objects)
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

func (plan *Plan) ground(objects Objects, kind catalog.Kind, name string) error {
	object, ok := objects.Object(kind, name)
	if !ok {
		return refusal.New(refusal.NotFound, fmt.Sprintf("there is no %s %q; list them to see the names", kind, name))
	}
	plan.Grounds = append(plan.Grounds, Ground{ID: object.ID, Version: object.Version})
	return nil
}

func (plan *Plan) retire(objects Objects) error {
	name := plan.Intent.Target
	if err := plan.ground(objects, catalog.KindTarget, name); err != nil {
		return err
	}
	snapshot := objects.Snapshot()
	target := targetNamed(snapshot, name)
	if model := snapshot.Model(target.Serves); target.Kind == catalog.Engine && model != nil {
		if err := plan.ground(objects, catalog.KindModel, model.Name); err != nil {
			return err
		}
		if left := inService(snapshot, model) - 1; left < max(1, model.MinTargets) {
			return refusal.New(refusal.Conflict, fmt.Sprintf("model %s would be left with %d targets; add one or lower its min_targets", model.Name, left))
		}
		plan.Accounts = accountsOf(snapshot, model)
	}
	one := []string{name}
	plan.Steps = []Step{
		{Action: Drain, Targets: one, Seconds: changeSeconds},
		{Action: AwaitIdle, Targets: one, Seconds: drainSeconds},
		{Action: Remove, Targets: one, Seconds: changeSeconds},
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

func inService(snapshot *catalog.Snapshot, model *catalog.Model) int {
	count := 0
	for _, target := range snapshot.Serving(model.Name) {
		if !target.Draining && (target.Weights == model.Weights || target.Weights == model.NextWeights) {
			count++
		}
	}
	return count
}

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

func (plan *Plan) roll(objects Objects) error {
	intent := plan.Intent
	if err := plan.ground(objects, catalog.KindModel, intent.Model); err != nil {
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
		if err := plan.ground(objects, catalog.KindTarget, target.Name); err != nil {
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
	plan.addRoll(names, batch)
	return nil
}

// batchSize returns how many engines load at a time without going below the
// model's floor.
func batchSize(intent Intent, model *catalog.Model, targets int) (int, error) {
	batch := loadsAtOnce
	if intent.AtOnce == 1 {
		batch = 1
	}
	batch = min(batch, targets-max(1, model.MinTargets))
	if batch < 1 {
		return 0, refusal.New(refusal.Conflict, fmt.Sprintf("model %s has %d targets and must keep %d; add one or lower its min_targets", model.Name, targets, max(1, model.MinTargets)))
	}
	return batch, nil
}

func (plan *Plan) addRoll(names []string, batch int) {
	model, weights := plan.Intent.Model, plan.Intent.Weights
	plan.Steps = append(plan.Steps, Step{Action: BeginRoll, Model: model, Weights: weights, Seconds: changeSeconds})
	for len(names) > 0 {
		group := names[:min(batch, len(names))]
		names = names[len(group):]
		plan.Steps = append(plan.Steps,
			Step{Action: Drain, Targets: group, Seconds: changeSeconds},
			Step{Action: AwaitIdle, Targets: group, Seconds: drainSeconds},
			Step{Action: LoadWeights, Targets: group, Weights: weights, Seconds: loadSeconds},
			Step{Action: Restore, Targets: group, Weights: weights, Seconds: changeSeconds},
		)
	}
	plan.Steps = append(plan.Steps, Step{Action: EndRoll, Model: model, Weights: weights, Seconds: changeSeconds})
}

func (plan *Plan) withdraw(objects Objects) error {
	if err := plan.ground(objects, catalog.KindKey, plan.Intent.Key); err != nil {
		return err
	}
	if key := objects.Snapshot().KeyNamed(plan.Intent.Key); key != nil {
		plan.Accounts = []string{key.Account}
	}
	plan.Steps = []Step{{Action: MarkWithdrawn, Key: plan.Intent.Key, Seconds: changeSeconds}}
	return nil
}

// Stale returns what has changed since the plan was computed, a line each.
func (plan *Plan) Stale(objects Objects) []string {
	var differences []string
	for _, ground := range plan.Grounds {
		probe := catalog.Object{ID: ground.ID}
		object, ok := objects.Object(probe.Kind(), probe.Name())
		switch {
		case !ok:
			differences = append(differences, ground.ID+" no longer exists")
		case object.Version != ground.Version:
			differences = append(differences, fmt.Sprintf("%s is at version %s, the plan rests on %s", ground.ID, object.Version, ground.Version))
		}
	}
	return differences
}

// Next returns the index of the next step, or -1.
func (plan *Plan) Next() int {
	for i, step := range plan.Steps {
		if step.State == Pending {
			return i
		}
	}
	return -1
}

// Active reports whether the plan wants carrying out.
func (plan *Plan) Active() bool {
	return plan.State == Confirmed || plan.State == Stopping
}
