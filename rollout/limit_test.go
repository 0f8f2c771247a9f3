package rollout

import (
	"fmt"
	"testing"
	"time"
)

// Guards against polls and orders at a target that rests, and against a roll that takes
// the other targets out of service meanwhile. Rests must not stop a roll either.
func TestRestingTargetsAreNeitherReadyNorGone(t *testing.T) {
	for _, test := range []struct {
		name             string
		targets, resting int
		elapsed          time.Duration
		want             int // orders at once
	}{
		{"none rests", 9, 0, grace, 2},
		{"one of three out of service", 9, 1, grace, 2},
		{"two of three out of service", 9, 2, grace, 1},
		{"all that may be out of service rest", 9, 3, grace / 2, 0},
		{"all that may be out of service rest, and the roll is late", 9, 3, grace, 1},
		{"all rest", 9, 9, grace, 0},
		{"the only other target rests", 2, 1, grace / 2, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var targets []Target
			for i := range test.targets {
				targets = append(targets, Target{
					ID: fmt.Sprint("e", i), Resting: i < test.resting, Models: []Weights{{Model: "m", Version: 1}},
				})
			}
			roll := newSimulation(0, 1).roll
			named := []NamedWeights{{Weights: Weights{Model: "m", Version: 2}, Learned: start.Add(-test.elapsed)}}
			for _, step := range roll.NextSteps(targets, named, start) {
				roll.HandleReport(step.Target, Report{Models: targets[0].Models}, true, start)
			}
			orders := 0
			for _, step := range roll.NextSteps(targets, named, start.Add(time.Millisecond)) {
				for _, target := range targets {
					if target.ID == step.Target && target.Resting {
						t.Errorf("got a step for %s, which rests, want none", step.Target)
					}
				}
				if !step.Poll {
					orders++
				}
			}
			if orders != test.want {
				t.Errorf("got %d orders at once, want %d", orders, test.want)
			}
		})
	}
}
