package rollout

import (
	"fmt"
	"testing"
	"time"
)

// countOrders returns the number of steps that are orders.
func countOrders(steps []Step) int {
	orders := 0
	for _, step := range steps {
		if !step.Poll {
			orders++
		}
	}
	return orders
}

// Guards against more loads at once than allowed while replies to orders are awaited and
// the targets' order changes with their load.
func TestOrdersInFlightCountAgainstTheLimit(t *testing.T) {
	var targets []Target
	for i := range 9 {
		targets = append(targets, Target{ID: fmt.Sprint("e", i), Running: i, Models: []Weights{{Model: "m", Version: 1}}})
	}
	named := []NamedWeights{{Weights: Weights{Model: "m", Version: 2}, Learned: start.Add(-grace)}}
	roll := newSimulation(0, 1).roll
	for _, step := range roll.NextSteps(targets, named, start) {
		roll.HandleReport(step.Target, Report{Models: targets[0].Models}, true, start)
	}
	now := start.Add(time.Millisecond)
	first := roll.NextSteps(targets, named, now)
	if got := countOrders(first); got != minLoadLimit {
		t.Fatalf("got %d orders, want %d", got, minLoadLimit)
	}
	for i := range targets {
		targets[i].Running = len(targets) - i
	}
	if got := countOrders(roll.NextSteps(targets, named, now.Add(tick))); got != 0 {
		t.Errorf("got %d more orders while %d are in flight, want none", got, minLoadLimit)
	}
	for _, step := range first {
		roll.Withdraw(step.Target)
	}
	if got := countOrders(roll.NextSteps(targets, named, now.Add(2*tick))); got != minLoadLimit {
		t.Errorf("got %d orders after those in flight were not sent, want %d", got, minLoadLimit)
	}
}
