package gateway

import (
	"strings"
	"time"

	"github.com/bramleygw/bramleygw/lease"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/settings"
)

const (
	// takeoverMargin is added to the platform's lease bound: the lease must have been
	// unchanged for the sum of both before another VM may take it over.
	takeoverMargin = orderWindow + 100*time.Millisecond
	// leaseAttemptInterval is the minimum time between two attempts to acquire a lease
	// that another VM holds.
	leaseAttemptInterval = 400 * time.Millisecond
	// rankDelay is the head start in acquiring the lease that each VM gives to the one
	// ranked before it, and that all VMs give to an active holder.
	rankDelay = 700 * time.Millisecond
)

// takeover decides when a VM that does not hold the lease of orders tries to acquire it.
// A VM tries once when a roll has stalled, in case the lease is free or was written
// without the knowledge of this VM, and again when the lease is free.
type takeover struct {
	lastAttempt time.Time // when the last attempt ended
}

// contest is what an attempt to acquire the lease depends on.
type contest struct {
	// rank returns the number of VMs that try before this one. holderActive is set if the
	// last holder is another VM that can give orders, as far as is known.
	rank         func() int
	holderActive bool
	// stalledSince is when a target or the lease last changed, freeAt when the lease may
	// be taken over if it does not change.
	stalledSince time.Time
	freeAt       time.Time
}

// due reports whether the VM tries to acquire the lease now.
func (takeover *takeover) due(contest contest, now time.Time) bool {
	if now.Sub(takeover.lastAttempt) < leaseAttemptInterval {
		return false
	}
	first := contest.stalledSince // when the VM that is ranked first tries
	switch {
	case takeover.lastAttempt.After(contest.stalledSince):
		first = contest.freeAt
	case contest.holderActive:
		first = first.Add(rankDelay)
	}
	// The rank takes time in proportion to the fleet.
	return !now.Before(first) && !now.Before(first.Add(time.Duration(contest.rank())*rankDelay))
}

// contest returns the present state of the contest for the lease, given when the number
// of targets that lack weights last changed.
func (gateway *Gateway) contest(changed, now time.Time) contest {
	observed := gateway.ordersLease.Observed()
	contest := contest{
		rank: func() int { return gateway.rank(now) }, holderActive: gateway.holderActive(observed.Holder, now),
		stalledSince: changed, freeAt: gateway.ordersLease.TakeoverDelay.After(observed.At),
	}
	if observed.At.After(changed) {
		contest.stalledSince = observed.At
	}
	return contest
}

// holderActive reports whether a holder of the lease is another VM that can give orders,
// as far as is known.
func (gateway *Gateway) holderActive(holder string, now time.Time) bool {
	name, _, _ := strings.Cut(holder, holderSeparator)
	if name == "" || name == gateway.Settings.Name {
		return false
	}
	hierarchical := gateway.members.Hierarchical(maxHeartbeatPeers, now)
	view, ok := gateway.members.View(name, now)
	if !ok || hierarchical && view.AvailabilityZone != gateway.members.Zone {
		return hierarchical // it sends no heartbeats to this VM
	}
	return reachesStore(view)
}

// reachesStore reports whether a VM is alive and reaches the store, by its heartbeats.
func reachesStore(view membership.View) bool {
	return view.Alive && view.PlatformAgeMS == 0
}

// holderSeparator separates a VM's name from its address in the name of a holder.
const holderSeparator = "@"

// newOrdersLease returns this VM's view of the lease that allows one VM at a time to give
// orders.
func (gateway *Gateway) newOrdersLease() *lease.Lease {
	vm := gateway.Settings
	ordersLease := lease.New(gateway.Store, leaseName, vm.Name+holderSeparator+vm.Peer.Addr().String())
	ordersLease.Boot = gateway.bootID
	ordersLease.ValidFor = settings.Span(orderWindow)
	ordersLease.TakeoverDelay = vm.Bounds.TakeoverDelay + settings.Span(takeoverMargin)
	return ordersLease
}

// leaseWrite returns what this VM knows of the lease of orders, for other VMs.
func (gateway *Gateway) leaseWrite(now time.Time) peer.LeaseWrite {
	observed := gateway.ordersLease.Observed()
	return peer.LeaseWrite{Version: uint64(observed.Version), Holder: observed.Holder, Age: now.Sub(observed.At)}
}

// mergeLeaseWrite records what another VM knows of the lease of orders. The time that the
// message took makes the write appear younger, which delays a takeover.
func (gateway *Gateway) mergeLeaseWrite(write peer.LeaseWrite, now time.Time) {
	if write.Version > 0 {
		gateway.ordersLease.Observe(lease.Observation{Version: objects.Version(write.Version), Holder: write.Holder, At: now.Add(-write.Age)})
	}
}
