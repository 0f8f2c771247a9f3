package quota

import (
	"sync"
	"time"
)

// Issuer issues tokens of the rights that this VM holds. It is safe for concurrent
// use.
type Issuer struct {
	mu     sync.Mutex // guards rights and all buckets
	rights map[int]*right
}

// right is a held right with the buckets of its accounts.
type right struct {
	buckets map[string]*bucket
	// levelsKnown is set if accounts without a bucket have not spent anything.
	levelsKnown bool
	acquired    time.Time
}

// NewIssuer returns an Issuer that holds no rights.
func NewIssuer() *Issuer {
	return &Issuer{rights: map[int]*right{}}
}

// Acquire adds a right whose former holder handed over its levels, or that had no
// holder before. Accounts that are not in the levels have full buckets.
func (issuer *Issuer) Acquire(index int, levels []Level, now time.Time) {
	acquired := &right{buckets: map[string]*bucket{}, levelsKnown: true, acquired: now}
	for _, level := range levels {
		acquired.buckets[level.Account] = &bucket{
			level:         level.Tokens,
			updated:       now,
			withheld:      level.Lent,
			withheldUntil: now.Add(LoanTime + loanMargin),
		}
	}
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	issuer.rights[index] = acquired
}

// Recover adds a right whose former holder is gone. All buckets start empty and
// withhold what the former holder may have lent.
func (issuer *Issuer) Recover(index int, now time.Time) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	issuer.rights[index] = &right{buckets: map[string]*bucket{}, acquired: now}
}

// Release removes a right and returns its levels for the next holder.
func (issuer *Issuer) Release(index int, now time.Time, shareOf func(account string) (Share, bool)) []Level {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	released, ok := issuer.rights[index]
	if !ok {
		return nil
	}
	delete(issuer.rights, index)
	var levels []Level
	for account, bucket := range released.buckets {
		share, ok := shareOf(account)
		if !ok {
			continue
		}
		bucket.refill(share, now)
		levels = append(levels, Level{Account: account, Tokens: bucket.level, Lent: bucket.outstanding(now)})
	}
	return levels
}

// Holds reports whether this VM holds the right.
func (issuer *Issuer) Holds(index int) bool {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	_, ok := issuer.rights[index]
	return ok
}

// Held returns the rights that this VM holds.
func (issuer *Issuer) Held() []int {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	held := make([]int, 0, len(issuer.rights))
	for index := range issuer.rights {
		held = append(held, index)
	}
	return held
}

// bucket returns a share's bucket, or nil if the right is not held. The caller
// must hold mu.
func (issuer *Issuer) bucket(index int, share Share, now time.Time) *bucket {
	held, ok := issuer.rights[index]
	if !ok {
		return nil
	}
	found, ok := held.buckets[share.Account]
	if ok {
		return found
	}
	found = &bucket{updated: held.acquired}
	if held.levelsKnown {
		found.level = share.Burst
		found.updated = now
	} else {
		found.withheld = share.Burst
		found.withheldUntil = held.acquired.Add(LoanTime + loanMargin)
	}
	held.buckets[share.Account] = found
	return found
}

// Take spends up to want tokens of a held right and returns the number spent.
func (issuer *Issuer) Take(index int, share Share, want float64, now time.Time) float64 {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	found := issuer.bucket(index, share, now)
	if found == nil {
		return 0
	}
	return found.take(share, want, now)
}

// Grant is a lender's answer to a borrower.
type Grant struct {
	// Held is false if the lender no longer holds the right.
	Held   bool
	Tokens float64
	// Left is the number of tokens that the lender could still lend.
	Left float64
}

// Lend debits up to want tokens for another VM, or none if fewer than minTokens
// are available.
func (issuer *Issuer) Lend(index int, share Share, minTokens, want float64, now time.Time) Grant {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	found := issuer.bucket(index, share, now)
	if found == nil {
		return Grant{}
	}
	tokens := found.lend(share, minTokens, want, now)
	return Grant{Held: true, Tokens: tokens, Left: found.level}
}

// Credit returns unspent tokens to a held right; lent states whether they were on
// loan. Tokens of a right that is no longer held are lost.
func (issuer *Issuer) Credit(index int, share Share, tokens float64, lent bool, now time.Time) {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	if found := issuer.bucket(index, share, now); found != nil {
		found.credit(share, tokens, lent, now)
	}
}

// Level returns the tokens left of a held right's share.
func (issuer *Issuer) Level(index int, share Share, now time.Time) float64 {
	issuer.mu.Lock()
	defer issuer.mu.Unlock()
	found := issuer.bucket(index, share, now)
	if found == nil {
		return 0
	}
	found.refill(share, now)
	return found.level
}
