package roster

import (
	"net/netip"
	"time"
)

const (
	// isolationThreshold is the number of targets of a service that must have become
	// unreachable, without any that was reached in between, before this VM counts as cut
	// off from the service.
	isolationThreshold = 3
	// confirmationProbes is the number of targets that one call of Probes adds to those
	// of a service to find out whether this VM is cut off from it.
	confirmationProbes = 8
	// A VM that reaches other targets of the service looks for tunnels to the rest from
	// the second failed probe on, with pauses that double from minTunnelPause to
	// maxTunnelPause: most likely these targets are down for all VMs.
	minTunnelPause = 200 * time.Millisecond
	maxTunnelPause = 8 * time.Second
)

// reachable reports whether this VM can connect to the target, directly or through
// another VM.
func (target *Target) reachable() bool {
	return !target.unreachable || target.through.IsValid()
}

// markUnreachable records that the target accepts no direct connections of this VM, and
// schedules a probe at once. It reports whether the target was reachable before.
func (roster *Roster) markUnreachable(target *Target, now time.Time) bool {
	if target.unreachable {
		return false
	}
	target.unreachable, target.failedProbes, target.probeAt = true, 0, now
	target.tunnelAt, target.tunnelSearches = now, 0
	roster.lost[target.entry.Service]++
	roster.signalProbe()
	return true
}

// markReached records that this VM connected to the target directly.
func (roster *Roster) markReached(target *Target) {
	target.unreachable, target.failedProbes, target.through = false, 0, netip.AddrPort{}
	delete(roster.lost, target.entry.Service)
}

// isolated reports whether this VM is cut off from the service rather than some targets
// down: several became unreachable and none was reached in between.
func (roster *Roster) isolated(service string) bool {
	lost := roster.lost[service]
	if lost == 0 || lost >= isolationThreshold {
		return lost > 0
	}
	for _, target := range roster.services[service] {
		if !target.removed && !target.entry.Draining && !target.unreachable {
			return false
		}
	}
	return true
}

// confirmationDue reports whether a target that nothing else is known of should be probed
// because others of its service became unreachable.
func (roster *Roster) confirmationDue(target *Target, now time.Time) bool {
	return roster.lost[target.entry.Service] > 0 && !target.removed && !target.unreachable && target.availability(now) == Available
}

// NeedsTunnel reports whether a VM should be looked for now that reaches the target. It is
// called after a failed probe.
func (roster *Roster) NeedsTunnel(id string, now time.Time) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok || target.removed || !target.unreachable || target.availability(now) != Available {
		return false
	}
	if target.through.IsValid() {
		return target.silent(now)
	}
	if roster.isolated(target.entry.Service) {
		return true
	}
	if target.failedProbes < 2 || now.Before(target.tunnelAt) {
		return false
	}
	pause := minTunnelPause << min(target.tunnelSearches, maxDoublings)
	target.tunnelAt = now.Add(min(pause, maxTunnelPause))
	target.tunnelSearches++
	return true
}

// RecordTunnel records the address of a VM through which the target was reached; an
// invalid one if it was reached through none. It reports whether this changed the target
// from reachable to unreachable or the reverse.
func (roster *Roster) RecordTunnel(id string, through netip.AddrPort, now time.Time) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok || !target.unreachable {
		return false
	}
	wasReachable := target.reachable()
	target.through = through
	if through.IsValid() {
		target.lastReceived = now // what came before says nothing of this way
	}
	return target.reachable() != wasReachable
}

// Tunneled returns the number of targets that are reached through other VMs.
func (roster *Roster) Tunneled() int {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	count := 0
	for _, target := range roster.targets {
		if target.unreachable && target.through.IsValid() {
			count++
		}
	}
	return count
}

// loseTunnel records that the target was not reached through another VM. It reports
// whether the target was reachable before.
func (target *Target) loseTunnel(through netip.AddrPort, now time.Time) bool {
	if target.through != through {
		return false
	}
	target.through, target.probeAt = netip.AddrPort{}, now
	target.roster.signalProbe()
	return true
}

// pathLost reports whether the connections of the assignment's way to the target no longer
// work, although the target may.
func (assignment *Assignment) pathLost() bool {
	target := assignment.target
	return target.unreachable && (!assignment.Through.IsValid() || target.through != assignment.Through)
}
