package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/rollout"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

// leaseStore holds the lease of orders.
type leaseStore struct {
	Store // methods that these tests do not call

	version objects.Version
	spec    json.RawMessage
	calls   int
	// answer, if set, is called before the answer to a write is read.
	answer func()
	// loseAnswer makes the next write take effect without an answer.
	loseAnswer bool
}

func (leaseStore *leaseStore) object() objects.Object {
	return objects.Object{Metadata: objects.Metadata{ResourceVersion: leaseStore.version}, Spec: leaseStore.spec}
}

func (leaseStore *leaseStore) Get(context.Context, objects.Collection, string) (objects.Object, error) {
	leaseStore.calls++
	if leaseStore.version == 0 {
		return objects.Object{}, objects.ErrNotFound
	}
	return leaseStore.object(), nil
}

func (leaseStore *leaseStore) Create(ctx context.Context, collection objects.Collection, name string, spec any) (objects.Object, error) {
	return leaseStore.Update(ctx, collection, name, 0, spec)
}

func (leaseStore *leaseStore) Update(_ context.Context, _ objects.Collection, _ string, version objects.Version, spec any) (objects.Object, error) {
	leaseStore.calls++
	if version != leaseStore.version {
		return objects.Object{}, objects.ErrConflict
	}
	leaseStore.version++
	leaseStore.spec, _ = json.Marshal(spec) // encoding it cannot fail
	if leaseStore.answer != nil {
		leaseStore.answer()
	}
	if leaseStore.loseAnswer {
		leaseStore.loseAnswer = false
		return objects.Object{}, objects.ErrUnknown
	}
	return leaseStore.object(), nil
}

// takeoverFleet is a fleet with targets that lack weights. The first VM of the fleet
// that acquired the lease is its holder.
type takeoverFleet struct {
	*largeFleet
	store  *leaseStore
	loops  []*rollLoop
	holder *rollLoop
	// heartbeatsAt is when the next heartbeats are exchanged.
	heartbeatsAt time.Time
}

func newTakeoverFleet(vms, zones int) *takeoverFleet {
	bounds := settings.Bounds{TakeoverDelay: settings.Span(3 * time.Second)}
	fleet := &takeoverFleet{largeFleet: newBoundedFleet(vms, zones, bounds), store: &leaseStore{}, heartbeatsAt: time.Now()}
	for _, address := range fleet.addresses {
		gateway := fleet.vms[address]
		gateway.Store = fleet.store
		gateway.build()
		gateway.members.UpdateList(fleet.listed, time.Now())
		fleet.loops = append(fleet.loops, &rollLoop{gateway: gateway, lease: gateway.ordersLease, roll: rollout.New()})
	}
	return fleet
}

// step runs the steps of all rolls that are due, and the heartbeats. Targets have lacked
// weights from the given time on. It returns a VM that acquired the lease, or nil.
func (fleet *takeoverFleet) step(ctx context.Context, since time.Time) *rollLoop {
	now := time.Now()
	if !now.Before(fleet.heartbeatsAt) {
		fleet.exchangeHeartbeats()
		fleet.heartbeatsAt = now.Add(heartbeatInterval)
	}
	var acquired *rollLoop
	defer sleep(rollInterval)
	if since.After(now) {
		return nil
	}
	for _, rollLoop := range fleet.loops {
		rollLoop.outdatedChanged = since
		held := rollLoop.leaseHeld
		if !fleet.down[rollLoop.gateway.Settings.Peer] && rollLoop.ensureLease(ctx, now) && !held {
			acquired = rollLoop
		}
	}
	return acquired
}

// order makes the holder renew the lease as before an order, and notifies the other VMs.
func (fleet *takeoverFleet) order(ctx context.Context) {
	if !fleet.holder.lease.Renew(ctx) {
		return
	}
	for _, gateway := range fleet.vms {
		gateway.HandleNotice(peer.Notice{OrdersLease: fleet.holder.gateway.leaseWrite(time.Now())})
	}
}

// Guards against rolls that stand still: a VM that is cut off from the targets takes the
// lease by its rank and can order none of them to load.
func TestVMCutOffFromTargetsLeavesLeaseToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTakeoverFleet(2, 1)
		rollLoop := fleet.loops[0]
		gateway := rollLoop.gateway
		rollLoop.roll, rollLoop.inFlight = rollout.New(), map[string]bool{"e1": true} // no polls
		gateway.roster.Put(roster.Entry{ID: "e1", Service: "notes", Models: []roster.Model{{Name: "m", Weights: 1}}}, time.Now())
		gateway.weights.add("m", 2, time.Now())
		gateway.roster.RecordProbe("e1", false, time.Now())
		named, _ := gateway.weights.newest()
		for range 100 {
			rollLoop.advance(t.Context(), named)
			sleep(rollInterval)
		}
		if fleet.store.calls != 0 || rollLoop.leaseHeld {
			t.Errorf("got %d calls to the store and lease held %t, want none", fleet.store.calls, rollLoop.leaseHeld)
		}
		gateway.roster.RecordProbe("e1", true, time.Now())
		rollLoop.advance(t.Context(), named)
		if !rollLoop.leaseHeld {
			t.Error("got no lease once the target was reached, want it held")
		}
	})
}

// Guards against rolls that stand still: the holder of the lease fails, and another VM
// gives orders as soon as the platform's bound since the last possible order allows it.
func TestLeaseIsTakenOverOnceBoundAllowsIt(t *testing.T) {
	const bound = 3 * time.Second
	for _, test := range []struct {
		name        string
		failsAfter  time.Duration // from the holder's last order to its failure
		lackFrom    time.Duration // from that order to the time from which a target lacks weights
		loseAnswer  bool          // of a renewal after the last order
		notNotified bool          // the last order's notice reaches no VM
		want        time.Duration // from that order to the takeover, without the delay of one rank
	}{
		{name: "holder fails during a roll", failsAfter: 260 * time.Millisecond, want: bound + takeoverMargin},
		{name: "holder fails before target lacks weights", failsAfter: 8 * time.Second, lackFrom: 8 * time.Second, want: 8*time.Second + rankDelay},
		{name: "target lacks weights while holder is down", failsAfter: 8 * time.Second, lackFrom: 10 * time.Second, want: 10 * time.Second},
		{name: "notice is lost", failsAfter: 350 * time.Millisecond, notNotified: true, want: bound + takeoverMargin},
		{name: "answer to renewal is lost", failsAfter: 260 * time.Millisecond, loseAnswer: true, want: bound + takeoverMargin + rankDelay},
	} {
		for _, size := range [][2]int{{2, 1}, {6, 3}, {30, 3}} {
			t.Run(fmt.Sprint(test.name, "/", size[0]), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newTakeoverFleet(size[0], size[1])
					fleet.run(3 * time.Second)
					fleet.heartbeatsAt = time.Now()
					for since := time.Now(); fleet.holder == nil; {
						fleet.holder = fleet.step(t.Context(), since)
					}
					if test.notNotified {
						fleet.holder.lease.Renew(t.Context())
					} else {
						fleet.order(t.Context())
					}
					orderedAt := time.Now()
					if test.loseAnswer {
						fleet.store.loseAnswer = true
						fleet.holder.lease.Renew(t.Context())
					}
					calls := fleet.store.calls
					var acquired *rollLoop
					for acquired == nil && time.Since(orderedAt) < 20*time.Second {
						if time.Since(orderedAt) >= test.failsAfter {
							fleet.down[fleet.holder.gateway.Settings.Peer] = true
						}
						acquired = fleet.step(t.Context(), orderedAt.Add(test.lackFrom))
					}
					got := time.Since(orderedAt) - rollInterval
					const slack = 2 * rollInterval
					if got < bound+takeoverMargin-slack || got > test.want+rankDelay+slack {
						t.Errorf("got the lease taken over after %v, want at least %v and not long after %v", got, bound+takeoverMargin, test.want)
					}
					if got := fleet.store.calls - calls; got > 10 {
						t.Errorf("got %d calls to the store, want 10 at most", got)
					}
				})
			})
		}
	}
}

// Guards against orders that targets refuse: a VM acquires the lease again, and what targets
// reported to it before is not true any more, as the holder in between gave them orders.
func TestHolderAsksForReportsAgainAfterAnotherHeldLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTakeoverFleet(2, 1)
		named := []rollout.NamedWeights{{Weights: rollout.Weights{Model: "m", Version: 2}, Learned: time.Now()}}
		targets := []rollout.Target{{ID: "i-1", Models: []rollout.Weights{{Model: "m", Version: 1}}}}
		for since := time.Now(); fleet.holder == nil; {
			fleet.holder = fleet.step(t.Context(), since)
		}
		report := rollout.Report{Sequence: 4}
		if steps := fleet.holder.roll.NextSteps(targets, named, time.Now()); len(steps) != 1 || !steps[0].Poll {
			t.Fatalf("got steps %v, want a poll", steps)
		}
		fleet.holder.roll.HandleReport("i-1", report, true, time.Now())
		first := fleet.holder
		first.leaseHeld = false // as after a failed renewal
		for since := time.Now(); !first.leaseHeld; {
			fleet.step(t.Context(), since)
		}
		if steps := first.roll.NextSteps(targets, named, time.Now()); len(steps) != 1 || !steps[0].Poll {
			t.Errorf("got steps %v, want a poll before any order", steps)
		}
	})
}

// orderCounter implements Engines and counts the orders.
type orderCounter struct {
	Engines // methods that these tests do not call

	orders atomic.Int64
}

func (orderCounter *orderCounter) Order(context.Context, *target.Client, rollout.Order, func(target.Head)) (rollout.Reply, error) {
	orderCounter.orders.Add(1)
	return rollout.Accepted, nil
}

// Guards against orders by a VM that was paused while the answer to its renewal of the
// lease was on its way, or before it sent them: another VM may hold the lease by then.
func TestPausedVMGivesNoOrders(t *testing.T) {
	for _, test := range []struct {
		name  string
		pause func(suspended *time.Duration)
		want  int64
	}{
		{"not paused", func(*time.Duration) {}, 1},
		{"frozen", func(*time.Duration) { sleep(4 * time.Second) }, 0},
		{"suspended", func(suspended *time.Duration) { *suspended += 4 * time.Second }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newTakeoverFleet(1, 1)
				rollLoop, engines := fleet.loops[0], &orderCounter{}
				gateway := rollLoop.gateway
				gateway.Engines = engines
				rollLoop.inFlight, rollLoop.results = map[string]bool{}, make(chan callResult, 2)
				gateway.roster.Put(roster.Entry{ID: "e1", Service: "notes", Models: []roster.Model{{Name: "m", Weights: 1}}}, time.Now())
				suspended := time.Duration(0)
				gateway.suspensions.read, gateway.suspensions.known = func() time.Duration { return suspended }, 0
				if !rollLoop.lease.AcquireOrRenew(t.Context()) {
					t.Fatal("got no lease, want it held")
				}
				step := rollout.Step{Target: "e1", Weights: rollout.Weights{Model: "m", Version: 2}}
				fleet.store.answer = func() { test.pause(&suspended) }
				rollLoop.execute(t.Context(), []rollout.Step{step})
				synctest.Wait()
				if got := engines.orders.Load(); got != test.want {
					t.Errorf("got %d orders after a pause during the renewal, want %d", got, test.want)
				}
				fleet.store.answer = nil
				permit, ok := rollLoop.prepareOrders(t.Context(), []rollout.Step{step})
				test.pause(&suspended)
				before := engines.orders.Load()
				if ok {
					rollLoop.runOrder(t.Context(), step, permit)
				}
				if got := engines.orders.Load() - before; got != test.want {
					t.Errorf("got %d orders after a pause before the order, want %d", got, test.want)
				}
			})
		})
	}
}
