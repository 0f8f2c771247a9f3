// Package membership tracks the VMs of the fleet. It combines the platform's
// list, which lags, with heartbeats, which correct it.
//
// It decides whether this VM is isolated, that is, whether keys may have been
// withdrawn without its knowledge; which VM is preferred as the holder of a
// right; and which VMs receive the next heartbeats. It does no I/O and takes the
// time as an argument. The design and its alternatives are described in
// docs/design/membership.md.
//
// # Usage
//
//	table := membership.NewTable("vm-1", seeds, now)
//	table.UpdateList(vms, now)
//	table.RecordHeartbeat("vm-2", address, 0, now)
//	if table.Isolated(now) { ... }
package membership

import (
	"iter"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// heartbeatMaxAge is the age above which a heartbeat is ignored.
	heartbeatMaxAge = 3 * time.Second
	// platformMaxAge is the age above which the platform's last answer is ignored.
	platformMaxAge = 3 * time.Second
	// settleDelay is how long a VM must be listed before it can be preferred for rights.
	settleDelay = 2 * time.Second
	// removalDelay is how long a VM must be off the list before another VM may take
	// over its rights.
	removalDelay = 5 * time.Second
	// MaxGossipEntries is the maximum number of other VMs reported in one heartbeat.
	MaxGossipEntries = 16
)

// member is the state of one VM.
type member struct {
	name        string
	address     netip.AddrPort
	addressText string
	zone        string
	listed      bool
	leaving     bool
	// listedChanged is when the VM was last added to or removed from the list.
	listedChanged time.Time
	lastHeartbeat time.Time
	hasHeartbeat  bool
	version       objects.Version // configuration version that it last reported
	platformAge   time.Duration   // time since its last contact with the platform
	// isRepresentative is set when the VM represents its availability zone.
	isRepresentative bool
	// reportedRepresentative is when another VM last reported this one as a
	// representative of its zone.
	reportedRepresentative time.Time
	// forwarded is when a representative last reported the VM as alive; zero if a call to
	// it has failed since.
	forwarded time.Time
}

// HeartbeatAge is the age of a VM's last heartbeat.
type HeartbeatAge struct {
	Name string
	Age  time.Duration
}

// Peer is another VM with a known address.
type Peer struct {
	Name    string
	Address netip.AddrPort
	// Zone is the availability zone; empty when unknown.
	Zone string
}

// Table is the membership as one VM sees it. It is safe for concurrent use.
type Table struct {
	// Zone is this VM's availability zone. It must be set before first use to enable
	// heartbeat exchange by zone in large fleets.
	Zone string

	self string

	mu      sync.Mutex // guards the fields below
	members map[string]*member
	ordered []*member // by name
	zones   []string  // result of Zones; nil after a VM's zone changed
	seeds   []netip.AddrPort
	started time.Time
	// platformContact is the last contact with the platform, by this VM or as
	// reported by another one.
	platformContact time.Time
	nextPeer        int // round-robin position, taken modulo the number of peers
	// forwardedAt is when a representative of this VM's zone last reported the VMs that
	// are alive there.
	forwardedAt time.Time
	// cached is the last summary of the members; nil after they changed.
	cached *fleetSummary
	lists  *peerLists // of the last summary; nil before
}

// NewTable returns the table of the named VM.
func NewTable(self string, seeds []netip.AddrPort, now time.Time) *Table {
	return &Table{self: self, seeds: seeds, members: map[string]*member{}, started: now}
}

// UpdateList replaces the membership list by the platform's list of VMs. VMs that are not
// routers or have no valid address are ignored.
func (table *Table) UpdateList(vms []objects.VM, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.cached = nil
	listed := map[string]bool{}
	for _, vm := range vms {
		address, err := netip.ParseAddrPort(vm.Address)
		if err != nil || vm.Role != objects.RoleRouter {
			continue
		}
		listed[vm.Name] = true
		member := table.member(vm.Name)
		if !member.listed {
			member.listed, member.listedChanged = true, now
		}
		member.setAddress(address)
		table.setZone(member, vm.AvailabilityZone)
		member.leaving = vm.State == objects.Leaving
	}
	for name, member := range table.members {
		if member.listed && !listed[name] {
			member.listed, member.listedChanged = false, now
		}
	}
}

// member returns the named member, created when missing. The caller holds mu.
func (table *Table) member(name string) *member {
	found, ok := table.members[name]
	if !ok {
		found = &member{name: name, addressText: netip.AddrPort{}.String()}
		table.members[name] = found
		index, _ := slices.BinarySearchFunc(table.ordered, name, func(member *member, name string) int { return strings.Compare(member.name, name) })
		table.ordered = slices.Insert(table.ordered, index, found)
	}
	return found
}

func (member *member) setAddress(address netip.AddrPort) {
	if member.address != address {
		member.address, member.addressText = address, address.String()
	}
}

// setZone sets a VM's availability zone. The caller holds mu.
func (table *Table) setZone(member *member, zone string) {
	if member.zone != zone {
		member.zone, table.zones = zone, nil
	}
}

// RecordPlatformContact records the time, age before now, at which the platform answered
// this VM or another one whose configuration this VM has.
func (table *Table) RecordPlatformContact(age time.Duration, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if at := now.Add(-age); at.After(table.platformContact) {
		table.platformContact = at
	}
}

// PlatformAge returns the time since the last contact with the platform; one hour
// when there has been none.
func (table *Table) PlatformAge(now time.Time) time.Duration {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.platformContact.IsZero() {
		return time.Hour
	}
	return now.Sub(table.platformContact)
}

// RecordHeartbeat records that this VM or another one received a heartbeat from the
// named VM age ago. An invalid address leaves the known one unchanged.
func (table *Table) RecordHeartbeat(name string, address netip.AddrPort, age time.Duration, now time.Time) {
	if name == table.self {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	member := table.member(name)
	if address.IsValid() && address != member.address || !member.hasHeartbeat && !member.listed {
		table.cached = nil
	}
	if address.IsValid() {
		member.setAddress(address)
	}
	if at := now.Add(-age); at.After(member.lastHeartbeat) {
		member.lastHeartbeat = at
		member.hasHeartbeat = true
	}
}

// RecordStatus records the configuration version and the platform age that a VM reported.
func (table *Table) RecordStatus(name string, version objects.Version, platformAge time.Duration) {
	table.mu.Lock()
	defer table.mu.Unlock()
	member := table.member(name)
	member.version = version
	member.platformAge = platformAge
}

// View is the state of a VM as seen by this one.
type View struct {
	Name             string          `json:"name"`
	AvailabilityZone string          `json:"availability_zone"`
	Address          string          `json:"address"`
	Listed           bool            `json:"listed"`
	Leaving          bool            `json:"leaving"`
	HeartbeatAgeMS   int64           `json:"heard_ms_ago"`
	Version          objects.Version `json:"config_version"`
	PlatformAgeMS    int64           `json:"platform_ms_ago"`
	// Alive reports whether the VM counts as alive, by its own heartbeats or by the last
	// report of a representative.
	Alive bool `json:"-"`
}

// All iterates over all known VMs, ordered by name. HeartbeatAgeMS is -1 for a VM from
// which no heartbeat was ever received. The loop holds the lock of the table: it must not use
// the table, nor wait for what may use it.
func (table *Table) All(now time.Time) iter.Seq[View] {
	return func(yield func(View) bool) {
		table.mu.Lock()
		defer table.mu.Unlock()
		for _, member := range table.ordered {
			if !yield(table.view(member, now)) {
				return
			}
		}
	}
}

// Views returns all known VMs like All.
func (table *Table) Views(now time.Time) []View {
	table.mu.Lock()
	defer table.mu.Unlock()
	views := make([]View, len(table.ordered))
	for i, member := range table.ordered {
		views[i] = table.view(member, now)
	}
	return views
}

// View returns the named VM, or false if it is not known.
func (table *Table) View(name string, now time.Time) (View, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	member, ok := table.members[name]
	if !ok {
		return View{}, false
	}
	return table.view(member, now), true
}

// view returns a VM. The caller holds mu.
func (table *Table) view(member *member, now time.Time) View {
	view := View{
		Name: member.name, AvailabilityZone: member.zone, Address: member.addressText, Listed: member.listed,
		Leaving: member.leaving, HeartbeatAgeMS: -1, Version: member.version, PlatformAgeMS: member.platformAge.Milliseconds(),
		Alive: table.alive(member, now),
	}
	if member.hasHeartbeat {
		view.HeartbeatAgeMS = now.Sub(member.lastHeartbeat).Milliseconds()
	}
	return view
}

// Isolated reports whether keys may have been withdrawn without this VM's
// knowledge: it has had recent contact neither with the platform nor with a majority
// of the listed VMs, itself included. While no other VM is listed, it counts its
// seeds instead.
func (table *Table) Isolated(now time.Time) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	if !table.platformContact.IsZero() && now.Sub(table.platformContact) <= platformMaxAge {
		return false
	}
	listed, reachable := 1, 1
	for name, member := range table.members {
		if name == table.self || !member.listed {
			continue
		}
		listed++
		if member.hasHeartbeat && now.Sub(member.lastHeartbeat) <= heartbeatMaxAge {
			reachable++
		}
	}
	if listed == 1 {
		return table.isolatedFromSeeds(now)
	}
	return 2*reachable <= listed
}

// isolatedFromSeeds is Isolated with the seeds as the list. The caller holds mu.
func (table *Table) isolatedFromSeeds(now time.Time) bool {
	reachable := 1
	for _, member := range table.members {
		if member.hasHeartbeat && now.Sub(member.lastHeartbeat) <= heartbeatMaxAge {
			reachable++
		}
	}
	return 2*reachable <= len(table.seeds)+1
}

// Peers returns the other VMs that are listed, sent a recent heartbeat or were
// recently reported as representatives, ordered by name. The caller must not change
// them.
func (table *Table) Peers(now time.Time) []Peer {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.summary(now).peers
}

// isPeer reports whether a member is another VM with a valid address that is
// listed, sent a recent heartbeat or was recently reported as a representative. The
// caller holds mu.
func (table *Table) isPeer(name string, member *member, now time.Time) bool {
	recent := member.hasHeartbeat && now.Sub(member.lastHeartbeat) <= heartbeatMaxAge
	reported := now.Sub(member.reportedRepresentative) <= heartbeatMaxAge
	return name != table.self && member.address.IsValid() && (member.listed || recent || reported)
}

// Addresses returns the peers' addresses.
func (table *Table) Addresses(now time.Time) []netip.AddrPort {
	peers := table.Peers(now)
	addresses := make([]netip.AddrPort, len(peers))
	for i, peer := range peers {
		addresses[i] = peer.Address
	}
	return addresses
}

// NextPeers returns up to count peers for the next heartbeats, in round-robin order.
func (table *Table) NextPeers(count int, now time.Time) []Peer {
	peers := table.Peers(now)
	if len(peers) <= count {
		return peers
	}
	table.mu.Lock()
	first := table.nextPeer
	table.nextPeer += count
	table.mu.Unlock()
	selected := make([]Peer, 0, count)
	for i := range count {
		selected = append(selected, peers[(first+i)%len(peers)])
	}
	return selected
}

// Seeds returns the addresses from the settings, used while no other VM is known.
func (table *Table) Seeds() []netip.AddrPort {
	return table.seeds
}

// Address returns a VM's address; invalid when unknown.
func (table *Table) Address(name string) netip.AddrPort {
	table.mu.Lock()
	defer table.mu.Unlock()
	if member, ok := table.members[name]; ok {
		return member.address
	}
	return netip.AddrPort{}
}

// HeartbeatAges returns the entries to report in a heartbeat: the VMs with the most recent
// heartbeats, newest first, at most MaxGossipEntries.
func (table *Table) HeartbeatAges(now time.Time) []HeartbeatAge {
	table.mu.Lock()
	defer table.mu.Unlock()
	var ages []HeartbeatAge
	for name, member := range table.members {
		if member.hasHeartbeat && now.Sub(member.lastHeartbeat) <= heartbeatMaxAge {
			ages = append(ages, HeartbeatAge{Name: name, Age: now.Sub(member.lastHeartbeat)})
		}
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i].Age < ages[j].Age })
	return ages[:min(len(ages), MaxGossipEntries)]
}

// LiveCount returns the number of VMs that are listed and not leaving, at least 1.
func (table *Table) LiveCount() int {
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

// Listed reports whether the platform lists this VM and not as leaving.
func (table *Table) Listed() bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	member, ok := table.members[table.self]
	return ok && member.listed && !member.leaving
}

// Gone reports whether a VM has been off the list for at least removalDelay, so that
// another VM may take over its rights. For a VM that was never seen listed, the delay
// runs from this VM's start and from its own last heartbeat, whichever is later.
func (table *Table) Gone(name string, now time.Time) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	member, ok := table.members[name]
	if !ok {
		// It left the list before this VM started.
		return !table.platformContact.IsZero() && now.Sub(table.started) >= removalDelay && len(table.members) > 0
	}
	if member.listed {
		return false
	}
	if member.listedChanged.IsZero() { // sent heartbeats but was never listed
		return now.Sub(table.started) >= removalDelay && now.Sub(member.lastHeartbeat) >= removalDelay
	}
	return now.Sub(member.listedChanged) >= removalDelay
}

// Preferred returns the VM that should hold the resource with the given index. It
// uses rendezvous hashing over the VMs that are listed for at least settleDelay, not
// leaving and have sent a recent heartbeat. This VM itself needs neither the delay nor a
// heartbeat. The result is empty if there is no such VM.
func (table *Table) Preferred(index int, now time.Time) string {
	table.mu.Lock()
	defer table.mu.Unlock()
	key := prefix.Mix(uint64(index) + 1)
	var chosen string
	var best uint64
	for name, member := range table.members {
		settled := name == table.self || now.Sub(member.listedChanged) >= settleDelay
		recent := name == table.self || member.hasHeartbeat && now.Sub(member.lastHeartbeat) <= heartbeatMaxAge
		if !member.listed || member.leaving || !settled || !recent {
			continue
		}
		if score := prefix.Mix(key ^ prefix.Digest(name)); chosen == "" || score > best {
			chosen, best = name, score
		}
	}
	return chosen
}
