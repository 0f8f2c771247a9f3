package relay

import (
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/target"
)

// AnnouncementOf returns what the head of an answer says about further requests.
func AnnouncementOf(head target.Head) roster.Announcement {
	return roster.Announcement{Leaving: head.Draining}
}

// RecordAvailability logs and counts a change of a target's availability.
func (relay *Relay) RecordAvailability(change roster.Change) {
	relay.Metrics.ByTarget.Count(change.Target, change.To.String())
	relay.Metrics.Availability.Add(change.Service+"/"+change.To.String(), 1)
	relay.Log.Emit(event.TargetLeaving,
		event.F("target", change.Target), event.F("service", change.Service), event.F("source", string(change.Source)))
}
