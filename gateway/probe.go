package gateway

import (
	"context"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/target"
)

const (
	// probeInterval is the least time between two checks for targets to probe, unless the
	// roster signals one.
	probeInterval = 25 * time.Millisecond
	// probeTimeout bounds one connection attempt. It covers many round trips. A second
	// attempt follows because a packet may be lost.
	probeTimeout  = 75 * time.Millisecond
	probeAttempts = 2
)

// runProbes checks whether targets that stopped responding still accept connections,
// and queries the weights of targets that rejected a request for certain weights.
func (gateway *Gateway) runProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		for _, probe := range gateway.roster.Probes(now) {
			go gateway.runProbe(ctx, probe)
		}
		next := gateway.roster.NextProbe(now)
		if earliest := now.Add(probeInterval); next.Before(earliest) {
			next = earliest
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-gateway.roster.DueProbes():
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

func (gateway *Gateway) runProbe(ctx context.Context, probe roster.Probe) {
	if probe.Report {
		gateway.queryWeights(ctx, probe.ID)
		return
	}
	client := gateway.clients.Get(probe.ID, probe.Address)
	err := client.Reach(ctx, time.Now().Add(probeTimeout), target.CauseProbe)
	for attempt := 1; attempt < probeAttempts && err != nil; attempt++ {
		err = client.Reach(ctx, time.Now().Add(probeTimeout), target.CauseProbe)
	}
	now := time.Now()
	if gateway.roster.RecordProbe(probe.ID, err == nil, now) {
		gateway.relay.RecordReachability(probe.ID, roster.SourceProbe, err, now)
	}
	if err == nil {
		return
	}
	client.CloseIdle() // the connections may carry no data any more
	if gateway.roster.NeedsTunnel(probe.ID, now) {
		gateway.tunnels.find(ctx, probe.ID)
	}
}

// queryWeights requests a report from a target that rejected a request for certain
// weights, and records which weights the target has.
func (gateway *Gateway) queryWeights(ctx context.Context, id string) {
	contact, ok := gateway.newContact(id)
	if !ok {
		return
	}
	report, err := gateway.Engines.Report(ctx, contact.client, id, contact.observe)
	if err != nil {
		gateway.Log.Emit(event.OrderFailed, event.F("target", id), event.Err(err))
		return
	}
	models := make([]roster.Model, len(report.Models))
	for i, weights := range report.Models {
		models[i] = roster.Model{Name: weights.Model, Weights: weights.Version}
	}
	gateway.roster.RecordWeights(id, models, time.Now())
}
