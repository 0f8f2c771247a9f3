package router

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/retry"
)

const (
	rightsInterval = 500 * time.Millisecond
	// rightsBatchDelay is the pause after a configuration change in which
	// further changes are collected before the rights are checked.
	rightsBatchDelay = 20 * time.Millisecond
	// orphanedAfter is the time without a holder after which any VM may take a
	// right.
	orphanedAfter = 2 * time.Second
	// maxHandOvers is the maximum number of rights that a VM hands over per
	// check.
	maxHandOvers = 2
	// handOverTimeout bounds the release of rights and the last write of counts
	// during shutdown.
	handOverTimeout = 3 * time.Second
	borrowTimeout   = 250 * time.Millisecond
)

// errNoHolder is returned by Borrow if no other VM holds the right.
var errNoHolder = errors.New("nobody holds this share of the rate now; retry shortly")

// runRights acquires, hands over and recovers rights, which are shares of the
// accounts' rates.
func (router *Router) runRights(ctx context.Context) error {
	ticker := time.NewTicker(rightsInterval)
	defer ticker.Stop()
	for {
		changed := router.store.Changed()
		if router.ready() && !router.callers.Draining() {
			router.reconcileRights(ctx)
		}
		select {
		case <-ticker.C:
		case <-changed: // a right may have been released to this VM
			if !retry.Wait(ctx, time.Now().Add(rightsBatchDelay)) {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (router *Router) reconcileRights(ctx context.Context) {
	handOvers := 0
	for index := range quota.Rights {
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		held := router.store.Snapshot().Right(index)
		switch {
		case router.holds(held.Right):
			handOvers += router.rebalanceRight(ctx, index, held, handOvers, now)
		case held.Right == nil || held.Right.Released:
			router.dropRight(index)
			if router.members.Listed() && router.mayTake(index, held, now) {
				router.takeRight(ctx, index, held, true)
			}
		case held.Right.Holder == router.Settings.Name:
			router.reclaimRight(ctx, index, held, now)
		default:
			router.dropRight(index)
			if router.members.Gone(held.Right.Holder, now) && router.members.Preferred(index, now) == router.Settings.Name {
				router.takeRight(ctx, index, held, false)
			}
		}
	}
}

// mayTake reports whether this VM may take a right that has no holder. The
// preferred VM may take it at once. Any VM may take it after orphanedAfter,
// because VMs that receive heartbeats from different VMs can disagree on which VM is
// preferred.
func (router *Router) mayTake(index int, held catalog.HeldRight, now time.Time) bool {
	if router.members.Preferred(index, now) == router.Settings.Name {
		return true
	}
	unheld := &router.unheld[index]
	if unheld.version != held.Version || unheld.since.IsZero() {
		*unheld = unheldRight{version: held.Version, since: now}
	}
	return now.Sub(unheld.since) >= orphanedAfter
}

// unheldRight records when this VM first found that a right has no holder, and the
// version of the right's object at that time.
type unheldRight struct {
	version objects.Version
	since   time.Time
}

// holds reports whether the right is held by this process, as opposed to another
// VM or an earlier process of this VM.
func (router *Router) holds(right *catalog.Right) bool {
	return right != nil && right.Holder == router.Settings.Name && right.Incarnation == router.bootID && !right.Released
}

// rebalanceRight keeps a right that the platform lists as held by this process,
// or releases it for the preferred VM. It returns the number of rights handed over.
func (router *Router) rebalanceRight(ctx context.Context, index int, held catalog.HeldRight, handOvers int, now time.Time) int {
	if !router.issuer.Holds(index) {
		// The platform's answer to the acquisition was lost, and the bucket
		// levels with it.
		router.issuer.Recover(index, now)
		return 0
	}
	preferred := router.members.Preferred(index, now)
	if preferred == "" || preferred == router.Settings.Name || handOvers >= maxHandOvers {
		return 0
	}
	router.releaseRight(ctx, index, held)
	return 1
}

// reclaimRight continues a right that an earlier process of this VM held. That
// process has ended, so no other process can issue tokens of the right. While the
// platform is down, the new holder is recorded later.
func (router *Router) reclaimRight(ctx context.Context, index int, held catalog.HeldRight, now time.Time) {
	if !router.issuer.Holds(index) {
		router.issuer.Recover(index, now)
		router.Log.Emit(event.RightRecovered, event.F("right", index))
	}
	if router.members.PlatformAge(now) < platformDownAfter {
		router.recordRight(ctx, index, held, router.newRight(index))
	}
}

func (router *Router) newRight(index int) catalog.Right {
	return catalog.Right{Index: index, Holder: router.Settings.Name, Incarnation: router.bootID}
}

// dropRight stops issuing tokens of a right that this VM does not hold.
func (router *Router) dropRight(index int) {
	if router.issuer.Holds(index) {
		router.issuer.Release(index, time.Now(), router.shareOf)
	}
}

// takeRight acquires a right. A right that its holder released (clean) continues
// with the stored bucket levels; any other is recovered without them.
func (router *Router) takeRight(ctx context.Context, index int, held catalog.HeldRight, clean bool) {
	if !router.recordRight(ctx, index, held, router.newRight(index)) {
		return
	}
	now := time.Now()
	if !clean {
		router.issuer.Recover(index, now)
		router.Log.Emit(event.RightRecovered, event.F("right", index))
		return
	}
	var levels []quota.Level
	if held.Right != nil {
		levels = held.Right.Levels
	}
	router.issuer.Acquire(index, levels, now)
	router.Log.Emit(event.RightTaken, event.F("right", index))
}

// recordRight writes a right to the platform on condition that it is unchanged
// there. It reports whether the write succeeded.
func (router *Router) recordRight(ctx context.Context, index int, held catalog.HeldRight, right catalog.Right) bool {
	name := catalog.ID(catalog.KindRight, fmt.Sprintf("%02d", index))
	router.metrics.PlatformCalls.Add(1)
	var object objects.Object
	var err error
	if held.Right == nil {
		object, err = router.platform.Create(ctx, objects.Configs, name, right)
	} else {
		object, err = router.platform.Update(ctx, objects.Configs, name, held.Version, right)
	}
	if err != nil {
		return false
	}
	router.store.ApplyUnordered(catalog.FromPlatform(object))
	return true
}

// releaseRight stops issuing tokens of a right, and then stores its bucket levels
// for the next holder.
func (router *Router) releaseRight(ctx context.Context, index int, held catalog.HeldRight) {
	levels := router.issuer.Release(index, time.Now(), router.shareOf)
	released := router.newRight(index)
	released.Released = true
	released.Levels = levels
	if router.recordRight(ctx, index, held, released) {
		router.Log.Emit(event.RightReleased, event.F("right", index))
		return
	}
	// It is unknown whether the release took effect. If it did not,
	// rebalanceRight recovers the right with empty buckets.
}

// releaseRights releases all rights during a graceful shutdown.
func (router *Router) releaseRights(ctx context.Context) {
	snapshot := router.store.Snapshot()
	for _, index := range router.issuer.Held() {
		if held := snapshot.Right(index); router.holds(held.Right) && ctx.Err() == nil {
			router.releaseRight(ctx, index, held)
		}
	}
}

func (router *Router) shareOf(name string) (quota.Share, bool) {
	account := router.store.Snapshot().Account(name)
	if account == nil {
		return quota.Share{}, false
	}
	return quota.ShareOf(account.Name, account.Rate, account.Burst), true
}

// Borrow implements quota.Lender: it borrows tokens from the VM that holds the
// right.
func (router *Router) Borrow(ctx context.Context, right int, share quota.Share, minTokens, want float64) (quota.Grant, error) {
	held := router.store.Snapshot().Right(right)
	if held.Right == nil || held.Right.Released || held.Right.Holder == router.Settings.Name {
		return quota.Grant{}, errNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	router.metrics.Borrows.Add(1)
	return router.dialer.Borrow(ctx, router.members.Address(held.Right.Holder), right, share, minTokens, want)
}

// returnedTokens are unspent tokens to be sent back to the VM that lent them.
type returnedTokens struct {
	right  int
	share  quota.Share
	tokens float64
}

const (
	returnBuffer   = 1024
	returnInterval = 50 * time.Millisecond
)

// Return implements quota.Lender. It queues the tokens to be sent back; tokens
// that cannot be queued are lost.
func (router *Router) Return(right int, share quota.Share, tokens float64) {
	select {
	case router.returns <- returnedTokens{right: right, share: share, tokens: tokens}:
	default:
	}
}

// runReturns sends unspent tokens back every returnInterval, with the tokens of
// the same right and account combined.
func (router *Router) runReturns(ctx context.Context) error {
	pending := map[returnKey]returnedTokens{}
	ticker := time.NewTicker(returnInterval)
	defer ticker.Stop()
	for {
		select {
		case returned := <-router.returns:
			key := returnKey{returned.right, returned.share.Account}
			returned.tokens += pending[key].tokens
			pending[key] = returned
		case <-ticker.C:
			for _, returned := range pending {
				router.sendReturn(ctx, returned)
			}
			clear(pending)
		case <-ctx.Done():
			return nil
		}
	}
}

type returnKey struct {
	right   int
	account string
}

func (router *Router) sendReturn(ctx context.Context, returned returnedTokens) {
	held := router.store.Snapshot().Right(returned.right)
	if held.Right == nil || held.Right.Released {
		return
	}
	if held.Right.Holder == router.Settings.Name {
		router.issuer.Credit(returned.right, returned.share, returned.tokens, false, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	// If the return is lost, the account only loses these tokens of its rate.
	_ = router.dialer.Return(ctx, router.members.Address(held.Right.Holder), returned.right, returned.share, returned.tokens)
}
