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
	// rightsPause spaces the looks after changes of configuration.
	rightsPause = 20 * time.Millisecond
	// orphanedAfter is how long a right has no holder until any VM takes it.
	orphanedAfter = 2 * time.Second
	// movesAtOnce bounds the rights that one VM hands over in one interval.
	movesAtOnce = 2
	// handOverTime bounds the release of what a stopping VM holds.
	handOverTime  = 3 * time.Second
	borrowTimeout = 250 * time.Millisecond
)

// errNoHolder is returned while nobody holds a right.
var errNoHolder = errors.New("nobody holds this share of the rate now; retry shortly")

// runRights takes, hands over and recovers shares of the rates.
func (router *Router) runRights(ctx context.Context) error {
	ticker := time.NewTicker(rightsInterval)
	defer ticker.Stop()
	for {
		changed := router.store.Changed()
		if router.ready() && !router.callers.Draining() {
			router.stepRights(ctx)
		}
		select {
		case <-ticker.C:
		case <-changed: // a right may have been released to this VM
			if !retry.Wait(ctx, time.Now().Add(rightsPause)) {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (router *Router) stepRights(ctx context.Context) {
	moves := 0
	for index := range quota.Rights {
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		held := router.store.Snapshot().Right(index)
		switch {
		case router.isMine(held.Right):
			moves += router.keepRight(ctx, index, held, moves, now)
		case held.Right == nil || held.Right.Released:
			router.dropRight(index)
			if router.members.Listed() && router.mayTake(index, held, now) {
				router.takeRight(ctx, index, held, true)
			}
		case held.Right.Holder == router.Settings.Name:
			router.resumeRight(ctx, index, held, now)
		default:
			router.dropRight(index)
			if router.members.Gone(held.Right.Holder, now) && router.members.Preferred(index, now) == router.Settings.Name {
				router.takeRight(ctx, index, held, false)
			}
		}
	}
}

// mayTake reports whether a right that nobody holds is this VM's to take: the
// preferred VM's at once, and any VM's after a while, since VMs that hear
// different ones may each prefer another.
func (router *Router) mayTake(index int, held catalog.HeldRight, now time.Time) bool {
	if router.members.Preferred(index, now) == router.Settings.Name {
		return true
	}
	free := &router.free[index]
	if free.version != held.Version || free.since.IsZero() {
		*free = freeRight{version: held.Version, since: now}
	}
	return now.Sub(free.since) >= orphanedAfter
}

// freeRight is since when a right was seen without a holder.
type freeRight struct {
	version objects.Version
	since   time.Time
}

func (router *Router) isMine(right *catalog.Right) bool {
	return right != nil && right.Holder == router.Settings.Name && right.Incarnation == router.boot && !right.Released
}

// keepRight holds a right that the platform says is this VM's, or hands it to
// the VM that should have it. It returns the number of moves made.
func (router *Router) keepRight(ctx context.Context, index int, held catalog.HeldRight, moves int, now time.Time) int {
	if !router.mint.Holds(index) {
		// The answer to taking it was lost, and the levels with it.
		router.mint.Recover(index, now)
		return 0
	}
	preferred := router.members.Preferred(index, now)
	if preferred == "" || preferred == router.Settings.Name || moves >= movesAtOnce {
		return 0
	}
	router.releaseRight(ctx, index, held)
	return 1
}

// resumeRight goes on with a right of an earlier process of this VM. That
// process has ended, so that nobody else can issue its tokens; while the
// platform is down, the record waits.
func (router *Router) resumeRight(ctx context.Context, index int, held catalog.HeldRight, now time.Time) {
	if !router.mint.Holds(index) {
		router.mint.Recover(index, now)
		router.Log.Emit(event.RightRecovered, event.F("right", index))
	}
	if router.members.PlatformAge(now) < quietAfter {
		router.recordRight(ctx, index, held, router.ownRight(index))
	}
}

func (router *Router) ownRight(index int) catalog.Right {
	return catalog.Right{Index: index, Holder: router.Settings.Name, Incarnation: router.boot}
}

// dropRight stops issuing tokens of a right that is another VM's.
func (router *Router) dropRight(index int) {
	if router.mint.Holds(index) {
		router.mint.Release(index, time.Now(), router.shareOf)
	}
}

// takeRight takes a right; clean ones come with their levels.
func (router *Router) takeRight(ctx context.Context, index int, held catalog.HeldRight, clean bool) {
	if !router.recordRight(ctx, index, held, router.ownRight(index)) {
		return
	}
	now := time.Now()
	if !clean {
		router.mint.Recover(index, now)
		router.Log.Emit(event.RightRecovered, event.F("right", index))
		return
	}
	var levels []quota.Level
	if held.Right != nil {
		levels = held.Right.Levels
	}
	router.mint.Acquire(index, levels, now)
	router.Log.Emit(event.RightTaken, event.F("right", index))
}

// recordRight writes a right's object on condition that it is unchanged.
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
	router.store.Hint(catalog.FromPlatform(object))
	return true
}

// releaseRight stops issuing and then leaves the levels for the next holder.
func (router *Router) releaseRight(ctx context.Context, index int, held catalog.HeldRight) {
	levels := router.mint.Release(index, time.Now(), router.shareOf)
	released := router.ownRight(index)
	released.Released = true
	released.Levels = levels
	if router.recordRight(ctx, index, held, released) {
		router.Log.Emit(event.RightReleased, event.F("right", index))
		return
	}
	// Whether the release took effect is unknown; if it did not, keepRight
	// recovers the right with empty buckets.
}

// releaseRights hands over all rights at a planned stop.
func (router *Router) releaseRights(ctx context.Context) {
	snapshot := router.store.Snapshot()
	for _, index := range router.mint.Held() {
		if held := snapshot.Right(index); router.isMine(held.Right) && ctx.Err() == nil {
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

// Borrow implements quota.Lender.
func (router *Router) Borrow(ctx context.Context, right int, share quota.Share, least, want float64) (quota.Grant, error) {
	held := router.store.Snapshot().Right(right)
	if held.Right == nil || held.Right.Released || held.Right.Holder == router.Settings.Name {
		return quota.Grant{}, errNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	router.metrics.Borrows.Add(1)
	return router.dialer.Borrow(ctx, router.members.Address(held.Right.Holder), right, share, least, want)
}

// returned is unspent tokens on their way back to the VM that lent them.
type returned struct {
	right  int
	share  quota.Share
	tokens float64
}

const (
	returnBuffer   = 1024
	returnInterval = 50 * time.Millisecond
)

// Return implements quota.Lender. Tokens that cannot be sent are lost.
func (router *Router) Return(right int, share quota.Share, tokens float64) {
	select {
	case router.returns <- returned{right: right, share: share, tokens: tokens}:
	default:
	}
}

// runReturns sends unspent tokens back, those of the same share together.
func (router *Router) runReturns(ctx context.Context) error {
	pending := map[returnKey]returned{}
	ticker := time.NewTicker(returnInterval)
	defer ticker.Stop()
	for {
		select {
		case added := <-router.returns:
			key := returnKey{added.right, added.share.Account}
			added.tokens += pending[key].tokens
			pending[key] = added
		case <-ticker.C:
			for _, added := range pending {
				router.sendBack(ctx, added)
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

func (router *Router) sendBack(ctx context.Context, added returned) {
	held := router.store.Snapshot().Right(added.right)
	if held.Right == nil || held.Right.Released {
		return
	}
	if held.Right.Holder == router.Settings.Name {
		router.mint.Credit(added.right, added.share, added.tokens, false, time.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	// A lost return costs the account a moment of its rate and nothing else.
	_ = router.dialer.Return(ctx, router.members.Address(held.Right.Holder), added.right, added.share, added.tokens)
}
