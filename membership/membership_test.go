package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/objects"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func vmList(count int, leaving ...string) []objects.VM {
	var vms []objects.VM
	for i := range count {
		vm := objects.VM{Name: fmt.Sprintf("vm-%d", i+1), Address: fmt.Sprintf("127.0.0.%d:1", i+1), Role: objects.RoleRouter, State: objects.Live}
		for _, name := range leaving {
			if name == vm.Name {
				vm.State = objects.Leaving
			}
		}
		vms = append(vms, vm)
	}
	return vms
}

func TestIsolated(t *testing.T) {
	cases := []struct {
		name string
		vms  int
		// reachable are the VMs whose last heartbeat is 1 s old.
		reachable []string
		// platformAge is the time since the last contact in seconds, 0 for none ever.
		platformAge float64
		want        bool
	}{
		{"platform answers", 6, nil, 1, false},
		{"platform down, heartbeats from all", 6, []string{"vm-2", "vm-3", "vm-4", "vm-5", "vm-6"}, 100, false},
		{"platform down, heartbeats from a bare majority", 6, []string{"vm-2", "vm-3", "vm-4"}, 100, false},
		{"platform down, heartbeats from half", 6, []string{"vm-2", "vm-3"}, 100, true},
		{"platform down, no heartbeat from the other of two VMs", 2, nil, 100, true},
		{"platform down, the only VM", 1, nil, 100, false},
		{"platform never answered, heartbeats from a majority", 3, []string{"vm-2"}, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			now := at(1000)
			table := NewTable("vm-1", nil, epoch)
			table.UpdateList(vmList(test.vms), at(1))
			for _, name := range test.reachable {
				table.RecordHeartbeat(name, netip.AddrPort{}, time.Second, now)
			}
			if test.platformAge > 0 {
				table.RecordPlatformContact(time.Duration(test.platformAge*float64(time.Second)), now)
			}
			if got := table.Isolated(now); got != test.want {
				t.Errorf("got isolated %t, want %t", got, test.want)
			}
		})
	}
}

func TestOldHeartbeatDoesNotEndIsolation(t *testing.T) {
	table := NewTable("vm-1", nil, epoch)
	table.UpdateList(vmList(2), at(1))
	table.RecordHeartbeat("vm-2", netip.AddrPort{}, 10*time.Second, at(100))
	if !table.Isolated(at(100)) {
		t.Error("got not isolated with a heartbeat 10 s old, want isolated")
	}
}

func TestGone(t *testing.T) {
	table := NewTable("vm-1", nil, epoch)
	table.UpdateList(vmList(3), at(1))
	table.RecordPlatformContact(0, at(1))
	if table.Gone("vm-3", at(1000)) {
		t.Error("got a listed VM gone, want not gone however old its last heartbeat is")
	}
	table.UpdateList(vmList(2), at(1001))
	if table.Gone("vm-3", at(1002)) {
		t.Error("got gone 1 s after removal from the list, want not gone before removalDelay")
	}
	if !table.Gone("vm-3", at(1007)) {
		t.Error("got not gone after removalDelay, want gone")
	}
	table.UpdateList(vmList(3), at(1008))
	if table.Gone("vm-3", at(1020)) {
		t.Error("got gone although it is listed again, want not gone")
	}
}

func TestLeavingVMMovesOnlyItsOwnIndices(t *testing.T) {
	tables := map[string]*Table{}
	for _, self := range []string{"vm-1", "vm-2"} {
		table := NewTable(self, nil, epoch)
		table.UpdateList(vmList(6), at(1))
		for _, vm := range vmList(6) {
			table.RecordHeartbeat(vm.Name, netip.AddrPort{}, 0, at(10))
		}
		tables[self] = table
	}
	before := map[int]string{}
	for index := range 256 {
		before[index] = tables["vm-1"].Preferred(index, at(10))
		if got := tables["vm-2"].Preferred(index, at(10)); got != before[index] {
			t.Fatalf("got %s and %s for index %d, want the same from both VMs", before[index], got, index)
		}
	}
	tables["vm-1"].UpdateList(vmList(6, "vm-4"), at(10))
	for index := range 256 {
		got := tables["vm-1"].Preferred(index, at(10))
		if got == "vm-4" || before[index] != "vm-4" && got != before[index] {
			t.Errorf("got %s for index %d, before %s, want only the indices of vm-4 moved", got, index, before[index])
		}
	}
}

func TestNewVMNotPreferredBeforeSettleDelay(t *testing.T) {
	table := NewTable("vm-1", nil, epoch)
	table.UpdateList(vmList(1), at(1))
	table.UpdateList(vmList(2), at(100))
	table.RecordHeartbeat("vm-2", netip.AddrPort{}, 0, at(100.5))
	for index := range 64 {
		if got := table.Preferred(index, at(100.5)); got != "vm-1" {
			t.Fatalf("got %s, want vm-1: the other is listed for less than settleDelay", got)
		}
	}
}

func TestHeartbeatAgesAreBounded(t *testing.T) {
	table := NewTable("vm-1", nil, epoch)
	for _, vm := range vmList(200) {
		table.RecordHeartbeat(vm.Name, netip.AddrPort{}, 0, at(1))
	}
	if got := len(table.HeartbeatAges(at(1))); got != MaxGossipEntries {
		t.Errorf("got %d entries, want %d", got, MaxGossipEntries)
	}
}

func TestNextPeersReturnsAllInRoundRobin(t *testing.T) {
	table := NewTable("vm-1", nil, epoch)
	table.UpdateList(vmList(8), at(1))
	seen := map[string]bool{}
	for range 4 {
		for _, peer := range table.NextPeers(2, at(1)) {
			seen[peer.Name] = true
		}
	}
	if got, want := len(seen), 7; got != want {
		t.Errorf("got %d VMs, want %d", got, want)
	}
}
