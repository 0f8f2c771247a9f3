// Package router runs the process of one VM: the listeners for callers,
// operators and other VMs, and the loops that synchronize the VM with the fleet.
//
// State that needs agreement or durability is written to the platform; updates
// that must arrive quickly are sent directly between VMs. Nothing is written to
// disk.
//
// # Usage
//
//	router := router.New(vm, log)
//	if err := router.Listen(); err != nil { ... }
//	err := router.Run(ctx) // shuts down gracefully when ctx is canceled
package router

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/caller"
	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/certificate"
	"github.com/bramleygw/bramleygw/claim"
	"github.com/bramleygw/bramleygw/dispatch"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/operator"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/report"
	"github.com/bramleygw/bramleygw/settings"
)

const bootIDBytes = 4

// Router is the process of one VM. Set the exported fields before calling Listen.
type Router struct {
	Settings settings.VM
	Log      *event.Log
	// Policy chooses targets; nil selects the built-in policy.
	Policy placement.Policy

	bootID     string // distinguishes this process from earlier processes of the VM
	started    time.Time
	store      *catalog.Store
	members    *membership.Table
	issuer     *quota.Issuer
	platform   *objects.Client
	dialer     *peer.Dialer
	metrics    *metric.Set
	quarantine *quarantine.Tracker
	burn       *report.Recorder
	dispatcher *dispatch.Dispatcher
	callers    *caller.Server
	operators  *operator.Server
	peers      *peer.Server
	tasks      chan task
	returns    chan returnedTokens
	fetches    chan netip.AddrPort
	skipStop   atomic.Bool
	unheld     [quota.Rights]unheldRight // accessed only by the runRights goroutine
}

// New returns a Router with the given settings. Call Listen before Run.
func New(vm settings.VM, log *event.Log) *Router {
	return &Router{Settings: vm, Log: log}
}

// Listen opens the listeners, so that their addresses are known before Run.
func (router *Router) Listen() error {
	bootID := make([]byte, bootIDBytes)
	_, _ = rand.Read(bootID) // never fails
	router.bootID = hex.EncodeToString(bootID)
	router.started = time.Now()
	if err := router.build(); err != nil {
		return err
	}
	if err := router.listenCallers(); err != nil {
		return err
	}
	if err := router.listenOperators(); err != nil {
		return err
	}
	return router.listenPeers()
}

func (router *Router) build() error {
	vm := router.Settings
	targets := dispatch.NewTargets()
	var err error
	if targets.TLS, err = targetTLS(vm.Targets.TLS); err != nil {
		return errors.Wrap(err, "targets")
	}
	if router.Policy == nil {
		router.Policy = placement.NewPrefixAware(placement.DefaultIndexEntries)
	}
	router.store = catalog.New()
	router.store.OnFault = func(err error) { router.Log.Emit(event.ConfigRejected, event.Err(err)) }
	router.members = membership.NewTable(vm.Name, vm.Peers, router.started)
	router.issuer = quota.NewIssuer()
	router.platform = objects.New(vm.Platform)
	router.metrics = metric.New(vm.Name)
	router.quarantine = quarantine.NewTracker()
	router.burn = report.NewRecorder()
	router.tasks = make(chan task, taskBuffer)
	router.returns = make(chan returnedTokens, returnBuffer)
	router.fetches = make(chan netip.AddrPort, 1)
	router.dispatcher = &dispatch.Dispatcher{
		VM: vm.Name, Zone: vm.AvailabilityZone, Boot: router.bootID, Limits: vm.Limits,
		Catalog: router.store, Members: router.members, Policy: router.Policy,
		Ledger:        quota.NewLedger(router.issuer, router),
		Quarantine:    router.quarantine,
		Claims:        claim.NewClaimer(router.platform, vm.Name),
		DeathReporter: router, Targets: targets, Metrics: router.metrics, Log: router.Log,
	}
	router.dispatcher.Prepare()
	return nil
}

// targetTLS returns the TLS configuration for connections to targets. It uses
// the configured certificate and authority, or the system's authorities if none
// are configured.
func targetTLS(tlsSettings settings.TLS) (*tls.Config, error) {
	if !tlsSettings.Enabled() {
		return &tls.Config{MinVersion: tls.VersionTLS12}, nil
	}
	source, err := certificate.Open(tlsSettings)
	if err != nil {
		return nil, err
	}
	return source.Client(), nil
}

func (router *Router) listenCallers() error {
	listener, tlsConfig, err := listen(router.Settings.Caller)
	if err != nil {
		return errors.Wrap(err, "caller")
	}
	router.callers = &caller.Server{
		Listener: listener, TLS: tlsConfig, Limits: router.Settings.Limits, Catalog: router.store,
		Members: router.members, Dispatcher: router.dispatcher, Burn: router.burn, Ready: router.ready,
	}
	return nil
}

func (router *Router) listenOperators() error {
	listener, tlsConfig, err := listen(router.Settings.Operator)
	if err != nil {
		return errors.Wrap(err, "operator")
	}
	router.operators = &operator.Server{
		Listener: listener, TLS: tlsConfig, Limits: router.Settings.Limits, Keys: router.Settings.OperatorKeys,
		Platform: router.platform, Fleet: router, VM: router.Settings.Name,
	}
	return nil
}

func (router *Router) listenPeers() error {
	listener, tlsConfig, err := listen(router.Settings.Peer)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	router.peers = &peer.Server{Listener: listener, TLS: tlsConfig, Handler: router}
	var dial *tls.Config
	if router.Settings.Peer.TLS.Enabled() {
		source, err := certificate.Open(router.Settings.Peer.TLS)
		if err != nil {
			return errors.Wrap(err, "peer")
		}
		dial = source.Client()
	}
	router.dialer = peer.NewDialer(dial)
	return nil
}

func listen(listenerSettings settings.Listener) (net.Listener, *tls.Config, error) {
	listener, err := net.Listen("tcp", listenerSettings.Address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen; choose an address of this VM that is free")
	}
	if !listenerSettings.TLS.Enabled() {
		return listener, nil, nil
	}
	source, err := certificate.Open(listenerSettings.TLS)
	if err != nil {
		_ = listener.Close()
		return nil, nil, err
	}
	return listener, source.Server(), nil
}

// CallerAddress returns the address of the listener for callers.
func (router *Router) CallerAddress() netip.AddrPort {
	return addressOf(router.callers.Listener)
}

// OperatorAddress returns the address of the listener for operators.
func (router *Router) OperatorAddress() netip.AddrPort {
	return addressOf(router.operators.Listener)
}

// PeerAddress returns the address of the listener for other VMs.
func (router *Router) PeerAddress() netip.AddrPort {
	return addressOf(router.peers.Listener)
}

func addressOf(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// Metrics returns the VM's counters.
func (router *Router) Metrics() *metric.Set {
	return router.metrics
}

// ControlBytes returns the total number of bytes of all calls to other VMs.
func (router *Router) ControlBytes() int64 {
	return router.dialer.Bytes.Load()
}

// Ready reports whether a configuration has been loaded.
func (router *Router) Ready() bool {
	return router.ready()
}

func (router *Router) ready() bool {
	return router.store.Loaded()
}

// SkipGracefulStop disables the graceful shutdown, to simulate a failure of the
// VM: when its context is canceled, Run stops at once and hands nothing over.
func (router *Router) SkipGracefulStop() {
	router.skipStop.Store(true)
}

// Run serves until ctx is canceled, then shuts down gracefully: the health
// check fails first, requests in flight finish, and the rights that this VM
// holds are released to other VMs.
func (router *Router) Run(ctx context.Context) error {
	router.Log.Emit(event.Started, event.F("caller", router.CallerAddress().String()))
	defer router.platform.Close()
	defer router.dialer.Close()
	loopsContext, stopLoops := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLoops()
	callersContext, stopCallers := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCallers()
	var group errgroup.Group
	for _, loop := range router.loops() {
		group.Go(func() error { return router.stopOnError(stopLoops, loop(loopsContext)) })
	}
	callersDone := make(chan error, 1)
	go router.runCallers(callersContext, callersDone)
	var serveErr error
	select {
	case <-ctx.Done():
		if !router.skipStop.Load() {
			serveErr = router.stop(stopCallers, callersDone)
		}
	case serveErr = <-callersDone:
	case <-loopsContext.Done():
	}
	stopCallers()
	stopLoops()
	err := group.Wait()
	router.Log.Emit(event.Stopped)
	return errors.CombineErrors(serveErr, err)
}

func (router *Router) loops() []func(context.Context) error {
	return []func(context.Context) error{
		router.peers.Run, router.operators.Run, router.dispatcher.Run, router.runConfig, router.runVMs,
		router.runHeartbeats, router.runFetches, router.runRights, router.runReturns, router.runTasks,
		router.runPlans, router.runBurn,
	}
}

// stopOnError stops all loops when one of them fails.
func (router *Router) stopOnError(stop context.CancelFunc, err error) error {
	if err != nil {
		stop()
	}
	return err
}

func (router *Router) runCallers(ctx context.Context, done chan<- error) {
	done <- router.callers.Run(ctx)
}

// stop shuts down gracefully: it fails the health check, waits for the configured
// drain notice period, stops the listener for callers, releases the rights and writes the
// final counts.
func (router *Router) stop(stopCallers context.CancelFunc, callersDone <-chan error) error {
	router.Log.Emit(event.Draining)
	router.callers.Drain()
	noticeTimer := time.NewTimer(time.Until(router.Settings.Limits.DrainNotice.After(time.Now())))
	defer noticeTimer.Stop()
	<-noticeTimer.C
	stopCallers()
	err := <-callersDone
	handOverContext, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	router.releaseRights(handOverContext)
	router.writeBurn(handOverContext)
	return err
}
