package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/lease"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/rollout"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/target"
)

const (
	// rollTick is the pace of a roll.
	rollTick = 25 * time.Millisecond
	// rollIdle is how often a VM looks for targets that came with old weights.
	rollIdle = time.Second
	// rollingTime is how long a target gets no new work for a roll, unless it is
	// told to have the weights earlier.
	rollingTime = 2500 * time.Millisecond
	// leaseName is the object that lets one VM at a time give orders.
	leaseName = "orders"
	// orderWindow is how long after a renewal orders may go.
	orderWindow = 300 * time.Millisecond
	// takeoverMargin is how much longer than the platform's bound the lease must
	// have been unchanged until another VM takes it.
	takeoverMargin = orderWindow + 100*time.Millisecond
	// tryInterval is the time between two looks at a lease that another VM holds.
	tryInterval = 400 * time.Millisecond
	// rankDelay is how long each VM leaves the lease to the one before it.
	rankDelay = 700 * time.Millisecond
)

// orders is the state of the loop that rolls weights.
type orders struct {
	gateway *Gateway
	lease   *lease.Lease
	roll    *rollout.Roll
	held    bool // this VM gave the last orders that it knows of
	tried   time.Time
	behind  int       // targets that lack named weights
	moved   time.Time // when that number last changed
	// calls are the targets that are being asked or given an order.
	calls    map[string]bool
	outcomes chan outcome
}

// outcome is how a call to a target ended.
type outcome struct {
	step   rollout.Step
	report *rollout.Report // nil when none came, and for orders
	reply  rollout.Reply
}

// runRoll brings targets to the weights that operators named.
func (gateway *Gateway) runRoll(ctx context.Context) error {
	orders := &orders{gateway: gateway, roll: rollout.New(), calls: map[string]bool{}, outcomes: make(chan outcome)}
	orders.lease = lease.New(gateway.Store, leaseName, gateway.Settings.Name+"@"+gateway.Settings.Peer.Addr().String())
	orders.lease.Boot = gateway.boot
	orders.lease.Hold = settings.Span(orderWindow)
	orders.lease.Takeover = gateway.Settings.Bounds.Lease + settings.Span(takeoverMargin)
	for ctx.Err() == nil {
		named, changed := gateway.weights.all()
		if orders.step(ctx, named) {
			orders.collect(ctx, time.Now().Add(rollTick))
			continue
		}
		timer := time.NewTimer(rollIdle)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// step does what is to be done now; false when no target lacks weights.
func (orders *orders) step(ctx context.Context, named []rollout.Named) bool {
	targets := orders.targets()
	now := time.Now()
	behind := rollout.Behind(targets, named)
	if behind != orders.behind {
		orders.behind, orders.moved = behind, now
	}
	if behind == 0 {
		return len(orders.calls) > 0
	}
	if !orders.leads(ctx, now) {
		return true
	}
	steps := orders.roll.Next(targets, named, now)
	orders.carryOut(ctx, steps)
	return true
}

// targets returns the targets that stay.
func (orders *orders) targets() []rollout.Target {
	var targets []rollout.Target
	for _, entry := range orders.gateway.roster.Entries() {
		if entry.Draining || len(entry.Models) == 0 {
			continue
		}
		listed := rollout.Target{ID: entry.ID, Running: entry.Running, Down: entry.Unreachable}
		for _, model := range entry.Models {
			listed.Models = append(listed.Models, rollout.Weights{Model: model.Name, Version: model.Weights})
		}
		targets = append(targets, listed)
	}
	return targets
}

// leads reports whether this VM gives the orders. The VM that gave the last ones
// goes on; otherwise VMs try in an order that all compute alike.
func (orders *orders) leads(ctx context.Context, now time.Time) bool {
	if orders.held {
		return true // each order renews the lease first
	}
	waited := now.Sub(orders.moved)
	if waited < time.Duration(orders.gateway.rank(now))*rankDelay || now.Sub(orders.tried) < tryInterval {
		return false
	}
	orders.tried = now
	orders.gateway.calls("try", objects.Leases)
	orders.held = orders.lease.Try(ctx)
	if orders.held {
		orders.gateway.metrics.Leads.Set(1)
		orders.gateway.Log.Emit(event.LeaseTaken, event.F("token", orders.lease.Token()))
	}
	return orders.held
}

// rank returns the number of VMs that come before this one in an order that all
// compute alike: of those that are alive and reach the store. In a large fleet a VM
// hears its own availability zone alone: zones take turns.
func (gateway *Gateway) rank(now time.Time) int {
	layered := gateway.members.Layered(heartbeatPeers, now)
	rank := 0
	for _, view := range gateway.members.Views(now) {
		alive := view.HeardMS >= 0 && view.HeardMS < membership.AliveTime.Milliseconds() && view.PlatformMS == 0
		if alive && (!layered || view.AvailabilityZone == gateway.members.Zone) && before(view.Name, gateway.Settings.Name) {
			rank++
		}
	}
	if !layered {
		return rank
	}
	zones := gateway.members.Zones()
	return rank*len(zones) + slices.Index(zones, gateway.members.Zone)
}

// before reports whether a name comes first in the order that all compute alike.
func before(name, other string) bool {
	return prefix.Digest(name) < prefix.Digest(other)
}

// carryOut asks for reports and gives orders; orders go only right after the
// lease was renewed. Targets that are being called are left alone.
func (orders *orders) carryOut(ctx context.Context, steps []rollout.Step) {
	var given []rollout.Step
	for _, step := range steps {
		switch {
		case orders.calls[step.Target]:
		case step.Ask:
			orders.calls[step.Target] = true
			go orders.runAsk(ctx, step)
		default:
			given = append(given, step)
		}
	}
	if len(given) == 0 || !orders.prepare(ctx, given) {
		return
	}
	for _, step := range given {
		orders.calls[step.Target] = true
		go orders.runOrder(ctx, step, orders.lease.Token())
	}
}

// collect takes outcomes until the time.
func (orders *orders) collect(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case done := <-orders.outcomes:
			orders.take(ctx, done)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (orders *orders) take(ctx context.Context, done outcome) {
	delete(orders.calls, done.step.Target)
	if done.step.Ask {
		orders.reported(ctx, done.step, done.report)
		return
	}
	orders.roll.Replied(done.step.Target, done.reply, time.Now())
	if done.reply == rollout.Fenced {
		orders.held = false
	}
}

func (orders *orders) send(ctx context.Context, done outcome) {
	select {
	case orders.outcomes <- done:
	case <-ctx.Done():
	}
}

// prepare renews the lease and then keeps new work away from the targets. Other
// VMs hear of it only once the lease is sure, so that none keeps a target out of
// use for an order that never comes.
func (orders *orders) prepare(ctx context.Context, given []rollout.Step) bool {
	gateway := orders.gateway
	gateway.calls("renew", objects.Leases)
	if !orders.lease.Renew(ctx) {
		gateway.Log.Emit(event.LeaseLost, event.F("token", orders.lease.Token()))
		gateway.metrics.Leads.Set(0)
		orders.held = false
		return false
	}
	var news []peer.TargetNews
	for _, step := range given {
		gateway.roster.Rolling(step.Target, step.Model, step.Version, time.Now().Add(rollingTime))
		news = append(news, peer.TargetNews{Target: step.Target, Model: step.Model, Weights: step.Version, Rolling: true})
	}
	go gateway.runNotify(ctx, peer.Notice{Targets: news})
	return true
}

func (orders *orders) runAsk(ctx context.Context, step rollout.Step) {
	done := outcome{step: step}
	if client, ok := orders.gateway.engine(step.Target); ok {
		report, err := orders.gateway.Engines.Report(ctx, client, step.Target)
		if err == nil {
			done.report = &report
		} else {
			orders.gateway.Log.Emit(event.OrderFailed, event.F("target", step.Target), event.Err(err))
		}
	}
	orders.send(ctx, done)
}

func (orders *orders) runOrder(ctx context.Context, step rollout.Step, token uint64) {
	done := outcome{step: step, reply: rollout.Gone}
	client, ok := orders.gateway.engine(step.Target)
	if !ok {
		orders.send(ctx, done)
		return
	}
	orders.gateway.metrics.Orders.Add(1)
	reply, err := orders.gateway.Engines.Order(ctx, client, rollout.Order{
		Target: step.Target, Weights: step.Weights, Mode: step.Mode, Sequence: step.Sequence,
		Holder: orders.gateway.Settings.Name, Token: token,
	})
	done.reply = reply
	fields := []event.Field{
		event.F("target", step.Target), event.F("weights", step.Version), event.F("token", token),
		event.F("reply", int(reply)), event.F("mode", int(step.Mode)),
	}
	if err != nil {
		fields = append(fields, event.Err(err))
	}
	orders.gateway.Log.Emit(event.OrderGiven, fields...)
	orders.send(ctx, done)
}

// reported takes a report, nil when none came, and tells of finished loads.
func (orders *orders) reported(ctx context.Context, step rollout.Step, report *rollout.Report) {
	now := time.Now()
	if report == nil {
		orders.roll.Reported(step.Target, rollout.Report{}, false, now)
		return
	}
	if !orders.roll.Reported(step.Target, *report, true, now) {
		return
	}
	gateway := orders.gateway
	gateway.roster.Weights(step.Target, step.Model, step.Version)
	news := []peer.TargetNews{{Target: step.Target, Model: step.Model, Weights: step.Version}}
	go gateway.runNotify(ctx, peer.Notice{Targets: news})
}

// engine returns the client of a target.
func (gateway *Gateway) engine(id string) (*target.Client, bool) {
	address, ok := gateway.roster.Address(id)
	if !ok {
		return nil, false
	}
	return gateway.clients.Get(id, address), true
}

// runNotify tells other VMs while the roll goes on.
func (gateway *Gateway) runNotify(ctx context.Context, notice peer.Notice) {
	gateway.notify(ctx, notice)
}
