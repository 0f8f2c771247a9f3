package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
)

// durableFleet is a fleet whose VMs keep origins in a store and can all be killed.
type durableFleet struct {
	*originFleet
	t       *testing.T
	store   *originMemoryStore
	targets map[string]string // software versions of the registered targets, by ID
	boots   int
	steps   int
	// heartbeatSteps is the number of steps between heartbeats: a large fleet exchanges
	// half as many as in operation, because the race detector makes them slow.
	heartbeatSteps int
	stop           context.CancelFunc
	began          map[string]origin.Origin
}

const durableService = "ledger"

// durableTimeout is that of the route: origins last for 5 s more.
const durableTimeout = 10 * time.Second

func newDurableFleet(t *testing.T, vms int, targets map[string]string) *durableFleet {
	zones := 1 + min(vms/6, 3)
	fleet := &durableFleet{
		heartbeatSteps: 3 * (1 + vms/100/2), t: t, store: newOriginMemoryStore(), targets: targets, began: map[string]origin.Origin{},
		originFleet: &originFleet{largeFleet: newLargeFleet(vms, zones), versions: map[netip.AddrPort]*fakeVersions{}},
	}
	t.Cleanup(func() { fleet.stop(); synctest.Wait() })
	fleet.startAll()
	for _, vm := range fleet.vms {
		vm.roster.RecordList(time.Unix(0, 0)) // the first start of the system
	}
	fleet.advance(3 * time.Second)
	return fleet
}

// startAll starts the processes of all VMs, without any state.
func (fleet *durableFleet) startAll() {
	ctx, stop := context.WithCancel(fleet.t.Context())
	fleet.stop = stop
	fleet.boots++
	for i, address := range fleet.addresses {
		fleet.start(i, fmt.Sprint(fleet.boots))
		vm := fleet.vms[address]
		vm.Store = fleet.store
		vm.origins.peers, vm.origins.versions, vm.origins.durable = originLink{fleet.originFleet, vm}, vm.roster, newDurableOrigins(vm)
		vm.origins.durable.logs.configure([]routing.Route{{
			Kind: routing.ResumableStream, Timeout: settings.Span(durableTimeout), Splits: []routing.Split{{Service: durableService, Weight: 1}},
		}})
		for _, loop := range []func(context.Context) error{vm.origins.run, vm.origins.durable.logs.run, vm.origins.durable.writer.run} {
			go func() { _ = loop(ctx) }() // these loops return no error
		}
	}
	fleet.listVMs()
	fleet.register(fleet.targets)
}

// killAll ends all processes at once and starts them again after the given time.
func (fleet *durableFleet) killAll(pause time.Duration) {
	fleet.stop()
	for _, address := range fleet.addresses {
		fleet.setDown(address, true)
	}
	sleep(pause)
	for _, address := range fleet.addresses {
		fleet.setDown(address, false)
	}
	fleet.startAll()
	fleet.advance(time.Second)
}

// register makes all VMs list the targets.
func (fleet *durableFleet) register(targets map[string]string) {
	fleet.targets = targets
	var entries []roster.Entry
	for id, software := range targets {
		entries = append(entries, roster.Entry{ID: id, Service: durableService, Software: software})
	}
	for _, vm := range fleet.vms {
		since, known := vm.roster.WatchedSince()
		vm.roster.Replace(entries, time.Now())
		if known {
			vm.roster.RecordList(since)
		}
	}
}

// advance runs the fleet for a time. The lists of targets are always up to date.
func (fleet *durableFleet) advance(length time.Duration) {
	const step = 100 * time.Millisecond
	for until := time.Now().Add(length); time.Now().Before(until); sleep(step) {
		fleet.store.mu.Lock()
		version, down := fleet.store.version, fleet.store.down
		fleet.store.mu.Unlock()
		for address, vm := range fleet.vms {
			if fleet.down[address] {
				continue
			}
			if !down {
				vm.mirror.Replace(objects.Targets, nil, version)
			}
			if fleet.steps%2 == 0 {
				vm.origins.sweep(time.Now())
			}
		}
		if fleet.steps%fleet.heartbeatSteps == 0 {
			fleet.exchangeHeartbeats()
		}
		fleet.steps++
	}
}

// begin begins streams of the versions, one after another at all VMs that run, as package
// relay does.
func (fleet *durableFleet) begin(name string, count int, versions ...string) {
	var begins sync.WaitGroup
	for i := range count {
		vm := fleet.vms[fleet.addresses[i%len(fleet.addresses)]]
		if fleet.down[vm.Settings.Peer] {
			continue
		}
		began := origin.Origin{Service: durableService, Software: versions[i%len(versions)]}
		record := origin.Record{RequestID: fmt.Sprint(name, "-", i), Attempt: 1, Origin: began, Until: time.Now().Add(durableTimeout + 5*time.Second)}
		fleet.began[record.RequestID] = began
		begins.Go(func() {
			vm.origins.Record(record)
			vm.origins.Await(fleet.t.Context(), record, false)
		})
	}
	begins.Wait()
}

// check looks up all streams whose names begin with the text and requires that at least
// the given share of them continues, all at the versions that began them.
func (fleet *durableFleet) check(prefix string, least float64) {
	fleet.t.Helper()
	var lookups sync.WaitGroup
	var mu sync.Mutex
	total, continued := 0, 0
	for id, want := range fleet.began {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		total++
		vm := fleet.vms[fleet.addresses[total%len(fleet.addresses)]]
		lookups.Go(func() {
			got, knowledge := vm.origins.Find(fleet.t.Context(), id, durableService, time.Now().Add(-durableTimeout-5*time.Second))
			if knowledge == origin.Single {
				got.Software, _ = vm.roster.OnlySoftware(durableService)
			}
			mu.Lock()
			defer mu.Unlock()
			if knowledge == origin.Unknown {
				return
			}
			continued++
			if got != want {
				fleet.t.Errorf("got stream %s continued at %+v (%v), want %+v", id, got, knowledge, want)
			}
		})
	}
	lookups.Wait()
	fleet.t.Logf("%s: %d of %d continued", prefix, continued, total)
	if float64(continued) < least*float64(total) || total == 0 {
		fleet.t.Errorf("got %d of %d streams %s continued, want a share of %v", continued, total, prefix, least)
	}
}

var (
	oneVersion  = map[string]string{"a": "v1", "b": "v1", "c": "v1", "d": "v1"}
	twoVersions = map[string]string{"a": "v1", "b": "v1", "c": "v2", "d": "v2"}
	onlyNew     = map[string]string{"c": "v2", "d": "v2"}
)

// half is the share of streams that must continue (LOST): all new streams can begin.
const half = 0.5

// durablePlays lead to the loss of all VMs. A share of 0 means that refusing is allowed.
var durablePlays = []struct {
	name    string
	targets map[string]string
	play    func(fleet *durableFleet)
}{
	{"one version", oneVersion, func(fleet *durableFleet) {
		fleet.begin("one", 60, "v1")
		fleet.killAll(time.Second)
		fleet.check("one", half)
	}},
	{"two versions", twoVersions, func(fleet *durableFleet) {
		fleet.begin("two", 60, "v1", "v2")
		fleet.advance(600 * time.Millisecond)
		fleet.killAll(time.Second)
		fleet.check("two", half)
	}},
	{"VMs that have long run do not know the streams", twoVersions, func(fleet *durableFleet) {
		fleet.begin("survived", 60, "v1", "v2")
		fleet.advance(600 * time.Millisecond)
		fleet.killAll(time.Second)
		for _, vm := range fleet.vms { // as if they alone had not been killed, and held no records
			vm.started = vm.started.Add(-time.Hour)
		}
		fleet.check("survived", half)
	}},
	{"old one just gone", twoVersions, func(fleet *durableFleet) {
		fleet.begin("old", 60, "v1")
		fleet.register(onlyNew)
		fleet.begin("new", 60, "v2")
		fleet.advance(600 * time.Millisecond)
		fleet.killAll(time.Second)
		fleet.check("new", half)
		fleet.check("old", 0)
	}},
	{"killed at once", twoVersions, func(fleet *durableFleet) {
		fleet.begin("once", 60, "v1", "v2")
		fleet.killAll(time.Second)
		fleet.check("once", 0)
	}},
	{"store unavailable at the kill", twoVersions, func(fleet *durableFleet) {
		fleet.begin("stored", 60, "v1", "v2")
		fleet.advance(600 * time.Millisecond)
		fleet.store.set(func() { fleet.store.down = true })
		fleet.begin("unstored", 60, "v1", "v2")
		fleet.advance(time.Second)
		fleet.killAll(time.Second)
		fleet.store.set(func() { fleet.store.down = false })
		fleet.advance(time.Second)
		fleet.check("stored", half)
		fleet.check("unstored", 0)
	}},
	{"response lost, writer killed with it", twoVersions, func(fleet *durableFleet) {
		fleet.store.set(func() { fleet.store.delay, fleet.store.delayCollection = 2*time.Second, objects.Origins })
		fleet.begin("lost", 60, "v1", "v2")
		fleet.advance(200 * time.Millisecond)
		for _, zone := range fleet.vms[fleet.addresses[0]].members.Zones() {
			fleet.setDown(fleet.writer(zone), true)
		}
		fleet.begin("next", 60, "v1", "v2")
		fleet.advance(4 * time.Second)
		fleet.killAll(time.Second)
		fleet.check("next", half)
		fleet.check("lost", half)
	}},
	{"store restored from a copy", twoVersions, func(fleet *durableFleet) {
		copied := maps.Clone(fleet.store.items)
		fleet.begin("before", 60, "v1", "v2")
		fleet.advance(time.Second)
		fleet.store.set(func() { fleet.store.items = copied })
		fleet.begin("after", 60, "v1", "v2")
		fleet.advance(time.Second)
		fleet.killAll(time.Second)
		fleet.check("after", half)
		fleet.check("before", half)
	}},
}

// Guards against streams that end, or that go on at another version, after all VMs were
// killed at once, and against more writes than the zones may make.
func TestStreamsContinueAfterTheLossOfAllVMs(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{6, 295} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newDurableFleet(t, vms, oneVersion)
				for _, test := range durablePlays {
					t.Log(test.name)
					fleet.register(test.targets)
					fleet.advance(time.Second)
					start, writes := time.Now(), fleet.store.writes[objects.Origins]
					test.play(fleet)
					seconds, zones := time.Since(start).Seconds(), len(fleet.vms[fleet.addresses[0]].members.Zones())
					if got, most := fleet.store.writes[objects.Origins]-writes, int(4*(seconds+1))*zones; got > most {
						t.Errorf("got %d writes in %.1f s and %d zones, want %d at most", got, seconds, zones, most)
					}
				}
			})
		})
	}
}

// writer returns the VM that writes the records of a zone.
func (fleet *durableFleet) writer(zone string) netip.AddrPort {
	for address, vm := range fleet.vms {
		if vm.members.Zone == zone && vm.origins.durable.writerName(time.Now()) == vm.Settings.Name {
			return address
		}
	}
	fleet.t.Errorf("got no VM that writes in %s, want one", zone)
	return netip.AddrPort{}
}
