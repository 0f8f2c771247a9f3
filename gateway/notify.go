package gateway

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/peer"
)

// notify tells all other VMs and returns when they know or time is up. In a large
// fleet one speaker of each other availability zone is told, and tells its zone.
func (gateway *Gateway) notify(ctx context.Context, notice peer.Notice) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
	defer cancel()
	direct, zones := gateway.audience(time.Now())
	var group errgroup.Group
	for _, speakers := range zones {
		group.Go(func() error {
			gateway.tellSpeaker(ctx, speakers, notice)
			return nil
		})
	}
	gateway.tell(ctx, direct, notice)
	_ = group.Wait() // each reports for itself
}

// audience returns the VMs that are told of news directly, and the speakers of each
// availability zone whose VMs hear it from one of them.
func (gateway *Gateway) audience(now time.Time) (direct []netip.AddrPort, zones [][]membership.Peer) {
	if !gateway.members.Layered(heartbeatPeers, now) {
		return gateway.members.Addresses(now), nil
	}
	spoken := map[string]bool{}
	for _, zone := range gateway.members.Zones() {
		if speakers := gateway.members.Speakers(zone, now); zone != gateway.members.Zone && len(speakers) > 0 {
			spoken[zone] = true
			zones = append(zones, speakers)
		}
	}
	for _, other := range gateway.members.Peers(now) {
		if !spoken[other.Zone] {
			direct = append(direct, other.Address)
		}
	}
	return direct, zones
}

// tellSpeaker tells the first speaker that confirms.
func (gateway *Gateway) tellSpeaker(ctx context.Context, speakers []membership.Peer, notice peer.Notice) {
	notice.Relay = true
	for i, speaker := range speakers {
		// The others need a part of the time too.
		deadline := time.Now().Add(notifyTimeout * time.Duration(i+1) / time.Duration(len(speakers)+1))
		attempt, cancel := context.WithDeadline(ctx, deadline)
		err := gateway.dialer.Notify(attempt, speaker.Address, notice)
		cancel()
		if err == nil {
			return
		}
		gateway.notTold(speaker.Address, err)
	}
}

// runRelay tells the VMs of the own availability zone what another zone's VM said.
func (gateway *Gateway) runRelay(notice peer.Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	var near []netip.AddrPort
	for _, other := range gateway.members.Peers(time.Now()) {
		if other.Zone == "" || other.Zone == gateway.members.Zone {
			near = append(near, other.Address)
		}
	}
	gateway.tell(ctx, near, notice)
}

func (gateway *Gateway) tell(ctx context.Context, addresses []netip.AddrPort, notice peer.Notice) {
	gateway.dialer.Broadcast(ctx, addresses, notice, gateway.notTold)
}

func (gateway *Gateway) notTold(address netip.AddrPort, err error) {
	gateway.Log.Emit(event.PeerNotTold, event.F("peer", address.String()), event.Err(err))
}
