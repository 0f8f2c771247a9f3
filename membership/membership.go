// Package membership knows the VMs of the fleet: the platform's lagging list,
// corrected by heartbeats.
//
// It decides whether this VM is isolated, that is, whether keys may have been
// withdrawn without its knowledge; which VM is preferred for a right; and whom
// to send the next heartbeat to. It does no I/O and takes the time as an
// argument. docs/design/membership.md tells what was weighed.
//
// # Usage
//
//	table := membership.NewTable("vm-1")
//	table.List(vms, now)
//	table.Heard("vm-2", 0, now)
//	if table.Isolated(now) { ... }
package membership

import (
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// heardWithin is how old a heartbeat may be to count.
	heardWithin = 3 * time.Second
	// platformWithin is how old the last answer of the platform may be to count.
	platformWithin = 3 * time.Second
	// settledAfter is how long a VM must be listed before rights move to it.
	settledAfter = 2 * time.Second
	// goneAfter is how long a VM must be off the list before its rights pass on.
	goneAfter = 5 * time.Second
	// GossipEntries bounds what one heartbeat tells of other VMs.
	GossipEntries = 16
)

// member is what is known of one VM.
type member struct {
	address  netip.AddrPort
	zone     string
	listed   bool
	leaving  bool
	since    time.Time // listed or delisted since
	heard    time.Time
	everSeen bool
	version  objects.Version // of its configuration, as it said last
	silence  time.Duration   // since its last contact with the platform
	speaks   bool            // for its availability zone
	// introduced is when another VM last said that it speaks for its zone.
	introduced time.Time
}

// Age tells how long ago a VM was heard.
type Age struct {
	Name string
	Age  time.Duration
}

// Peer is another VM that can be reached.
type Peer struct {
	Name    string
	Address netip.AddrPort
	// Zone is the availability zone; empty when it is not known.
	Zone string
}

// Table is the membership as one VM sees it. It is safe for concurrent use.
type Table struct {
	// Zone is this VM's availability zone. It is set before use where large fleets
	// are to exchange heartbeats by zone.
	Zone string

	self string

	mu       sync.Mutex // guards the fields below
	members  map[string]*member
	seeds    []netip.AddrPort
	started  time.Time
	platform time.Time // last contact, by this VM or told by another
	turn     int
}

// NewTable returns the table of the named VM.
func NewTable(self string, seeds []netip.AddrPort, now time.Time) *Table {
	return &Table{self: self, seeds: seeds, members: map[string]*member{}, started: now}
}

// List takes the platform's list of routers.
func (table *Table) List(vms []objects.VM, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	listed := map[string]bool{}
	for _, vm := range vms {
		address, err := netip.ParseAddrPort(vm.Address)
		if err != nil || vm.Role != objects.RoleRouter {
			continue
		}
		listed[vm.Name] = true
		member := table.member(vm.Name)
		if !member.listed {
			member.listed, member.since = true, now
		}
		member.address = address
		member.zone = vm.AvailabilityZone
		member.leaving = vm.State == objects.Leaving
	}
	for name, member := range table.members {
		if member.listed && !listed[name] {
			member.listed, member.since = false, now
		}
	}
}

func (table *Table) member(name string) *member {
	found, ok := table.members[name]
	if !ok {
		found = &member{}
		table.members[name] = found
	}
	return found
}

// PlatformAnswered notes that the platform answered this VM, or another one
// whose configuration this VM has, so long ago.
func (table *Table) PlatformAnswered(age time.Duration, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if at := now.Add(-age); at.After(table.platform) {
		table.platform = at
	}
}

// PlatformAge returns how long ago the platform was last in contact.
func (table *Table) PlatformAge(now time.Time) time.Duration {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.platform.IsZero() {
		return time.Hour
	}
	return now.Sub(table.platform)
}

// Heard notes that a VM was heard so long ago, by this VM or by another.
func (table *Table) Heard(name string, address netip.AddrPort, age time.Duration, now time.Time) {
	if name == table.self {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	member := table.member(name)
	if address.IsValid() {
		member.address = address
	}
	if at := now.Add(-age); at.After(member.heard) {
		member.heard = at
		member.everSeen = true
	}
}

// Told notes what a VM said of itself.
func (table *Table) Told(name string, version objects.Version, platformAge time.Duration) {
	table.mu.Lock()
	defer table.mu.Unlock()
	member := table.member(name)
	member.version = version
	member.silence = platformAge
}

// View is a VM as another one sees it.
type View struct {
	Name             string          `json:"name"`
	AvailabilityZone string          `json:"availability_zone"`
	Address          string          `json:"address"`
	Listed           bool            `json:"listed"`
	Leaving          bool            `json:"leaving"`
	HeardMS          int64           `json:"heard_ms_ago"`
	Version          objects.Version `json:"config_version"`
	PlatformMS       int64           `json:"platform_ms_ago"`
}

// Views returns all known VMs, ordered by name. HeardMS is -1 for a VM that was
// never heard.
func (table *Table) Views(now time.Time) []View {
	table.mu.Lock()
	defer table.mu.Unlock()
	views := make([]View, 0, len(table.members))
	for name, member := range table.members {
		view := View{
			Name: name, AvailabilityZone: member.zone, Address: member.address.String(), Listed: member.listed,
			Leaving: member.leaving, HeardMS: -1, Version: member.version, PlatformMS: member.silence.Milliseconds(),
		}
		if member.everSeen {
			view.HeardMS = now.Sub(member.heard).Milliseconds()
		}
		views = append(views, view)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Name < views[j].Name })
	return views
}

// Isolated reports whether keys may be withdrawn without this VM's knowledge:
// neither the platform nor a majority of the listed VMs, itself included, was
// heard lately. A VM whose list is empty yet takes its seeds for the list.
func (table *Table) Isolated(now time.Time) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	if !table.platform.IsZero() && now.Sub(table.platform) <= platformWithin {
		return false
	}
	listed, heard := 1, 1
	for name, member := range table.members {
		if name == table.self || !member.listed {
			continue
		}
		listed++
		if member.everSeen && now.Sub(member.heard) <= heardWithin {
			heard++
		}
	}
	if listed == 1 {
		return table.isolatedFromSeeds(now)
	}
	return 2*heard <= listed
}

func (table *Table) isolatedFromSeeds(now time.Time) bool {
	heard := 1
	for _, member := range table.members {
		if member.everSeen && now.Sub(member.heard) <= heardWithin {
			heard++
		}
	}
	return 2*heard <= len(table.seeds)+1
}

// Peers returns the other VMs that are listed or were heard, ordered by name.
func (table *Table) Peers(now time.Time) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	var peers []Peer
	for name, member := range table.members {
		if table.isPeer(name, member, now) {
			peers = append(peers, Peer{Name: name, Address: member.address, Zone: member.zone})
		}
	}
	sort.Slice(peers, func(i, j int) bool { return peers[i].Name < peers[j].Name })
	return peers
}

// isPeer reports whether a member is another VM that is listed, or was heard or
// introduced not long ago. The caller holds mu.
func (table *Table) isPeer(name string, member *member, now time.Time) bool {
	heard := member.everSeen && now.Sub(member.heard) <= heardWithin
	introduced := now.Sub(member.introduced) <= heardWithin
	return name != table.self && member.address.IsValid() && (member.listed || heard || introduced)
}

// Addresses returns where the peers are.
func (table *Table) Addresses(now time.Time) []netip.AddrPort {
	peers := table.Peers(now)
	addresses := make([]netip.AddrPort, len(peers))
	for i, peer := range peers {
		addresses[i] = peer.Address
	}
	return addresses
}

// Next returns up to count peers for the next heartbeats, all in turn.
func (table *Table) Next(count int, now time.Time) []Peer {
	peers := table.Peers(now)
	if len(peers) <= count {
		return peers
	}
	table.mu.Lock()
	first := table.turn
	table.turn += count
	table.mu.Unlock()
	next := make([]Peer, 0, count)
	for i := range count {
		next = append(next, peers[(first+i)%len(peers)])
	}
	return next
}

// Seeds returns the addresses from the settings, for a VM that knows no other.
func (table *Table) Seeds() []netip.AddrPort {
	return table.seeds
}

// Address returns a VM's address, invalid when it is not known.
func (table *Table) Address(name string) netip.AddrPort {
	table.mu.Lock()
	defer table.mu.Unlock()
	if found, ok := table.members[name]; ok {
		return found.address
	}
	return netip.AddrPort{}
}

// Ages returns what a heartbeat tells of other VMs: those heard last.
func (table *Table) Ages(now time.Time) []Age {
	table.mu.Lock()
	defer table.mu.Unlock()
	var ages []Age
	for name, member := range table.members {
		if member.everSeen && now.Sub(member.heard) <= heardWithin {
			ages = append(ages, Age{Name: name, Age: now.Sub(member.heard)})
		}
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i].Age < ages[j].Age })
	return ages[:min(len(ages), GossipEntries)]
}

// Live returns the number of VMs that are listed and not leaving, at least 1.
func (table *Table) Live() int {
	table.mu.Lock()
	defer table.mu.Unlock()
	count := 0
	for _, member := range table.members {
		if member.listed && !member.leaving {
			count++
		}
	}
	return max(1, count)
}

// Listed reports whether the platform lists this VM as staying.
func (table *Table) Listed() bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	found, ok := table.members[table.self]
	return ok && found.listed && !found.leaving
}

// Gone reports whether a VM was listed once and has been off the list for long
// enough that its rights may pass on.
func (table *Table) Gone(name string, now time.Time) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	found, ok := table.members[name]
	if !ok {
		// It left the list before this VM began to look.
		return !table.platform.IsZero() && now.Sub(table.started) >= goneAfter && len(table.members) > 0
	}
	if found.listed {
		return false
	}
	if found.since.IsZero() { // heard, never listed yet
		return now.Sub(table.started) >= goneAfter && now.Sub(found.heard) >= goneAfter
	}
	return now.Sub(found.since) >= goneAfter
}

// Preferred returns the VM that should hold the thing with the given number:
// by rendezvous hashing over the VMs that are listed, staying and settled.
func (table *Table) Preferred(index int, now time.Time) string {
	table.mu.Lock()
	defer table.mu.Unlock()
	key := prefix.Mix(uint64(index) + 1)
	var chosen string
	var best uint64
	for name, member := range table.members {
		settled := name == table.self || now.Sub(member.since) >= settledAfter
		heard := name == table.self || member.everSeen && now.Sub(member.heard) <= heardWithin
		if !member.listed || member.leaving || !settled || !heard {
			continue
		}
		if score := prefix.Mix(key ^ prefix.Digest(name)); chosen == "" || score > best {
			chosen, best = name, score
		}
	}
	return chosen
}
