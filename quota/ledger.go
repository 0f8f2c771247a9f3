package quota

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/refusal"
)

const (
	// fresh is how long a lender's reported level is trusted to refuse
	// without asking again.
	fresh = 100 * time.Millisecond
	// lenderRest is how long a lender that did not answer is left alone.
	lenderRest = 500 * time.Millisecond
	// patience is how long a request waits for tokens that will be there: less
	// than a caller would take to come back.
	patience = 250 * time.Millisecond
	minPause = 5 * time.Millisecond
	// minMissing stands for a shortfall that is not known exactly, in tokens.
	minMissing = 1
	// minRetry is the least time after which a refused caller is asked to come
	// back.
	minRetry = 50 * time.Millisecond
)

// Lender asks other VMs for tokens.
type Lender interface {
	// Borrow asks the holder of a right for up to want tokens, or none when it
	// has fewer than the least.
	Borrow(ctx context.Context, right int, share Share, least, want float64) (Grant, error)
	// Return gives unspent tokens back. It need not succeed.
	Return(right int, share Share, tokens float64)
}

// Account is what the ledger needs to know of a client account.
type Account struct {
	Name  string
	Rate  float64
	Burst float64
}

// Ledger reserves tokens for this VM's requests. It is safe for concurrent
// use. Lock order: Ledger.mu before Mint.mu.
type Ledger struct {
	mint   *Mint
	lender Lender
	lines  lines

	mu     sync.Mutex // guards levels
	levels map[levelKey]lenderLevel
}

type levelKey struct {
	account string
	right   int
}

// lenderLevel is what a lender said that it had left.
type lenderLevel struct {
	tokens float64
	at     time.Time
	// restUntil is when a lender that did not answer is asked again.
	restUntil time.Time
}

// NewLedger returns a ledger on top of the VM's own rights.
func NewLedger(mint *Mint, lender Lender) *Ledger {
	return &Ledger{mint: mint, lender: lender, levels: map[levelKey]lenderLevel{}}
}

// piece is tokens taken from one right.
type piece struct {
	right  int
	tokens float64
	lent   bool
}

// Reservation is tokens set aside for one request.
type Reservation struct {
	ledger *Ledger
	share  Share
	pieces [Parts]piece
	count  int
	// Tokens is what was reserved; Left what the account has beyond it, as far
	// as this VM knows.
	Tokens float64
	Left   float64
}

// Reserve sets tokens aside. When few are missing it waits for them a moment,
// requests of an account in the order of their arrival. The error is a refusal
// with the time at which to come back.
func (ledger *Ledger) Reserve(ctx context.Context, account Account, tokens float64, now time.Time) (Reservation, error) {
	share := ShareOf(account.Name, account.Rate, account.Burst)
	if tokens > account.Burst {
		return Reservation{ledger: ledger, share: share}, refusal.New(refusal.ExceedsBurst, "the request needs more tokens than the account's burst; shorten the prompt or lower max_tokens")
	}
	if ledger.lines.empty(account.Name) {
		reservation, missing := ledger.attempt(ctx, share, tokens, now)
		if missing <= tolerance {
			return reservation, nil
		}
		if secondsToGain(missing, account.Rate) > patience {
			return reservation, rateLimited(missing, account.Rate, now)
		}
	}
	return ledger.wait(ctx, account, share, tokens, now)
}

func secondsToGain(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Second))
}

func rateLimited(missing, rate float64, now time.Time) error {
	retryAt := now.Add(max(minRetry, secondsToGain(missing, rate)))
	return refusal.New(refusal.RateLimited, "the account is at its rate; retry after the time in Retry-After").At(retryAt)
}

// wait lines up for tokens that will soon be there. A line that is worth more
// than can be gained in time is not joined.
func (ledger *Ledger) wait(ctx context.Context, account Account, share Share, tokens float64, now time.Time) (Reservation, error) {
	giveUp := now.Add(patience)
	empty := Reservation{ledger: ledger, share: share}
	ahead, turn, leave := ledger.lines.join(account.Name, tokens)
	defer leave()
	if secondsToGain(ahead, account.Rate) > patience {
		return empty, rateLimited(ahead+tokens, account.Rate, now)
	}
	timer := time.NewTimer(time.Until(giveUp))
	defer timer.Stop()
	select {
	case <-turn:
	case <-timer.C:
		return empty, rateLimited(ahead+tokens, account.Rate, time.Now())
	case <-ctx.Done():
		return empty, rateLimited(ahead+tokens, account.Rate, time.Now())
	}
	for {
		current := time.Now()
		reservation, missing := ledger.attempt(ctx, share, tokens, current)
		if missing <= tolerance {
			return reservation, nil
		}
		next := current.Add(max(minPause, secondsToGain(missing, account.Rate)))
		if next.After(giveUp) || ctx.Err() != nil {
			return reservation, rateLimited(missing, account.Rate, current)
		}
		time.Sleep(time.Until(next))
	}
}

// attempt gathers the tokens if they are likely to be there. It returns how
// many are missing; then nothing is kept.
func (ledger *Ledger) attempt(ctx context.Context, share Share, tokens float64, now time.Time) (Reservation, float64) {
	ctx, cancel := context.WithTimeout(ctx, LoanTime)
	defer cancel()
	reservation := Reservation{ledger: ledger, share: share}
	rights := RightsOf(share.Account)
	own := ledger.own(share, rights, now)
	if own < tokens && !ledger.othersHave(ctx, share, rights, tokens-own, now) {
		expected, _ := ledger.expect(share, rights, now)
		reservation.Left = own + expected
		return reservation, max(minMissing, tokens-own-expected)
	}
	ledger.gather(ctx, &reservation, rights, tokens, now)
	missing := tokens - reservation.Tokens
	if missing > tolerance {
		reservation.Cancel(now)
		missing = max(minMissing, tokens-reservation.Left)
	}
	return reservation, missing
}

// tolerance absorbs rounding, in tokens.
const tolerance = 1e-6

func (reservation *Reservation) add(right int, tokens float64, lent bool) {
	if tokens <= 0 {
		return
	}
	reservation.pieces[reservation.count] = piece{right: right, tokens: tokens, lent: lent}
	reservation.count++
	reservation.Tokens += tokens
}

// own returns what this VM's rights have left for a share.
func (ledger *Ledger) own(share Share, rights [Parts]int, now time.Time) float64 {
	total := 0.0
	for _, right := range rights {
		total += ledger.mint.Level(right, share, now)
	}
	return total
}

// othersHave reports whether the other holders are likely to have the missing
// tokens. Nothing is taken: tokens that a request that fails in the end took on
// its way would be missing elsewhere. Holders that were not heard lately are
// asked when what is known of them is not enough.
func (ledger *Ledger) othersHave(ctx context.Context, share Share, rights [Parts]int, missing float64, now time.Time) bool {
	expected, stale := ledger.expect(share, rights, now)
	if expected >= missing || len(stale) == 0 {
		return expected >= missing
	}
	var group errgroup.Group
	for _, right := range stale {
		group.Go(func() error { ledger.ask(ctx, share, right, 0, 0, now); return nil })
	}
	_ = group.Wait() // each answer is noted
	expected, _ = ledger.expect(share, rights, now)
	return expected >= missing
}

// expect adds up what the other holders should have left, and lists those that
// were not heard lately.
func (ledger *Ledger) expect(share Share, rights [Parts]int, now time.Time) (expected float64, stale []int) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for _, right := range rights {
		known, ok := ledger.levels[levelKey{share.Account, right}]
		if ledger.mint.Holds(right) || now.Before(known.restUntil) {
			continue
		}
		if !ok || now.Sub(known.at) > fresh {
			stale = append(stale, right)
		}
		if !ok {
			expected += share.Burst
			continue
		}
		accrued := known.tokens + now.Sub(known.at).Seconds()*share.Rate
		expected += min(accrued, share.Burst)
	}
	return expected, stale
}

// ask borrows from one holder and notes what it has left.
func (ledger *Ledger) ask(ctx context.Context, share Share, right int, least, want float64, now time.Time) Grant {
	grant, err := ledger.lender.Borrow(ctx, right, share, least, want)
	if err != nil || !grant.Held {
		ledger.note(share, right, lenderLevel{at: now, restUntil: now.Add(lenderRest)})
		return Grant{}
	}
	ledger.note(share, right, lenderLevel{tokens: grant.Left, at: now})
	return grant
}

// gather takes tokens from the rights in turn, the fullest first: from each all
// that is missing, and only when none has that much but all together do, what
// each has. Otherwise requests that fail in the end would keep small amounts
// from each other. Drawing on the fullest keeps the parts even: a part that is
// full loses what it would gain.
func (ledger *Ledger) gather(ctx context.Context, reservation *Reservation, rights [Parts]int, tokens float64, now time.Time) {
	share := reservation.share
	for _, whole := range []bool{true, false} {
		for _, right := range ledger.byLevel(share, rights, now) {
			missing := tokens - reservation.Tokens
			if missing <= tolerance || ctx.Err() != nil {
				break
			}
			least := 0.0
			if whole {
				least = missing
			}
			ledger.draw(ctx, reservation, right, least, missing, now)
		}
		missing := tokens - reservation.Tokens
		expected, _ := ledger.expect(share, rights, now)
		if missing <= tolerance || expected+ledger.own(share, rights, now) < missing {
			break
		}
	}
	expected, _ := ledger.expect(share, rights, now)
	reservation.Left = expected + ledger.own(share, rights, now)
}

// draw takes tokens from one right, its own VM's or another's.
func (ledger *Ledger) draw(ctx context.Context, reservation *Reservation, right int, least, want float64, now time.Time) {
	share := reservation.share
	if ledger.mint.Holds(right) {
		if ledger.mint.Level(right, share, now) >= least {
			reservation.add(right, ledger.mint.Take(right, share, want, now), false)
		}
		return
	}
	if ledger.resting(share, right, now) {
		return
	}
	grant := ledger.ask(ctx, share, right, least, want, now)
	reservation.add(right, grant.Tokens, true)
}

// ownPreference is how much emptier an own part may be than another VM's before
// the other is asked: a call costs a round trip.
const ownPreference = 1.25

// byLevel orders the rights, the fullest first.
func (ledger *Ledger) byLevel(share Share, rights [Parts]int, now time.Time) [Parts]int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	var levels [Parts]float64
	for i, right := range rights {
		known, ok := ledger.levels[levelKey{share.Account, right}]
		switch {
		case ledger.mint.Holds(right):
			levels[i] = ledger.mint.Level(right, share, now) * ownPreference
		case !ok:
			levels[i] = share.Burst
		default:
			levels[i] = min(share.Burst, known.tokens+now.Sub(known.at).Seconds()*share.Rate)
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

func (ledger *Ledger) resting(share Share, right int, now time.Time) bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return now.Before(ledger.levels[levelKey{share.Account, right}].restUntil)
}

func (ledger *Ledger) note(share Share, right int, level lenderLevel) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.levels[levelKey{share.Account, right}] = level
}

// gained notes that a lender is getting tokens back.
func (ledger *Ledger) gained(share Share, right int, tokens float64) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	key := levelKey{share.Account, right}
	if known, ok := ledger.levels[key]; ok {
		known.tokens += tokens
		ledger.levels[key] = known
	}
}

// Forget drops what is known of accounts that are not kept.
func (ledger *Ledger) Forget(keep func(account string) bool) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for key := range ledger.levels {
		if !keep(key.account) {
			delete(ledger.levels, key)
		}
	}
}

// Cancel gives all tokens back: the request did not run.
func (reservation *Reservation) Cancel(now time.Time) {
	reservation.Settle(0, now)
}

// Settle gives back what the request did not use.
func (reservation *Reservation) Settle(used float64, now time.Time) {
	rest := reservation.Tokens - used
	for i := reservation.count - 1; i >= 0 && rest > 0; i-- {
		piece := reservation.pieces[i]
		part := min(rest, piece.tokens)
		rest -= part
		if piece.lent {
			reservation.ledger.lender.Return(piece.right, reservation.share, part)
			reservation.ledger.gained(reservation.share, piece.right, part)
		} else {
			reservation.ledger.mint.Credit(piece.right, reservation.share, part, false, now)
		}
	}
	reservation.count = 0
	reservation.Tokens = used
}
