package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/objects"
)

// Guards against requests that begin on replaced weights: a VM that starts takes requests
// before it has a list of the named weights, and requires no version until then.
func TestVMIsNotReadyBeforeNamedWeightsAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		store.put(objects.Targets, 9000)
		store.put(objects.Weights, 2)
		store.unlisted = objects.Weights
		gateway := startVM(ctx, "vm", store)
		sleep(4 * time.Second)
		synctest.Wait()
		if required := gateway.weights.Named("m", time.Now()); gateway.Ready() && required != 2 {
			t.Errorf("got a ready VM that requires version %d of targets, want one that is not ready or requires 2", required)
		}
	})
}

// Guards against VMs that stay not ready while the store is down: another VM tells which
// weights are named, or that none are.
func TestVMLearnsNamedWeightsFromAnotherVMWithoutStore(t *testing.T) {
	for _, test := range []struct {
		name  string
		named int64 // 0 for none
	}{
		{"weights are named", 2},
		{"no weights are named", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				store := newFakeStore()
				store.put(objects.Configs, 1)
				store.put(objects.Targets, 9000)
				if test.named > 0 {
					store.put(objects.Weights, test.named)
				}
				other := startVM(ctx, "other", store)
				sleep(time.Second)
				store.mu.Lock()
				store.downUntil = time.Now().Add(time.Minute)
				store.mu.Unlock()
				started, third := startVM(ctx, "started", store), startVM(ctx, "third", store)
				for _, step := range []struct{ from, to *Gateway }{{other, started}, {started, third}} {
					fetched, _ := step.from.Objects(0, step.to.mirror.Positions())
					step.to.applyFetched(fetched)
					step.to.HandleHeartbeat(step.from.newHeartbeat(""))
					if got := step.to.weights.Named("m", time.Now()); !step.to.Ready() || got != uint64(test.named) {
						t.Errorf("%s: got ready %t and version %d required, want ready and %d", step.to.Settings.Name, step.to.Ready(), got, test.named)
					}
				}
			})
		})
	}
}

// Guards against requests that begin on replaced weights: heartbeats tell of recent namings
// alone, so they do not make the named weights known.
func TestHeartbeatOfRecentNamingDoesNotMakeWeightsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		store.put(objects.Targets, 9000)
		other := startVM(ctx, "other", store)
		sleep(time.Second)
		store.put(objects.Weights, 2)
		synctest.Wait()
		store.mu.Lock()
		store.unlisted = objects.Weights
		store.mu.Unlock()
		started := startVM(ctx, "vm", store)
		synctest.Wait()
		started.HandleHeartbeat(other.newHeartbeat(""))
		if started.Ready() {
			t.Error("got ready after a heartbeat, want not ready before the objects are fetched")
		}
	})
}
