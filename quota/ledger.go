package quota

import (
	"context"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/refusal"
)

const (
	// fresh is how long a lender's reported level is trusted to refuse
	// without asking again.
	fresh = 200 * time.Millisecond
	// lenderRest is how long a lender that did not answer is left alone.
	lenderRest = 500 * time.Millisecond
	// minRetry is the least time after which a refused caller is asked to come
	// back.
	minRetry = 50 * time.Millisecond
)

// Lender asks other VMs for tokens.
type Lender interface {
	// Borrow asks the holder of a right for up to want tokens.
	Borrow(ctx context.Context, right int, share Share, want float64) (Grant, error)
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

// Reserve sets tokens aside. The error is a refusal with the time at which to
// come back.
func (ledger *Ledger) Reserve(ctx context.Context, account Account, tokens float64, now time.Time) (Reservation, error) {
	reservation := Reservation{ledger: ledger, share: ShareOf(account.Name, account.Rate, account.Burst)}
	if tokens > account.Burst {
		return reservation, refusal.New(refusal.ExceedsBurst, "the request needs more tokens than the account's burst; shorten the prompt or lower max_tokens")
	}
	rights := RightsOf(account.Name)
	ledger.takeOwn(&reservation, rights, tokens, now)
	if reservation.Tokens < tokens && ledger.mayBorrow(reservation.share, rights, tokens-reservation.Tokens, now) {
		ledger.borrow(ctx, &reservation, rights, tokens, now)
	}
	if missing := tokens - reservation.Tokens; missing > tolerance {
		reservation.Cancel(now)
		retryAt := now.Add(max(minRetry, time.Duration(missing/account.Rate*float64(time.Second))))
		return reservation, refusal.New(refusal.RateLimited, "the account is at its rate; retry after the time in Retry-After").At(retryAt)
	}
	return reservation, nil
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

func (ledger *Ledger) takeOwn(reservation *Reservation, rights [Parts]int, tokens float64, now time.Time) {
	for _, right := range rights {
		want := tokens - reservation.Tokens
		if want > 0 {
			reservation.add(right, ledger.mint.Take(right, reservation.share, want, now), false)
		}
		reservation.Left += ledger.mint.Level(right, reservation.share, now)
	}
}

// mayBorrow reports whether the other holders may have enough: false only when
// each said lately that it has not.
func (ledger *Ledger) mayBorrow(share Share, rights [Parts]int, missing float64, now time.Time) bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	expected := 0.0
	for _, right := range rights {
		if ledger.mint.Holds(right) {
			continue
		}
		known, ok := ledger.levels[levelKey{share.Account, right}]
		if now.Before(known.restUntil) {
			continue
		}
		if !ok || now.Sub(known.at) > fresh {
			return true
		}
		expected += known.tokens + now.Sub(known.at).Seconds()*share.Rate
	}
	return expected >= missing
}

// borrow asks the other holders in turn, the one with the highest known level
// first.
func (ledger *Ledger) borrow(ctx context.Context, reservation *Reservation, rights [Parts]int, tokens float64, now time.Time) {
	for _, right := range ledger.byLevel(reservation.share, rights) {
		want := tokens - reservation.Tokens
		if want <= tolerance || ctx.Err() != nil {
			return
		}
		if ledger.mint.Holds(right) || ledger.resting(reservation.share, right, now) {
			continue
		}
		grant, err := ledger.lender.Borrow(ctx, right, reservation.share, want)
		if err != nil || !grant.Held {
			ledger.note(reservation.share, right, lenderLevel{at: now, restUntil: now.Add(lenderRest)})
			continue
		}
		ledger.note(reservation.share, right, lenderLevel{tokens: grant.Left, at: now})
		reservation.add(right, grant.Tokens, true)
		reservation.Left += grant.Left
	}
}

func (ledger *Ledger) byLevel(share Share, rights [Parts]int) [Parts]int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	level := func(right int) float64 {
		known, ok := ledger.levels[levelKey{share.Account, right}]
		if !ok {
			return share.Burst
		}
		return known.tokens
	}
	for i := 1; i < Parts; i++ {
		for j := i; j > 0 && level(rights[j]) > level(rights[j-1]); j-- {
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
		} else {
			reservation.ledger.mint.Credit(piece.right, reservation.share, part, false, now)
		}
	}
	reservation.count = 0
	reservation.Tokens = used
}
