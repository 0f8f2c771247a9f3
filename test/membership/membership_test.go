// Package membership tests VMs and targets that start, stop, leave and fail.
package membership

import (
	"fmt"
	"sync"
	"testing"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/test/harness"
)

// Guarantee: every planned stop is a graceful shutdown that completes the requests
// in flight.
func TestPlannedStopCompletesRequests(t *testing.T) {
	for _, platformDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down %t", platformDown), func(t *testing.T) {
			fleet, callers := harness.Start(t, bench.Small(3))
			if platformDown {
				for _, vm := range fleet.VMs {
					vm.Endpoint.Disconnect()
				}
			}
			leaving := fleet.VMs[0]
			var group sync.WaitGroup
			for i := range 12 {
				group.Go(func() {
					body := bench.Chat("ledger", fmt.Sprint("question ", i), 48, i%2 == 0)
					got := harness.SendChat(fleet, callers, leaving, body)
					if !got.Complete || !bench.MatchesRequest(got.Text, body, "w1") {
						t.Errorf("request %d: got %+v, want the complete answer to its own request", i, got)
					}
				})
			}
			harness.Await(t, "all requests in flight", func() bool { return leaving.Router.FleetStatus().Requests == 12 })
			if err := fleet.Shutdown(leaving); err != nil {
				t.Errorf("got %v, want a clean stop", err)
			}
			group.Wait()
		})
	}
}

// Guarantee: a leaving target receives no new requests after a few seconds.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	cases := []struct {
		name  string
		leave func(*testing.T, *bench.Fleet)
	}{
		{"listed as leaving by the platform", func(_ *testing.T, fleet *bench.Fleet) {
			fleet.Platform.SetVM(objects.VM{Name: fleet.Engines[0].Name, Role: objects.RoleTarget, State: objects.Leaving})
		}},
		{"drained by the operator", func(t *testing.T, fleet *bench.Fleet) {
			client := fleet.Operator(fleet.VMs[0])
			item, err := client.Get("targets", fleet.Engines[0].Name)
			if err != nil {
				t.Fatal(err)
			}
			item.Spec = append(item.Spec[:len(item.Spec)-1:len(item.Spec)-1], `,"draining":true}`...)
			if _, err := client.Update("targets", item); err != nil {
				t.Fatal(err)
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fleet, callers := harness.Start(t, bench.Small(2))
			test.leave(t, fleet)
			leaving := fleet.Engines[0]
			harness.Await(t, "all VMs to see the target as draining", func() bool {
				for _, vm := range fleet.VMs {
					for _, target := range vm.Router.FleetStatus().Targets {
						if target.Name == leaving.Name && !target.Draining {
							return false
						}
					}
				}
				return true
			})
			before := leaving.Prefilled.Load() + leaving.CachedTokens.Load()
			for i := range 12 {
				got := harness.SendChat(fleet, callers, fleet.VMs[i%3], bench.Chat("ledger", fmt.Sprint("question ", i), 8, false))
				if !got.Complete {
					t.Errorf("got %+v, want the other engine's answer", got)
				}
			}
			if got := leaving.Prefilled.Load() + leaving.CachedTokens.Load() - before; got != 0 {
				t.Errorf("got %d tokens at the leaving target, want none", got)
			}
		})
	}
}

// Guarantee: a router that restarts serves immediately, also while the platform is
// down.
func TestRestartServesFromOtherVMs(t *testing.T) {
	fleet, callers := harness.Start(t, bench.Small(2))
	for _, vm := range fleet.VMs {
		vm.Endpoint.Disconnect()
	}
	for _, vm := range fleet.VMs[:2] { // two of three restart together
		if err := fleet.Shutdown(vm); err != nil {
			t.Fatal(err)
		}
	}
	for _, vm := range fleet.VMs[:2] {
		if err := fleet.Boot(vm); err != nil {
			t.Fatal(err)
		}
	}
	for i, vm := range fleet.VMs {
		harness.Await(t, "the VM to be ready", vm.Router.Ready)
		body := bench.Chat("ledger", fmt.Sprint("question ", i), 16, true)
		harness.Await(t, "the VM to answer", func() bool {
			got := harness.SendChat(fleet, callers, vm, body)
			return got.Complete && bench.MatchesRequest(got.Text, body, "w1")
		})
	}
}

// A VM that can reach neither the platform nor a majority of the VMs refuses keyed
// requests as not run and fails the health checks of the load balancer.
func TestIsolatedVMRefuses(t *testing.T) {
	fleet, callers := harness.Start(t, bench.Small(1))
	isolated := fleet.VMs[0]
	// The first VM starts before the others and has no seeds, so it can only notice
	// the loss of VMs that it has seen before.
	harness.Await(t, "the VM to list all others", func() bool {
		listed := 0
		for _, view := range isolated.Router.FleetStatus().VMs {
			if view.Listed {
				listed++
			}
		}
		return listed == len(fleet.VMs)
	})
	isolated.Endpoint.Disconnect()
	for _, vm := range fleet.VMs[1:] {
		if err := fleet.Fail(vm); err != nil {
			t.Fatal(err)
		}
		fleet.Platform.RemoveVM(vm.Settings.Name)
	}
	body := bench.Chat("ledger", "question", 8, false)
	harness.Await(t, "the VM to refuse", func() bool {
		got := harness.SendChat(fleet, callers, isolated, body)
		return got.Refusal == refusal.Isolated && got.Outcome == refusal.NotRun
	})
	health := callers.Send(isolated.Settings.Caller.Address, "", "/healthz", nil, "")
	if health.Status != 503 {
		t.Errorf("got health status %d, want 503", health.Status)
	}
	if err := isolated.Endpoint.Reconnect(); err != nil {
		t.Fatal(err)
	}
	harness.Await(t, "the VM to serve again", func() bool { return harness.SendChat(fleet, callers, isolated, body).Complete })
}

// The rights of a failed VM are taken over once the platform no longer lists it.
func TestRightsOfFailedVMAreTakenOver(t *testing.T) {
	fleet, _ := harness.Start(t, bench.Small(1))
	failed := fleet.VMs[2]
	if err := fleet.Fail(failed); err != nil {
		t.Fatal(err)
	}
	fleet.Platform.RemoveVM(failed.Settings.Name)
	harness.Await(t, "its rights to be taken over", func() bool {
		total := 0
		for _, right := range fleet.VMs[0].Router.FleetStatus().Rights {
			if right.Holder == "" || right.Holder == failed.Settings.Name {
				return false
			}
			total += right.Count
		}
		return total > 0
	})
}
