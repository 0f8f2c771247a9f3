package router

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/retry"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 500 * time.Millisecond
	// heartbeatPeers is how many VMs get a heartbeat in each interval.
	heartbeatPeers = 2
	// silentAfter is when a VM that is not heard is worth a log event.
	silentAfter   = 5 * time.Second
	notifyTimeout = 300 * time.Millisecond
	// fetchLag is the platform's silence from which on a VM takes newer
	// configuration from others.
	fetchLag = 1500 * time.Millisecond
)

// runHeartbeats exchanges heartbeats with other VMs in turn.
func (router *Router) runHeartbeats(ctx context.Context) error {
	isolated := false
	var silence membership.FailureDetector
	for {
		now := time.Now()
		var group errgroup.Group
		for _, other := range router.members.NextPeers(heartbeatPeers, now) {
			group.Go(func() error { router.heartbeat(ctx, other.Address); return nil })
		}
		if len(router.members.Peers(now)) == 0 {
			for _, seed := range router.members.Seeds() {
				group.Go(func() error { router.heartbeat(ctx, seed); return nil })
			}
		}
		_ = group.Wait() // each reports for itself
		isolated = router.noteIsolation(isolated)
		router.noteSilent(&silence)
		if !retry.Wait(ctx, now.Add(heartbeatInterval)) {
			return nil
		}
	}
}

// noteSilent logs listed VMs that are no longer heard, and those that are again.
func (router *Router) noteSilent(silence *membership.FailureDetector) {
	now := time.Now()
	views := router.members.Views(now)
	listed := views[:0]
	for _, view := range views {
		if view.Listed {
			listed = append(listed, view)
		}
	}
	lost, heard := silence.Update(listed, now.Add(-silentAfter), now)
	for _, name := range lost {
		router.Log.Emit(event.PeerLost, event.F("peer", name))
	}
	for _, name := range heard {
		router.Log.Emit(event.PeerHeard, event.F("peer", name))
	}
}

func (router *Router) noteIsolation(before bool) bool {
	isolated := router.ready() && router.members.Isolated(time.Now())
	switch {
	case isolated && !before:
		router.Log.Emit(event.Isolated)
	case !isolated && before:
		router.Log.Emit(event.IsolationOver)
	}
	return isolated
}

func (router *Router) heartbeat(ctx context.Context, address netip.AddrPort) {
	if address == router.PeerAddress() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	router.metrics.Heartbeats.Add(1)
	reply, err := router.dialer.Heartbeat(ctx, address, router.beat())
	if err == nil {
		router.heard(reply)
	}
}

func (router *Router) beat() peer.Heartbeat {
	now := time.Now()
	beat := peer.Heartbeat{
		Name:        router.Settings.Name,
		Address:     router.PeerAddress(),
		Version:     router.store.Snapshot().Version,
		PlatformAge: router.members.PlatformAge(now),
	}
	for _, age := range router.members.HeartbeatAges(now) {
		beat.PeerAges = append(beat.PeerAges, peer.PeerAge{Name: age.Name, Age: age.Age})
	}
	return beat
}

// heard takes what another VM's heartbeat says.
func (router *Router) heard(beat peer.Heartbeat) {
	now := time.Now()
	router.members.RecordHeartbeat(beat.Name, beat.Address, 0, now)
	router.members.RecordStatus(beat.Name, beat.Version, beat.PlatformAge)
	for _, age := range beat.PeerAges {
		router.members.RecordHeartbeat(age.Name, netip.AddrPort{}, age.Age, now)
	}
	version := router.store.Snapshot().Version
	if version >= beat.Version {
		// All that the platform had told the sender is known here too.
		router.members.RecordPlatformContact(beat.PlatformAge, now)
		return
	}
	if router.members.PlatformAge(now) > fetchLag {
		select {
		case router.fetches <- beat.Address:
		default: // one is on its way
		}
	}
}

// HandleHeartbeat implements peer.Handler.
func (router *Router) HandleHeartbeat(beat peer.Heartbeat) peer.Heartbeat {
	router.heard(beat)
	return router.beat()
}

// Objects implements peer.Handler. A VM that lacks anything gets all: deletions
// cannot be told apart by version alone.
func (router *Router) Objects(objects.Version, []objects.Position) ([]catalog.Object, objects.Version) {
	return router.store.Objects()
}

// HandleNotice implements peer.Handler.
func (router *Router) HandleNotice(notice peer.Notice) {
	for _, object := range notice.Objects {
		if router.store.Hint(object) {
			router.adoptWithdrawal(object)
		}
	}
	now := time.Now()
	for _, charge := range notice.Charges {
		router.suspects.RecordDeath(quarantine.Digest(charge.Digest), charge.Death, now)
	}
}

// Lend implements peer.Handler. The account's limits are this VM's own.
func (router *Router) Lend(right int, share quota.Share, least, want float64) quota.Grant {
	return router.mint.Lend(right, router.ownShare(share), least, want, time.Now())
}

// AcceptReturn implements peer.Handler.
func (router *Router) AcceptReturn(right int, share quota.Share, tokens float64) {
	router.mint.Credit(right, router.ownShare(share), tokens, true, time.Now())
}

// ownShare returns a share with the limits that this VM knows. An account that
// it does not know yet gets nothing.
func (router *Router) ownShare(share quota.Share) quota.Share {
	account := router.store.Snapshot().Account(share.Account)
	if account == nil {
		return quota.Share{Account: share.Account}
	}
	return quota.ShareOf(account.Name, account.Rate, account.Burst)
}

// notify tells all other VMs and returns when they know or time is up. It
// returns how many know.
func (router *Router) notify(ctx context.Context, notice peer.Notice) int {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	return router.dialer.Broadcast(ctx, router.members.Addresses(time.Now()), notice, func(address netip.AddrPort, err error) {
		router.Log.Emit(event.PeerNotTold, event.F("peer", address.String()), event.Err(err))
	})
}

// Publish puts an accepted change in force here and tells the other VMs, ahead
// of the platform's watch.
func (router *Router) Publish(ctx context.Context, object catalog.Object) int {
	router.store.Hint(object)
	return router.notify(ctx, peer.Notice{Objects: []catalog.Object{object}})
}

// ReportDeath implements dispatch.Charger.
func (router *Router) ReportDeath(ctx context.Context, digest quarantine.Digest, death string, standing quarantine.State) {
	notice := peer.Notice{Charges: []peer.Charge{{Digest: string(digest), Death: death}}}
	router.notify(context.WithoutCancel(ctx), notice)
	if standing == quarantine.Blocked {
		router.later(func(ctx context.Context) { router.keepQuarantine(ctx, digest) })
	}
}
