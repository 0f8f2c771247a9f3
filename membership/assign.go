package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// Assigned returns those of the resources that are assigned to this VM. Each resource is
// assigned to one of the VMs that are listed and not leaving, or were heard lately, as
// evenly as possible. VMs that know the same others agree at once, also right after they
// started, unlike on Preferred.
func (table *Table) Assigned(resources []string, now time.Time) map[string]bool {
	table.mu.Lock()
	var vms []string
	for name, member := range table.members {
		recent := member.hasHeartbeat && now.Sub(member.lastHeartbeat) <= heartbeatMaxAge
		if name != table.self && !member.leaving && (member.listed || recent) {
			vms = append(vms, name)
		}
	}
	table.mu.Unlock()
	return assigned(table.self, vms, resources)
}

// assigned returns the resources that are assigned to a VM which shares them with others.
// Each resource goes to one of the VMs that have the fewest so far, to the first of these
// in rendezvous order.
func assigned(self string, others, resources []string) map[string]bool {
	resources = slices.Clone(resources)
	slices.SortFunc(resources, func(first, second string) int {
		return cmp.Or(cmp.Compare(prefix.Digest(first), prefix.Digest(second)), cmp.Compare(first, second))
	})
	digests := []uint64{prefix.Digest(self)}
	for _, name := range others {
		digests = append(digests, prefix.Digest(name))
	}
	counts := make([]int, len(digests)) // by VM; the first is self
	own := map[string]bool{}
	for _, resource := range resources {
		seed := prefix.Mix(prefix.Digest(resource))
		chosen, best := 0, uint64(0)
		for vm, digest := range digests {
			score := prefix.Mix(seed ^ digest)
			if vm == 0 || counts[vm] < counts[chosen] || counts[vm] == counts[chosen] && score > best {
				chosen, best = vm, score
			}
		}
		counts[chosen]++
		if chosen == 0 {
			own[resource] = true
		}
	}
	return own
}
