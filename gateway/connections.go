package gateway

import (
	"strconv"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/roster"
)

// updateSubsets adapts the targets that this VM prefers. In a large fleet it knows the VMs
// of its own availability zone alone.
func (gateway *Gateway) updateSubsets(now time.Time) {
	zone := ""
	if gateway.members.Hierarchical(maxHeartbeatPeers, now) {
		zone = gateway.members.Zone
	}
	changes := gateway.roster.UpdateSubsets(roster.Peers{
		Self: gateway.Settings.Name, Names: gateway.presentVMs(zone, now), FleetSize: max(gateway.fleetSize(), gateway.listedVMs(now)),
	}, now)
	for _, change := range changes {
		gateway.Log.Emit(event.SubsetChanged, event.F("service", change.Service), event.F("targets", len(change.Members)), event.F("came", change.Came))
	}
	gateway.metrics.Preferred.Set(int64(gateway.roster.Preferred()))
}

// updateHomes adapts the numbers of homes of prefixes.
func (gateway *Gateway) updateHomes(now time.Time) {
	for _, change := range gateway.roster.UpdateHomes(now) {
		gateway.Log.Emit(event.HomesChanged,
			event.F("service", change.Service), event.F("prefix", strconv.FormatUint(change.Prefix, 16)),
			event.F("tokens_per_second", change.TokensPerSecond), event.F("from", change.From), event.F("to", change.To))
	}
	gateway.metrics.HotPrefixes.Set(int64(gateway.roster.HotPrefixes(now)))
}

// listedVMs returns the number of VMs in the store's list. It is also known to a VM that
// hears from no other.
func (gateway *Gateway) listedVMs(now time.Time) int {
	count := 0
	for view := range gateway.members.All(now) {
		if view.Listed {
			count++
		}
	}
	return count
}

// toHeard converts the targets that sent this VM bytes for a heartbeat.
func toHeard(targets []roster.Heard, now time.Time) []peer.HeardTarget {
	var heard []peer.HeardTarget
	for _, target := range targets {
		heard = append(heard, peer.HeardTarget{Hash: target.Hash, Age: now.Sub(target.At)})
	}
	return heard
}

// fromHeard converts the targets of a heartbeat that was sent at sentAt.
func fromHeard(targets []peer.HeardTarget, sentAt time.Time) []roster.Heard {
	var heard []roster.Heard
	for _, target := range targets {
		heard = append(heard, roster.Heard{Hash: target.Hash, At: sentAt.Add(-target.Age)})
	}
	return heard
}

// toHotPrefixes converts the loads of prefixes for a heartbeat.
func toHotPrefixes(loads []roster.PrefixLoad) []peer.HotPrefix {
	var prefixes []peer.HotPrefix
	for _, load := range loads {
		prefixes = append(prefixes, peer.HotPrefix(load))
	}
	return prefixes
}

// fromHotPrefixes converts the loads of prefixes of a heartbeat.
func fromHotPrefixes(prefixes []peer.HotPrefix) []roster.PrefixLoad {
	var loads []roster.PrefixLoad
	for _, prefix := range prefixes {
		loads = append(loads, roster.PrefixLoad(prefix))
	}
	return loads
}
