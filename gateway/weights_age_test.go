package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/objects"
)

// weightsBound is the platform's bound on the use of replaced weights.
const weightsBound = 6 * time.Second

// Guards against requests that begin on replaced weights: a VM that was not there when a
// version was named took the naming for younger than it was.
func TestVMRequiresWeightsNamedInItsAbsence(t *testing.T) {
	for _, test := range []struct {
		name string
		// named names the version; it returns the VM once that knows the version.
		named func(ctx context.Context, store *fakeStore) *Gateway
	}{
		{"VM restarts", func(ctx context.Context, store *fakeStore) *Gateway {
			store.put(objects.Weights, 2)
			sleep(13 * time.Second)
			return startVM(ctx, "vm", store)
		}},
		{"VM is cut off from the store and the other VMs", func(ctx context.Context, store *fakeStore) *Gateway {
			gateway := startVM(ctx, "vm", store)
			sleep(time.Second)
			store.hang(15 * time.Second)
			store.put(objects.Weights, 2)
			sleep(15 * time.Second)
			return gateway
		}},
		{"VM is cut off from the store and told without the time", func(ctx context.Context, store *fakeStore) *Gateway {
			gateway, otherStore := startVM(ctx, "vm", store), newFakeStore()
			other := startVM(ctx, "other", otherStore)
			sleep(time.Second)
			store.hang(9 * time.Second)
			store.put(objects.Weights, 2)
			otherStore.put(objects.Weights, 2)
			for range 9 * time.Second / heartbeatInterval {
				sleep(heartbeatInterval)
				gateway.HandleHeartbeat(other.newHeartbeat(""))
			}
			return gateway
		}},
		{"VM is cut off and late told without the time", func(ctx context.Context, store *fakeStore) *Gateway {
			gateway, otherStore := startVM(ctx, "vm", store), newFakeStore()
			other := startVM(ctx, "other", otherStore)
			sleep(time.Second)
			store.hang(9 * time.Second)
			store.put(objects.Weights, 2)
			otherStore.put(objects.Weights, 2)
			sleep(6 * time.Second)
			gateway.HandleHeartbeat(other.newHeartbeat(""))
			sleep(3 * time.Second)
			return gateway
		}},
		{"VM is told without the time, and later of a time that is later", func(ctx context.Context, store *fakeStore) *Gateway {
			gateway := startVM(ctx, "vm", store)
			sleep(time.Second)
			gateway.addNamedWeights("m", 2, sourceVM, time.Time{})
			sleep(7 * time.Second)
			gateway.addNamedWeights("m", 2, sourceVM, time.Now())
			return gateway
		}},
		{"VM is cut off and hears another VM before the store", func(ctx context.Context, store *fakeStore) *Gateway {
			gateway, other := startVM(ctx, "vm", store), startVM(ctx, "other", newFakeStore())
			sleep(time.Second)
			store.hang(15 * time.Second)
			store.put(objects.Weights, 2)
			sleep(15 * time.Second)
			gateway.HandleHeartbeat(other.newHeartbeat(""))
			return gateway
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				store := newFakeStore()
				store.put(objects.Configs, 1)
				store.put(objects.Weights, 1)
				gateway := test.named(ctx, store)
				const step = 100 * time.Millisecond
				for range 10 * time.Second / step {
					sleep(step)
					synctest.Wait()
					if newest, _ := gateway.weights.newest(); len(newest) == 0 || newest[0].Version != 2 {
						continue // not received yet
					}
					if got := gateway.weights.Named("m", time.Now().Add(-weightsBound)); got != 2 {
						t.Fatalf("got version %d required of targets, want 2: it was named longer ago than the bound", got)
					}
				}
			})
		})
	}
}

// Guards against refused requests: a VM that restarts soon after a version was named, while
// most targets have the one before, uses these for as long as the other VMs do.
func TestRestartedVMLearnsFromOthersWhenWeightsWereNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		other := startVM(ctx, "other", store)
		sleep(time.Second)
		store.put(objects.Weights, 2)
		synctest.Wait()
		namedAt := time.Now()
		for _, restartAfter := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second} {
			sleep(time.Until(namedAt.Add(restartAfter)))
			restarted := startVM(ctx, "vm", store)
			synctest.Wait()
			if got := restarted.weights.Named("m", namedAt.Add(-time.Hour)); got != 2 {
				t.Errorf("restart after %v: got version %d in force before another VM was heard, want 2", restartAfter, got)
			}
			restarted.HandleHeartbeat(other.newHeartbeat(""))
			if got := restarted.weights.Named("m", namedAt.Add(-time.Millisecond)); got != 0 {
				t.Errorf("restart after %v: got version %d in force before it was named, want 0", restartAfter, got)
			}
			if got := restarted.weights.Named("m", namedAt.Add(time.Millisecond)); got != 2 {
				t.Errorf("restart after %v: got version %d in force after it was named, want 2", restartAfter, got)
			}
		}
	})
}

// Guards against requests that begin on replaced weights: a VM that restarts learns from the
// others when the newest version was named, but not that the one before it is required.
func TestRestartedVMRequiresFormerOfTwoNamedVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		store.put(objects.Weights, 1)
		other := startVM(ctx, "other", store)
		sleep(time.Second)
		store.put(objects.Weights, 2)
		sleep(20 * time.Second)
		store.put(objects.Weights, 3)
		sleep(time.Second)
		restarted := startVM(ctx, "vm", store)
		synctest.Wait()
		restarted.HandleHeartbeat(other.newHeartbeat(""))
		bound := time.Now().Add(-weightsBound)
		if want, got := other.weights.Named("m", bound), restarted.weights.Named("m", bound); got != want {
			t.Errorf("got version %d required of targets, want %d as on the other VM", got, want)
		}
	})
}

// Guards against refused requests: the store was down for all VMs, and weights that are named
// right after it count as old on each of them, so that none uses the targets, which have
// the version before.
func TestWeightsNamedRightAfterOutageAreNotOld(t *testing.T) {
	for _, outage := range []time.Duration{3 * time.Second, 15 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				store := newFakeStore()
				store.put(objects.Configs, 1)
				store.put(objects.Weights, 1)
				vms := []*Gateway{startVM(ctx, "vm-0", store), startVM(ctx, "vm-1", store)}
				sleep(time.Second)
				store.mu.Lock()
				store.downUntil = time.Now().Add(outage)
				store.mu.Unlock()
				exchangeHeartbeats(vms, outage)
				store.put(objects.Weights, 2)
				exchangeHeartbeats(vms, time.Second)
				for _, vm := range vms {
					if got := vm.weights.Named("m", time.Now().Add(-weightsBound+time.Second)); got != 1 {
						t.Errorf("%s: got version %d required of targets 1 s after version 2 was named, want 1", vm.Settings.Name, got)
					}
				}
			})
		})
	}
}

// exchangeHeartbeats lets time pass in which two VMs exchange heartbeats.
func exchangeHeartbeats(vms []*Gateway, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		sleep(min(heartbeatInterval, time.Until(end)))
		synctest.Wait()
		vms[0].mergeHeartbeat(vms[1].HandleHeartbeat(vms[0].newHeartbeat("")), time.Now())
	}
}
