package gateway

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
)

// Guards against requests that begin on replaced weights: a process that was frozen takes the
// age in a heartbeat that waited in its socket for the age at the time at which it reads it,
// and tells this to VMs that do not know the time.
func TestHeartbeatReadLateDoesNotMakeNamedWeightsYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		store.put(objects.Weights, 1)
		other := startVM(ctx, "other", store)
		frozenCtx, freeze := context.WithCancel(ctx)
		frozen := startVM(frozenCtx, "frozen", store)
		sleep(time.Second)
		freeze()
		synctest.Wait()
		store.put(objects.Weights, 2)
		sleep(200 * time.Millisecond)
		heartbeat := other.newHeartbeat("")
		sleep(13 * time.Second)
		frozen.HandleHeartbeat(heartbeat)
		restarted := startVM(ctx, "restarted", store)
		synctest.Wait()
		restarted.HandleHeartbeat(frozen.newHeartbeat(""))
		for name, gateway := range map[string]*Gateway{"frozen VM": frozen, "restarted VM": restarted} {
			gateway.HandleHeartbeat(other.newHeartbeat("")) // a prompt one
			if got := gateway.weights.Named("m", time.Now().Add(-weightsBound)); got != 2 {
				t.Errorf("%s: got version %d required of targets, want 2: it was named longer ago than the bound", name, got)
			}
		}
	})
}

// Guards against named weights whose age stays unknown: of two VMs the one with the lower
// name calls, so the other must call once to know when heartbeats were sent. Then the time
// of a naming is right also in a heartbeat that is read late.
func TestNamingHasItsTimeInLateHeartbeatOfKnownVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		lower, higher := startVM(ctx, "vm-0", store), startVM(ctx, "vm-1", newFakeStore())
		lower.Settings.Peer, higher.Settings.Peer = netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
		sleep(time.Minute)
		higher.HandleHeartbeat(lower.newHeartbeat(""))
		if got := len(higher.heartbeatReceivers(time.Now())); got != 1 {
			t.Fatalf("got %d heartbeats to send after the first that was received, want 1", got)
		}
		higher.mergeHeartbeat(lower.HandleHeartbeat(higher.newHeartbeat("")), time.Now())
		if got := len(higher.heartbeatReceivers(time.Now())); got != 0 {
			t.Errorf("got %d heartbeats to send after a reply, want 0", got)
		}
		store.put(objects.Weights, 2)
		synctest.Wait()
		namedAt := time.Now()
		heartbeat := lower.newHeartbeat("")
		sleep(5 * time.Second)
		higher.HandleHeartbeat(heartbeat)
		for _, test := range []struct {
			at   time.Time
			want uint64
		}{{namedAt.Add(-time.Millisecond), 0}, {namedAt, 2}} {
			if got := higher.weights.Named("m", test.at); got != test.want {
				t.Errorf("got version %d in force %v after the naming, want %d", got, test.at.Sub(namedAt), test.want)
			}
		}
		if got := len(higher.heartbeatReceivers(time.Now())); got != 1 {
			t.Errorf("got %d heartbeats to send after a late one, want 1", got)
		}
	})
}

// Guards against targets that are taken out of use too early: VMs tell each other when weights
// were named, each from the earliest time at which a message can have been sent, so that the
// naming appeared earlier with each message.
func TestTimeOfNamingDoesNotDrift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newFakeStore()
		store.put(objects.Configs, 1)
		store.put(objects.Weights, 1)
		vms := []*Gateway{startVM(ctx, "vm-0", store), startVM(ctx, "vm-1", store)}
		sleep(time.Second)
		store.put(objects.Weights, 2)
		synctest.Wait()
		namedAt := time.Now()
		const delay = 20 * time.Millisecond // of a message
		for range namedWeightsSendTime / heartbeatInterval {
			for i, vm := range vms {
				calledAt := time.Now()
				call := vm.newHeartbeat("")
				sleep(delay)
				reply := vms[1-i].HandleHeartbeat(call)
				sleep(delay)
				vm.mergeHeartbeat(reply, calledAt)
			}
			sleep(heartbeatInterval)
		}
		for _, vm := range vms {
			if got := vm.weights.Named("m", namedAt.Add(-membership.MaxSendError)); got != 1 {
				t.Errorf("%s: got version %d in force %v before it was named, want 1", vm.Settings.Name, got, membership.MaxSendError)
			}
		}
	})
}
