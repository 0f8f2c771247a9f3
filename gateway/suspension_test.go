package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/objects"
)

// Guards against requests that begin on replaced weights: the clock of a suspended machine
// stands still, so that a naming before or during the suspension seems recent after it.
func TestSuspensionDoesNotMakeNamedWeightsYounger(t *testing.T) {
	const length = 13 * time.Second
	for _, test := range []struct {
		name string
		// run names version 2, suspends the VM and makes it go on.
		run func(vm, other *Gateway, store *fakeStore, suspend func())
		// before is the version in force just before the suspension.
		before uint64
	}{
		{"named before", func(vm, _ *Gateway, store *fakeStore, suspend func()) {
			store.put(objects.Weights, 2)
			synctest.Wait()
			suspend()
			vm.applySuspensions()
		}, 1},
		{"named meanwhile", func(_, _ *Gateway, store *fakeStore, suspend func()) {
			suspend()
			store.put(objects.Weights, 2)
		}, 2}, // unknown counts as long ago
		{"heartbeat of before is read first", func(vm, other *Gateway, store *fakeStore, suspend func()) {
			store.mu.Lock()
			store.hungFrom, store.hungUntil = time.Now(), time.Now().Add(time.Hour)
			store.mu.Unlock()
			other.addNamedWeights("m", 2, sourceWatch, time.Now())
			heartbeat := other.newHeartbeat("")
			suspend()
			vm.HandleHeartbeat(heartbeat)
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				store := newFakeStore()
				store.put(objects.Configs, 1)
				store.put(objects.Weights, 1)
				vm, other := startVM(ctx, "vm", store), startVM(ctx, "other", store)
				suspended := time.Duration(0)
				vm.suspensions.mu.Lock()
				vm.suspensions.read, vm.suspensions.known = func() time.Duration { return suspended }, 0
				vm.suspensions.mu.Unlock()
				sleep(time.Second)
				synctest.Wait()
				vm.mergeHeartbeat(other.HandleHeartbeat(vm.newHeartbeat("")), time.Now())
				test.run(vm, other, store, func() {
					vm.suspensions.mu.Lock()
					suspended = length
					vm.suspensions.mu.Unlock()
				})
				synctest.Wait()
				if got := vm.weights.Named("m", time.Now().Add(-weightsBound)); got != 2 {
					t.Errorf("got version %d required of targets, want 2: it may have been named longer ago than the bound", got)
				}
				if got := vm.weights.Named("m", time.Now().Add(-length-time.Millisecond)); got != test.before {
					t.Errorf("got version %d in force before the suspension, want %d", got, test.before)
				}
			})
		})
	}
}
