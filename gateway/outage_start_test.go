package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
)

// Guards against targets that are taken for removed: a VM that starts while the store is down
// gets registrations from another VM, and its first list lacks those that have expired.
func TestVMStartedInOutageKeepsExpiredRegistrations(t *testing.T) {
	for _, test := range []struct {
		name    string
		startAt time.Duration // when the VM starts, after the store went down
	}{
		{"VM runs before the outage", -time.Second},
		{"VM starts in the outage", time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				store := newFakeStore()
				store.put(objects.Configs, 1)
				store.put(objects.Configs, 2)
				upAt := time.Now().Add(12 * time.Second)
				var gateway *Gateway
				if test.startAt < 0 {
					gateway = startVM(ctx, "vm", store)
					synctest.Wait()
				}
				store.mu.Lock()
				store.downUntil = upAt
				store.mu.Unlock()
				if gateway == nil {
					sleep(test.startAt)
					gateway = startVM(ctx, "vm", store)
				}
				received := []catalog.Object{{ID: string(objects.Targets) + "/e1", Version: 1, Spec: []byte("9000")}}
				gateway.applyFetched(received)
				sleep(time.Until(upAt.Add(2 * time.Second)))
				synctest.Wait()
				gateway.roster.Remove("e1", time.Now()) // the removal of the expired registration
				if got := gateway.roster.Size(); got != 1 {
					t.Errorf("got %d targets 2 s after the outage, want the one that may register again", got)
				}
			})
		})
	}
}

// Guards against weights that are rolled late: a VM that the store has not answered yet
// does not count as one that may take the lease at once.
func TestVMWithoutAnswerOfStoreDoesNotRankFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		second := startVM(ctx, "vm-0", store)
		sleep(time.Second)
		const latency = 5 * time.Second // of the store's first answer, longer than heartbeats take
		store.mu.Lock()
		store.latency = latency
		store.mu.Unlock()
		first := startVM(ctx, "vm-1", store) // ranks before vm-0
		for _, want := range []int{0, 1} {
			second.HandleHeartbeat(first.newHeartbeat(""))
			if got := second.rank(time.Now()); got != want {
				t.Errorf("got rank %d, want %d", got, want)
			}
			sleep(latency + time.Second)
			synctest.Wait()
		}
	})
}
