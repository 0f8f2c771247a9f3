// Package gateway runs one VM on a platform that keeps the configuration, the
// registrations of targets and the weight versions named by operators in a
// store: it opens the listeners and runs the loops that keep the VM up to date.
//
// State that needs agreement or durability goes through the store; state that
// must spread quickly goes directly from VM to VM. A VM that cannot reach the
// store continues with the state it has and with updates from other VMs.
//
// # Usage
//
//	gateway := &gateway.Gateway{Settings: vm, Store: store, Decoder: decoder, ...}
//	if err := gateway.Listen(); err != nil { ... }
//	err := gateway.Run(ctx) // stops gracefully when the context ends
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

	"github.com/bramleygw/bramleygw/admission"
	"github.com/bramleygw/bramleygw/buffer"
	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/front"
	"github.com/bramleygw/bramleygw/lease"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/mirror"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/occupancy"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/release"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/rollout"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

// Store is the platform's object store.
type Store interface {
	lease.Objects
	List(ctx context.Context, collection objects.Collection) (objects.List, error)
	Changes(ctx context.Context, watch objects.Watch) ([]objects.WatchEvent, objects.Version, error)
	Delete(ctx context.Context, collection objects.Collection, name string, version objects.Version) error
	// WriteState writes the state of an order for a release if its object is unchanged.
	WriteState(ctx context.Context, object objects.Object, order release.Order, state release.State) (objects.Object, error)
	Close()
}

// Decoder decodes the objects that operators and targets write.
type Decoder interface {
	Config(object objects.Object) (routing.Config, error)
	Target(object objects.Object) (roster.Entry, error)
	Weights(object objects.Object) (model string, version uint64, err error)
	Order(object objects.Object) (release.Order, error)
}

// Engines requests reports from targets and sends them orders.
type Engines interface {
	Report(ctx context.Context, client *target.Client, instance string, onHead func(target.Head)) (rollout.Report, error)
	Order(ctx context.Context, client *target.Client, order rollout.Order, onHead func(target.Head)) (rollout.Reply, error)
}

// Gateway is the process of one VM. The exported fields are set before Listen.
type Gateway struct {
	Settings      settings.PlatformVM
	Store         Store
	Decoder       Decoder
	TargetDialect target.Dialect
	FrontDialect  front.Dialect
	Engines       Engines
	Log           *event.Log
	// Reloads, if set, receives a signal when the settings file has changed. The
	// change is only logged: a running process does not apply new settings.
	Reloads <-chan os.Signal

	bootID  string // distinguishes this process from earlier ones of the VM
	started time.Time

	mirror      *mirror.Mirror
	roster      *roster.Roster
	weights     *namedWeights
	ordersLease *lease.Lease
	releases    *releases // nil unless operators order releases
	limits      *quota.Limiter
	members     *membership.Table
	sendTimes   *membership.SendTimes
	zones       *zoneTable
	suspects    *quarantine.Tracker
	parts       *quarantine.Parts
	partStore   *partStore
	clients     *relay.Clients
	cacheStores *cacheStores
	origins     *origins
	relay       *relay.Relay
	dialer      *peer.Dialer
	tunnels     *tunnels
	metrics     *metric.Set

	callers         *occupancy.Table
	callerServer    *front.Server
	readinessServer *statusServer
	metricsServer   *statusServer // on the separate metrics address; nil if none is set
	peerServer      *peer.Server

	// updating is held while what a source delivered is merged into the mirror and put
	// into effect.
	updating sync.Mutex
	// targetsKnown is set once all targets that a source delivered together are in effect.
	targetsKnown atomic.Bool

	fetchAddresses chan netip.AddrPort
	departures     *departures
	storeHealth    storeHealth
	suspensions    suspensions

	vmsListed atomic.Bool  // whether the VMs have been listed at least once
	lastCount atomic.Int64 // of the VMs, as last passed to the limiter

	mu                sync.Mutex // guards heartbeatFailures
	heartbeatFailures map[netip.AddrPort]int
}

const (
	bootIDBytes = 4
	// memoryLimitShare is the share of the VM's memory that the Go runtime may use.
	// The rest covers memory that the system counts in addition to the runtime's.
	memoryLimitShare = 0.6
	// bufferShare is the share of the VM's memory for answers and bodies that are held
	// until they are passed on. Buffers that grow hold up to twice as much for a moment,
	// and as much is garbage before it is collected. defaultBuffers is the size without a
	// limit on memory.
	bufferShare    = 0.1
	defaultBuffers = 64 << 20 // bytes
	// gcPercent is the heap growth, in percent, that triggers a garbage collection while the
	// heap is far below its limit.
	gcPercent = 200
	// exitMargin is how long before the platform's SIGKILL the remaining requests are
	// aborted, so that the process ends in time.
	exitMargin = 400 * time.Millisecond
	// balancerDetectionTime is how long the load balancer takes to detect that a VM is
	// not ready: two failed checks at one check a second, plus a margin.
	balancerDetectionTime = 2600 * time.Millisecond
)

// Listen opens the listeners.
func (gateway *Gateway) Listen() error {
	if gateway.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(gateway.Settings.MemoryBytes) * memoryLimitShare))
	}
	debug.SetGCPercent(gcPercent)
	bootID := make([]byte, bootIDBytes)
	_, _ = rand.Read(bootID) // never fails
	gateway.bootID = hex.EncodeToString(bootID)
	gateway.started = time.Now()
	if err := gateway.openListeners(); err != nil {
		return err
	}
	gateway.build()
	return nil
}

func (gateway *Gateway) build() {
	vm := gateway.Settings
	gateway.mirror = mirror.New()
	gateway.roster = roster.New(vm.AvailabilityZone)
	gateway.roster.SetMemoryPressure(vm.MemoryPressure)
	gateway.weights = newNamedWeights()
	gateway.suspensions.read, gateway.suspensions.known = readSuspensions, readSuspensions()
	gateway.ordersLease = gateway.newOrdersLease()
	gateway.limits = quota.NewLimiter(vm.Name, assumedVMs)
	gateway.limits.Slack = quota.Slack{
		Overage: vm.Bounds.LimitOverage, WindowSeconds: time.Duration(vm.Bounds.LimitWindow).Seconds(), Tokens: vm.Bounds.LimitReserve,
	}
	gateway.members = membership.NewTable(vm.Name, vm.Seeds, gateway.started)
	gateway.members.Zone = vm.AvailabilityZone
	gateway.sendTimes = membership.NewSendTimes()
	gateway.zones = newZoneTable()
	gateway.suspects = quarantine.NewTracker()
	gateway.parts = quarantine.NewParts()
	gateway.partStore = newPartStore(gateway)
	gateway.clients = relay.NewClients(gateway.TargetDialect)
	gateway.cacheStores = newCacheStores(gateway.Log)
	gateway.dialer = peer.NewDialer(nil)
	gateway.metrics = metric.New(vm.Name)
	gateway.clients.OnOpen = func(cause target.Cause) { gateway.metrics.Connections.Add(string(cause), 1) }
	gateway.clients.OnMismatch = gateway.recordMismatch
	gateway.origins = newOrigins(vm.Name, gateway.members, gateway.dialer, gateway.metrics, gateway.Log)
	gateway.origins.versions = gateway.roster
	if gateway.Store != nil {
		gateway.origins.durable = newDurableOrigins(gateway)
	}
	gateway.tunnels = &tunnels{gateway: gateway}
	gateway.departures = newDepartures(gateway)
	gateway.fetchAddresses = make(chan netip.AddrPort, 1)
	gateway.heartbeatFailures = map[netip.AddrPort]int{}
	gateway.relay = &relay.Relay{
		Bounds: vm.Bounds, Roster: gateway.roster, Limits: gateway.limits, Weights: gateway.weights,
		Stores: gateway.cacheStores, Quarantine: gateway.suspects, Parts: gateway.parts, DeathReporter: gateway, Clients: gateway.clients,
		Budgets: relay.NewBudgets(vm.Bounds, gateway.fleetSize), Origins: gateway.origins, Tunnels: gateway.tunnels, Metrics: gateway.metrics, Log: gateway.Log,
	}
	gateway.relay.Buffers = gateway.newBuffers()
	gateway.relay.Buffers.OnDenied = gateway.reclaim
	gateway.callerServer.Buffers = gateway.relay.Buffers
	gateway.relay.Admission = &admission.Services{Self: vm.Name, Started: gateway.started, Room: gateway.relay.Room}
	gateway.callerServer.Relay = gateway.relay
	gateway.callerServer.Cuts = gateway.metrics.CallerCuts
	gateway.callerServer.Limits = callerLimits{gateway.relay}
	gateway.buildReleases()
}

// newBuffers returns the budget of the memory for answers and bodies.
func (gateway *Gateway) newBuffers() *buffer.Budget {
	if gateway.Settings.MemoryBytes <= 0 {
		return buffer.NewBudget(defaultBuffers)
	}
	return buffer.NewBudget(int64(float64(gateway.Settings.MemoryBytes) * bufferShare))
}

// openListeners opens the listeners. Port 0 selects a free port; the settings then
// hold the addresses in use.
func (gateway *Gateway) openListeners() error {
	vm := &gateway.Settings
	callerListener, err := listenTCP(&vm.Caller)
	if err != nil {
		return errors.Wrap(err, "caller")
	}
	readinessListener, err := listenTCP(&vm.Ready)
	if err != nil {
		return errors.Wrap(err, "ready")
	}
	peerListener, err := listenTCP(&vm.Peer)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	gateway.callers = occupancy.NewTable(callerOccupancy(*vm))
	callerListener = &connection.BoundedListener{Listener: callerListener, Table: gateway.callers, Heads: true, Refusal: front.NoRoom}
	peerListener = &connection.BoundedListener{Listener: peerListener, Table: occupancy.NewTable(peerOccupancy(*vm))}
	gateway.callerServer = &front.Server{Listener: callerListener, Dialect: gateway.FrontDialect, Log: gateway.Log}
	gateway.readinessServer = newStatusServer(readinessListener, gateway.Ready)
	gateway.peerServer = &peer.Server{Listener: peerListener, Handler: gateway}
	gateway.listenForMetrics()
	return nil
}

// listenForMetrics opens the separate metrics address. If that fails, the VM serves
// without it.
func (gateway *Gateway) listenForMetrics() {
	if !gateway.Settings.Metrics.IsValid() {
		return
	}
	listener, err := listenTCP(&gateway.Settings.Metrics)
	if err != nil {
		gateway.Log.Emit(event.MetricsNotServed, event.F("address", gateway.Settings.Metrics.String()), event.Err(err))
		return
	}
	gateway.metricsServer = newStatusServer(listener, gateway.Ready)
}

func listenTCP(address *netip.AddrPort) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen; configure a free address of this VM")
	}
	*address = listener.Addr().(*net.TCPAddr).AddrPort()
	return listener, nil
}

// Ready reports whether the VM can serve: it is not draining, knows the named weights and
// the orders for releases, has at least one configuration and one target, and has put all
// targets into effect that it received with that one.
func (gateway *Gateway) Ready() bool {
	return !gateway.callerServer.Draining() && gateway.relay.Table() != nil && gateway.weights.Known() && gateway.releases.known() && gateway.targetsKnown.Load() && gateway.roster.Size() > 0
}

// Run serves until the context ends, then stops gracefully: readiness checks fail
// first, and requests in flight finish.
func (gateway *Gateway) Run(ctx context.Context) error {
	gateway.Log.Emit(event.Started, event.F("caller", gateway.Settings.Caller.String()), event.F("boot", gateway.bootID))
	defer gateway.Store.Close()
	defer gateway.dialer.Close()
	loopCtx, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	serveCtx, stopServing := context.WithCancel(loopCtx)
	defer stopServing()
	abortCtx, abort := context.WithCancelCause(context.WithoutCancel(ctx))
	abortRequests := func() { abort(stoppedRefusal()) }
	defer abortRequests()
	var group errgroup.Group
	for _, loop := range gateway.loops() {
		group.Go(func() error {
			err := loop(loopCtx)
			if err != nil {
				stopLoops() // the failure of one loop ends the process
			}
			return err
		})
	}
	serveDone := make(chan error, 1)
	go gateway.runCallers(serveCtx, abortCtx, serveDone)
	var serveErr error
	select {
	case <-ctx.Done():
		serveErr = gateway.stop(stopServing, abortRequests, serveDone)
	case serveErr = <-serveDone:
	case <-loopCtx.Done():
	}
	stopLoops()
	err := group.Wait()
	gateway.Log.Emit(event.Stopped)
	return errors.CombineErrors(serveErr, err)
}

func (gateway *Gateway) loops() []func(context.Context) error {
	loops := []func(context.Context) error{
		gateway.peerServer.Run, gateway.readinessServer.run, gateway.runConfigs, gateway.runTargets, gateway.runWeights,
		gateway.runRegistration, gateway.runHeartbeats, gateway.runFetches, gateway.runRoll, gateway.runSweep,
		gateway.cacheStores.run, gateway.runReloads, gateway.runProbes, gateway.origins.run,
		gateway.partStore.run,
	}
	if durable := gateway.origins.durable; durable != nil {
		loops = append(loops, durable.logs.run, durable.writer.run)
	}
	if gateway.releases != nil {
		loops = append(loops, gateway.releases.runOrders, gateway.releases.runJudge, gateway.releases.runLead)
	}
	if gateway.metricsServer != nil {
		loops = append(loops, gateway.metricsServer.run)
	}
	return loops
}

func (gateway *Gateway) runCallers(ctx, abortCtx context.Context, done chan<- error) {
	done <- gateway.callerServer.Run(ctx, abortCtx)
}

// stop shuts down gracefully. It fails readiness checks, waits until the load balancer
// has detected it, lets requests in flight finish, also those of other VMs, and removes
// this VM's entry from the store.
func (gateway *Gateway) stop(stopServing, abortRequests context.CancelFunc, serveDone <-chan error) error {
	start := time.Now()
	gateway.Log.Emit(event.Draining, event.F("running", gateway.relay.Running()))
	gateway.callerServer.Drain()
	gateway.tunnels.close()
	end := gateway.Settings.Bounds.Grace.After(start).Add(-exitMargin)
	abortTimer := time.AfterFunc(time.Until(end), abortRequests)
	defer abortTimer.Stop()
	detectionTimer := time.NewTimer(balancerDetectionTime)
	defer detectionTimer.Stop()
	<-detectionTimer.C
	stopServing()
	err := <-serveDone
	gateway.tunnels.finish(end)
	unregisterCtx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	gateway.unregister(unregisterCtx)
	return err
}

// stoppedRefusal refuses the requests that are still in flight when the process has to
// end.
func stoppedRefusal() *refusal.Refusal {
	return refusal.New(refusal.NotReady, "this VM stops; retry elsewhere, if the request ran only if it may run twice")
}

// runReloads logs that the settings file has changed.
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

// sweepInterval is the time between two removals of expired state.
const sweepInterval = 200 * time.Millisecond

// runSweep removes expired state.
func (gateway *Gateway) runSweep(ctx context.Context) error {
	sweeper := newSweeper(gateway)
	for retry.Wait(ctx, time.Now().Add(sweepInterval)) {
		gateway.applySuspensions()
		sweeper.sweep(ctx, time.Now())
	}
	return nil
}

// sweeper is the state of the loop that removes expired state.
type sweeper struct {
	*Gateway
	callersLogged occupancy.Usage // as last logged
	callerSampler event.Sampler
	detector      membership.FailureDetector
	services      lostServices
	// entries holds the listed targets, adaptive whether each is adaptive, by ID. Both are
	// used by one sweep at a time.
	entries  []roster.Entry
	adaptive map[string]bool
}

func newSweeper(gateway *Gateway) *sweeper {
	return &sweeper{Gateway: gateway, services: lostServices{}, adaptive: map[string]bool{}}
}

func (sweeper *sweeper) sweep(ctx context.Context, now time.Time) {
	sweeper.roster.Sweep(now)
	sweeper.sweepCallers(now)
	sweeper.origins.sweep(now)
	sweeper.parts.Sweep(now)
	sweeper.reportParts(ctx, now)
	sweeper.updateLimitShares(now)
	sweeper.logReachability(&sweeper.detector, now)
	sweeper.updateVMCount(now)
	sweeper.updateSubsets(now)
	sweeper.updateHomes(now)
	sweeper.listTargets(now)
	sweeper.reportServices(sweeper.services, sweeper.entries, now)
	sweeper.updateTargetMetrics(sweeper.entries)
	sweeper.clients.Retain(sweeper.listed)
	sweeper.clients.CloseExpired(func(id string) bool { return sweeper.adaptive[id] }, now)
	sweeper.metrics.ByTarget.Retain(sweeper.listed)
}

// listTargets sets the listed targets. Adaptive ones may close idle connections themselves,
// so that this VM closes them before.
func (sweeper *sweeper) listTargets(now time.Time) {
	sweeper.entries = sweeper.entries[:0]
	for entry := range sweeper.roster.All(now) {
		entry.Models = nil
		sweeper.entries = append(sweeper.entries, entry)
	}
	clear(sweeper.adaptive)
	for i := range sweeper.entries {
		entry := &sweeper.entries[i]
		sweeper.adaptive[entry.ID] = sweeper.roster.Adaptive(entry.Service)
	}
}

// listed reports whether a target is listed.
func (sweeper *sweeper) listed(id string) bool {
	_, ok := sweeper.adaptive[id]
	return ok
}

// updateTargetMetrics sets the numbers of targets by state and the use of the buffers.
func (gateway *Gateway) updateTargetMetrics(entries []roster.Entry) {
	buffers := gateway.relay.Buffers.Usage()
	gateway.metrics.BufferedBytes.Set(buffers.Bytes)
	gateway.metrics.BuffersDenied.Set(buffers.Denied)
	gateway.metrics.Tunneled.Set(int64(gateway.roster.Tunneled()))
	var unreachable, ejected, leaving, resting, brittle, limited int64
	count := func(counter *int64, counts bool) {
		if counts {
			*counter++
		}
	}
	for i := range entries {
		entry := &entries[i]
		count(&unreachable, entry.Unreachable)
		count(&ejected, entry.Ejected)
		count(&leaving, entry.Draining)
		count(&resting, entry.Resting)
		count(&brittle, entry.Brittle)
		count(&limited, entry.Limited)
	}
	gateway.metrics.Unreachable.Set(unreachable)
	gateway.metrics.Ejected.Set(ejected)
	gateway.metrics.Leaving.Set(leaving)
	gateway.metrics.Resting.Set(resting)
	gateway.metrics.Brittle.Set(brittle)
	gateway.metrics.Limited.Set(limited)
}
