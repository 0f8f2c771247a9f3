package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

// homesFleet is VMs in virtual time that tell each other the loads of prefixes.
type homesFleet struct {
	vms    []*Roster
	random *rand.Rand
	now    time.Time
	// silent VMs neither send nor receive.
	silent map[int]bool
}

func newHomesFleet(vms, targets int, adaptive bool) *homesFleet {
	fleet := &homesFleet{random: rand.New(rand.NewPCG(1, 2)), now: start}
	for i := range vms {
		roster := newRosterOf(targets)
		roster.processSeed = prefix.Digest(fmt.Sprint("vm-", i))
		roster.SetMemoryPressure(adaptive)
		roster.SetFleetSize(vms)
		fleet.vms = append(fleet.vms, roster)
	}
	return fleet
}

// run sends requests with the prefix, tokens a second in all, by random VMs, and exchanges
// heartbeats every 300 ms. It returns the requests by target.
func (fleet *homesFleet) run(t *testing.T, duration time.Duration, tokens int) map[string]int {
	const size, heartbeat = 2000, 300 * time.Millisecond
	received := map[string]int{}
	var running []*Assignment
	for end := fleet.now.Add(duration); fleet.now.Before(end); {
		for beat := fleet.now.Add(heartbeat); fleet.now.Before(beat); fleet.now = fleet.now.Add(10 * time.Millisecond) {
			for fleet.random.Float64() < float64(tokens)/size/100/(1+float64(tokens)/size/100) { // geometric
				vm := fleet.vms[fleet.random.IntN(len(fleet.vms))]
				assignment := choose(t, vm, Criteria{Model: "m", Prefix: 7, Tokens: size}, fleet.now)
				received[assignment.ID]++
				running = append(running, assignment)
			}
			for len(running) > 0 && fleet.now.Sub(running[0].assignedAt) > 40*time.Millisecond {
				running[0].PromptProcessed(fleet.now)
				running[0].End()
				running = running[1:]
			}
		}
		fleet.exchange()
	}
	return received
}

func (fleet *homesFleet) exchange() {
	for from, sender := range fleet.vms {
		sender.UpdateHomes(fleet.now)
		loads := sender.PrefixLoads(fleet.now)
		for to, receiver := range fleet.vms {
			if from != to && !fleet.silent[from] && !fleet.silent[to] {
				receiver.SetPrefixLoads(fmt.Sprint("vm-", from), loads, fleet.now)
			}
		}
	}
}

// homeIDs returns the homes that a VM knows.
func (fleet *homesFleet) homeIDs(vm int) []string {
	roster := fleet.vms[vm]
	var ids []string
	for _, home := range roster.homes(roster.services["notes"], Criteria{Service: "notes", Model: "m", Prefix: 7}, nil, fleet.now) {
		ids = append(ids, home.entry.ID)
	}
	return ids
}

// Guards against a prefix whose only home is overloaded, against VMs that use different
// homes, and against homes that are kept without need. A home takes 27,777 tokens a second
// of a prefix; each request counts for its 2,000 tokens and 500 for its answer.
func TestHotPrefixHasAsManyHomesAsItsLoadNeeds(t *testing.T) {
	tests := []struct {
		name        string
		vms         int
		adaptive    bool
		tokens      int // a second, in all
		least, most int // homes
	}{
		{name: "not adaptive", vms: 8, tokens: 160_000, least: 1, most: 1},
		{name: "one VM", vms: 1, adaptive: true, tokens: 80_000, least: 3, most: 6},
		{name: "cold", vms: 8, adaptive: true, tokens: 4_000, least: 1, most: 1},
		{name: "hot", vms: 8, adaptive: true, tokens: 80_000, least: 4, most: 6},
		{name: "very hot, 62 VMs", vms: 62, adaptive: true, tokens: 160_000, least: 7, most: 11},
	}
	for _, test := range tests {
		fleet := newHomesFleet(test.vms, 30, test.adaptive)
		cold := fleet.homeIDs(0)
		fleet.run(t, 6*time.Second, test.tokens)
		received := fleet.run(t, 6*time.Second, test.tokens)
		want := fleet.homeIDs(0)
		for vm := range fleet.vms {
			if got := fleet.homeIDs(vm); !slices.Equal(got, want) {
				t.Errorf("%s: got homes %v at VM %d and %v at VM 0, want the same", test.name, got, vm, want)
			}
		}
		if len(want) < test.least || len(want) > test.most || want[0] != cold[0] {
			t.Errorf("%s: got homes %v, want %d to %d, first %s", test.name, want, test.least, test.most, cold[0])
		}
		total, busiest, atHomes := 0, 0, 0
		for id, count := range received {
			total, busiest = total+count, max(busiest, count)
			if slices.Contains(want, id) {
				atHomes += count
			}
		}
		if test.adaptive && (atHomes < total*9/10 || busiest*len(want) > 2*total) {
			t.Errorf("%s: got %d of %d requests at %d homes, %d at the busiest, want 9 in 10 there and no home with twice its share", test.name, atHomes, total, len(want), busiest)
		}
		fleet.run(t, 15*time.Second, 0)
		if got := fleet.homeIDs(0); len(got) != 1 {
			t.Errorf("%s: got homes %v 15 s after the load, want one", test.name, got)
		}
	}
}

// Guards against VMs that do not agree within a heartbeat of the first that needs more
// homes, and against a VM that hears from no other using homes of its own.
func TestVMsAgreeOnHomesWithinAHeartbeat(t *testing.T) {
	fleet := newHomesFleet(8, 30, true)
	fleet.silent = map[int]bool{7: true}
	for range 200 { // requests of one VM alone
		choose(t, fleet.vms[0], Criteria{Model: "m", Prefix: 7, Tokens: 2000}, start).End()
	}
	fleet.exchange()
	want := fleet.homeIDs(0)
	for vm := range fleet.vms {
		got := fleet.homeIDs(vm)
		if fleet.silent[vm] != (len(got) == 1) || !fleet.silent[vm] && !slices.Equal(got, want) {
			t.Errorf("got homes %v at VM %d after one heartbeat, want %v, one without messages", got, vm, want)
		}
	}
}

// Guards against heartbeats that grow with the number of prefixes.
func TestFewPrefixLoadsAreReported(t *testing.T) {
	roster := newRosterOf(3)
	roster.SetMemoryPressure(true)
	for key := range uint64(100) {
		choose(t, roster, Criteria{Model: "m", Prefix: 1 + key, Tokens: 100_000 * int(1+key)}, start).End()
	}
	if got := roster.PrefixLoads(start); len(got) != maxReportedLoads || got[0].Prefix != 100 {
		t.Errorf("got %v, want the %d highest loads", got, maxReportedLoads)
	}
}

// Guards against sums that miss a VM, or count one that was not named or is silent.
func TestPrefixLoadsAreSummedOverNamedVMs(t *testing.T) {
	roster, vms := newZoneRoster(20, 30, 50)
	roster.SetPrefixLoads("other", []PrefixLoad{{Prefix: 1, TokensPerSecond: 1e6, Homes: 9}}, start)
	roster.SetPrefixLoads("vm-3", []PrefixLoad{{Prefix: 2, TokensPerSecond: 1e6, Homes: 9}}, start.Add(-2*peerLoadTime))
	roster.SetPrefixLoads("vm-4", []PrefixLoad{{Prefix: 5, TokensPerSecond: 1e6}, {Prefix: 5, TokensPerSecond: 40, Homes: 2}}, start)
	var want []PrefixLoad
	for _, load := range roster.prefixLoads {
		tokens, homes := load.rate(start), load.homes
		for vm := range vms {
			if peer := roster.peerLoads[vm]; start.Sub(peer.at) <= peerLoadTime {
				tokens, homes = tokens+float64(peer.get(load.prefix).TokensPerSecond), max(homes, peer.get(load.prefix).Homes)
			}
		}
		want = append(want, PrefixLoad{Prefix: load.prefix, TokensPerSecond: int(tokens), Homes: homes})
	}
	slices.SortFunc(want, compareLoads)
	if got := roster.SummedPrefixLoads(vms, start); !slices.Equal(got, want[:maxReportedLoads]) {
		t.Errorf("got %v, want %v", got, want[:maxReportedLoads])
	}
}
