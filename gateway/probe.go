package gateway

import (
	"context"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/target"
)

const (
	// probeTick is how often targets to be probed are looked for.
	probeTick = 25 * time.Millisecond
	// probeTimeout bounds one connection attempt: many round trips. A second one
	// follows, since a packet may be lost.
	probeTimeout = 75 * time.Millisecond
	probeTries   = 2
)

// runProbes asks targets that went quiet whether they accept connections.
func (gateway *Gateway) runProbes(ctx context.Context) error {
	for retry.Wait(ctx, time.Now().Add(probeTick)) {
		for _, probe := range gateway.roster.Probes(time.Now()) {
			go gateway.runProbe(ctx, probe)
		}
	}
	return nil
}

func (gateway *Gateway) runProbe(ctx context.Context, probe roster.Probe) {
	client := gateway.clients.Get(probe.ID, probe.Address)
	if probe.Report {
		gateway.askWeights(ctx, client, probe.ID)
		return
	}
	reached := false
	for try := 0; try < probeTries && !reached; try++ {
		reached = client.Reachable(ctx, time.Now().Add(probeTimeout))
	}
	if !gateway.roster.Probed(probe.ID, reached, time.Now()) {
		return
	}
	if reached {
		gateway.Log.Emit(event.TargetReached, event.F("target", probe.ID))
	} else {
		gateway.Log.Emit(event.TargetLost, event.F("target", probe.ID))
	}
}

// askWeights learns which weights a target has that refused a request for them.
func (gateway *Gateway) askWeights(ctx context.Context, client *target.Client, id string) {
	report, err := gateway.Engines.Report(ctx, client, id)
	if err != nil {
		gateway.Log.Emit(event.OrderFailed, event.F("target", id), event.Err(err))
		return
	}
	models := make([]roster.Model, len(report.Models))
	for i, weights := range report.Models {
		models[i] = roster.Model{Name: weights.Model, Weights: weights.Version}
	}
	gateway.roster.Reported(id, models, time.Now())
}
