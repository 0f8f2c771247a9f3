// Package harness brings up fleets for the scenarios.
//
// # Usage
//
//	fleet, callers := harness.Start(t, bench.Small(3))
//	got := harness.Ask(fleet, callers, fleet.VMs[0], body)
package harness

import (
	"testing"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/completion"
)

// Start brings up a fleet for a test and stops it at its end.
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

// Ask sends a chat request of the first account to a VM.
func Ask(fleet *bench.Fleet, callers *bench.Callers, vm *bench.VM, body []byte) bench.Answer {
	return callers.Send(vm.Settings.Caller.Address, fleet.Layout.Accounts[0].Key, completion.Chat.Path(), body, "")
}

// Await fails the test when the condition does not come to hold.
func Await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	if bench.Await(condition) != nil {
		t.Fatalf("waited in vain for: %s", what)
	}
}

// Running reports whether any VM has a request in flight.
func Running(fleet *bench.Fleet) func() bool {
	return func() bool {
		for _, vm := range fleet.VMs {
			if vm.Router.FleetStatus().Requests > 0 {
				return true
			}
		}
		return false
	}
}
