package dispatch

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/placement"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/target"
)

// healthTimeout bounds the check whether a target is alive.
const healthTimeout = 300 * time.Millisecond

// alive reports whether the target is still the incarnation whose connection broke.
// If so, only the connection failed, not the target.
func (job *job) alive(ctx context.Context, client *target.Client, state *placement.State) bool {
	call := target.Call{
		Method:        fasthttp.MethodGet,
		Path:          "/health",
		RequestID:     job.dispatcher.NewID(),
		Deadline:      time.Now().Add(healthTimeout),
		NewConnection: true,
	}
	head, _, err := client.Do(ctx, call, nil)
	if err != nil || head.Status != fasthttp.StatusOK || head.Incarnation == "" {
		return false
	}
	return !state.ObserveIncarnation(head.Incarnation)
}

// recordDeath records the target's death in the quarantine, against the request,
// here and at the other VMs, before any of them can send the request again. It
// returns the request's state, or Clear if the target is alive.
func (job *job) recordDeath(ctx context.Context, state *placement.State) quarantine.State {
	client := job.dispatcher.Targets.Client(state.Name)
	death := state.Name + "/" + job.incarnation
	if job.incarnation == "" {
		death = job.attemptID // the target died before it reported its incarnation
	}
	if client != nil && job.alive(ctx, client, state) {
		return quarantine.Clear
	}
	now := time.Now()
	state.RecordFailure(now)
	job.dispatcher.Metrics.TargetDeaths.Add(1)
	quarantineState, changed := job.dispatcher.Quarantine.RecordDeath(job.Digest, death, now)
	job.suspect = true
	if changed {
		job.dispatcher.Log.Emit(event.TargetDied, event.F("target", state.Name))
		job.dispatcher.DeathReporter.ReportDeath(ctx, job.Digest, death, quarantineState)
	}
	if quarantineState == quarantine.Blocked {
		job.dispatcher.Log.Emit(event.Quarantined, event.F("client_account", job.Account.Name))
	}
	return quarantineState
}
