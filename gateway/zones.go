package gateway

import (
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/roster"
)

// In a large fleet, VMs exchange token spending and target backlogs directly only
// within their own availability zone. The zone's representatives aggregate these,
// exchange the aggregates with the representatives of other zones, and distribute what
// they receive in their own zone.

// zoneTable holds the summaries of other availability zones. It is safe for concurrent
// use.
type zoneTable struct {
	summaries *membership.Summaries

	mu     sync.Mutex // guards the fields below
	latest map[string]admittedSummary
	number uint64 // of this VM's last summary of its own zone
}

// admittedSummary is the summary of a zone that is in use.
type admittedSummary struct {
	summary   peer.ZoneSummary
	createdAt time.Time
}

func newZoneTable() *zoneTable {
	return &zoneTable{summaries: membership.NewSummaries(), latest: map[string]admittedSummary{}}
}

// nextNumber returns the number of this VM's next summary.
func (zoneTable *zoneTable) nextNumber() uint64 {
	zoneTable.mu.Lock()
	defer zoneTable.mu.Unlock()
	zoneTable.number++
	return zoneTable.number
}

// set makes a summary the one in use for its zone.
func (zoneTable *zoneTable) set(summary peer.ZoneSummary, createdAt time.Time) {
	zoneTable.mu.Lock()
	defer zoneTable.mu.Unlock()
	zoneTable.latest[summary.Zone] = admittedSummary{summary, createdAt}
}

// recent returns the summaries made after the given time, with their ages.
func (zoneTable *zoneTable) recent(after, now time.Time) []peer.ZoneSummary {
	zoneTable.mu.Lock()
	defer zoneTable.mu.Unlock()
	var recent []peer.ZoneSummary
	for _, admitted := range zoneTable.latest {
		if admitted.createdAt.After(after) {
			summary := admitted.summary
			summary.Age = now.Sub(admitted.createdAt)
			recent = append(recent, summary)
		}
	}
	return recent
}

// zoneSource returns the name under which the limiter and the roster hold the aggregates
// of an availability zone, beside those of single VMs.
func zoneSource(zone string) string {
	return "zone " + zone
}

// summarizeZone aggregates the reports of the VMs of this VM's availability zone.
func (gateway *Gateway) summarizeZone(now time.Time) peer.ZoneSummary {
	zoneVMs, vms := map[string]bool{}, 1
	for _, view := range gateway.members.Views(now) {
		if view.Name == gateway.Settings.Name || view.AvailabilityZone != gateway.members.Zone {
			continue
		}
		zoneVMs[view.Name] = true
		if gateway.present(view, now) {
			vms++
		}
	}
	return peer.ZoneSummary{
		Releases: gateway.releases.summary(now),
		Zone:     gateway.members.Zone, Origin: gateway.Settings.Name + "/" + gateway.bootID, Number: gateway.zones.nextNumber(), VMs: vms,
		Uptime:   now.Sub(gateway.started),
		Spending: toSpendings(gateway.limits.Totals()), Backlogs: toBacklogs(gateway.roster.SummedBacklogs(zoneVMs, now)),
		Demands:     gateway.relay.Admission.SummedDemands(zoneVMs, now),
		HotPrefixes: toHotPrefixes(gateway.roster.SummedPrefixLoads(zoneVMs, now)),
	}
}

// addZones adds summaries and representatives to a heartbeat, depending on the
// receiver's availability zone.
func (gateway *Gateway) addZones(heartbeat *peer.Heartbeat, zone string, now time.Time) {
	otherZone := zone != "" && zone != gateway.members.Zone
	if otherZone {
		for _, representative := range gateway.members.Representatives(gateway.members.Zone, now) {
			if representative.Name != gateway.Settings.Name {
				heartbeat.Representatives = append(heartbeat.Representatives, representative)
			}
		}
	}
	switch {
	case !heartbeat.IsRepresentative:
	case otherZone:
		heartbeat.ZoneSummaries = []peer.ZoneSummary{gateway.summarizeZone(now)}
	default:
		heartbeat.ZoneSummaries = gateway.zones.recent(now.Add(-membership.LivenessTimeout), now)
		heartbeat.Representatives = gateway.members.RemoteRepresentatives(now)
	}
}

// mergeZones merges a heartbeat's zone data: its sender's zone, representatives and
// summaries. It reports whether a summary of the sender's zone already includes the
// sender's own counts.
func (gateway *Gateway) mergeZones(heartbeat peer.Heartbeat, now time.Time) bool {
	gateway.members.RecordZone(heartbeat.Name, heartbeat.Zone, heartbeat.IsRepresentative)
	for _, representative := range heartbeat.Representatives {
		gateway.members.RecordRepresentative(representative, now)
	}
	for _, summary := range heartbeat.ZoneSummaries {
		gateway.mergeSummary(summary, now)
	}
	return gateway.summarized(heartbeat.Zone, now)
}

// summarized reports whether summaries cover the VMs of an availability zone.
func (gateway *Gateway) summarized(zone string, now time.Time) bool {
	return zone != "" && zone != gateway.members.Zone && gateway.zones.summaries.HasRecent(zone, now.Add(-presentTime))
}

// mergeSummary merges the summary of another availability zone.
func (gateway *Gateway) mergeSummary(summary peer.ZoneSummary, now time.Time) {
	if summary.Zone == "" || summary.Zone == gateway.members.Zone {
		return
	}
	firstSummary := !gateway.summarized(summary.Zone, now)
	createdAt := now.Add(-summary.Age)
	admitted := gateway.zones.summaries.Admit(membership.Summary{
		Zone: summary.Zone, Origin: summary.Origin, Number: summary.Number, Created: createdAt, VMs: summary.VMs,
	})
	if !admitted {
		return
	}
	gateway.zones.set(summary, createdAt)
	source := quota.Source{Name: zoneSource(summary.Zone), Boot: summary.Origin, VMs: summary.VMs, Began: createdAt.Add(-summary.Uptime), Summed: true}
	gateway.limits.UpdateCounts(source, fromSpendings(summary.Spending), createdAt, now)
	gateway.roster.SetBacklogs(source.Name, fromBacklogs(summary.Backlogs), createdAt)
	gateway.relay.Admission.Merge(source.Name, summary.Demands, createdAt)
	gateway.roster.SetPrefixLoads(source.Name, fromHotPrefixes(summary.HotPrefixes), createdAt)
	gateway.releases.merge(source.Name, summary.Releases, createdAt, now)
	if firstSummary {
		gateway.dropVMCounts(summary.Zone, now)
	}
}

// dropVMCounts removes the counts and backlogs that the VMs of an availability zone
// reported themselves.
func (gateway *Gateway) dropVMCounts(zone string, now time.Time) {
	gateway.Log.Emit(event.ZoneSummed, event.F("availability_zone", zone))
	for _, view := range gateway.members.Views(now) {
		if view.AvailabilityZone == zone {
			gateway.limits.RemoveSource(view.Name)
			gateway.roster.SetBacklogs(view.Name, nil, now)
			gateway.relay.Admission.Merge(view.Name, nil, now)
			gateway.roster.RemovePrefixLoads(view.Name)
		}
	}
}

// present reports whether a VM counts as present: it sent a heartbeat within
// presentTime or, while this VM starts, the store lists it.
func (gateway *Gateway) present(view membership.View, now time.Time) bool {
	recent := view.HeartbeatAgeMS >= 0 && view.HeartbeatAgeMS < presentTime.Milliseconds()
	return recent || view.Listed && now.Sub(gateway.started) < startupTime
}

// toSpendings converts counts for a heartbeat.
func toSpendings(counts []quota.Count) []peer.Spending {
	peerSpendings := make([]peer.Spending, len(counts))
	for i, count := range counts {
		peerSpendings[i] = peer.Spending{Account: count.Account, Spent: count.Spent, Wanted: count.Wanted}
	}
	return peerSpendings
}

// fromSpendings converts the counts of a heartbeat.
func fromSpendings(peerSpendings []peer.Spending) []quota.Count {
	counts := make([]quota.Count, len(peerSpendings))
	for i, spending := range peerSpendings {
		counts[i] = quota.Count{Account: spending.Account, Spent: spending.Spent, Wanted: spending.Wanted}
	}
	return counts
}

// toBacklogs converts backlogs for a heartbeat.
func toBacklogs(backlogs []roster.Backlog) []peer.Backlog {
	peerBacklogs := make([]peer.Backlog, len(backlogs))
	for i, backlog := range backlogs {
		peerBacklogs[i] = peer.Backlog(backlog)
	}
	return peerBacklogs
}

// fromBacklogs converts the backlogs of a heartbeat.
func fromBacklogs(peerBacklogs []peer.Backlog) []roster.Backlog {
	backlogs := make([]roster.Backlog, len(peerBacklogs))
	for i, backlog := range peerBacklogs {
		backlogs[i] = roster.Backlog(backlog)
	}
	return backlogs
}
