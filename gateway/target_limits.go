package gateway

import (
	"time"

	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/roster"
)

// updateLimitShares sets this VM's shares of the limits that targets name. A VM that has
// just started knows too few of the others and has none.
func (gateway *Gateway) updateLimitShares(now time.Time) {
	started := now.Sub(gateway.started) >= startupTime
	holders := map[string][]string{} // VMs by availability zone
	gateway.roster.SetLimitShares(func(target, zone string, rate float64) float64 {
		holderZone := gateway.limitZone(zone, now)
		if !started || holderZone != "" && holderZone != gateway.members.Zone {
			return 0
		}
		if _, ok := holders[holderZone]; !ok {
			holders[holderZone] = gateway.presentVMs(holderZone, now)
		}
		return membership.Share(gateway.Settings.Name, holders[holderZone], target, roster.LimitHolders(rate))
	}, now)
}

// limitZone returns the availability zone whose VMs share the limit of a target in the
// given zone: in a large fleet the target's, if it has VMs, because a VM knows the others
// of its own zone alone. It is empty if the VMs of all zones share the limit.
func (gateway *Gateway) limitZone(zone string, now time.Time) string {
	if !gateway.members.Hierarchical(maxHeartbeatPeers, now) {
		return ""
	}
	first := ""
	for _, known := range gateway.members.Zones() {
		if known != gateway.members.Zone && !gateway.summarized(known, now) {
			continue
		}
		if known == zone {
			return zone
		}
		if first == "" {
			first = known
		}
	}
	return first
}

// presentVMs returns the names of the other VMs that are present in an availability
// zone, or in all zones if it is empty.
func (gateway *Gateway) presentVMs(zone string, now time.Time) []string {
	var names []string
	for view := range gateway.members.All(now) {
		if (zone == "" || view.AvailabilityZone == zone) && gateway.present(view, now) {
			names = append(names, view.Name)
		}
	}
	return names
}

// toTargetLimits returns the limits to be sent to other VMs.
func (gateway *Gateway) toTargetLimits(now time.Time) []peer.TargetLimit {
	var limits []peer.TargetLimit
	for _, limit := range gateway.roster.Limits(now) {
		limits = append(limits, peer.TargetLimit{Target: limit.Target, StartTime: limit.StartTime, Rate: limit.Rate, Age: now.Sub(limit.Learned)})
	}
	return limits
}

// mergeTargetLimits records the limits that another VM reported at a time.
func (gateway *Gateway) mergeTargetLimits(limits []peer.TargetLimit, sentAt time.Time) {
	for _, limit := range limits {
		merged := roster.Limit{Target: limit.Target, StartTime: limit.StartTime, Rate: limit.Rate, Learned: sentAt.Add(-limit.Age)}
		if change, changed := gateway.roster.MergeLimit(merged); changed {
			gateway.relay.RecordLimit(change)
		}
	}
}
