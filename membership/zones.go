package membership

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// In large fleets VMs exchange heartbeats within their availability zone alone. A
// few VMs of each zone, its speakers, exchange them with those of other zones, and
// tell their own zone what they heard.

const (
	// AliveTime is how old a VM's last heartbeat may be while it counts as alive.
	AliveTime = 1200 * time.Millisecond
	// speakersOfZone is the number of VMs that speak for an availability zone: one
	// may be cut off or end.
	speakersOfZone = 2
)

// Placed notes which availability zone a VM is in, and whether it speaks for it.
func (table *Table) Placed(name, zone string, speaks bool) {
	if name == table.self || zone == "" {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	member := table.member(name)
	member.zone, member.speaks = zone, speaks
}

// Introduced notes a VM that another VM says speaks for its availability zone.
func (table *Table) Introduced(peer Peer, now time.Time) {
	if peer.Name == table.self || !peer.Address.IsValid() {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	member := table.member(peer.Name)
	member.address, member.zone, member.introduced = peer.Address, peer.Zone, now
}

// Layered reports whether the fleet is too large for each VM to tell all others:
// there are more than count, in several availability zones.
func (table *Table) Layered(count int, now time.Time) bool {
	if table.Zone == "" {
		return false
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	peers, apart := 0, 0
	for name, member := range table.members {
		if !table.isPeer(name, member, now) {
			continue
		}
		peers++
		if table.apart(member.zone) {
			apart++
		}
	}
	return peers > count && apart > 0
}

// apart reports whether an availability zone is known to be another one.
func (table *Table) apart(zone string) bool {
	return zone != "" && zone != table.Zone
}

// Partners returns the VMs for the next heartbeats: all, when there are up to
// count; otherwise up to count of the own availability zone in turn, its speakers
// and, for a speaker, those that speak for the other zones.
func (table *Table) Partners(count int, now time.Time) []Peer {
	if !table.Layered(count, now) {
		return table.Next(count, now)
	}
	peers := table.Peers(now)
	var near []Peer
	zones := map[string][]Peer{}
	for _, peer := range peers {
		if table.apart(peer.Zone) {
			zones[peer.Zone] = append(zones[peer.Zone], peer)
		} else {
			near = append(near, peer)
		}
	}
	table.mu.Lock()
	first := table.turn
	table.turn += count
	table.mu.Unlock()
	partners := inTurn(near, first, count)
	speaks := false
	for _, speaker := range table.Speakers(table.Zone, now) {
		switch {
		case speaker.Name == table.self:
			speaks = true
		case !slices.Contains(partners, speaker):
			partners = append(partners, speaker)
		}
	}
	if !speaks {
		return partners
	}
	for zone, known := range zones {
		speakers := table.Speakers(zone, now)
		if len(speakers) == 0 {
			speakers = inTurn(known, first/count*speakersOfZone, speakersOfZone) // any of them knows
		}
		partners = append(partners, speakers...)
	}
	return partners
}

// inTurn returns up to count peers, beginning with a turn.
func inTurn(peers []Peer, first, count int) []Peer {
	next := make([]Peer, 0, min(count, len(peers)))
	for i := range min(count, len(peers)) {
		next = append(next, peers[(first+i)%len(peers)])
	}
	return next
}

// Speakers returns the VMs that speak for an availability zone, as far as this VM
// knows: of its own zone the first in an order that all compute alike of those
// that are alive, itself included; of others those that say so, or are said to.
func (table *Table) Speakers(zone string, now time.Time) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	var speakers []Peer
	if zone == table.Zone {
		speakers = []Peer{{Name: table.self, Zone: zone}}
	}
	for name, member := range table.members {
		if name == table.self || member.zone != zone || !member.address.IsValid() {
			continue
		}
		alive := member.alive(now)
		said := alive && member.speaks || !alive && now.Sub(member.introduced) < AliveTime
		if zone == table.Zone && alive || zone != table.Zone && said {
			speakers = addFirst(speakers, Peer{Name: name, Address: member.address, Zone: zone})
		}
	}
	return speakers
}

// addFirst adds a peer to those that come first, in order, and drops the last when
// there are too many.
func addFirst(speakers []Peer, peer Peer) []Peer {
	digest := prefix.Digest(peer.Name)
	at := len(speakers)
	for at > 0 && digest < prefix.Digest(speakers[at-1].Name) {
		at--
	}
	speakers = slices.Insert(speakers, at, peer)
	return speakers[:min(len(speakers), speakersOfZone)]
}

// alive reports whether the VM was heard not long ago.
func (member *member) alive(now time.Time) bool {
	return member.everSeen && now.Sub(member.heard) < AliveTime
}

// OtherSpeakers returns the VMs that told this one that they speak for other
// availability zones.
func (table *Table) OtherSpeakers(now time.Time) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	var speakers []Peer
	for name, member := range table.members {
		if member.speaks && member.alive(now) && table.apart(member.zone) {
			speakers = append(speakers, Peer{Name: name, Address: member.address, Zone: member.zone})
		}
	}
	return speakers
}

// Speaks reports whether this VM speaks for its availability zone.
func (table *Table) Speaks(now time.Time) bool {
	for _, speaker := range table.Speakers(table.Zone, now) {
		if speaker.Name == table.self {
			return true
		}
	}
	return false
}

// Zones returns the availability zones that are known, this VM's included, in an
// order that all compute alike.
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

// Summary names what a speaker told of its availability zone. Summaries of
// different tellers cannot be compared: each counts since its own start.
type Summary struct {
	Zone string
	// Teller tells the process of the speaker apart from all others.
	Teller string
	// Number grows with each summary of a teller.
	Number uint64
	Made   time.Time
	// VMs is the number of VMs in the zone.
	VMs int
}

// Summaries decides which summary of each availability zone counts. It is safe
// for concurrent use.
type Summaries struct {
	mu    sync.Mutex // guards zones
	zones map[string]Summary
}

// NewSummaries returns no summaries.
func NewSummaries() *Summaries {
	return &Summaries{zones: map[string]Summary{}}
}

// Take reports whether a summary counts: it is the newest of a teller that is
// followed until it falls silent, so that its counts can be compared.
func (summaries *Summaries) Take(summary Summary, now time.Time) bool {
	summaries.mu.Lock()
	defer summaries.mu.Unlock()
	known, ok := summaries.zones[summary.Zone]
	switch {
	case !ok:
	case known.Teller == summary.Teller && known.Number >= summary.Number:
		return false
	case known.Teller != summary.Teller && now.Sub(known.Made) < AliveTime:
		return false
	case known.Teller != summary.Teller && summary.Made.Before(known.Made):
		return false
	}
	summaries.zones[summary.Zone] = summary
	return true
}

// Views returns each summed availability zone like a VM of the name that naming
// gives, heard when its summary was made.
func (summaries *Summaries) Views(naming func(zone string) string, now time.Time) []View {
	summaries.mu.Lock()
	defer summaries.mu.Unlock()
	views := make([]View, 0, len(summaries.zones))
	for zone, known := range summaries.zones {
		views = append(views, View{Name: naming(zone), AvailabilityZone: zone, HeardMS: max(0, now.Sub(known.Made).Milliseconds())})
	}
	return views
}

// Recent reports whether an availability zone was summed up after a time.
func (summaries *Summaries) Recent(zone string, after time.Time) bool {
	summaries.mu.Lock()
	defer summaries.mu.Unlock()
	known, ok := summaries.zones[zone]
	return ok && known.Made.After(after)
}

// VMs returns the number of VMs in the availability zones that were summed up
// after a time.
func (summaries *Summaries) VMs(after time.Time) int {
	summaries.mu.Lock()
	defer summaries.mu.Unlock()
	count := 0
	for _, known := range summaries.zones {
		if known.Made.After(after) {
			count += known.VMs
		}
	}
	return count
}
