package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/rollout"
	"github.com/bramleygw/bramleygw/roster"
)

// Guards against requests that targets reject: the holder notified all VMs of each completed
// load, and in a large fleet VMs missed some of 30 notices a second.
func TestNoticesOfCompletedLoadsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const targets = 153
		rollLoop := newTakeoverFleet(1, 1).loops[0]
		rollLoop.inFlight = map[string]bool{}
		loaded := rollout.Weights{Model: "m", Version: 2}
		for i := range targets {
			rollLoop.gateway.roster.Put(roster.Entry{ID: fmt.Sprint("e", i), Service: "notes", Models: []roster.Model{{Name: "m", Weights: 1}}}, time.Now())
		}
		named := []rollout.NamedWeights{{Weights: loaded, Learned: time.Now()}}
		rollLoop.roll.NextSteps(rollLoop.targets(time.Now()), named, time.Now())
		first, notices := time.Now(), 0
		loadedAt := map[string]time.Time{}
		for i := 0; i < targets || len(rollLoop.loaded) > 0; i++ {
			if i < targets {
				step := rollout.Step{Target: fmt.Sprint("e", i), Weights: loaded, Poll: true}
				rollLoop.handleResult(callResult{step: step, report: &rollout.Report{Models: []rollout.Weights{loaded}}})
				loadedAt[step.Target] = time.Now()
			}
			updates := rollLoop.takeLoaded(time.Now())
			if len(updates) > 0 {
				notices++
			}
			for _, update := range updates {
				if got := time.Since(loadedAt[update.Target]); got > loadedInterval {
					t.Errorf("%s: got notified after %v, want %v at most", update.Target, got, loadedInterval)
				}
				delete(loadedAt, update.Target)
			}
			sleep(rollInterval)
		}
		if got, want := notices, 2+int(time.Since(first)/loadedInterval); got > want {
			t.Errorf("got %d notices, want %d at most", got, want)
		}
		if len(loadedAt) > 0 {
			t.Errorf("got no notice of %v, want one of each", loadedAt)
		}
	})
}
