package membership

import (
	"net/netip"
	"time"
)

// Status is what the last heartbeat of a VM showed.
type Status struct {
	Name    string
	Address netip.AddrPort
	// Age is the time since the heartbeat.
	Age time.Duration
	// PlatformAge is the time since the VM's last contact with the platform.
	PlatformAge time.Duration
}

// Statuses returns the VMs of this VM's availability zone whose heartbeats arrive, for a
// representative to forward to the others.
func (table *Table) Statuses(now time.Time) []Status {
	table.mu.Lock()
	defer table.mu.Unlock()
	var statuses []Status
	for _, peer := range table.summary(now).local {
		member := table.members[peer.Name]
		if age := now.Sub(member.lastHeartbeat); member.hasHeartbeat && age < LivenessTimeout {
			statuses = append(statuses, Status{Name: peer.Name, Address: member.address, Age: age, PlatformAge: member.platformAge})
		}
	}
	return statuses
}

// RecordStatuses records what a representative of this VM's availability zone reported, at a
// time that may be past, of the zone's VMs.
func (table *Table) RecordStatuses(statuses []Status, reportedAt, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.forwardedAt = now
	for _, status := range statuses {
		if status.Name == table.self || !status.Address.IsValid() {
			continue
		}
		member := table.member(status.Name)
		member.forwarded = now
		if heardAt := reportedAt.Add(-status.Age); !member.hasHeartbeat || heardAt.After(member.lastHeartbeat) {
			if member.address != status.Address || member.zone != table.Zone {
				table.cached = nil
			}
			member.setAddress(status.Address)
			table.setZone(member, table.Zone)
			member.platformAge = status.PlatformAge
			member.lastHeartbeat, member.hasHeartbeat = heardAt, true
		}
	}
}

// RecordFailure records that a call to a VM failed. The VM counts as alive only by its own
// heartbeats until a representative reports it again.
func (table *Table) RecordFailure(name string) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if member, ok := table.members[name]; ok && !member.forwarded.IsZero() {
		member.forwarded = time.Time{}
		table.cached = nil
	}
}
