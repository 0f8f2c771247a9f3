package membership

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// In large fleets VMs exchange heartbeats within their availability zone only. A few
// VMs of each zone, its representatives, exchange them with the representatives of
// other zones. They forward the zone summaries that they receive, and the addresses of
// the other zones' representatives, to their own zone.

const (
	// LivenessTimeout is how long after its last heartbeat a VM counts as alive.
	LivenessTimeout = 1200 * time.Millisecond
	// representativesPerZone is the number of VMs that represent an availability zone.
	// There are two because one may be unreachable or stop.
	representativesPerZone = 2
)

// RecordZone records a VM's availability zone and whether the VM represents it.
func (table *Table) RecordZone(name, zone string, isRepresentative bool) {
	if name == table.self || zone == "" {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	member := table.member(name)
	member.zone, member.isRepresentative = zone, isRepresentative
}

// RecordRepresentative records a VM that another VM reported as a representative of its
// availability zone.
func (table *Table) RecordRepresentative(peer Peer, now time.Time) {
	if peer.Name == table.self || !peer.Address.IsValid() {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	member := table.member(peer.Name)
	member.address, member.zone, member.reportedRepresentative = peer.Address, peer.Zone, now
}

// Hierarchical reports whether the fleet is too large for each VM to send heartbeats to
// all others: there are more than count peers, and they are in several availability
// zones.
func (table *Table) Hierarchical(count int, now time.Time) bool {
	if table.Zone == "" {
		return false
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	peers, remote := 0, 0
	for name, member := range table.members {
		if !table.isPeer(name, member, now) {
			continue
		}
		peers++
		if table.isRemote(member.zone) {
			remote++
		}
	}
	return peers > count && remote > 0
}

// isRemote reports whether an availability zone is known and is not this VM's.
func (table *Table) isRemote(zone string) bool {
	return zone != "" && zone != table.Zone
}

// HeartbeatPeers returns the VMs that receive the next heartbeats. When Hierarchical
// is false, it returns up to count peers in round-robin order. Otherwise it returns up
// to count VMs of this VM's availability zone in round-robin order, the zone's
// representatives and, if this VM is one of them, the representatives of the other
// zones.
func (table *Table) HeartbeatPeers(count int, now time.Time) []Peer {
	if !table.Hierarchical(count, now) {
		return table.NextPeers(count, now)
	}
	peers := table.Peers(now)
	var local []Peer
	zones := map[string][]Peer{}
	for _, peer := range peers {
		if table.isRemote(peer.Zone) {
			zones[peer.Zone] = append(zones[peer.Zone], peer)
		} else {
			local = append(local, peer)
		}
	}
	table.mu.Lock()
	first := table.nextPeer
	table.nextPeer += count
	table.mu.Unlock()
	selected := roundRobin(local, first, count)
	isRepresentative := false
	for _, representative := range table.Representatives(table.Zone, now) {
		switch {
		case representative.Name == table.self:
			isRepresentative = true
		case !slices.Contains(selected, representative):
			selected = append(selected, representative)
		}
	}
	if !isRepresentative {
		return selected
	}
	for zone, members := range zones {
		representatives := table.Representatives(zone, now)
		if len(representatives) == 0 {
			// Any VM of the zone reports the zone's representatives in its reply.
			representatives = roundRobin(members, first/count*representativesPerZone, representativesPerZone)
		}
		selected = append(selected, representatives...)
	}
	return selected
}

// roundRobin returns up to count peers, beginning at index first modulo their number.
func roundRobin(peers []Peer, first, count int) []Peer {
	selected := make([]Peer, 0, min(count, len(peers)))
	for i := range min(count, len(peers)) {
		selected = append(selected, peers[(first+i)%len(peers)])
	}
	return selected
}

// Representatives returns the known representatives of an availability zone. For this VM's
// zone, they are the first of its live VMs, itself included, ordered by the digest of
// their names, so that all VMs compute the same ones. For other zones, they are the VMs
// that declare themselves representatives or are reported as such by others.
func (table *Table) Representatives(zone string, now time.Time) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	var representatives []Peer
	if zone == table.Zone {
		representatives = []Peer{{Name: table.self, Zone: zone}}
	}
	for name, member := range table.members {
		if name == table.self || member.zone != zone || !member.address.IsValid() {
			continue
		}
		alive := member.alive(now)
		declared := alive && member.isRepresentative || !alive && now.Sub(member.reportedRepresentative) < LivenessTimeout
		if zone == table.Zone && alive || zone != table.Zone && declared {
			representatives = insertRepresentative(representatives, Peer{Name: name, Address: member.address, Zone: zone})
		}
	}
	return representatives
}

// insertRepresentative inserts a peer into the representatives, which are ordered by the
// digest of their names, and drops the last when there are more than
// representativesPerZone.
func insertRepresentative(representatives []Peer, peer Peer) []Peer {
	digest := prefix.Digest(peer.Name)
	index := len(representatives)
	for index > 0 && digest < prefix.Digest(representatives[index-1].Name) {
		index--
	}
	representatives = slices.Insert(representatives, index, peer)
	return representatives[:min(len(representatives), representativesPerZone)]
}

// alive reports whether the last heartbeat from the VM is younger than LivenessTimeout.
func (member *member) alive(now time.Time) bool {
	return member.hasHeartbeat && now.Sub(member.lastHeartbeat) < LivenessTimeout
}

// RemoteRepresentatives returns the live VMs of other availability zones that declared
// themselves representatives to this VM.
func (table *Table) RemoteRepresentatives(now time.Time) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	var representatives []Peer
	for name, member := range table.members {
		if member.isRepresentative && member.alive(now) && table.isRemote(member.zone) {
			representatives = append(representatives, Peer{Name: name, Address: member.address, Zone: member.zone})
		}
	}
	return representatives
}

// IsRepresentative reports whether this VM represents its availability zone.
func (table *Table) IsRepresentative(now time.Time) bool {
	for _, representative := range table.Representatives(table.Zone, now) {
		if representative.Name == table.self {
			return true
		}
	}
	return false
}

// Zones returns the known availability zones, this VM's included, ordered by the digest
// of their names, so that all VMs compute the same order.
func (table *Table) Zones() []string {
	table.mu.Lock()
	defer table.mu.Unlock()
	known := map[string]bool{table.Zone: true}
	zones := []string{table.Zone}
	for _, member := range table.members {
		if member.zone != "" && !known[member.zone] {
			known[member.zone] = true
			zones = append(zones, member.zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool { return prefix.Digest(zones[i]) < prefix.Digest(zones[j]) })
	return zones
}

// Summary identifies a zone summary that a representative sent. Summaries of different
// origins cannot be compared because each origin counts since its own start.
type Summary struct {
	Zone string
	// Origin identifies the representative's process, distinct from all others.
	Origin string
	// Number increases with each summary of an origin.
	Number uint64
	// Created is when the origin created the summary.
	Created time.Time
	// VMs is the number of VMs in the zone.
	VMs int
}

// Summaries holds the last admitted summary of each availability zone. It is safe for
// concurrent use.
type Summaries struct {
	mu    sync.Mutex // guards zones
	zones map[string]Summary
}

// NewSummaries returns an empty Summaries.
func NewSummaries() *Summaries {
	return &Summaries{zones: map[string]Summary{}}
}

// Admit stores a summary and reports whether it was admitted. Per zone, only newer
// summaries of the current origin are admitted, so that counts can be compared. Another
// origin replaces it only when the last admitted summary is at least LivenessTimeout old
// and the new one is no older.
func (summaries *Summaries) Admit(summary Summary, now time.Time) bool {
	summaries.mu.Lock()
	defer summaries.mu.Unlock()
	last, ok := summaries.zones[summary.Zone]
	switch {
	case !ok:
	case last.Origin == summary.Origin && last.Number >= summary.Number:
		return false
	case last.Origin != summary.Origin && now.Sub(last.Created) < LivenessTimeout:
		return false
	case last.Origin != summary.Origin && summary.Created.Before(last.Created):
		return false
	}
	summaries.zones[summary.Zone] = summary
	return true
}

// Views returns one view for each availability zone with a summary. nameOf gives the
// view's name, and the time of its last heartbeat is the time of the summary.
func (summaries *Summaries) Views(nameOf func(zone string) string, now time.Time) []View {
	summaries.mu.Lock()
	defer summaries.mu.Unlock()
	views := make([]View, 0, len(summaries.zones))
	for zone, summary := range summaries.zones {
		views = append(views, View{Name: nameOf(zone), AvailabilityZone: zone, HeartbeatAgeMS: max(0, now.Sub(summary.Created).Milliseconds())})
	}
	return views
}

// HasRecent reports whether an availability zone has a summary created after the given time.
func (summaries *Summaries) HasRecent(zone string, after time.Time) bool {
	summaries.mu.Lock()
	defer summaries.mu.Unlock()
	summary, ok := summaries.zones[zone]
	return ok && summary.Created.After(after)
}

// VMs returns the number of VMs in the availability zones with a summary created after
// the given time.
func (summaries *Summaries) VMs(after time.Time) int {
	summaries.mu.Lock()
	defer summaries.mu.Unlock()
	count := 0
	for _, summary := range summaries.zones {
		if summary.Created.After(after) {
			count += summary.VMs
		}
	}
	return count
}
