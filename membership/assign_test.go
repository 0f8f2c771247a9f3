package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/objects"
)

// Guards against suspects of several VMs at one target, because each VM that has just
// started takes the targets for its own.
func TestStartingVMsAgreeOnAssignments(t *testing.T) {
	for _, test := range []struct{ vms, targets int }{{3, 5}, {8, 9}, {5, 3}, {78, 60}, {295, 153}} {
		t.Run(fmt.Sprintf("%d VMs, %d targets", test.vms, test.targets), func(t *testing.T) {
			var targets []string
			for i := range test.targets {
				targets = append(targets, fmt.Sprint("target-", i))
			}
			var vms []objects.VM
			for i := range test.vms {
				address := fmt.Sprintf("127.0.%d.%d:1", i/250, 1+i%250)
				vms = append(vms, objects.VM{Name: fmt.Sprint("vm-", i), Address: address, Role: objects.RoleRouter, State: objects.Live})
			}
			now := at(0)
			owners := map[string]int{}
			for _, vm := range vms {
				table := NewTable(vm.Name, nil, now)
				table.UpdateList(vms, now)
				assigned := table.Assigned(targets, now.Add(time.Millisecond))
				if least := test.targets / test.vms; len(assigned) < least || len(assigned) > least+1 {
					t.Errorf("%s: got %d targets, want %d or one more", vm.Name, len(assigned), least)
				}
				for target := range assigned {
					owners[target]++
				}
			}
			for _, target := range targets {
				if owners[target] != 1 {
					t.Errorf("%s: got assigned to %d VMs, want 1", target, owners[target])
				}
			}
		})
	}
}
