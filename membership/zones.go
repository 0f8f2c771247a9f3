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
	if member.zone != zone || member.isRepresentative != isRepresentative {
		table.cached = nil
	}
	table.setZone(member, zone)
	member.isRepresentative = isRepresentative
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
	if member.address != peer.Address || member.zone != peer.Zone || now.Sub(member.reportedRepresentative) >= LivenessTimeout {
		table.cached = nil
	}
	member.setAddress(peer.Address)
	table.setZone(member, peer.Zone)
	member.reportedRepresentative = now
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
	summary := table.summary(now)
	return len(summary.peers) > count && len(summary.remote) > 0
}

// fleetSummary holds what is derived from all members. It is computed once for many
// heartbeats, because each computation takes time in proportion to the fleet.
type fleetSummary struct {
	*peerLists
	until time.Time // when it expires
	// live are those of peers that are alive or may be starting; nil until they are needed.
	live []Peer
	// representatives holds the known representatives by availability zone.
	representatives map[string][]Peer
}

// peerLists holds the peers, ordered by name. Several summaries may share one.
type peerLists struct {
	peers []Peer
	// local are the peers of this VM's zone, remote those of the others, by zone.
	local  []Peer
	remote map[string][]Peer
}

// fleetSummaryMaxAge is how long a fleetSummary is used unless the members change. Within
// this time after a VM counts as dead, it may still be used as a representative.
const fleetSummaryMaxAge = 100 * time.Millisecond

// summary returns the current fleetSummary. The caller holds mu.
func (table *Table) summary(now time.Time) *fleetSummary {
	if table.cached != nil && now.Before(table.cached.until) {
		return table.cached
	}
	if table.lists == nil || !table.listsCurrent(now) {
		table.lists = table.newLists(now)
	}
	summary := &fleetSummary{
		peerLists: table.lists, until: now.Add(fleetSummaryMaxAge),
		representatives: map[string][]Peer{table.Zone: {{Name: table.self, Zone: table.Zone}}},
	}
	for _, member := range table.ordered {
		if member.name != table.self && table.mayRepresent(member, now) {
			summary.representatives[member.zone] = insertRepresentative(summary.representatives[member.zone], member.peer())
		}
	}
	table.cached = summary
	return summary
}

// listsCurrent reports whether the peers are still those of the lists. The caller holds mu.
func (table *Table) listsCurrent(now time.Time) bool {
	rest := table.lists.peers
	for _, member := range table.ordered {
		if !table.isPeer(member.name, member, now) {
			continue
		}
		if len(rest) == 0 || rest[0] != member.peer() {
			return false
		}
		rest = rest[1:]
	}
	return len(rest) == 0
}

// newLists returns the lists of the peers. The caller holds mu.
func (table *Table) newLists(now time.Time) *peerLists {
	lists := &peerLists{peers: make([]Peer, 0, len(table.ordered)), remote: map[string][]Peer{}}
	for _, member := range table.ordered {
		if !table.isPeer(member.name, member, now) {
			continue
		}
		peer := member.peer()
		lists.peers = append(lists.peers, peer)
		if table.isRemote(peer.Zone) {
			lists.remote[peer.Zone] = append(lists.remote[peer.Zone], peer)
		} else {
			lists.local = append(lists.local, peer)
		}
	}
	return lists
}

func (member *member) peer() Peer {
	return Peer{Name: member.name, Address: member.address, Zone: member.zone}
}

// mayStart reports whether a VM may have started together with this one and not have sent
// its first heartbeat yet. Counting such VMs makes VMs that start together choose the same
// representatives from the first heartbeat on.
func (table *Table) mayStart(member *member, now time.Time) bool {
	return member.listed && !member.leaving && !member.hasHeartbeat && now.Sub(table.started) < LivenessTimeout
}

// mayRepresent reports whether a VM may be a representative of its availability zone:
// in this VM's zone if it is alive or may be starting, in others if it is declared as one.
func (table *Table) mayRepresent(member *member, now time.Time) bool {
	if !member.address.IsValid() {
		return false
	}
	alive := table.alive(member, now)
	if member.zone == table.Zone {
		return alive || table.mayStart(member, now)
	}
	return alive && member.isRepresentative || !alive && now.Sub(member.reportedRepresentative) < LivenessTimeout
}

// LivePeers returns the peers whose heartbeats arrive and, while this VM starts, the listed
// ones that may be starting too. In a large fleet, most peers of other availability zones
// are missing. The caller must not change them.
func (table *Table) LivePeers(now time.Time) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	summary := table.summary(now)
	if summary.live != nil {
		return summary.live
	}
	summary.live = []Peer{}
	for _, peer := range summary.peers {
		if member := table.members[peer.Name]; table.alive(member, now) || table.mayStart(member, now) {
			summary.live = append(summary.live, peer)
		}
	}
	return summary.live
}

// isRemote reports whether an availability zone is known and is not this VM's.
func (table *Table) isRemote(zone string) bool {
	return zone != "" && zone != table.Zone
}

// Crowded reports whether there are more than count other VMs in this VM's availability zone
// in a large fleet. Its representatives then forward what its VMs report.
func (table *Table) Crowded(count int, now time.Time) bool {
	if !table.Hierarchical(count, now) {
		return false
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	return len(table.summary(now).local) > count
}

// HeartbeatPeers returns the VMs that receive the next heartbeats. When Hierarchical
// is false, it returns up to count peers in round-robin order. Otherwise it returns up
// to local VMs of this VM's availability zone in round-robin order, the zone's
// representatives and, if this VM is one of them, the representatives of the other
// zones.
func (table *Table) HeartbeatPeers(count, local int, now time.Time) []Peer {
	if !table.Hierarchical(count, now) {
		return table.NextPeers(count, now)
	}
	table.mu.Lock()
	summary := table.summary(now)
	first := table.nextPeer
	table.nextPeer += local
	table.mu.Unlock()
	selected := roundRobin(summary.local, first, local)
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
	for zone, members := range summary.remote {
		representatives := table.Representatives(zone, now)
		if len(representatives) == 0 {
			// Any VM of the zone reports the zone's representatives in its reply.
			representatives = roundRobin(members, first/local*representativesPerZone, representativesPerZone)
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
// their names, so that all VMs compute the same ones. While it starts, it counts listed
// VMs as live. For other zones, they are the VMs
// that declare themselves representatives or are reported as such by others.
func (table *Table) Representatives(zone string, now time.Time) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.summary(now).representatives[zone]
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

// alive reports whether the last heartbeat from the VM is younger than LivenessTimeout. If
// the representatives of its zone have stopped, their last report counts until others have
// taken over: otherwise this VM would take all VMs of its zone for dead.
func (table *Table) alive(member *member, now time.Time) bool {
	if !member.hasHeartbeat {
		return false
	}
	inLastReport := !member.forwarded.IsZero() && member.forwarded.Equal(table.forwardedAt)
	return now.Sub(member.lastHeartbeat) < LivenessTimeout || inLastReport && now.Sub(table.forwardedAt) < heartbeatMaxAge
}

// RemoteRepresentatives returns the live VMs of other availability zones that declared
// themselves representatives to this VM.
func (table *Table) RemoteRepresentatives(now time.Time) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	var representatives []Peer
	for name, member := range table.members {
		if member.isRepresentative && table.alive(member, now) && table.isRemote(member.zone) {
			representatives = append(representatives, Peer{Name: name, Address: member.address, Zone: member.zone})
		}
	}
	return representatives
}

// IsRepresentative reports whether this VM represents its availability zone.
func (table *Table) IsRepresentative(now time.Time) bool {
	return slices.ContainsFunc(table.Representatives(table.Zone, now), func(representative Peer) bool { return representative.Name == table.self })
}

// Zones returns the known availability zones, this VM's included, ordered by the digest
// of their names, so that all VMs compute the same order. The caller must not change them.
func (table *Table) Zones() []string {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.zones != nil {
		return table.zones
	}
	zones := []string{table.Zone}
	for _, member := range table.ordered {
		if member.zone != "" && !slices.Contains(zones, member.zone) {
			zones = append(zones, member.zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool { return prefix.Digest(zones[i]) < prefix.Digest(zones[j]) })
	table.zones = zones
	return zones
}

// Summary identifies a zone summary that a representative sent. Counts in summaries of
// different origins differ because each origin counts since its own start.
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

// Admit stores a summary and reports whether it was admitted. Per zone, only summaries
// that were created later than the last admitted one are, whichever origin they have.
// Of the same origin, only those with a higher number are.
func (summaries *Summaries) Admit(summary Summary) bool {
	summaries.mu.Lock()
	defer summaries.mu.Unlock()
	last, ok := summaries.zones[summary.Zone]
	switch {
	case !ok:
	case last.Origin == summary.Origin && last.Number >= summary.Number:
		return false
	case last.Origin != summary.Origin && !summary.Created.After(last.Created):
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
