package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quarantine"
)

// notify sends a notice to all other VMs and returns when they have confirmed it or
// notifyTimeout has passed. In a large fleet, one representative of each other
// availability zone receives it and forwards it to its zone.
func (gateway *Gateway) notify(ctx context.Context, notice peer.Notice) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	defer cancel()
	gateway.setSender(&notice)
	direct, zoneRepresentatives := gateway.recipients(time.Now())
	var group errgroup.Group
	for _, representatives := range zoneRepresentatives {
		group.Go(func() error {
			gateway.notifyRepresentative(ctx, representatives, notice)
			return nil
		})
	}
	gateway.broadcast(ctx, direct, notice)
	_ = group.Wait() // notifyRepresentative logs its own errors
}

// recipients returns the VMs that receive a notice directly, and the representatives
// of each availability zone in which one representative forwards it.
func (gateway *Gateway) recipients(now time.Time) (direct []netip.AddrPort, zoneRepresentatives [][]membership.Peer) {
	if !gateway.members.Hierarchical(maxHeartbeatPeers, now) {
		return gateway.members.Addresses(now), nil
	}
	represented := map[string]bool{}
	for _, zone := range gateway.members.Zones() {
		if representatives := gateway.members.Representatives(zone, now); zone != gateway.members.Zone && len(representatives) > 0 {
			represented[zone] = true
			zoneRepresentatives = append(zoneRepresentatives, representatives)
		}
	}
	for _, other := range gateway.members.Peers(now) {
		if !represented[other.Zone] {
			direct = append(direct, other.Address)
		}
	}
	return direct, zoneRepresentatives
}

// notifyRepresentative tries the representatives in turn until one confirms the
// notice.
func (gateway *Gateway) notifyRepresentative(ctx context.Context, representatives []membership.Peer, notice peer.Notice) {
	notice.Relay = true
	for i, representative := range representatives {
		// Leave part of the time for the remaining representatives.
		deadline := time.Now().Add(notifyTimeout * time.Duration(i+1) / time.Duration(len(representatives)+1))
		attemptCtx, cancel := context.WithDeadline(ctx, deadline)
		calledAt := time.Now()
		reply, err := gateway.dialer.Notify(attemptCtx, representative.Address, notice)
		cancel()
		gateway.endNotice(representative.Address, reply, err, calledAt)
		if err == nil {
			return
		}
	}
}

// runRelay forwards a notice from another availability zone, sent at the given time, to the
// VMs of this VM's zone.
func (gateway *Gateway) runRelay(notice peer.Notice, sentAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	notice.Relay = false
	notice.AnsweredParts = slices.Clone(notice.AnsweredParts)
	for i := range notice.AnsweredParts {
		notice.AnsweredParts[i].Age += time.Since(sentAt)
	}
	notice.Releases = slices.Clone(notice.Releases)
	for i := range notice.Releases {
		notice.Releases[i].IssueAge += time.Since(sentAt)
	}
	gateway.setSender(&notice)
	var sameZone []netip.AddrPort
	for _, other := range gateway.members.Peers(time.Now()) {
		if other.Zone == "" || other.Zone == gateway.members.Zone {
			sameZone = append(sameZone, other.Address)
		}
	}
	gateway.broadcast(ctx, sameZone, notice)
}

func (gateway *Gateway) broadcast(ctx context.Context, addresses []netip.AddrPort, notice peer.Notice) {
	calledAt := time.Now()
	gateway.dialer.Broadcast(ctx, addresses, notice, func(address netip.AddrPort, reply peer.NoticeReply, err error) {
		gateway.endNotice(address, reply, err, calledAt)
	})
}

// endNotice merges the reply to a notice sent at the given time or later, or logs its error.
func (gateway *Gateway) endNotice(address netip.AddrPort, reply peer.NoticeReply, err error, calledAt time.Time) {
	if err != nil {
		gateway.Log.Emit(event.PeerNotTold, event.F("peer", address.String()), event.Err(err))
		return
	}
	gateway.mergeAnswers(reply.AnsweredParts, calledAt)
}

// setSender makes this VM the sender of a notice whose ages are as of now.
func (gateway *Gateway) setSender(notice *peer.Notice) {
	notice.Name, notice.Boot, notice.Uptime = gateway.Settings.Name, gateway.bootID, time.Since(gateway.started)
}

// noticeSentAt returns the earliest time at which a notice read at a time can have been
// sent, and whether that is exact.
func (gateway *Gateway) noticeSentAt(notice peer.Notice, readAt time.Time) (sentAt time.Time, exact bool) {
	if notice.Name == "" {
		return gateway.earliestCall(), false
	}
	return gateway.sendTimes.Record(notice.Name, notice.Boot, notice.Uptime, gateway.earliestCall(), readAt)
}

// HandleNotice implements peer.Handler.
func (gateway *Gateway) HandleNotice(notice peer.Notice) peer.NoticeReply {
	gateway.applySuspensions()
	now := time.Now()
	sentAt, exact := gateway.noticeSentAt(notice, now)
	if !exact && len(notice.AnsweredParts) > 0 {
		go gateway.runAnswers(notice, now)
		notice.AnsweredParts = nil
	}
	gateway.departures.merge(notice.Objects, now)
	gateway.applyTargetUpdates(notice.Targets)
	gateway.releases.merge(notice.Name, notice.Releases, sentAt, now)
	if notice.Relay {
		go gateway.runRelay(notice, sentAt)
	}
	gateway.mergeLeaseWrite(notice.OrdersLease, now)
	for _, charge := range notice.Charges {
		gateway.suspects.RecordDeath(quarantine.Digest(charge.Digest), charge.Death, now)
	}
	return gateway.mergeParts(notice, sentAt, now)
}

// runAnswers calls the sender of a notice to learn when that was sent, and then merges and
// forwards what the notice says of answered parts.
func (gateway *Gateway) runAnswers(notice peer.Notice, readAt time.Time) {
	for _, other := range gateway.members.Peers(time.Now()) {
		if other.Name == notice.Name {
			gateway.runHeartbeat(context.Background(), other)
		}
	}
	gateway.mergeLateAnswers(notice, readAt)
}

// mergeLateAnswers merges the answered parts in a notice read at an earlier time.
func (gateway *Gateway) mergeLateAnswers(notice peer.Notice, readAt time.Time) {
	sentAt, _ := gateway.noticeSentAt(notice, readAt)
	gateway.mergeAnswers(notice.AnsweredParts, sentAt)
	if notice.Relay {
		go gateway.runRelay(peer.Notice{AnsweredParts: notice.AnsweredParts}, sentAt)
	}
}
