package membership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/objects"
)

// Two representatives of a zone report in turn. The newest summary must be used, even if
// the other representative has reported until a moment ago.
func TestNewestSummaryIsAdmitted(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	summaries := NewSummaries()
	for i, test := range []struct {
		origin  string
		number  uint64
		created time.Duration // after the start
		want    bool
	}{
		{"a", 1, 0, true},
		{"b", 1, 100 * time.Millisecond, true},
		{"a", 2, 50 * time.Millisecond, false}, // older than what b reported
		{"a", 3, 300 * time.Millisecond, true},
		{"a", 3, 310 * time.Millisecond, false}, // the same summary by way of another VM
		{"b", 2, 290 * time.Millisecond, false},
	} {
		got := summaries.Admit(Summary{Zone: "zone-1", Origin: test.origin, Number: test.number, Created: start.Add(test.created)})
		if got != test.want {
			t.Errorf("summary %d: got admitted %v, want %v", i, got, test.want)
		}
	}
}

// VMs that start together must choose the same representatives before they have received
// a heartbeat, and live ones once a listed VM turns out to be gone.
func TestStartingVMsChooseTheSameRepresentatives(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	names := []string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	var listed []objects.VM
	addresses := map[string]netip.AddrPort{}
	for i, name := range names {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 1)
		addresses[name] = address
		listed = append(listed, objects.VM{Name: name, AvailabilityZone: "zone-1", Address: address.String(), Role: objects.RoleRouter, State: objects.Live})
	}
	representatives := func(table *Table, now time.Time) [representativesPerZone]string {
		var chosen [representativesPerZone]string
		for i, peer := range table.Representatives("zone-1", now) {
			chosen[i] = peer.Name
		}
		return chosen
	}
	var want [representativesPerZone]string
	for i, name := range names {
		table := NewTable(name, nil, start)
		table.Zone = "zone-1"
		table.UpdateList(listed, start)
		got := representatives(table, start)
		if i == 0 {
			want = got
		}
		if got != want {
			t.Errorf("%s: got %v, want %v as the first VM", name, got, want)
		}
		later := start.Add(LivenessTimeout)
		for _, other := range names {
			if other != want[0] {
				table.RecordHeartbeat(other, addresses[other], 0, later)
			}
		}
		if got := representatives(table, later); name != want[0] && got[0] == want[0] {
			t.Errorf("%s: got %v, want no VM that was never heard", name, got)
		}
	}
}

// Guards against lists of peers, zones and views that are kept after the members changed.
func TestListsFollowMembers(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	address := func(last byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, last}), 1)
	}
	table := NewTable("b", nil, start)
	table.Zone = "z1"
	for _, step := range []struct {
		second int
		name   string
		change func(now time.Time)
		want   string // peers and their zones
		zones  int
	}{
		{0, "none", func(time.Time) {}, "", 1},
		{1, "heartbeats", func(now time.Time) {
			for _, name := range []string{"d", "a", "c"} {
				table.RecordHeartbeat(name, address(name[0]), 0, now)
				table.RecordZone(name, "z1", false)
			}
		}, "a 127.0.0.97:1 z1,c 127.0.0.99:1 z1,d 127.0.0.100:1 z1,", 1},
		{2, "a moves to another zone", func(time.Time) { table.RecordZone("a", "z2", false) }, "a 127.0.0.97:1 z2,c 127.0.0.99:1 z1,d 127.0.0.100:1 z1,", 2},
		{3, "c has another address", func(now time.Time) { table.RecordHeartbeat("c", address(9), 0, now) }, "a 127.0.0.97:1 z2,c 127.0.0.9:1 z1,d 127.0.0.100:1 z1,", 2},
		{4, "d is reported as a representative", func(now time.Time) { table.RecordRepresentative(Peer{"d", address(8), "z3"}, now) }, "a 127.0.0.97:1 z2,c 127.0.0.9:1 z1,d 127.0.0.8:1 z3,", 3},
		{7, "a and c are lost", func(time.Time) {}, "d 127.0.0.8:1 z3,", 3},
		{8, "e is listed", func(now time.Time) {
			table.UpdateList([]objects.VM{{Name: "e", AvailabilityZone: "z2", Address: "127.0.0.5:1", Role: objects.RoleRouter}}, now)
		}, "e 127.0.0.5:1 z2,", 3},
	} {
		now := start.Add(time.Duration(step.second) * time.Second)
		step.change(now)
		peers, grouped := "", len(table.summary(now).local)
		for _, peer := range table.Peers(now) {
			peers += peer.Name + " " + peer.Address.String() + " " + peer.Zone + ","
		}
		for _, others := range table.summary(now).remote {
			grouped += len(others)
		}
		if zones := table.Zones(); peers != step.want || len(zones) != step.zones || grouped != len(table.Peers(now)) {
			t.Errorf("%s: got peers %q, %d in groups, zones %v, want %q and %d zones", step.name, peers, grouped, zones, step.want, step.zones)
		}
		views := table.Views(now)
		for i := range views {
			if view, _ := table.View(views[i].Name, now); view != views[i] || view.Address != table.Address(view.Name).String() || i > 0 && views[i-1].Name >= view.Name {
				t.Errorf("%s: got views %v, want them in order of their names with the present addresses", step.name, views)
			}
		}
	}
}
