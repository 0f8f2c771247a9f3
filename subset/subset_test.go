package subset

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func names(kind string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprint(kind, "-", i)
	}
	return list
}

// subsets returns the subset of each VM, by VM.
func subsets(vms, targets []string, size int) map[string][]string {
	all := map[string][]string{}
	vms, targets = sortedSet(vms), sortedSet(targets)
	for vm, members := range newAssignment(vms, targets, size).run() {
		all[vms[vm]] = namesOf(members, targets)
	}
	return all
}

// fleets are the sizes of the two customers, the design size and small fleets. In large
// ones a VM knows those of its availability zone alone.
var fleets = []struct{ vms, fleetSize, targets int }{{1, 1, 5}, {6, 6, 9}, {8, 8, 90}, {62, 62, 90}, {21, 62, 90}, {64, 64, 60}, {22, 64, 60}, {114, 340, 600}, {340, 340, 600}}

// Guards against targets that get the requests of many more VMs than others, or of none.
func TestTargetsHaveAboutTheSameNumberOfVMs(t *testing.T) {
	for _, fleet := range fleets {
		vms, targets := names("vm", fleet.vms), names("target", fleet.targets)
		size := Size(fleet.fleetSize, fleet.targets)
		all := subsets(vms, targets, size)
		mean := float64(fleet.vms*size) / float64(fleet.targets)
		counts := map[string]int{}
		for vm, members := range all {
			for _, target := range members {
				counts[target]++
			}
			if slices.Sort(members); len(slices.Compact(members)) != size {
				t.Errorf("%+v: got %d members for %s, want %d", fleet, len(members), vm, size)
			}
		}
		for _, target := range targets {
			if count := counts[target]; float64(count) > mean+1.5 || float64(count) < mean/2 {
				t.Errorf("%+v: got %d VMs for %s, want half of to 1.5 more than the mean %.1f", fleet, count, target, mean)
			}
		}
	}
}

// Guards against connections that are opened because the subsets of many VMs change when
// one VM or target comes or goes. At least as many memberships must change as that VM or
// target has.
func TestFewMembershipsChange(t *testing.T) {
	for _, fleet := range fleets {
		if fleet.vms < 20 {
			continue // nearly all targets are members
		}
		vms, targets := names("vm", fleet.vms), names("target", fleet.targets)
		size := Size(fleet.fleetSize, fleet.targets)
		before := subsets(vms, targets, size)
		coverage := (fleet.vms*size + fleet.targets - 1) / fleet.targets
		for _, test := range []struct {
			name         string
			vms, targets []string
			least        int
		}{
			{"a VM left", vms[1:], targets, size},
			{"a VM came", append(names("new", 1), vms...), targets, size},
			{"a target left", vms, targets[1:], coverage},
			{"a target came", vms, append(names("new", 1), targets...), coverage},
		} {
			moved := 0
			after := subsets(test.vms, test.targets, size)
			for vm, members := range after {
				for _, target := range members {
					if known, ok := before[vm]; ok && !slices.Contains(known, target) {
						moved++
					}
				}
			}
			t.Logf("%+v: %s: %d of %d memberships", fleet, test.name, moved, fleet.vms*size)
			if most := 3 * test.least; moved > most {
				t.Errorf("%+v: %s: got %d new memberships of the others, want at most %d", fleet, test.name, moved, most)
			}
		}
	}
}

// Guards against a VM that hears from no other being without targets, and against names in
// another order making a difference.
func TestMembersDependOnNamesAlone(t *testing.T) {
	vms, targets := names("vm", 5), names("target", 40)
	want := Members("vm-2", vms, targets, 6)
	slices.Reverse(vms)
	slices.Reverse(targets)
	if got := Members("vm-2", vms, targets, 6); !slices.Equal(got, want) {
		t.Errorf("got %v in another order of the names, want %v", got, want)
	}
	for _, alone := range [][]string{nil, {"vm-2"}} {
		if got := Members("vm-2", alone, targets, 6); len(got) != 6 {
			t.Errorf("got %v without other VMs, want 6 targets", got)
		}
	}
	if got := Members("vm-2", vms, targets[:3], 6); len(got) != 3 {
		t.Errorf("got %v of 3 targets, want all", got)
	}
	wide := Widen("vm-2", want, targets, 12)
	if got := slices.Compact(slices.Sorted(slices.Values(wide))); len(got) != 12 || !slices.Equal(wide[:6], want) {
		t.Errorf("got %v widened, want %v and 6 others", wide, want)
	}
}

// Guards against a subset that is too narrow for what the VM sends, and against one that
// changes with each request.
func TestWidthFollowsLoad(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var width Width
	for _, step := range []struct {
		seconds  float64
		inFlight int
		want     int
	}{
		{0, 0, 6}, {1, 24, 6}, {2, 25, 12}, {3, 90, 24}, {4, 0, 24}, {12, 30, 24}, {13.1, 30, 12}, {20, 5, 12}, {23.2, 5, 6},
	} {
		now := start.Add(time.Duration(step.seconds * float64(time.Second)))
		if got := width.Update(6, step.inFlight, now); got != step.want {
			t.Errorf("got %d after %v s with %d requests in flight, want %d", got, step.seconds, step.inFlight, step.want)
		}
	}
}
