package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/lease"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/rollout"
)

const (
	// rollInterval is the time between two steps of a roll.
	rollInterval = 25 * time.Millisecond
	// idleInterval is how often a VM checks for targets that registered with outdated
	// weights.
	idleInterval = time.Second
	// rollingTime is how long a target receives no new requests because of a roll,
	// unless it is reported earlier to have the weights.
	rollingTime = 2500 * time.Millisecond
	// leaseName is the object of the lease that allows one VM at a time to give orders.
	leaseName = "orders"
	// loadedInterval is the minimum time between two notices of completed loads: all VMs
	// receive each, however many targets there are.
	loadedInterval = 250 * time.Millisecond
	// orderWindow is how long after a lease renewal orders may be sent.
	orderWindow = 300 * time.Millisecond
)

// rollLoop is the state of the loop that rolls weights.
type rollLoop struct {
	gateway         *Gateway
	lease           *lease.Lease
	roll            *rollout.Roll
	leaseHeld       bool // as of the last attempt or order; the lease may have expired since
	takeover        takeover
	outdated        int       // number of targets that lack named weights
	outdatedChanged time.Time // when outdated last changed
	// inFlight holds the targets with a poll or an order in flight.
	inFlight map[string]bool
	results  chan callResult
	// targetBuffer and modelBuffer are used by targets.
	targetBuffer []rollout.Target
	modelBuffer  []rollout.Weights
	// loaded holds the completed loads of which other VMs have not been notified yet. They
	// were last notified of some at notifiedAt.
	loaded     []peer.TargetUpdate
	notifiedAt time.Time
}

// callResult is the result of a poll or an order.
type callResult struct {
	step   rollout.Step
	report *rollout.Report // nil if no report was received, and for orders
	reply  rollout.Reply
}

func newRollLoop(gateway *Gateway) *rollLoop {
	rollLoop := &rollLoop{gateway: gateway, lease: gateway.ordersLease, roll: rollout.New(), inFlight: map[string]bool{}, results: make(chan callResult)}
	rollLoop.roll.Grace = gateway.Settings.Bounds.WeightsGrace
	return rollLoop
}

// runRoll brings targets to the weights that operators named.
func (gateway *Gateway) runRoll(ctx context.Context) error {
	rollLoop := newRollLoop(gateway)
	for ctx.Err() == nil {
		named, changed := gateway.weights.newest()
		if rollLoop.advance(ctx, named) {
			rollLoop.collectResults(ctx, time.Now().Add(rollInterval))
			rollLoop.notifyLoaded(ctx, time.Now())
			continue
		}
		timer := time.NewTimer(idleInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// advance executes the steps that are due if a target lacks weights and this VM holds
// the lease. It returns false if no target lacks weights, no call is in flight and other VMs
// have been notified of all completed loads.
func (rollLoop *rollLoop) advance(ctx context.Context, named []rollout.NamedWeights) bool {
	now := time.Now()
	targets := rollLoop.targets(now)
	outdated := rollout.CountOutdated(targets, named)
	if outdated != rollLoop.outdated {
		rollLoop.outdated, rollLoop.outdatedChanged = outdated, now
	}
	if outdated == 0 {
		return len(rollLoop.inFlight) > 0 || len(rollLoop.loaded) > 0
	}
	if !rollout.AnyReachable(targets, named) || !rollLoop.ensureLease(ctx, now) {
		return true
	}
	steps := rollLoop.roll.NextSteps(targets, named, now)
	rollLoop.execute(ctx, steps)
	return true
}

// targets returns the targets that have models and are not draining. The result is valid
// until the next call.
func (rollLoop *rollLoop) targets(now time.Time) []rollout.Target {
	targets, models := rollLoop.targetBuffer[:0], rollLoop.modelBuffer[:0]
	for entry := range rollLoop.gateway.roster.All(now) {
		if entry.Draining || len(entry.Models) == 0 {
			continue
		}
		first := len(models)
		for _, model := range entry.Models {
			models = append(models, rollout.Weights{Model: model.Name, Version: model.Weights})
		}
		targets = append(targets, rollout.Target{
			ID: entry.ID, Models: models[first:], Running: entry.Running, Unreachable: entry.Unreachable, Resting: entry.Resting,
		})
	}
	rollLoop.targetBuffer, rollLoop.modelBuffer = targets, models
	return targets
}

// ensureLease reports whether this VM may give orders. The VM that holds the lease
// continues; otherwise VMs try to acquire it in rank order.
func (rollLoop *rollLoop) ensureLease(ctx context.Context, now time.Time) bool {
	if rollLoop.leaseHeld {
		return true // the lease is renewed before each batch of orders
	}
	if !rollLoop.takeover.due(rollLoop.gateway.contest(rollLoop.outdatedChanged, now), now) {
		return false
	}
	rollLoop.gateway.countStoreCall("try", objects.Leases)
	rollLoop.leaseHeld = rollLoop.lease.AcquireOrRenew(ctx)
	rollLoop.takeover.lastAttempt = time.Now()
	if rollLoop.leaseHeld {
		rollLoop.roll.ForgetReports()
		rollLoop.gateway.metrics.HoldsLease.Set(1)
		rollLoop.gateway.Log.Emit(event.LeaseTaken, event.F("token", rollLoop.lease.Token()))
	}
	return rollLoop.leaseHeld
}

// rank returns how many VMs come before this one in an order that is the same on every
// VM. Only VMs that are alive and reach the store count. In a large fleet, a VM
// receives heartbeats only from its own availability zone, so ranks alternate between
// the zones.
func (gateway *Gateway) rank(now time.Time) int {
	hierarchical := gateway.members.Hierarchical(maxHeartbeatPeers, now)
	rank, own := 0, prefix.Digest(gateway.Settings.Name)
	for view := range gateway.members.All(now) {
		if reachesStore(view) && (!hierarchical || view.AvailabilityZone == gateway.members.Zone) && prefix.Digest(view.Name) < own {
			rank++
		}
	}
	if !hierarchical {
		return rank
	}
	zones := gateway.members.Zones()
	return rank*len(zones) + slices.Index(zones, gateway.members.Zone)
}

// execute polls targets and sends orders. Orders are sent only right after the
// lease was renewed. Targets with a call in flight are skipped.
func (rollLoop *rollLoop) execute(ctx context.Context, steps []rollout.Step) {
	var orders []rollout.Step
	for _, step := range steps {
		switch {
		case rollLoop.inFlight[step.Target] && !step.Poll:
			rollLoop.roll.Withdraw(step.Target)
		case rollLoop.inFlight[step.Target]:
		case step.Poll:
			rollLoop.inFlight[step.Target] = true
			go rollLoop.runPoll(ctx, step)
		default:
			orders = append(orders, step)
		}
	}
	if len(orders) == 0 {
		return
	}
	permit, ok := rollLoop.prepareOrders(ctx, orders)
	if !ok {
		for _, step := range orders {
			rollLoop.roll.Withdraw(step.Target)
		}
		return
	}
	for _, step := range orders {
		rollLoop.inFlight[step.Target] = true
		go rollLoop.runOrder(ctx, step, permit)
	}
}

// collectResults handles results until the given time.
func (rollLoop *rollLoop) collectResults(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case result := <-rollLoop.results:
			rollLoop.handleResult(result)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (rollLoop *rollLoop) handleResult(result callResult) {
	delete(rollLoop.inFlight, result.step.Target)
	if result.step.Poll {
		rollLoop.handleReport(result.step, result.report)
		return
	}
	rollLoop.roll.HandleReply(result.step.Target, result.reply, time.Now())
	if result.reply == rollout.Fenced {
		rollLoop.leaseHeld = false
	}
}

func (rollLoop *rollLoop) sendResult(ctx context.Context, result callResult) {
	select {
	case rollLoop.results <- result:
	case <-ctx.Done():
	}
}

// prepareOrders renews the lease and then withholds new requests from the targets.
// Other VMs are notified only after the renewal has succeeded, so that no target goes
// without requests because of an order that is never sent. prepareOrders returns false
// if the renewal fails, or if the permission that it gave has expired.
func (rollLoop *rollLoop) prepareOrders(ctx context.Context, orders []rollout.Step) (orderPermit, bool) {
	gateway := rollLoop.gateway
	gateway.countStoreCall("renew", objects.Leases)
	gateway.applySuspensions()
	permit := orderPermit{suspended: gateway.suspendedSinceStart()}
	renewed := rollLoop.lease.Renew(ctx)
	permit.token, permit.deadline = rollLoop.lease.Token(), rollLoop.lease.Deadline()
	if !renewed || !gateway.permits(permit) {
		gateway.Log.Emit(event.LeaseLost, event.F("token", rollLoop.lease.Token()))
		gateway.metrics.HoldsLease.Set(0)
		rollLoop.leaseHeld = false
		return orderPermit{}, false
	}
	var updates []peer.TargetUpdate
	for _, step := range orders {
		gateway.roster.BeginRollout(step.Target, step.Model, step.Version, time.Now().Add(rollingTime))
		updates = append(updates, peer.TargetUpdate{Target: step.Target, Model: step.Model, Weights: step.Version, Rolling: true})
	}
	go gateway.runNotify(ctx, peer.Notice{Targets: updates, OrdersLease: gateway.leaseWrite(time.Now())})
	return permit, true
}

// orderPermit is the permission to send orders that a renewal of the lease gave.
type orderPermit struct {
	token    uint64
	deadline time.Time
	// suspended is the length of the machine's suspensions before the renewal was sent.
	// The deadline does not count those that follow: the clock stands still.
	suspended time.Duration
}

// permits reports whether orders may still be sent. A process may have been paused since
// the renewal was sent, and another VM may hold the lease by now.
func (gateway *Gateway) permits(permit orderPermit) bool {
	gateway.applySuspensions()
	return time.Now().Before(permit.deadline) && gateway.suspendedSinceStart() == permit.suspended
}

func (rollLoop *rollLoop) runPoll(ctx context.Context, step rollout.Step) {
	result := callResult{step: step}
	if contact, ok := rollLoop.gateway.newContact(step.Target); ok {
		report, err := rollLoop.gateway.Engines.Report(ctx, contact.client, step.Target, contact.observe)
		if err == nil {
			result.report = &report
		} else {
			rollLoop.gateway.Log.Emit(event.OrderFailed, event.F("target", step.Target), event.Err(err))
		}
	}
	rollLoop.sendResult(ctx, result)
}

func (rollLoop *rollLoop) runOrder(ctx context.Context, step rollout.Step, permit orderPermit) {
	result := callResult{step: step, reply: rollout.Misdirected}
	contact, ok := rollLoop.gateway.newContact(step.Target)
	if !ok || !rollLoop.gateway.permits(permit) {
		rollLoop.sendResult(ctx, result)
		return
	}
	rollLoop.gateway.metrics.Orders.Add(1)
	reply, err := rollLoop.gateway.Engines.Order(ctx, contact.client, rollout.Order{
		Target: step.Target, Weights: step.Weights, Sequence: step.Sequence,
		Holder: rollLoop.gateway.Settings.Name, Token: permit.token,
	}, contact.observe)
	result.reply = reply
	fields := []event.Field{
		event.F("target", step.Target), event.F("weights", step.Version), event.F("token", permit.token),
		event.F("reply", int(reply)),
	}
	if err != nil {
		fields = append(fields, event.Err(err))
	}
	rollLoop.gateway.Log.Emit(event.OrderGiven, fields...)
	rollLoop.sendResult(ctx, result)
}

// handleReport records a report, nil if none was received.
func (rollLoop *rollLoop) handleReport(step rollout.Step, report *rollout.Report) {
	now := time.Now()
	if report == nil {
		rollLoop.roll.HandleReport(step.Target, rollout.Report{}, false, now)
		return
	}
	if !rollLoop.roll.HandleReport(step.Target, *report, true, now) {
		return
	}
	rollLoop.gateway.roster.RaiseWeights(step.Target, step.Model, step.Version)
	rollLoop.loaded = append(rollLoop.loaded, peer.TargetUpdate{Target: step.Target, Model: step.Model, Weights: step.Version})
}

// notifyLoaded notifies other VMs of completed loads, if that is due.
func (rollLoop *rollLoop) notifyLoaded(ctx context.Context, now time.Time) {
	if updates := rollLoop.takeLoaded(now); len(updates) > 0 {
		go rollLoop.gateway.runNotify(ctx, peer.Notice{Targets: updates})
	}
}

// takeLoaded returns the completed loads of which other VMs are to be notified now.
func (rollLoop *rollLoop) takeLoaded(now time.Time) []peer.TargetUpdate {
	if len(rollLoop.loaded) == 0 || now.Sub(rollLoop.notifiedAt) < loadedInterval {
		return nil
	}
	updates := rollLoop.loaded
	rollLoop.loaded, rollLoop.notifiedAt = nil, now
	return updates
}

// runNotify notifies other VMs while the roll continues.
func (gateway *Gateway) runNotify(ctx context.Context, notice peer.Notice) {
	gateway.notify(ctx, notice)
}
