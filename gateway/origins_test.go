package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/origin"
)

// fakeVersions is what a VM has seen of the software versions of all services.
type fakeVersions struct {
	several atomic.Bool
	watched time.Time
	only    string // the version of the targets, if there is one
}

// Several implements versions.
func (fakeVersions *fakeVersions) Several(string, time.Time, time.Time) bool {
	return fakeVersions.several.Load()
}

// Software implements versions.
func (fakeVersions *fakeVersions) Software(string, time.Time) (listed, recent []string) {
	if fakeVersions.only == "" {
		return nil, nil
	}
	return []string{fakeVersions.only}, []string{fakeVersions.only}
}

// WatchedSince implements versions.
func (fakeVersions *fakeVersions) WatchedSince() (time.Time, bool) {
	return fakeVersions.watched, !fakeVersions.watched.IsZero()
}

// originFleet is a fleet whose VMs exchange records in memory and in virtual time. A VM
// that is down answers no call.
type originFleet struct {
	*largeFleet
	versions map[netip.AddrPort]*fakeVersions

	mu      sync.Mutex // guards the fields below
	batches int
	records int
}

func newOriginFleet(t *testing.T, vms, zones int) *originFleet {
	fleet := &originFleet{largeFleet: newLargeFleet(vms, zones), versions: map[netip.AddrPort]*fakeVersions{}}
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	for _, gateway := range fleet.vms {
		fleet.connect(gateway)
		loops.Go(func() {
			if err := gateway.origins.run(ctx); err != nil {
				t.Errorf("got %v from run, want none", err)
			}
		})
	}
	t.Cleanup(func() { cancel(); loops.Wait() })
	fleet.run(5 * time.Second)
	return fleet
}

// connect gives a VM a list of targets and connections to the other VMs.
func (fleet *originFleet) connect(vm *Gateway) {
	fleet.versions[vm.Settings.Peer] = &fakeVersions{watched: time.Now()}
	vm.origins.versions, vm.origins.peers = fleet.versions[vm.Settings.Peer], originLink{fleet, vm}
}

// isolate stops all VMs but one.
func (fleet *originFleet) isolate(i int) {
	for j, address := range fleet.addresses {
		fleet.setDown(address, j != i)
	}
}

// setSeveral makes all VMs see several versions of the services.
func (fleet *originFleet) setSeveral() {
	for _, versions := range fleet.versions {
		versions.several.Store(true)
	}
}

// setDown stops a VM, or starts it again, once no call is running.
func (fleet *originFleet) setDown(address netip.AddrPort, down bool) {
	synctest.Wait()
	fleet.down[address] = down
}

// sent returns how many records were sent, and in how many batches.
func (fleet *originFleet) sent() (records, batches int) {
	synctest.Wait()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.records, fleet.batches
}

// record records at a VM where count streams began.
func (fleet *originFleet) record(vm *Gateway, count int) {
	for i := range count {
		vm.origins.Record(origin.Record{RequestID: fmt.Sprint("request-", i), Attempt: 1, Origin: beganV1, Until: time.Now().Add(time.Minute)})
	}
}

// find looks up the first count streams together at a VM, and returns how many are known
// and the result for the first.
func (fleet *originFleet) find(t *testing.T, vm *Gateway, count int) (known int, first origin.Knowledge) {
	start, results := time.Now(), make([]origin.Knowledge, count)
	var lookups sync.WaitGroup
	for i := range count {
		lookups.Go(func() {
			var got origin.Origin
			got, results[i] = vm.origins.Find(t.Context(), fmt.Sprint("request-", i), beganV1.Service, start.Add(-3*time.Second))
			if results[i] == origin.Known && got != beganV1 {
				t.Errorf("%s: got %+v, want %+v", vm.Settings.Name, got, beganV1)
			}
		})
	}
	lookups.Wait()
	if took := time.Since(start); took > originTimeout {
		t.Errorf("%s: got answers after %v, want them within %v", vm.Settings.Name, took, originTimeout)
	}
	for _, result := range results {
		if result == origin.Known {
			known++
		}
	}
	return known, results[0]
}

// originLink is the connection of one VM to the others.
type originLink struct {
	fleet *originFleet
	from  *Gateway
}

// receiver returns the VM at an address. Calls to a VM that does not answer end with the
// context.
func (link originLink) receiver(ctx context.Context, address netip.AddrPort) (*Gateway, error) {
	to, ok := link.fleet.vms[address]
	if !ok || !link.fleet.canReach(link.from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return to, nil
}

// RecordOrigins implements originPeers.
func (link originLink) RecordOrigins(ctx context.Context, address netip.AddrPort, records []origin.Record) error {
	to, err := link.receiver(ctx, address)
	if err != nil {
		return err
	}
	link.fleet.mu.Lock()
	link.fleet.batches++
	link.fleet.records += len(records)
	link.fleet.mu.Unlock()
	to.RecordOrigins(records)
	return nil
}

// StoreOrigins implements originPeers.
func (link originLink) StoreOrigins(ctx context.Context, address netip.AddrPort, records []origin.Record) (bool, error) {
	to, err := link.receiver(ctx, address)
	if err != nil {
		return false, err
	}
	return to.StoreOrigins(ctx, records), nil
}

// FindOrigin implements originPeers.
func (link originLink) FindOrigin(ctx context.Context, address netip.AddrPort, query origin.Query) (origin.Answer, error) {
	to, err := link.receiver(ctx, address)
	if err != nil {
		return origin.Answer{}, err
	}
	return to.FindOrigin(ctx, query), nil
}

var beganV1 = origin.Origin{Service: "ledger", Software: "v1"}

// Guards against streams that end, or go on at another version, because the VM that began
// them was killed together with others a moment before the callers took them up.
func TestOriginsAreFoundAfterKills(t *testing.T) {
	const streams = 300
	for _, test := range []struct {
		killed, least int
		detected      bool // whether the heartbeats of the killed VMs have been missed
	}{{2, streams, false}, {2, streams, true}, {3, streams, false}, {3, streams, true}, {4, streams * 85 / 100, false}} {
		t.Run(fmt.Sprint(test.killed, " killed, detected ", test.detected), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newOriginFleet(t, 6, 2)
				fleet.setSeveral()
				fleet.record(fleet.vms[fleet.addresses[0]], streams)
				sleep(originBatchTime)
				if records, batches := fleet.sent(); records != originHolders*streams || batches > 5 {
					t.Errorf("got %d records in %d batches, want %d in 5 at most", records, batches, originHolders*streams)
				}
				for i := range test.killed {
					fleet.setDown(fleet.addresses[i], true)
				}
				if test.detected {
					fleet.run(2 * membership.LivenessTimeout)
				}
				for _, address := range fleet.addresses[test.killed:] {
					got, _ := fleet.find(t, fleet.vms[address], streams)
					t.Logf("%v: %d of %d known", address, got, streams)
					if got < test.least {
						t.Errorf("%v: got %d origins, want %d of %d", address, got, test.least, streams)
					}
				}
			})
		})
	}
}

// Guards against streams that end after a kill in the first seconds of a fleet, when no VM
// has watched the list of targets for long enough to tell that one version serves alone.
func TestOriginsOfAYoungFleetAreFound(t *testing.T) {
	const streams = 50
	synctest.Test(t, func(t *testing.T) {
		fleet := newOriginFleet(t, 6, 2)
		killed := fleet.addresses[0]
		fleet.record(fleet.vms[killed], streams)
		sleep(originBatchTime)
		fleet.setDown(killed, true)
		for _, address := range fleet.addresses[1:] {
			if got, _ := fleet.find(t, fleet.vms[address], streams); got != streams {
				t.Errorf("%v: got %d origins, want %d", address, got, streams)
			}
		}
	})
}

// On ordinary days, with one version of each service for long, records must cost no calls.
// When a second version starts, streams that began before must be known too.
func TestRecordsAreSentOnceSeveralVersionsServe(t *testing.T) {
	const streams = 100
	synctest.Test(t, func(t *testing.T) {
		fleet := newOriginFleet(t, 6, 2)
		first, second := fleet.vms[fleet.addresses[0]], fleet.vms[fleet.addresses[1]]
		for _, versions := range fleet.versions {
			versions.watched = time.Now().Add(-time.Hour)
		}
		fleet.record(first, streams)
		first.origins.sweep(time.Now())
		fleet.run(time.Second)
		if _, got := fleet.sent(); got != 0 {
			t.Errorf("got %d batches with one version, want none", got)
		}
		fleet.setDown(first.Settings.Peer, true)
		if _, got := fleet.find(t, second, 1); got != origin.Single {
			t.Errorf("got %v with one version, want %v", got, origin.Single)
		}
		fleet.setSeveral() // while no VM that could hold the records is reachable
		fleet.run(2 * membership.LivenessTimeout)
		first.origins.sweep(time.Now())
		fleet.setDown(first.Settings.Peer, false)
		for range 3 {
			fleet.run(heartbeatInterval)
			first.origins.sweep(time.Now())
		}
		sleep(originBatchTime)
		if got, _ := fleet.sent(); got != originHolders*streams {
			t.Errorf("got %d records sent, want %d: each once to each holder", got, originHolders*streams)
		}
		fleet.setDown(first.Settings.Peer, true)
		if got, _ := fleet.find(t, second, streams); got != streams {
			t.Errorf("got %d origins, want %d", got, streams)
		}
	})
}

// A VM that is cut off may have an old list of targets: it must not continue a stream that
// it does not know.
func TestUnknownOriginsAreNotContinued(t *testing.T) {
	for _, test := range []struct {
		name    string
		vms     int
		prepare func(fleet *originFleet)
		want    origin.Knowledge
	}{
		{"one version, others answer", 6, func(*originFleet) {}, origin.Single},
		{"one version, the only VM", 1, func(*originFleet) {}, origin.Single},
		{"several versions", 6, (*originFleet).setSeveral, origin.Unknown},
		{"cut off a moment ago", 6, func(fleet *originFleet) { fleet.isolate(0) }, origin.Unknown},
		{"cut off for long", 6, func(fleet *originFleet) { fleet.isolate(0); fleet.run(time.Minute) }, origin.Unknown},
		{"other VMs not listed yet", 6, func(fleet *originFleet) {
			fleet.isolate(0)
			fleet.start(0, "2")
			fleet.connect(fleet.vms[fleet.addresses[0]])
			fleet.versions[fleet.addresses[0]].watched = time.Now().Add(-time.Hour)
		}, origin.Unknown},
		{"started lately, others answer", 6, func(fleet *originFleet) {
			fleet.versions[fleet.addresses[0]].watched = time.Now()
		}, origin.Single},
		{"old list of targets, others have seen another version since", 6, func(fleet *originFleet) {
			for _, versions := range fleet.versions {
				versions.only = "v2"
			}
			fleet.versions[fleet.addresses[0]].only = "v1"
		}, origin.Unknown},
		{"all started lately", 6, func(fleet *originFleet) {
			for _, versions := range fleet.versions {
				versions.watched = time.Now()
			}
		}, origin.Unknown},
		{"no list of targets yet", 1, func(fleet *originFleet) {
			fleet.vms[fleet.addresses[0]].origins.versions = noVersions{}
		}, origin.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newOriginFleet(t, test.vms, 1)
				test.prepare(fleet)
				if _, got := fleet.find(t, fleet.vms[fleet.addresses[0]], 1); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}

// In a large fleet, records stay in the availability zone of the VM that made them, and
// callers take streams up in any zone.
func TestOriginsAreFoundFromOtherZones(t *testing.T) {
	const vms, zones, streams = 40, 4, 50
	synctest.Test(t, func(t *testing.T) {
		fleet := newOriginFleet(t, vms, zones)
		fleet.setSeveral()
		fleet.record(fleet.vms[fleet.addresses[0]], streams)
		sleep(originBatchTime)
		for i := 0; i < 3*zones; i += zones { // three VMs of the zone of the first
			fleet.setDown(fleet.addresses[i], true)
		}
		for _, address := range fleet.addresses[vms-zones:] {
			if got, _ := fleet.find(t, fleet.vms[address], streams); got != streams {
				t.Errorf("%v: got %d origins, want %d", address, got, streams)
			}
		}
		for address, gateway := range fleet.vms {
			if held := gateway.origins.held.Sweep(time.Now()); held > 0 && gateway.members.Zone != "zone-0" {
				t.Errorf("%v: got %d records held in %s, want none", address, held, gateway.members.Zone)
			}
		}
	})
}

// Callers choose request IDs: a long one or one that is not valid text must neither fill
// the tables nor spoil the batch of others.
func TestHostileRequestIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newOriginFleet(t, 6, 1)
		fleet.setSeveral()
		first, second := fleet.vms[fleet.addresses[0]], fleet.vms[fleet.addresses[1]]
		ids := []string{strings.Repeat("x", 10_000), "\xff\xfe", "usual"}
		for _, id := range ids {
			first.origins.Record(origin.Record{RequestID: id, Attempt: 1, Origin: beganV1, Until: time.Now().Add(time.Minute)})
		}
		sleep(originBatchTime)
		fleet.setDown(first.Settings.Peer, true)
		for _, id := range ids {
			if _, got := second.origins.Find(t.Context(), id, beganV1.Service, time.Now().Add(-time.Second)); got != origin.Known {
				t.Errorf("%.10q: got %v, want %v", id, got, origin.Known)
			}
		}
		for _, record := range first.origins.own.Records(beganV1.Service, time.Now()) {
			if got := len(record.RequestID); got > origin.MaxIDBytes {
				t.Errorf("got an ID of %d bytes, want %d at most", got, origin.MaxIDBytes)
			}
		}
	})
}
