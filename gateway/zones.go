package gateway

import (
	"sync"
	"sync/atomic"
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

// zoneTable holds the summaries of availability zones. It is safe for concurrent use.
type zoneTable struct {
	summaries *membership.Summaries
	// own admits the summaries of this VM's availability zone. forwarded is set while this
	// VM uses them in place of what the zone's VMs report themselves.
	own       *membership.Summaries
	forwarded atomic.Bool

	mu     sync.Mutex                 // guards the fields below
	latest map[string]admittedSummary // of other zones
	number uint64                     // of this VM's last summary of its own zone
	// reporter is the representative whose summaries of this VM's own zone are in use, and
	// reportedAt when the last one arrived.
	reporter   string
	reportedAt time.Time
	// sent is the summary of this VM's zone for other zones, used until sentUntil.
	sent      admittedSummary
	sentUntil time.Time
}

// sentSummaryMaxAge is how long a summary of this VM's zone is sent before another is made.
const sentSummaryMaxAge = heartbeatInterval / 3

// admittedSummary is the summary of a zone that is in use, and when it was made.
type admittedSummary struct {
	summary   peer.ZoneSummary
	createdAt time.Time
}

func newZoneTable() *zoneTable {
	return &zoneTable{summaries: membership.NewSummaries(), own: membership.NewSummaries(), latest: map[string]admittedSummary{}}
}

// nextNumber returns the number of this VM's next summary.
func (zoneTable *zoneTable) nextNumber() uint64 {
	zoneTable.mu.Lock()
	defer zoneTable.mu.Unlock()
	zoneTable.number++
	return zoneTable.number
}

// forOthers returns the summary of this VM's zone for other zones. It makes one only when the
// last is older than sentSummaryMaxAge, because an interval's heartbeats go to all of them.
func (zoneTable *zoneTable) forOthers(summarize func() peer.ZoneSummary, now time.Time) peer.ZoneSummary {
	zoneTable.mu.Lock()
	sent, valid := zoneTable.sent, now.Before(zoneTable.sentUntil)
	zoneTable.mu.Unlock()
	if !valid {
		sent = admittedSummary{summarize(), now}
		zoneTable.mu.Lock()
		zoneTable.sent, zoneTable.sentUntil = sent, now.Add(sentSummaryMaxAge)
		zoneTable.mu.Unlock()
	}
	sent.summary.Age = now.Sub(sent.createdAt)
	return sent.summary
}

// reporterTimeout is how long the last representative is the only one whose summaries of this
// VM's own zone are used: two intervals, since a heartbeat may be lost.
const reporterTimeout = 2 * heartbeatInterval

// originSeparator separates the name of a VM from its process in the origin of a summary.
const originSeparator = "/"

// fromOther reports whether this VM receives the summaries of its own zone from another VM than
// the named one.
func (zoneTable *zoneTable) fromOther(name string, now time.Time) bool {
	zoneTable.mu.Lock()
	defer zoneTable.mu.Unlock()
	return zoneTable.reporter != name && now.Sub(zoneTable.reportedAt) < reporterTimeout
}

func (zoneTable *zoneTable) setReporter(name string, now time.Time) {
	zoneTable.mu.Lock()
	defer zoneTable.mu.Unlock()
	zoneTable.reporter, zoneTable.reportedAt = name, now
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

// summarizeZone aggregates the reports of the VMs of this VM's availability zone, except the
// named receiver's.
func (gateway *Gateway) summarizeZone(receiver string, now time.Time) peer.ZoneSummary {
	zoneVMs, vms := map[string]bool{}, 1
	for view := range gateway.members.All(now) {
		if view.Name == gateway.Settings.Name || view.Name == receiver || view.AvailabilityZone != gateway.members.Zone {
			continue
		}
		zoneVMs[view.Name] = true
		if gateway.present(view, now) {
			vms++
		}
	}
	return peer.ZoneSummary{
		Releases: gateway.releases.summary(now),
		Zone:     gateway.members.Zone, Origin: gateway.Settings.Name + originSeparator + gateway.bootID, Number: gateway.zones.nextNumber(), VMs: vms,
		Uptime:   now.Sub(gateway.started),
		Spending: toSpendings(gateway.limits.TotalsWithout(receiver)), Backlogs: toBacklogs(gateway.roster.SummedBacklogs(zoneVMs, now)),
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
		heartbeat.ZoneSummaries = []peer.ZoneSummary{gateway.zones.forOthers(func() peer.ZoneSummary { return gateway.summarizeZone("", now) }, now)}
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
		if summary.Zone == gateway.members.Zone {
			gateway.mergeOwnZone(summary, now)
			continue
		}
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
	if summary.Zone == "" {
		return
	}
	firstSummary := !gateway.summarized(summary.Zone, now)
	createdAt := now.Add(-summary.Age)
	if !gateway.zones.summaries.Admit(toSummary(summary, createdAt)) {
		return
	}
	gateway.zones.set(summary, createdAt)
	gateway.mergeCounts(summary, createdAt, now)
	gateway.releases.merge(zoneSource(summary.Zone), summary.Releases, createdAt, now)
	if firstSummary {
		gateway.Log.Emit(event.ZoneSummed, event.F("availability_zone", summary.Zone))
		gateway.dropVMCounts(summary.Zone, now)
	}
}

func toSummary(summary peer.ZoneSummary, createdAt time.Time) membership.Summary {
	return membership.Summary{Zone: summary.Zone, Origin: summary.Origin, Number: summary.Number, Created: createdAt, VMs: summary.VMs}
}

// mergeCounts replaces what the VMs of an availability zone counted by its summary.
func (gateway *Gateway) mergeCounts(summary peer.ZoneSummary, createdAt, now time.Time) {
	source := quota.Source{
		Name: zoneSource(summary.Zone), Boot: summary.Origin, VMs: summary.VMs, Began: createdAt.Add(-summary.Uptime),
		SameZone: summary.Zone == gateway.members.Zone, Summed: true,
	}
	gateway.limits.UpdateCounts(source, fromSpendings(summary.Spending), createdAt, now)
	gateway.roster.SetBacklogs(source.Name, fromBacklogs(summary.Backlogs), createdAt)
	gateway.relay.Admission.Merge(source.Name, summary.Demands, createdAt)
	gateway.roster.SetPrefixLoads(source.Name, fromHotPrefixes(summary.HotPrefixes), createdAt)
}

// dropVMCounts removes the counts and backlogs that the VMs of an availability zone
// reported themselves.
func (gateway *Gateway) dropVMCounts(zone string, now time.Time) {
	for _, view := range gateway.members.Views(now) {
		if view.AvailabilityZone == zone {
			gateway.dropCounts(view.Name, now)
		}
	}
}

// dropCounts removes the counts and backlogs of a VM or of the summaries of a zone.
func (gateway *Gateway) dropCounts(source string, now time.Time) {
	gateway.limits.RemoveSource(source)
	gateway.roster.SetBacklogs(source, nil, now)
	gateway.relay.Admission.Merge(source, nil, now)
	gateway.roster.RemovePrefixLoads(source)
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
