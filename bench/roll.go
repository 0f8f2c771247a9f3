package bench

import (
	"encoding/json"
	"sync"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/operator"
	"github.com/bramleygw/bramleygw/plan"
)

// rollModel is the model whose weights are changed in the roll scenarios.
const rollModel = "round-summary"

// rollByPlan rolls out new weights with a confirmed plan.
func rollByPlan(run *run) {
	client := run.fleet.Operator(run.fleet.VMs[0])
	var item operator.Item
	intent := plan.Intent{Action: plan.RollWeights, Model: rollModel, Weights: "w2"}
	if client.Do("POST", "plans", intent, &item) != nil || client.Do("POST", "plans/"+item.Name+"/confirm", nil, nil) != nil {
		run.recordViolation("the roll was refused")
		return
	}
	if Await(func() bool { return planDone(client, item.Name) }) != nil {
		run.recordViolation("the roll did not end")
	}
}

func planDone(client *operator.Client, id string) bool {
	item, err := client.Get("plans", id)
	var current plan.Plan
	return err == nil && json.Unmarshal(item.Spec, &current) == nil && current.State == plan.Done
}

// rollAtOnce loads the weights on all engines at the same time and then updates the
// configuration. It is the baseline that a plan is compared with.
func rollAtOnce(run *run) {
	client := run.fleet.Operator(run.fleet.VMs[0])
	var group sync.WaitGroup
	for _, engine := range run.fleet.Engines {
		if engine.Model == rollModel {
			group.Go(func() { engine.Load("w2") })
		}
	}
	group.Wait()
	for _, engine := range run.fleet.Engines {
		if engine.Model == rollModel {
			updateObject(client, "targets", engine.Name, func(target *catalog.Target) { target.Weights = "w2" })
		}
	}
	updateObject(client, "models", rollModel, func(model *catalog.Model) { model.Weights = "w2" })
}

// updateObject changes one object. Errors are ignored: their effects show in the
// run's recorder.
func updateObject[T any](client *operator.Client, collection, name string, change func(*T)) {
	item, err := client.Get(collection, name)
	var value T
	if err != nil || json.Unmarshal(item.Spec, &value) != nil {
		return
	}
	change(&value)
	item.Spec, _ = json.Marshal(value) // plain values: cannot fail
	_, _ = client.Update(collection, item)
}

// recordViolation records that the run did not go as required.
func (run *run) recordViolation(what string) {
	run.recorder.mu.Lock()
	defer run.recorder.mu.Unlock()
	run.recorder.violations = append(run.recorder.violations, what)
}
