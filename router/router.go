// Package router is one VM's process: the listeners for callers, operators and
// other VMs, and the loops that keep the VM in step with the fleet.
//
// What must be agreed or kept goes through the platform; what must be quick
// goes from VM to VM. Nothing is written to disk.
//
// # Usage
//
//	router := router.New(vm, log)
//	if err := router.Listen(); err != nil { ... }
//	err := router.Run(ctx) // ends gracefully with the context
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

const bootBytes = 4

// Router is one VM. The exported fields are set before Listen.
type Router struct {
	Settings settings.VM
	Log      *event.Log
	// Policy chooses targets; nil for the product's own.
	Policy placement.Policy

	boot       string // tells this process from earlier ones of the VM
	started    time.Time
	store      *catalog.Store
	members    *membership.Table
	mint       *quota.Issuer
	platform   *objects.Client
	dialer     *peer.Dialer
	metrics    *metric.Set
	suspects   *quarantine.Tracker
	burn       *report.Recorder
	dispatcher *dispatch.Dispatcher
	callers    *caller.Server
	operators  *operator.Server
	peers      *peer.Server
	chores     chan chore
	returns    chan returned
	fetches    chan netip.AddrPort
	killed     atomic.Bool
	free       [quota.Rights]freeRight // used by runRights alone
}

// New returns a VM with the settings.
func New(vm settings.VM, log *event.Log) *Router {
	return &Router{Settings: vm, Log: log}
}

// Listen opens the listeners, so that their addresses are known.
func (router *Router) Listen() error {
	boot := make([]byte, bootBytes)
	_, _ = rand.Read(boot) // never fails
	router.boot = hex.EncodeToString(boot)
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
	router.mint = quota.NewIssuer()
	router.platform = objects.New(vm.Platform)
	router.metrics = metric.New(vm.Name)
	router.suspects = quarantine.NewTracker()
	router.burn = report.NewRecorder()
	router.chores = make(chan chore, choreBuffer)
	router.returns = make(chan returned, returnBuffer)
	router.fetches = make(chan netip.AddrPort, 1)
	router.dispatcher = &dispatch.Dispatcher{
		VM: vm.Name, Zone: vm.AvailabilityZone, Boot: router.boot, Limits: vm.Limits,
		Catalog: router.store, Members: router.members, Policy: router.Policy,
		Ledger:        quota.NewLedger(router.mint, router),
		Quarantine:    router.suspects,
		Claims:        claim.NewClaimer(router.platform, vm.Name),
		DeathReporter: router, Targets: targets, Metrics: router.metrics, Log: router.Log,
	}
	router.dispatcher.Prepare()
	return nil
}

// targetTLS returns the configuration for targets that are reached by TLS:
// with the named certificate and authority, or with the system's authorities.
func targetTLS(named settings.TLS) (*tls.Config, error) {
	if !named.Enabled() {
		return &tls.Config{MinVersion: tls.VersionTLS12}, nil
	}
	source, err := certificate.Open(named)
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

func listen(named settings.Listener) (net.Listener, *tls.Config, error) {
	listener, err := net.Listen("tcp", named.Address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen; choose an address of this VM that is free")
	}
	if !named.TLS.Enabled() {
		return listener, nil, nil
	}
	source, err := certificate.Open(named.TLS)
	if err != nil {
		_ = listener.Close()
		return nil, nil, err
	}
	return listener, source.Server(), nil
}

// CallerAddress returns where callers are served.
func (router *Router) CallerAddress() netip.AddrPort {
	return addressOf(router.callers.Listener)
}

// OperatorAddress returns where operators are served.
func (router *Router) OperatorAddress() netip.AddrPort {
	return addressOf(router.operators.Listener)
}

// PeerAddress returns where other VMs are served.
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

// ControlBytes returns the bytes of all calls to other VMs so far.
func (router *Router) ControlBytes() int64 {
	return router.dialer.Bytes.Load()
}

// Ready reports whether a configuration is in force.
func (router *Router) Ready() bool {
	return router.ready()
}

func (router *Router) ready() bool {
	return router.store.Loaded()
}

// Kill makes the end of Run's context end the process at once, as a failure of
// the VM would: nothing is handed over.
func (router *Router) Kill() {
	router.killed.Store(true)
}

// Run serves until the context ends, then stops gracefully: the health check
// fails first, running requests finish, and what this VM holds is handed over.
func (router *Router) Run(ctx context.Context) error {
	router.Log.Emit(event.Started, event.F("caller", router.CallerAddress().String()))
	defer router.platform.Close()
	defer router.dialer.Close()
	lasting, stopLasting := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLasting()
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	var group errgroup.Group
	for _, loop := range router.loops() {
		group.Go(func() error { return router.guard(stopLasting, loop(lasting)) })
	}
	callersDone := make(chan error, 1)
	go router.runCallers(serving, callersDone)
	var failed error
	select {
	case <-ctx.Done():
		if !router.killed.Load() {
			failed = router.stop(stopServing, callersDone)
		}
	case failed = <-callersDone:
	case <-lasting.Done():
	}
	stopServing()
	stopLasting()
	err := group.Wait()
	router.Log.Emit(event.Stopped)
	return errors.CombineErrors(failed, err)
}

func (router *Router) loops() []func(context.Context) error {
	return []func(context.Context) error{
		router.peers.Run, router.operators.Run, router.dispatcher.Run, router.runConfig, router.runVMs,
		router.runHeartbeats, router.runFetches, router.runRights, router.runReturns, router.runChores,
		router.runPlans, router.runBurn,
	}
}

// guard ends all loops when one fails.
func (router *Router) guard(stop context.CancelFunc, err error) error {
	if err != nil {
		stop()
	}
	return err
}

func (router *Router) runCallers(ctx context.Context, done chan<- error) {
	done <- router.callers.Run(ctx)
}

// stop is the graceful shutdown.
func (router *Router) stop(stopServing context.CancelFunc, callersDone <-chan error) error {
	router.Log.Emit(event.Draining)
	router.callers.Drain()
	notice := time.NewTimer(time.Until(router.Settings.Limits.DrainNotice.After(time.Now())))
	defer notice.Stop()
	<-notice.C
	stopServing()
	err := <-callersDone
	ending, cancel := context.WithTimeout(context.Background(), handOverTime)
	defer cancel()
	router.releaseRights(ending)
	router.writeBurn(ending)
	return err
}
