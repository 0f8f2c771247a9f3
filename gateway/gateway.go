// Package gateway is one VM's process on a platform that keeps the
// configuration, the registrations of targets and the operators' wishes in a
// store: the listeners, and the loops that keep the VM in step.
//
// What must be agreed or kept goes through the store; what must be quick goes
// from VM to VM. A VM that cannot reach the store goes on with what it knows and
// with what other VMs tell it.
//
// # Usage
//
//	gateway := &gateway.Gateway{Settings: vm, Store: store, Decoder: decoder, ...}
//	if err := gateway.Listen(); err != nil { ... }
//	err := gateway.Run(ctx) // ends gracefully with the context
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/front"
	"github.com/bramleygw/bramleygw/lease"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/mirror"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/rollout"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

// Store is the platform's store.
type Store interface {
	lease.Objects
	List(ctx context.Context, collection objects.Collection) (objects.List, error)
	Changes(ctx context.Context, watch objects.Watch) ([]objects.WatchEvent, objects.Version, error)
	Delete(ctx context.Context, collection objects.Collection, name string, version objects.Version) error
	Close()
}

// Decoder reads the objects that operators and targets write.
type Decoder interface {
	Config(object objects.Object) (routing.Config, error)
	Target(object objects.Object) (roster.Entry, error)
	Weights(object objects.Object) (model string, version uint64, err error)
}

// Engines asks targets for reports and gives them orders.
type Engines interface {
	Report(ctx context.Context, client *target.Client, instance string) (rollout.Report, error)
	Order(ctx context.Context, client *target.Client, order rollout.Order) (rollout.Reply, error)
}

// Gateway is one VM. The exported fields are set before Listen.
type Gateway struct {
	Settings settings.EntryVM
	Store    Store
	Decoder  Decoder
	Dialect  target.Dialect
	Front    front.Dialect
	Engines  Engines
	Log      *event.Log
	// Reloads, if set, tells that the settings file has changed. What a process
	// uses of it does not change while it runs.
	Reloads <-chan os.Signal

	boot    string // tells this process from earlier ones of the VM
	started time.Time

	mirror   *mirror.Mirror
	roster   *roster.Roster
	weights  *weights
	limits   *quota.Fleet
	members  *membership.Table
	zones    *zones
	suspects *quarantine.Book
	clients  *relay.Clients
	stores   *cacheStores
	relay    *relay.Relay
	dialer   *peer.Dialer
	metrics  *metric.Set

	callers *front.Server
	ready   *readiness
	shown   *readiness // at the metrics' own address; nil without one
	peers   *peer.Server

	fetches chan netip.AddrPort
	health  storeHealth

	listed atomic.Bool // the VMs were listed once

	mu    sync.Mutex // guards fails
	fails map[netip.AddrPort]int
}

const (
	bootBytes = 4
	// memoryShare is the part of the memory that the runtime may use; the rest is
	// for what the system counts beside it.
	memoryShare = 0.6
	// collectAt is the growth of the heap, in percent, after which it is
	// collected: small, since memory is scarcer than processor time.
	collectAt = 60
	// exitMargin is how much earlier than the platform's SIGKILL the process ends.
	exitMargin = 400 * time.Millisecond
	// rotationTime is how long the balancer takes to see that a VM is not ready:
	// two misses at one look a second, and some.
	rotationTime = 2600 * time.Millisecond
)

// Listen opens the listeners.
func (gateway *Gateway) Listen() error {
	if gateway.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(gateway.Settings.MemoryBytes) * memoryShare))
	}
	debug.SetGCPercent(collectAt)
	boot := make([]byte, bootBytes)
	_, _ = rand.Read(boot) // never fails
	gateway.boot = hex.EncodeToString(boot)
	gateway.started = time.Now()
	if err := gateway.listen(); err != nil {
		return err
	}
	gateway.build()
	return nil
}

func (gateway *Gateway) build() {
	vm := gateway.Settings
	gateway.mirror = mirror.New()
	gateway.roster = roster.New(vm.AvailabilityZone)
	gateway.weights = newWeights()
	gateway.limits = quota.NewFleet(vm.Name, unknownVMs)
	gateway.members = membership.NewTable(vm.Name, vm.Seeds, gateway.started)
	gateway.members.Zone = vm.AvailabilityZone
	gateway.zones = newZones()
	gateway.suspects = quarantine.NewBook()
	gateway.clients = relay.NewClients(gateway.Dialect)
	gateway.stores = newCacheStores(gateway.Log)
	gateway.dialer = peer.NewDialer(nil)
	gateway.metrics = metric.New(vm.Name)
	gateway.fetches = make(chan netip.AddrPort, 1)
	gateway.fails = map[netip.AddrPort]int{}
	gateway.relay = &relay.Relay{
		Bounds: vm.Bounds, Roster: gateway.roster, Limits: gateway.limits, Weights: gateway.weights,
		Stores: gateway.stores, Suspect: gateway.suspects, Charger: gateway, Clients: gateway.clients,
		Budgets: relay.NewBudgets(vm.Bounds, gateway.vms), Metrics: gateway.metrics, Log: gateway.Log,
	}
	gateway.callers.Relay = gateway.relay
}

// listen opens the listeners. Port 0 stands for a free one; the settings hold
// the addresses in use afterwards.
func (gateway *Gateway) listen() error {
	vm := &gateway.Settings
	callers, err := listen(&vm.Caller)
	if err != nil {
		return errors.Wrap(err, "caller")
	}
	ready, err := listen(&vm.Ready)
	if err != nil {
		return errors.Wrap(err, "ready")
	}
	peers, err := listen(&vm.Peer)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	gateway.callers = &front.Server{Listener: callers, Dialect: gateway.Front}
	gateway.ready = &readiness{listener: ready, ready: gateway.Ready}
	gateway.peers = &peer.Server{Listener: peers, Handler: gateway}
	gateway.listenForMetrics()
	return nil
}

// listenForMetrics opens the metrics' own address. A VM serves without it too.
func (gateway *Gateway) listenForMetrics() {
	if !gateway.Settings.Metrics.IsValid() {
		return
	}
	listener, err := listen(&gateway.Settings.Metrics)
	if err != nil {
		gateway.Log.Emit(event.MetricsNotServed, event.F("address", gateway.Settings.Metrics.String()), event.Err(err))
		return
	}
	gateway.shown = &readiness{listener: listener, ready: gateway.Ready}
}

func listen(address *netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen; choose an address of this VM that is free")
	}
	*address = listener.Addr().(*net.TCPAddr).AddrPort()
	return listener, nil
}

// Ready reports whether the VM can serve: it stays, and knows routes and
// targets.
func (gateway *Gateway) Ready() bool {
	return !gateway.callers.Draining() && gateway.relay.Table() != nil && gateway.roster.Size() > 0
}

// Run serves until the context ends, then stops gracefully: the readiness check
// fails first, and running requests finish.
func (gateway *Gateway) Run(ctx context.Context) error {
	gateway.Log.Emit(event.Started, event.F("caller", gateway.Settings.Caller.String()), event.F("boot", gateway.boot))
	defer gateway.Store.Close()
	defer gateway.dialer.Close()
	lasting, stopLasting := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLasting()
	serving, stopServing := context.WithCancel(lasting)
	defer stopServing()
	abort, abortNow := context.WithCancel(context.WithoutCancel(ctx))
	defer abortNow()
	var group errgroup.Group
	for _, loop := range gateway.loops() {
		group.Go(func() error {
			err := loop(lasting)
			if err != nil {
				stopLasting() // one loop's failure ends the process
			}
			return err
		})
	}
	callersDone := make(chan error, 1)
	go gateway.runCallers(serving, abort, callersDone)
	var failed error
	select {
	case <-ctx.Done():
		failed = gateway.stop(stopServing, abortNow, callersDone)
	case failed = <-callersDone:
	case <-lasting.Done():
	}
	stopLasting()
	err := group.Wait()
	gateway.Log.Emit(event.Stopped)
	return errors.CombineErrors(failed, err)
}

func (gateway *Gateway) loops() []func(context.Context) error {
	loops := []func(context.Context) error{
		gateway.peers.Run, gateway.ready.run, gateway.runConfigs, gateway.runTargets, gateway.runWeights,
		gateway.runRegistration, gateway.runHeartbeats, gateway.runFetches, gateway.runRoll, gateway.runSweep,
		gateway.stores.run, gateway.runReloads, gateway.runProbes,
	}
	if gateway.shown != nil {
		loops = append(loops, gateway.shown.run)
	}
	return loops
}

func (gateway *Gateway) runCallers(ctx, abort context.Context, done chan<- error) {
	done <- gateway.callers.Run(ctx, abort)
}

// stop is the graceful shutdown.
func (gateway *Gateway) stop(stopServing, abortNow context.CancelFunc, callersDone <-chan error) error {
	began := time.Now()
	gateway.Log.Emit(event.Draining, event.F("running", gateway.relay.Running()))
	gateway.callers.Drain()
	last := time.AfterFunc(time.Until(gateway.Settings.Bounds.Grace.After(began).Add(-exitMargin)), abortNow)
	defer last.Stop()
	notice := time.NewTimer(rotationTime)
	defer notice.Stop()
	<-notice.C
	stopServing()
	err := <-callersDone
	ending, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	gateway.unregister(ending)
	return err
}

// runReloads notes that the settings file has changed.
func (gateway *Gateway) runReloads(ctx context.Context) error {
	for {
		select {
		case <-gateway.Reloads:
			gateway.Log.Emit(event.SettingsChanged)
		case <-ctx.Done():
			return nil
		}
	}
}

// sweepInterval is how often what has lapsed is dropped.
const sweepInterval = 200 * time.Millisecond

// runSweep drops what has lapsed.
func (gateway *Gateway) runSweep(ctx context.Context) error {
	var silence membership.Silence
	for retry.Wait(ctx, time.Now().Add(sweepInterval)) {
		now := time.Now()
		gateway.roster.Sweep(now)
		gateway.noteSilent(&silence, now)
		gateway.expectVMs(now)
		listed := gateway.countTargets()
		gateway.clients.Retain(func(id string) bool { return listed[id] })
		gateway.metrics.ByTarget.Retain(func(id string) bool { return listed[id] })
	}
	return nil
}

// countTargets counts the targets that cannot be used and returns the names of
// all that are listed.
func (gateway *Gateway) countTargets() map[string]bool {
	listed := map[string]bool{}
	unreachable, ejected := int64(0), int64(0)
	for _, entry := range gateway.roster.Entries() {
		listed[entry.ID] = true
		if entry.Unreachable {
			unreachable++
		}
		if entry.Ejected {
			ejected++
		}
	}
	gateway.metrics.Unreachable.Set(unreachable)
	gateway.metrics.Ejected.Set(ejected)
	return listed
}
