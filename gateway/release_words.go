package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/lease"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/release"
)

// toReleases converts words for a message that is sent at the given time.
func toReleases(words []release.Word, now time.Time) []peer.Release {
	var converted []peer.Release
	for _, word := range words {
		issue := word.Issue
		converted = append(converted, peer.Release{
			Order: word.Order, OrderedAge: now.Sub(word.Ordered), Bad: word.Bad,
			HasIssue: !issue.At.IsZero(), Stage: issue.Stage, Share: issue.Share, Token: issue.Token, IssueAge: now.Sub(issue.At),
			Counted: word.Counted, Counts: word.Counts, OthersInFlight: word.OldInFlight,
		})
	}
	return converted
}

// fromRelease converts what a message says that was sent at sentAt or later and is read
// now. The time of an issue is the earliest possible one; an order is not taken for older
// than it was when the message was sent, because it ends some time after.
func fromRelease(message peer.Release, sentAt, now time.Time) release.Word {
	word := release.Word{
		Order: message.Order, Ordered: now.Add(-message.OrderedAge), Bad: message.Bad,
		Counted: message.Counted, Counts: message.Counts, OldInFlight: message.OthersInFlight,
	}
	if message.HasIssue {
		word.Issue = release.Issue{Stage: message.Stage, Share: message.Share, Token: message.Token, At: sentAt.Add(-message.IssueAge)}
	}
	return word
}

// addTo adds what this VM knows of releases to a heartbeat for the named VM. In a large
// fleet, words go from and to representatives alone, with which all VMs exchange heartbeats
// in each interval, and counts to those of the own availability zone.
func (releases *releases) addTo(heartbeat *peer.Heartbeat, receiver string, now time.Time) {
	if releases == nil {
		return
	}
	// The revision is read before the positions, so that these are no older.
	heartbeat.OrdersRead = releases.ordersRead.Load()
	heartbeat.Positions = releases.gateway.mirror.Positions()
	members := releases.gateway.members
	counted := releases.countsFor(receiver, now)
	if !counted && !members.IsRepresentative(now) {
		return
	}
	words := releases.tracker.Words(now)
	if counted {
		for i := range words {
			releases.addCounts(&words[i], now)
		}
	}
	heartbeat.Releases = toReleases(words, now)
	observed := releases.lease.Observed()
	heartbeat.ReleasesLease = peer.LeaseWrite{Version: uint64(observed.Version), Holder: observed.Holder, Age: now.Sub(observed.At)}
}

// countsFor reports whether the named VM gets this VM's counts.
func (releases *releases) countsFor(receiver string, now time.Time) bool {
	members := releases.gateway.members
	if !members.Hierarchical(maxHeartbeatPeers, now) {
		return true
	}
	return slices.ContainsFunc(members.Representatives(members.Zone, now), func(other membership.Peer) bool { return other.Name == receiver })
}

// addCounts adds this VM's own counts to the word on a running order.
func (releases *releases) addCounts(word *release.Word, now time.Time) {
	if counts, ok := releases.tracker.Own(word.Order.Service, now); ok {
		_, word.OldInFlight = releases.gateway.roster.CountSoftware(word.Order.Service, word.Order.To, now)
		word.Counted, word.Counts = true, counts
	}
}

// summary returns the sums of the counts of this VM's availability zone.
func (releases *releases) summary(now time.Time) []peer.Release {
	if releases == nil {
		return nil
	}
	words := releases.tracker.Running()
	for i := range words {
		sum := releases.tracker.Total(words[i].Order.Service, isVM, now)
		_, own := releases.gateway.roster.CountSoftware(words[i].Order.Service, words[i].Order.To, now)
		// The age of a summary does not tell when a leader issued the stage.
		words[i].Issue = release.Issue{}
		words[i].Counted, words[i].Counts, words[i].OldInFlight = true, sum.Counts, own+sum.OldInFlight
	}
	return toReleases(words, now)
}

// isVM reports whether a source of counts is a single VM.
func isVM(source string) bool {
	return !strings.HasPrefix(source, zoneSource(""))
}

// mergeHeartbeat merges what another VM's heartbeat says of releases.
func (releases *releases) mergeHeartbeat(heartbeat peer.Heartbeat, sentAt, now time.Time) {
	if releases == nil {
		return
	}
	releases.merge(heartbeat.Name, heartbeat.Releases, sentAt, now)
	if write := heartbeat.ReleasesLease; write.Version > 0 {
		releases.lease.Observe(lease.Observation{Version: objects.Version(write.Version), Holder: write.Holder, At: now.Add(-write.Age)})
	}
	if heartbeat.OrdersRead > 0 && !releases.lacksOrders(heartbeat.Positions) {
		releases.recordRead(heartbeat.OrdersRead)
	}
}

// lacksOrders reports whether another VM with the given positions has newer orders.
func (releases *releases) lacksOrders(positions []objects.Position) bool {
	orders := slices.DeleteFunc(slices.Clone(positions), func(position objects.Position) bool { return position.Collection != objects.Rollouts })
	return len(orders) == 0 || releases.gateway.mirror.LacksChanges(orders)
}

// merge merges what a VM said of releases at sentAt or later.
func (releases *releases) merge(name string, messages []peer.Release, sentAt, now time.Time) {
	if releases == nil {
		return
	}
	for _, message := range messages {
		word := fromRelease(message, sentAt, now)
		if !releases.tracker.Merge(name, word, now) {
			continue
		}
		releases.logOrder(word.Order)
		if word.Bad != "" {
			releases.gateway.Log.Emit(event.ReleaseBad, event.F("service", word.Order.Service), event.F("to", word.Order.To), event.F("reason", word.Bad), event.F("source", name))
		}
	}
}
