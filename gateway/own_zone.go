package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/peer"
)

// In a crowded availability zone, one with more VMs than a VM sends heartbeats to in one
// interval, the VMs report to its representatives alone. These reply to each VM with the
// aggregates of the others and with which of them are alive, so that what a VM spends on
// heartbeats does not grow with its zone.

// ownZoneTimeout is the age of the last summary of its own zone at which a VM returns to the
// reports of single VMs: longer than other VMs take to replace a representative that stopped.
const ownZoneTimeout = 2 * membership.LivenessTimeout

// crowded reports whether the representatives of this VM's availability zone forward what its
// VMs report. Releases are judged by what each VM reports of them itself.
func (gateway *Gateway) crowded(now time.Time) bool {
	return gateway.releases == nil && gateway.members.Crowded(maxHeartbeatPeers, now)
}

// forwardsZone reports whether this VM is a representative of a crowded zone.
func (gateway *Gateway) forwardsZone(now time.Time) bool {
	return gateway.crowded(now) && gateway.members.IsRepresentative(now)
}

// reportsTo returns the names of the representatives to which this VM sends a heartbeat in
// each interval, whether or not they send theirs.
func (gateway *Gateway) reportsTo(now time.Time) map[string]bool {
	if !gateway.crowded(now) || gateway.members.IsRepresentative(now) {
		return nil
	}
	reportsTo := map[string]bool{}
	for _, representative := range gateway.members.Representatives(gateway.members.Zone, now) {
		reportsTo[representative.Name] = true
	}
	return reportsTo
}

// addOwnZone adds to a heartbeat for a VM of this VM's zone what the zone's other VMs report, in
// place of what this VM alone does. Representatives tell each other which VMs are alive, since
// each may be cut off from some. The sums take time in proportion to the zone, and are not made
// for a receiver that has those of another representative.
func (gateway *Gateway) addOwnZone(heartbeat *peer.Heartbeat, receiver, zone string, hasSummaries bool, now time.Time) {
	if receiver == "" || zone != gateway.members.Zone || !gateway.crowded(now) {
		return
	}
	representatives := gateway.members.Representatives(zone, now)
	heartbeat.HasSummaries = gateway.zones.fromOther(receiver, now)
	if !heartbeat.IsRepresentative {
		return
	}
	if !hasSummaries {
		heartbeat.PeerAges = toPeerAges(gateway.members.Statuses(now))
	}
	if isAmong(representatives, receiver) {
		return
	}
	if !hasSummaries {
		heartbeat.ZoneSummaries = append(heartbeat.ZoneSummaries, gateway.summarizeZone(receiver, now))
	}
	heartbeat.Spending, heartbeat.Backlogs, heartbeat.Demands, heartbeat.HotPrefixes = nil, nil, nil, nil
}

func isAmong(peers []membership.Peer, name string) bool {
	return slices.ContainsFunc(peers, func(other membership.Peer) bool { return other.Name == name })
}

// disagrees reports whether the sender of a heartbeat takes itself for a representative of this
// VM's zone and this VM does not. It then misses VMs that are alive.
func (gateway *Gateway) disagrees(heartbeat peer.Heartbeat, now time.Time) bool {
	if !heartbeat.IsRepresentative || heartbeat.Zone != gateway.members.Zone || !gateway.crowded(now) {
		return false
	}
	return !isAmong(gateway.members.Representatives(gateway.members.Zone, now), heartbeat.Name)
}

// mergeOwnZone merges the summary of the other VMs of this VM's availability zone. A
// representative receives the reports of the VMs themselves. The others take the summaries of one
// representative at a time: two do not count the same tokens at the same time.
func (gateway *Gateway) mergeOwnZone(summary peer.ZoneSummary, now time.Time) {
	createdAt := now.Add(-summary.Age)
	reporter, _, _ := strings.Cut(summary.Origin, originSeparator)
	if gateway.forwardsZone(now) || gateway.zones.fromOther(reporter, now) || !gateway.zones.own.Admit(toSummary(summary, createdAt)) {
		return
	}
	gateway.zones.setReporter(reporter, now)
	gateway.mergeCounts(summary, createdAt, now)
	if !gateway.zones.forwarded.Swap(true) {
		gateway.dropVMCounts(summary.Zone, now)
	}
}

// updateForwarded returns to the reports of single VMs when this VM has become a
// representative, or when no representative has sent a summary for ownZoneTimeout.
func (gateway *Gateway) updateForwarded(now time.Time) {
	if !gateway.zones.forwarded.Load() {
		return
	}
	zone := gateway.members.Zone
	if gateway.forwardsZone(now) || !gateway.zones.own.HasRecent(zone, now.Add(-ownZoneTimeout)) {
		gateway.zones.forwarded.Store(false)
		gateway.dropCounts(zoneSource(zone), now)
	}
}

// heardTargets returns the targets that lately sent bytes to this VM or, if it is a
// representative of a crowded zone, to any VM of the zone.
func (gateway *Gateway) heardTargets(now time.Time) []peer.HeardTarget {
	if gateway.forwardsZone(now) {
		return toHeard(gateway.roster.HeardByAny(now), now)
	}
	return toHeard(gateway.roster.Heard(now), now)
}

func toPeerAges(statuses []membership.Status) []peer.PeerAge {
	ages := make([]peer.PeerAge, len(statuses))
	for i, status := range statuses {
		ages[i] = peer.PeerAge{Name: status.Name, Address: status.Address, Age: status.Age, PlatformAge: status.PlatformAge}
	}
	return ages
}

func fromPeerAges(ages []peer.PeerAge) []membership.Status {
	statuses := make([]membership.Status, len(ages))
	for i, age := range ages {
		statuses[i] = membership.Status{Name: age.Name, Address: age.Address, Age: age.Age, PlatformAge: age.PlatformAge}
	}
	return statuses
}
