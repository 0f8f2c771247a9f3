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

// healthTimeout bounds the question whether a target is alive.
const healthTimeout = 300 * time.Millisecond

// alive reports whether the target still is the incarnation that broke the
// connection: then only the connection died.
func (job *job) alive(ctx context.Context, client *target.Client, state *placement.State) bool {
	call := target.Call{
		Method:    fasthttp.MethodGet,
		Path:      "/health",
		RequestID: job.dispatcher.NewID(),
		Deadline:  time.Now().Add(healthTimeout),
		Fresh:     true,
	}
	head, _, err := client.Whole(ctx, call, nil)
	if err != nil || head.Status != fasthttp.StatusOK || head.Incarnation == "" {
		return false
	}
	return !state.Identify(head.Incarnation)
}

// charge counts the target's death against the request, here and at the other
// VMs, before anyone can send it again.
func (job *job) charge(ctx context.Context, state *placement.State) quarantine.Standing {
	client := job.dispatcher.Targets.Client(state.Name)
	death := state.Name + "/" + job.incarnation
	if job.incarnation == "" {
		death = job.attemptID // it died before it told its incarnation
	}
	if client != nil && job.alive(ctx, client, state) {
		return quarantine.Clear
	}
	now := time.Now()
	state.Failed(now)
	job.dispatcher.Metrics.TargetDeaths.Add(1)
	standing, changed := job.dispatcher.Suspect.Charge(job.Digest, death, now)
	job.suspect = true
	if changed {
		job.dispatcher.Log.Emit(event.TargetDied, event.F("target", state.Name))
		job.dispatcher.Charger.Charged(ctx, job.Digest, death, standing)
	}
	if standing == quarantine.Barred {
		job.dispatcher.Log.Emit(event.Quarantined, event.F("client_account", job.Account.Name))
	}
	return standing
}
