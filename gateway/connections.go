package gateway

import (
	"time"

	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/roster"
)

// closeExpired closes the idle connections that adaptive targets may close themselves.
func (gateway *Gateway) closeExpired(entries []roster.Entry, now time.Time) {
	adaptive := map[string]bool{}
	services := map[string]bool{}
	for _, entry := range entries {
		if _, ok := services[entry.Service]; !ok {
			services[entry.Service] = gateway.roster.Adaptive(entry.Service)
		}
		adaptive[entry.ID] = services[entry.Service]
	}
	gateway.clients.CloseExpired(func(id string) bool { return adaptive[id] }, now)
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
