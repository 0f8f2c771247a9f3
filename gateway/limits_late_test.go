package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/roster"
)

// Guards against limits of targets that are no longer in force: a heartbeat that is read late
// counts as newer than what the target said since, here and on the VMs told of it.
func TestHeartbeatReadLateDoesNotRestoreFormerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		store.put(objects.Targets, 9000)
		other, frozen := startVM(ctx, "other", store), startVM(ctx, "frozen", store)
		sleep(time.Second)
		synctest.Wait()
		target := string(objects.Targets)
		other.roster.MergeLimit(roster.Limit{Target: target, Rate: 5, Learned: time.Now()})
		heartbeat := other.newHeartbeat("")
		sleep(2 * time.Second)
		other.roster.MergeLimit(roster.Limit{Target: target, Rate: 50, Learned: time.Now()})
		sleep(3 * time.Second)
		frozen.HandleHeartbeat(heartbeat)
		frozen.HandleHeartbeat(other.newHeartbeat("")) // a prompt one
		other.HandleHeartbeat(frozen.newHeartbeat(""))
		for name, gateway := range map[string]*Gateway{"frozen VM": frozen, "other VM": other} {
			if limits := gateway.roster.Limits(time.Now()); len(limits) != 1 || limits[0].Rate != 50 {
				t.Errorf("%s: got limits %+v, want the newer one of 50", name, limits)
			}
		}
	})
}
