package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/release"
	"github.com/bramleygw/bramleygw/retry"
)

// releaseRenewInterval is how often the leader of releases renews its lease. The lease
// outlasts a failed renewal.
const releaseRenewInterval = 700 * time.Millisecond

// storedRelease is the object in the collection Releases with which another leader goes
// on. Clocks jump, so that no time of day is stored.
type storedRelease struct {
	Order string `json:"order"` // its ID
	Stage string `json:"stage"`
	// ElapsedMS is the time from the order to the write, in milliseconds: after a restart
	// of all VMs none knows it.
	ElapsedMS int64  `json:"elapsed_ms"`
	Token     uint64 `json:"token"` // of the lease of the VM that wrote it
}

// releaseLead is the state of the loop that leads releases.
type releaseLead struct {
	*releases
	plans       map[string]*ledRelease // by order
	lastAttempt time.Time              // to acquire the lease
	renewedAt   time.Time
	freeLease   bool // whether the lease is to be released once no order runs
}

// ledRelease is an order that this VM leads.
type ledRelease struct {
	plan    *release.Plan
	version objects.Version // of its object in the collection Releases; 0 if there is none
	tries   int
	retryAt time.Time
}

// runLead leads the releases while this VM holds the lease.
func (releases *releases) runLead(ctx context.Context) error {
	lead := &releaseLead{releases: releases, plans: map[string]*ledRelease{}}
	for retry.Wait(ctx, time.Now().Add(releaseInterval)) {
		lead.advance(ctx)
	}
	return nil
}

// advance takes the steps that are due.
func (lead *releaseLead) advance(ctx context.Context) {
	running := lead.tracker.Running()
	if len(running) == 0 {
		lead.end(ctx)
		return
	}
	if !lead.ensureLease(ctx, running) {
		lead.plans = map[string]*ledRelease{}
		return
	}
	for _, word := range running {
		lead.step(ctx, word)
	}
}

// end releases the lease once no order runs.
func (lead *releaseLead) end(ctx context.Context) {
	lead.plans = map[string]*ledRelease{}
	lead.gateway.metrics.LeadsReleases.Set(0)
	if !lead.freeLease {
		return
	}
	lead.freeLease = false
	lead.gateway.countStoreCall("release", objects.Leases)
	lead.lease.Release(ctx)
	lead.setLead()
}

// ensureLease acquires or renews the lease. It returns whether this VM may decide now.
func (lead *releaseLead) ensureLease(ctx context.Context, running []release.Word) bool {
	now := time.Now()
	if lead.lease.Held(now) {
		if now.Sub(lead.renewedAt) >= releaseRenewInterval {
			lead.gateway.countStoreCall("renew", objects.Leases)
			lead.renewedAt = now
			lead.lease.Renew(ctx)
			lead.setLead()
		}
		return lead.lease.Held(time.Now())
	}
	lead.gateway.metrics.LeadsReleases.Set(0)
	if !lead.due(running, now) {
		return false
	}
	lead.gateway.countStoreCall("try", objects.Leases)
	lead.plans = map[string]*ledRelease{}
	held := lead.lease.AcquireOrRenew(ctx)
	lead.lastAttempt, lead.renewedAt = time.Now(), now
	if !held {
		return false
	}
	lead.freeLease = true
	lead.setLead()
	lead.gateway.metrics.LeadsReleases.Set(1)
	lead.gateway.Log.Emit(event.ReleaseLed, event.F("token", lead.lease.Token()))
	return lead.lease.Held(time.Now())
}

// due reports whether this VM tries to acquire the lease now. VMs try in the order of
// their ranks once nobody issues the stage of a running order.
func (lead *releaseLead) due(running []release.Word, now time.Time) bool {
	gateway := lead.gateway
	hierarchical := gateway.members.Hierarchical(maxHeartbeatPeers, now)
	if now.Sub(lead.lastAttempt) < leaseAttemptInterval || hierarchical && !gateway.members.IsRepresentative(now) || gateway.storeHealth.lastCallFailed() {
		return false // counts reach representatives alone
	}
	observed := lead.lease.Observed()
	ledBefore := time.Time{}
	for _, word := range running {
		begun := word.Ordered
		if valid := word.Issue.At.Add(release.MaxAge); valid.After(begun) {
			begun = valid
		}
		if ledBefore.IsZero() || begun.Before(ledBefore) {
			ledBefore = begun
		}
	}
	free := observed.Holder == "" || observed.Holder == lead.holder || lead.lastAttempt.Before(ledBefore)
	if expires := lead.lease.TakeoverDelay.After(observed.At); !free && expires.After(ledBefore) {
		ledBefore = expires
	}
	return !now.Before(ledBefore.Add(time.Duration(gateway.rank(now)) * rankDelay))
}

// step takes the next step of an order.
func (lead *releaseLead) step(ctx context.Context, word release.Word) {
	now := time.Now()
	led, err := lead.load(ctx, word)
	if err == nil && !now.Before(led.retryAt) {
		err = lead.take(ctx, led, word, now)
	}
	if err == nil {
		return
	}
	if led != nil {
		led.retryAt = storeBackoff.Next(led.tries, time.Now())
		led.tries++
	}
	lead.gateway.Log.Emit(event.ReleaseNotStored, event.F("service", word.Order.Service), event.F("to", word.Order.To), event.Err(err))
}

// take takes the next step of an order that was loaded.
func (lead *releaseLead) take(ctx context.Context, led *ledRelease, word release.Word, now time.Time) error {
	service := word.Order.Service
	sum := lead.tracker.Total(service, anySource, now)
	targets, own := lead.gateway.roster.CountSoftware(service, word.Order.To, now)
	step := led.plan.Next(release.Input{
		Ordered: word.Ordered, NewTargets: targets, Verdict: release.Judge(sum.Counts), FoundBad: word.Bad != "",
		OldInFlight: own + sum.OldInFlight, Complete: lead.complete(sum.Sources, now),
	}, now)
	switch {
	case step.State != "":
		return lead.writeState(ctx, word.Order, step.State, step.Reason)
	case step.Stage > led.plan.Stage():
		return lead.storeStage(ctx, led, word, step.Stage)
	case word.Order.State == "":
		return lead.writeState(ctx, word.Order, release.Running, "")
	}
	led.tries = 0
	return nil
}

// load returns the plan of an order, from the stage that an earlier leader stored.
func (lead *releaseLead) load(ctx context.Context, word release.Word) (*ledRelease, error) {
	id := word.Order.ID()
	if led := lead.plans[id]; led != nil {
		return led, nil
	}
	lead.gateway.countStoreCall("get", objects.Releases)
	object, err := lead.gateway.Store.Get(ctx, objects.Releases, word.Order.Service)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return nil, err
	}
	stage := release.Waiting
	var stored storedRelease
	if err == nil && json.Unmarshal(object.Spec, &stored) == nil && stored.Order == id {
		stage = release.StageOf(stored.Stage)
		now := time.Now()
		word.Ordered = now.Add(-time.Duration(stored.ElapsedMS) * time.Millisecond)
		lead.tracker.Merge(lead.gateway.Settings.Name, word, now)
	}
	led := &ledRelease{plan: release.NewPlan(word.Order, lead.gateway.Settings.Bounds, stage), version: object.Metadata.ResourceVersion}
	lead.plans[id] = led
	lead.setStage(id, stage)
	return led, nil
}

// storeStage stores a higher stage and puts it into effect once the store has confirmed
// it: the next leader must know it.
func (lead *releaseLead) storeStage(ctx context.Context, led *ledRelease, word release.Word, stage release.Stage) error {
	order := word.Order
	spec := storedRelease{Order: order.ID(), Stage: stage.String(), ElapsedMS: time.Since(word.Ordered).Milliseconds(), Token: lead.lease.Token()}
	var object objects.Object
	var err error
	if led.version == 0 {
		lead.gateway.countStoreCall("create", objects.Releases)
		object, err = lead.gateway.Store.Create(ctx, objects.Releases, order.Service, spec)
	} else {
		lead.gateway.countStoreCall("update", objects.Releases)
		object, err = lead.gateway.Store.Update(ctx, objects.Releases, order.Service, led.version, spec)
	}
	now := time.Now()
	if err != nil || !lead.lease.Held(now) {
		delete(lead.plans, order.ID()) // read again what is stored
		return errors.Wrap(err, "store stage")
	}
	led.version = object.Metadata.ResourceVersion
	led.plan.Enter(stage, now)
	lead.setStage(order.ID(), stage)
	lead.gateway.Log.Emit(event.ReleaseStage, event.F("service", order.Service), event.F("to", order.To), event.F("stage", stage.String()))
	lead.judge(ctx, now) // issue the stage
	go lead.runTell(ctx)
	return nil
}

// writeState writes the state of an order unless it has ended already. The write is
// conditional on the object that was read before, so that an order ends once.
func (lead *releaseLead) writeState(ctx context.Context, order release.Order, state release.State, reason string) error {
	gateway := lead.gateway
	gateway.countStoreCall("get", objects.Rollouts)
	object, err := gateway.Store.Get(ctx, objects.Rollouts, order.Name)
	if errors.Is(err, objects.ErrNotFound) {
		return nil // the watch will tell that it was deleted
	}
	if err != nil {
		return errors.Wrap(err, "read order")
	}
	stored, err := gateway.Decoder.Order(object)
	if err != nil {
		return errors.Wrap(err, "read order")
	}
	if stored.ID() != order.ID() || stored.State.Ended() || stored.State == state {
		lead.tracker.Put(stored, time.Now()) // replaced, or an earlier write took effect without an answer
		return nil
	}
	if !lead.lease.Held(time.Now()) {
		return nil
	}
	gateway.countStoreCall("status", objects.Rollouts)
	written, err := gateway.Store.WriteState(ctx, object, stored, state)
	if err != nil {
		return errors.Wrap(err, "write state")
	}
	stored.State, stored.Revision = state, uint64(written.Metadata.ResourceVersion)
	lead.tracker.Put(stored, time.Now())
	if state.Ended() {
		gateway.metrics.ReleaseEnds.Add(string(state), 1)
		gateway.Log.Emit(event.ReleaseEnded, event.F("service", order.Service), event.F("to", order.To), event.F("state", string(state)), event.F("reason", reason))
	}
	go lead.runTell(ctx)
	return nil
}
