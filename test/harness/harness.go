// Package harness starts fleets for the scenario tests.
//
// # Usage
//
//	fleet, callers := harness.Start(t, bench.Small(3))
//	got := harness.SendChat(fleet, callers, fleet.VMs[0], body)
package harness

import (
	"testing"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/completion"
)

// Start starts a fleet for a test and stops it when the test ends.
func Start(t *testing.T, layout bench.Layout) (*bench.Fleet, *bench.Callers) {
	t.Helper()
	fleet, err := bench.Start(layout, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	callers := bench.NewCallers()
	t.Cleanup(callers.Close)
	return fleet, callers
}

// SendChat sends a chat request to a VM with the key of the first account and
// returns the answer.
func SendChat(fleet *bench.Fleet, callers *bench.Callers, vm *bench.VM, body []byte) bench.Answer {
	return callers.Send(vm.Settings.Caller.Address, fleet.Layout.Accounts[0].Key, completion.Chat.Path(), body, "")
}

// Await waits until the condition holds and fails the test if it does not hold in
// time.
func Await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	if bench.Await(condition) != nil {
		t.Fatalf("timed out waiting for: %s", description)
	}
}

// HasInFlight returns a condition for Await: whether any VM has a request in
// flight.
func HasInFlight(fleet *bench.Fleet) func() bool {
	return func() bool {
		for _, vm := range fleet.VMs {
			if vm.Router.FleetStatus().Requests > 0 {
				return true
			}
		}
		return false
	}
}
