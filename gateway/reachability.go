package gateway

import (
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/roster"
)

// lostServices holds since when this VM has reached no target of a service, by service.
type lostServices map[string]time.Time

// reportServices logs and counts the services of which this VM reaches no target, though
// targets are registered that do not leave.
func (gateway *Gateway) reportServices(lost lostServices, entries []roster.Entry, now time.Time) {
	targets, reachable := map[string]int{}, map[string]int{}
	for i := range entries {
		entry := &entries[i]
		if entry.Draining {
			continue
		}
		targets[entry.Service]++
		if !entry.Unreachable {
			reachable[entry.Service]++
		}
	}
	for service, count := range targets {
		_, known := lost[service]
		if reachable[service] == 0 && !known {
			lost[service] = now
			gateway.Log.Emit(event.ServiceLost, event.F("service", service), event.F("targets", count), event.F("services", len(targets)))
		}
	}
	for service, since := range lost {
		if targets[service] > 0 && reachable[service] == 0 {
			continue
		}
		delete(lost, service)
		gateway.Log.Emit(event.ServiceReached, event.F("service", service), event.F("targets", targets[service]),
			event.F("reachable", reachable[service]), event.F("after_ms", now.Sub(since).Milliseconds()))
	}
	gateway.metrics.LostServices.Set(int64(len(lost)))
}
