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

// In large fleets a VM tells those of its own availability zone what it spent and
// what it sent to targets. The zone's speakers sum that up, exchange sums with the
// speakers of other zones, and tell their own zone what they heard.

// zones holds the sums of other availability zones. It is safe for concurrent use.
type zones struct {
	summaries *membership.Summaries

	mu     sync.Mutex // guards the fields below
	latest map[string]heardZone
	number uint64 // of this VM's last summary of its own zone
}

// heardZone is the summary of a zone that counts.
type heardZone struct {
	told peer.ZoneSummary
	made time.Time
}

func newZones() *zones {
	return &zones{summaries: membership.NewSummaries(), latest: map[string]heardZone{}}
}

// next returns the number of this VM's next summary.
func (zones *zones) next() uint64 {
	zones.mu.Lock()
	defer zones.mu.Unlock()
	zones.number++
	return zones.number
}

// keep notes the summary that counts.
func (zones *zones) keep(told peer.ZoneSummary, made time.Time) {
	zones.mu.Lock()
	defer zones.mu.Unlock()
	zones.latest[told.Zone] = heardZone{told, made}
}

// recent returns the summaries that were made after a time, with their ages.
func (zones *zones) recent(after, now time.Time) []peer.ZoneSummary {
	zones.mu.Lock()
	defer zones.mu.Unlock()
	var recent []peer.ZoneSummary
	for _, heard := range zones.latest {
		if heard.made.After(after) {
			told := heard.told
			told.Age = now.Sub(heard.made)
			recent = append(recent, told)
		}
	}
	return recent
}

// sourceOf names the sums of an availability zone among the sources of counts.
func sourceOf(zone string) string {
	return "zone " + zone
}

// summary sums up what the VMs of the own availability zone told.
func (gateway *Gateway) summary(now time.Time) peer.ZoneSummary {
	near, vms := map[string]bool{}, 1
	for _, view := range gateway.members.Views(now) {
		if view.Name == gateway.Settings.Name || view.AvailabilityZone != gateway.members.Zone {
			continue
		}
		near[view.Name] = true
		if gateway.present(view, now) {
			vms++
		}
	}
	return peer.ZoneSummary{
		Zone: gateway.members.Zone, Teller: gateway.Settings.Name + "/" + gateway.boot, Number: gateway.zones.next(), VMs: vms,
		Uptime:   now.Sub(gateway.started),
		Spending: spendings(gateway.limits.Totals()), Backlogs: told(gateway.roster.SummedBacklogs(near, now)),
	}
}

// tellZones adds to a heartbeat what the receiver's availability zone needs.
func (gateway *Gateway) tellZones(beat *peer.Beat, zone string, now time.Time) {
	apart := zone != "" && zone != gateway.members.Zone
	if apart {
		for _, speaker := range gateway.members.Speakers(gateway.members.Zone, now) {
			if speaker.Name != gateway.Settings.Name {
				beat.Speakers = append(beat.Speakers, speaker)
			}
		}
	}
	switch {
	case !beat.Speaks:
	case apart:
		beat.Zones = []peer.ZoneSummary{gateway.summary(now)}
	default:
		beat.Zones = gateway.zones.recent(now.Add(-membership.AliveTime), now)
		beat.Speakers = gateway.members.OtherSpeakers(now)
	}
}

// heardZones takes what a heartbeat tells of availability zones. It reports whether
// what the sender counted itself is told by a summary of its zone.
func (gateway *Gateway) heardZones(beat peer.Beat, now time.Time) bool {
	gateway.members.Placed(beat.Name, beat.Zone, beat.Speaks)
	for _, speaker := range beat.Speakers {
		gateway.members.Introduced(speaker, now)
	}
	for _, summed := range beat.Zones {
		gateway.heardZone(summed, now)
	}
	return gateway.summed(beat.Zone, now)
}

// summed reports whether the VMs of an availability zone are told by summaries.
func (gateway *Gateway) summed(zone string, now time.Time) bool {
	return zone != "" && zone != gateway.members.Zone && gateway.zones.summaries.Recent(zone, now.Add(-presentTime))
}

// heardZone takes the sums of another availability zone.
func (gateway *Gateway) heardZone(told peer.ZoneSummary, now time.Time) {
	if told.Zone == "" || told.Zone == gateway.members.Zone {
		return
	}
	first := !gateway.summed(told.Zone, now)
	made := now.Add(-told.Age)
	taken := gateway.zones.summaries.Take(membership.Summary{
		Zone: told.Zone, Teller: told.Teller, Number: told.Number, Made: made, VMs: told.VMs,
	}, now)
	if !taken {
		return
	}
	gateway.zones.keep(told, made)
	source := quota.Source{Name: sourceOf(told.Zone), Boot: told.Teller, VMs: told.VMs, Began: made.Add(-told.Uptime)}
	gateway.limits.Heard(source, counts(told.Spending), made, now)
	gateway.roster.Told(source.Name, backlogs(told.Backlogs), made)
	if first {
		gateway.forgetVMs(told.Zone, now)
	}
}

// forgetVMs drops what the VMs of an availability zone told themselves.
func (gateway *Gateway) forgetVMs(zone string, now time.Time) {
	gateway.Log.Emit(event.ZoneSummed, event.F("availability_zone", zone))
	for _, view := range gateway.members.Views(now) {
		if view.AvailabilityZone == zone {
			gateway.limits.Forget(view.Name)
			gateway.roster.Told(view.Name, nil, now)
		}
	}
}

// present reports whether a VM counts as there: it was heard not long ago or, while
// this VM starts, is listed.
func (gateway *Gateway) present(view membership.View, now time.Time) bool {
	heard := view.HeardMS >= 0 && view.HeardMS < presentTime.Milliseconds()
	return heard || view.Listed && now.Sub(gateway.started) < startTime
}

// spendings returns counts for a heartbeat.
func spendings(counts []quota.Count) []peer.Spending {
	told := make([]peer.Spending, len(counts))
	for i, count := range counts {
		told[i] = peer.Spending{Account: count.Account, Spent: count.Spent, Wanted: count.Wanted}
	}
	return told
}

// counts returns the counts of a heartbeat.
func counts(told []peer.Spending) []quota.Count {
	counts := make([]quota.Count, len(told))
	for i, spending := range told {
		counts[i] = quota.Count{Account: spending.Account, Spent: spending.Spent, Wanted: spending.Wanted}
	}
	return counts
}

// told returns backlogs for a heartbeat.
func told(backlogs []roster.Backlog) []peer.Backlog {
	told := make([]peer.Backlog, len(backlogs))
	for i, backlog := range backlogs {
		told[i] = peer.Backlog(backlog)
	}
	return told
}

// backlogs returns the backlogs of a heartbeat.
func backlogs(told []peer.Backlog) []roster.Backlog {
	backlogs := make([]roster.Backlog, len(told))
	for i, backlog := range told {
		backlogs[i] = roster.Backlog(backlog)
	}
	return backlogs
}
