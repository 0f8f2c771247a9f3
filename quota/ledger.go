package quota

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/refusal"
)

const (
	// levelMaxAge is the age up to which the level reported by a lender suffices to
	// refuse a request without another call to the lender.
	levelMaxAge = 100 * time.Millisecond
	// lenderBackoff is how long no calls are made to a lender that did not answer or
	// does not hold the right.
	lenderBackoff = 500 * time.Millisecond
	// maxWait is how long a request may wait for tokens that are about to accrue:
	// less time than a client would take to retry.
	maxWait            = 250 * time.Millisecond
	minAttemptInterval = 5 * time.Millisecond
	// minMissing is the lower bound, in tokens, of a shortfall that is estimated
	// from reported levels.
	minMissing = 1
	// minRetryAfter is the shortest retry delay that a refusal states.
	minRetryAfter = 50 * time.Millisecond
)

// Lender borrows tokens from other VMs.
type Lender interface {
	// Borrow requests up to want tokens from the holder of a right. The holder
	// grants none if it has fewer than minTokens.
	Borrow(ctx context.Context, right int, share Share, minTokens, want float64) (Grant, error)
	// Return returns unspent tokens to the holder. It may fail silently.
	Return(right int, share Share, tokens float64)
}

// Account is the limit of a client account: Rate in tokens a second, Burst in
// tokens.
type Account struct {
	Name  string
	Rate  float64
	Burst float64
}

// Ledger reserves tokens for this VM's requests. It is safe for concurrent use.
// Lock order: Ledger.mu before Issuer.mu.
type Ledger struct {
	issuer *Issuer
	lender Lender
	queues waitQueues

	mu     sync.Mutex // guards levels
	levels map[levelKey]lenderLevel
}

type levelKey struct {
	account string
	right   int
}

// lenderLevel is the number of tokens that a lender last reported as left.
type lenderLevel struct {
	tokens     float64
	reportedAt time.Time
	// backoffUntil is the time until which no calls are made to the lender, because
	// it did not answer or does not hold the right.
	backoffUntil time.Time
}

// NewLedger returns a ledger that takes tokens from the VM's own rights and
// borrows from other holders.
func NewLedger(issuer *Issuer, lender Lender) *Ledger {
	return &Ledger{issuer: issuer, lender: lender, levels: map[levelKey]lenderLevel{}}
}

// piece is the tokens of a reservation that were taken from one right.
type piece struct {
	right  int
	tokens float64
	lent   bool
}

// Reservation is tokens reserved for one request.
type Reservation struct {
	ledger *Ledger
	share  Share
	pieces [Parts]piece
	count  int
	// Tokens is the number of tokens reserved. Left is this VM's estimate of the
	// number that the account has beyond these.
	Tokens float64
	Left   float64
}

// Reserve reserves tokens. If few are missing, it waits for them for at most
// maxWait; requests of an account wait in order of arrival. The error is a refusal.
// It states the time at which to retry unless the request exceeds the burst.
func (ledger *Ledger) Reserve(ctx context.Context, account Account, tokens float64, now time.Time) (Reservation, error) {
	share := ShareOf(account.Name, account.Rate, account.Burst)
	if tokens > account.Burst {
		return Reservation{ledger: ledger, share: share}, refusal.New(refusal.ExceedsBurst, "the request needs more tokens than the account's burst; shorten the prompt or lower max_tokens")
	}
	if ledger.queues.empty(account.Name) {
		reservation, missing := ledger.tryReserve(ctx, share, tokens, now)
		if missing <= tolerance {
			return reservation, nil
		}
		if accrualTime(missing, account.Rate) > maxWait {
			return reservation, rateLimited(missing, account.Rate, now)
		}
	}
	return ledger.waitAndReserve(ctx, account, share, tokens, now)
}

func accrualTime(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}

func rateLimited(missing, rate float64, now time.Time) error {
	retryAt := now.Add(max(minRetryAfter, accrualTime(missing, rate)))
	return refusal.New(refusal.RateLimited, "the account is at its rate; retry after the time in Retry-After").WithRetryAt(retryAt)
}

// waitAndReserve queues for tokens that are about to accrue. It refuses at once if
// the requests ahead need more than can accrue within maxWait.
func (ledger *Ledger) waitAndReserve(ctx context.Context, account Account, share Share, tokens float64, now time.Time) (Reservation, error) {
	deadline := now.Add(maxWait)
	empty := Reservation{ledger: ledger, share: share}
	ahead, atHead, dequeue := ledger.queues.enqueue(account.Name, tokens)
	defer dequeue()
	if accrualTime(ahead, account.Rate) > maxWait {
		return empty, rateLimited(ahead+tokens, account.Rate, now)
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-atHead:
	case <-timer.C:
		return empty, rateLimited(ahead+tokens, account.Rate, time.Now())
	case <-ctx.Done():
		return empty, rateLimited(ahead+tokens, account.Rate, time.Now())
	}
	for {
		current := time.Now()
		reservation, missing := ledger.tryReserve(ctx, share, tokens, current)
		if missing <= tolerance {
			return reservation, nil
		}
		retryAt := current.Add(max(minAttemptInterval, accrualTime(missing, account.Rate)))
		if retryAt.After(deadline) || ctx.Err() != nil {
			return reservation, rateLimited(missing, account.Rate, current)
		}
		time.Sleep(time.Until(retryAt))
	}
}

// tryReserve reserves the tokens if they are likely to be available. It returns
// the number of missing tokens; if any are missing, nothing remains reserved.
func (ledger *Ledger) tryReserve(ctx context.Context, share Share, tokens float64, now time.Time) (Reservation, float64) {
	ctx, cancel := context.WithTimeout(ctx, LoanTime)
	defer cancel()
	reservation := Reservation{ledger: ledger, share: share}
	rights := RightsOf(share.Account)
	local := ledger.localLevel(share, rights, now)
	if local < tokens && !ledger.remoteLikelySuffices(ctx, share, rights, tokens-local, now) {
		expected, _ := ledger.estimateRemote(share, rights, now)
		reservation.Left = local + expected
		return reservation, max(minMissing, tokens-local-expected)
	}
	ledger.takeFromRights(ctx, &reservation, rights, tokens, now)
	missing := tokens - reservation.Tokens
	if missing > tolerance {
		reservation.Cancel(now)
		missing = max(minMissing, tokens-reservation.Left)
	}
	return reservation, missing
}

// tolerance absorbs rounding, in tokens.
const tolerance = 1e-6

func (reservation *Reservation) addPiece(right int, tokens float64, lent bool) {
	if tokens <= 0 {
		return
	}
	reservation.pieces[reservation.count] = piece{right: right, tokens: tokens, lent: lent}
	reservation.count++
	reservation.Tokens += tokens
}

// localLevel returns the tokens that this VM's rights have left for a share.
func (ledger *Ledger) localLevel(share Share, rights [Parts]int, now time.Time) float64 {
	total := 0.0
	for _, right := range rights {
		total += ledger.issuer.Level(right, share, now)
	}
	return total
}

// remoteLikelySuffices reports whether the other holders are likely to have the
// missing tokens. It takes no tokens: those taken for a request that is refused in
// the end would be missing elsewhere. If the known levels do not suffice, it polls
// the holders without a recent report.
func (ledger *Ledger) remoteLikelySuffices(ctx context.Context, share Share, rights [Parts]int, missing float64, now time.Time) bool {
	expected, stale := ledger.estimateRemote(share, rights, now)
	if expected >= missing || len(stale) == 0 {
		return expected >= missing
	}
	var group errgroup.Group
	for _, right := range stale {
		group.Go(func() error { ledger.borrow(ctx, share, right, 0, 0, now); return nil })
	}
	_ = group.Wait() // borrow records each answer
	expected, _ = ledger.estimateRemote(share, rights, now)
	return expected >= missing
}

// estimateRemote returns the sum of the tokens that the other holders should have
// left, and the rights whose holders have not reported recently.
func (ledger *Ledger) estimateRemote(share Share, rights [Parts]int, now time.Time) (expected float64, stale []int) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for _, right := range rights {
		reported, ok := ledger.levels[levelKey{share.Account, right}]
		if ledger.issuer.Holds(right) || now.Before(reported.backoffUntil) {
			continue
		}
		if !ok || now.Sub(reported.reportedAt) > levelMaxAge {
			stale = append(stale, right)
		}
		if !ok {
			expected += share.Burst
			continue
		}
		accrued := reported.tokens + now.Sub(reported.reportedAt).Seconds()*share.Rate
		expected += min(accrued, share.Burst)
	}
	return expected, stale
}

// borrow borrows from one holder and records its remaining level.
func (ledger *Ledger) borrow(ctx context.Context, share Share, right int, minTokens, want float64, now time.Time) Grant {
	grant, err := ledger.lender.Borrow(ctx, right, share, minTokens, want)
	if err != nil || !grant.Held {
		ledger.recordLevel(share, right, lenderLevel{reportedAt: now, backoffUntil: now.Add(lenderBackoff)})
		return Grant{}
	}
	ledger.recordLevel(share, right, lenderLevel{tokens: grant.Left, reportedAt: now})
	return grant
}

// takeFromRights takes tokens from the rights in order of level, highest first. A
// first pass takes only from a right that has all missing tokens. If none has that
// many but all together do, a second pass takes what each has. Without these
// conditions, requests that are refused in the end would withhold small amounts from
// each other. Taking from the highest level keeps the levels even: a full bucket
// loses what it would accrue.
func (ledger *Ledger) takeFromRights(ctx context.Context, reservation *Reservation, rights [Parts]int, tokens float64, now time.Time) {
	share := reservation.share
	for _, requireAll := range []bool{true, false} {
		for _, right := range ledger.sortByLevel(share, rights, now) {
			missing := tokens - reservation.Tokens
			if missing <= tolerance || ctx.Err() != nil {
				break
			}
			minTokens := 0.0
			if requireAll {
				minTokens = missing
			}
			ledger.takeFromRight(ctx, reservation, right, minTokens, missing, now)
		}
		missing := tokens - reservation.Tokens
		expected, _ := ledger.estimateRemote(share, rights, now)
		if missing <= tolerance || expected+ledger.localLevel(share, rights, now) < missing {
			break
		}
	}
	expected, _ := ledger.estimateRemote(share, rights, now)
	reservation.Left = expected + ledger.localLevel(share, rights, now)
}

// takeFromRight takes tokens from one right, held by this VM or by another.
func (ledger *Ledger) takeFromRight(ctx context.Context, reservation *Reservation, right int, minTokens, want float64, now time.Time) {
	share := reservation.share
	if ledger.issuer.Holds(right) {
		if ledger.issuer.Level(right, share, now) >= minTokens {
			reservation.addPiece(right, ledger.issuer.Take(right, share, want, now), false)
		}
		return
	}
	if ledger.inBackoff(share, right, now) {
		return
	}
	grant := ledger.borrow(ctx, share, right, minTokens, want, now)
	reservation.addPiece(right, grant.Tokens, true)
}

// localPreference is the factor by which the level of a local right may be lower
// than that of a remote one and still be preferred: borrowing costs a round trip.
const localPreference = 1.25

// sortByLevel returns the rights in order of level, highest first.
func (ledger *Ledger) sortByLevel(share Share, rights [Parts]int, now time.Time) [Parts]int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	var levels [Parts]float64
	for i, right := range rights {
		reported, ok := ledger.levels[levelKey{share.Account, right}]
		switch {
		case ledger.issuer.Holds(right):
			levels[i] = ledger.issuer.Level(right, share, now) * localPreference
		case !ok:
			levels[i] = share.Burst
		default:
			levels[i] = min(share.Burst, reported.tokens+now.Sub(reported.reportedAt).Seconds()*share.Rate)
		}
	}
	for i := 1; i < Parts; i++ {
		for j := i; j > 0 && levels[j] > levels[j-1]; j-- {
			levels[j], levels[j-1] = levels[j-1], levels[j]
			rights[j], rights[j-1] = rights[j-1], rights[j]
		}
	}
	return rights
}

func (ledger *Ledger) inBackoff(share Share, right int, now time.Time) bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return now.Before(ledger.levels[levelKey{share.Account, right}].backoffUntil)
}

func (ledger *Ledger) recordLevel(share Share, right int, level lenderLevel) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.levels[levelKey{share.Account, right}] = level
}

// recordReturn adds tokens that are being returned to a lender to its recorded
// level.
func (ledger *Ledger) recordReturn(share Share, right int, tokens float64) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	key := levelKey{share.Account, right}
	if reported, ok := ledger.levels[key]; ok {
		reported.tokens += tokens
		ledger.levels[key] = reported
	}
}

// RetainAccounts removes the recorded levels of accounts for which keep returns
// false.
func (ledger *Ledger) RetainAccounts(keep func(account string) bool) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for key := range ledger.levels {
		if !keep(key.account) {
			delete(ledger.levels, key)
		}
	}
}

// Cancel returns all tokens: the request did not run.
func (reservation *Reservation) Cancel(now time.Time) {
	reservation.Settle(0, now)
}

// Settle returns the tokens that the request did not use.
func (reservation *Reservation) Settle(used float64, now time.Time) {
	unused := reservation.Tokens - used
	for i := reservation.count - 1; i >= 0 && unused > 0; i-- {
		piece := reservation.pieces[i]
		part := min(unused, piece.tokens)
		unused -= part
		if piece.lent {
			reservation.ledger.lender.Return(piece.right, reservation.share, part)
			reservation.ledger.recordReturn(reservation.share, piece.right, part)
		} else {
			reservation.ledger.issuer.Credit(piece.right, reservation.share, part, false, now)
		}
	}
	reservation.count = 0
	reservation.Tokens = used
}
