package router

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/retry"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 500 * time.Millisecond
	// heartbeatPeers is the number of VMs that are sent a heartbeat per interval.
	heartbeatPeers = 2
	// peerLostAfter is the time without a heartbeat after which a listed VM is
	// logged as lost.
	peerLostAfter = 5 * time.Second
	notifyTimeout = 300 * time.Millisecond
	// fetchMinPlatformAge is the time without contact with the platform after
	// which a VM fetches newer configuration from other VMs.
	fetchMinPlatformAge = 1500 * time.Millisecond
)

// runHeartbeats exchanges heartbeats with the other VMs in round-robin order,
// or with the seeds while no other VM is known.
func (router *Router) runHeartbeats(ctx context.Context) error {
	isolated := false
	var detector membership.FailureDetector
	for {
		now := time.Now()
		var group errgroup.Group
		for _, other := range router.members.NextPeers(heartbeatPeers, now) {
			group.Go(func() error { router.sendHeartbeat(ctx, other.Address); return nil })
		}
		if len(router.members.Peers(now)) == 0 {
			for _, seed := range router.members.Seeds() {
				group.Go(func() error { router.sendHeartbeat(ctx, seed); return nil })
			}
		}
		_ = group.Wait() // always nil: sendHeartbeat reports no errors
		isolated = router.logIsolation(isolated)
		router.logPeerChanges(&detector)
		if !retry.Wait(ctx, now.Add(heartbeatInterval)) {
			return nil
		}
	}
}

// logPeerChanges logs listed VMs whose heartbeats have stopped, and those whose
// heartbeats arrive again.
func (router *Router) logPeerChanges(detector *membership.FailureDetector) {
	now := time.Now()
	views := router.members.Views(now)
	listed := views[:0]
	for _, view := range views {
		if view.Listed {
			listed = append(listed, view)
		}
	}
	lost, recovered := detector.Update(listed, now.Add(-peerLostAfter), now)
	for _, name := range lost {
		router.Log.Emit(event.PeerLost, event.F("peer", name))
	}
	for _, name := range recovered {
		router.Log.Emit(event.PeerHeard, event.F("peer", name))
	}
}

func (router *Router) logIsolation(wasIsolated bool) bool {
	isolated := router.ready() && router.members.Isolated(time.Now())
	switch {
	case isolated && !wasIsolated:
		router.Log.Emit(event.Isolated)
	case !isolated && wasIsolated:
		router.Log.Emit(event.IsolationOver)
	}
	return isolated
}

func (router *Router) sendHeartbeat(ctx context.Context, address netip.AddrPort) {
	if address == router.PeerAddress() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	router.metrics.Heartbeats.Add(1)
	reply, err := router.dialer.Heartbeat(ctx, address, router.newHeartbeat())
	if err == nil {
		router.recordHeartbeat(reply)
	}
}

func (router *Router) newHeartbeat() peer.Heartbeat {
	now := time.Now()
	heartbeat := peer.Heartbeat{
		Name:        router.Settings.Name,
		Address:     router.PeerAddress(),
		Version:     router.store.Snapshot().Version,
		PlatformAge: router.members.PlatformAge(now),
	}
	for _, age := range router.members.HeartbeatAges(now) {
		heartbeat.PeerAges = append(heartbeat.PeerAges, peer.PeerAge{Name: age.Name, Age: age.Age})
	}
	return heartbeat
}

// recordHeartbeat updates the membership table from another VM's heartbeat, and
// schedules a fetch of the sender's configuration if it is newer and this VM has
// had no contact with the platform for fetchMinPlatformAge.
func (router *Router) recordHeartbeat(heartbeat peer.Heartbeat) {
	now := time.Now()
	router.members.RecordHeartbeat(heartbeat.Name, heartbeat.Address, 0, now)
	router.members.RecordStatus(heartbeat.Name, heartbeat.Version, heartbeat.PlatformAge)
	for _, age := range heartbeat.PeerAges {
		router.members.RecordHeartbeat(age.Name, netip.AddrPort{}, age.Age, now)
	}
	version := router.store.Snapshot().Version
	if version >= heartbeat.Version {
		// This VM has every change that the sender has received from the
		// platform, so the sender's contact counts for this VM too.
		router.members.RecordPlatformContact(heartbeat.PlatformAge, now)
		return
	}
	if router.members.PlatformAge(now) > fetchMinPlatformAge {
		select {
		case router.fetches <- heartbeat.Address:
		default: // a fetch is already queued
		}
	}
}

// HandleHeartbeat implements peer.Handler.
func (router *Router) HandleHeartbeat(heartbeat peer.Heartbeat) peer.Heartbeat {
	router.recordHeartbeat(heartbeat)
	return router.newHeartbeat()
}

// Objects implements peer.Handler. It returns all objects, whatever the caller
// already has, because deletions cannot be derived from the version alone.
func (router *Router) Objects(objects.Version, []objects.Position) ([]catalog.Object, objects.Version) {
	return router.store.Objects()
}

// HandleNotice implements peer.Handler.
func (router *Router) HandleNotice(notice peer.Notice) peer.NoticeReply {
	for _, object := range notice.Objects {
		if router.store.ApplyUnordered(object) {
			router.adoptWithdrawal(object)
		}
	}
	now := time.Now()
	for _, charge := range notice.Charges {
		router.quarantine.RecordDeath(quarantine.Digest(charge.Digest), charge.Death, now)
	}
	return peer.NoticeReply{}
}

// errNoTunnels is returned to VMs that ask for a connection to a target.
var errNoTunnels = errors.New("this VM connects to no targets for other VMs")

// DialTarget implements peer.Handler.
func (router *Router) DialTarget(context.Context, string) (net.Conn, error) {
	return nil, errNoTunnels
}

// Lend implements peer.Handler. It applies the account limits that this VM has,
// not those in the request.
func (router *Router) Lend(right int, share quota.Share, minTokens, want float64) quota.Grant {
	return router.issuer.Lend(right, router.localShare(share), minTokens, want, time.Now())
}

// AcceptReturn implements peer.Handler. Like Lend, it applies the account limits
// that this VM has.
func (router *Router) AcceptReturn(right int, share quota.Share, tokens float64) {
	router.issuer.Credit(right, router.localShare(share), tokens, true, time.Now())
}

// RecordOrigins implements peer.Handler. This router's platform lists no software versions
// of targets, so there is nothing to keep.
func (router *Router) RecordOrigins([]origin.Record) {}

// StoreOrigins implements peer.Handler. It stores none.
func (router *Router) StoreOrigins(context.Context, []origin.Record) bool { return false }

// FindOrigin implements peer.Handler. It knows of no stream because RecordOrigins keeps none.
func (router *Router) FindOrigin(context.Context, origin.Query) origin.Answer {
	return origin.Answer{}
}

// localShare returns the share with the limits from this VM's configuration. An
// account that is not in the configuration yet gets a share with rate and burst 0.
func (router *Router) localShare(share quota.Share) quota.Share {
	account := router.store.Snapshot().Account(share.Account)
	if account == nil {
		return quota.Share{Account: share.Account}
	}
	return quota.ShareOf(account.Name, account.Rate, account.Burst)
}

// notify sends the notice to all other VMs and waits until each has acknowledged
// it or notifyTimeout has passed. It returns the number of acknowledgments.
func (router *Router) notify(ctx context.Context, notice peer.Notice) int {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	return router.dialer.Broadcast(ctx, router.members.Addresses(time.Now()), notice, func(address netip.AddrPort, _ peer.NoticeReply, err error) {
		if err != nil {
			router.Log.Emit(event.PeerNotTold, event.F("peer", address.String()), event.Err(err))
		}
	})
}

// Publish applies a change that the platform has accepted to this VM's
// configuration and sends it to the other VMs, without waiting for the platform's
// watch. It returns the number of VMs that acknowledged the change.
func (router *Router) Publish(ctx context.Context, object catalog.Object) int {
	router.store.ApplyUnordered(object)
	return router.notify(ctx, peer.Notice{Objects: []catalog.Object{object}})
}

// ReportDeath implements dispatch.DeathReporter: it reports the death to the other
// VMs, and queues the storage of the quarantine if the request is now blocked.
func (router *Router) ReportDeath(ctx context.Context, digest quarantine.Digest, death string, state quarantine.State) {
	notice := peer.Notice{Charges: []peer.Charge{{Digest: string(digest), Death: death}}}
	router.notify(context.WithoutCancel(ctx), notice)
	if state == quarantine.Blocked {
		router.enqueueTask(func(ctx context.Context) { router.recordQuarantine(ctx, digest) })
	}
}
