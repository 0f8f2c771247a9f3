package gateway

import (
	"context"
	"net/netip"
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
		reply, err := gateway.dialer.Notify(attemptCtx, representative.Address, notice)
		cancel()
		gateway.endNotice(representative.Address, reply, err)
		if err == nil {
			return
		}
	}
}

// runRelay forwards a notice from another availability zone to the VMs of this VM's
// zone.
func (gateway *Gateway) runRelay(notice peer.Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	var sameZone []netip.AddrPort
	for _, other := range gateway.members.Peers(time.Now()) {
		if other.Zone == "" || other.Zone == gateway.members.Zone {
			sameZone = append(sameZone, other.Address)
		}
	}
	gateway.broadcast(ctx, sameZone, notice)
}

func (gateway *Gateway) broadcast(ctx context.Context, addresses []netip.AddrPort, notice peer.Notice) {
	gateway.dialer.Broadcast(ctx, addresses, notice, gateway.endNotice)
}

// endNotice merges the reply to a notice, or logs its error.
func (gateway *Gateway) endNotice(address netip.AddrPort, reply peer.NoticeReply, err error) {
	if err != nil {
		gateway.Log.Emit(event.PeerNotTold, event.F("peer", address.String()), event.Err(err))
		return
	}
	gateway.mergeAnswers(reply.AnsweredParts, time.Now())
}

// HandleNotice implements peer.Handler.
func (gateway *Gateway) HandleNotice(notice peer.Notice) peer.NoticeReply {
	gateway.applyTargetUpdates(notice.Targets)
	if notice.Relay {
		notice.Relay = false
		go gateway.runRelay(notice)
	}
	now := time.Now()
	gateway.mergeLeaseWrite(notice.OrdersLease, now)
	for _, charge := range notice.Charges {
		gateway.suspects.RecordDeath(quarantine.Digest(charge.Digest), charge.Death, now)
	}
	return gateway.mergeParts(notice, now)
}
