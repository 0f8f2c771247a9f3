package quota

import "time"

// loan is tokens that a borrower may still spend.
type loan struct {
	deadline time.Time
	tokens   float64
}

// bucket is the token bucket of one share. Its level and the open loans
// together never exceed the burst, so that no window of any length sees more
// than burst + rate * length spent.
type bucket struct {
	level   float64
	updated time.Time
	loans   []loan
	// withheld is what a former holder may have lent, until withheldUntil.
	withheld      float64
	withheldUntil time.Time
}

// refill brings the level up to the time.
func (bucket *bucket) refill(share Share, now time.Time) {
	if elapsed := now.Sub(bucket.updated).Seconds(); elapsed > 0 {
		bucket.level += elapsed * share.Rate
		bucket.updated = now
	}
	bucket.level = min(bucket.level, share.Burst-bucket.open(now))
	bucket.level = max(bucket.level, 0)
}

// open returns the tokens on loan.
func (bucket *bucket) open(now time.Time) float64 {
	kept := bucket.loans[:0]
	total := 0.0
	for _, loan := range bucket.loans {
		if now.Before(loan.deadline) {
			kept = append(kept, loan)
			total += loan.tokens
		}
	}
	bucket.loans = kept
	if now.Before(bucket.withheldUntil) {
		total += bucket.withheld
	}
	return total
}

func (bucket *bucket) take(share Share, want float64, now time.Time) float64 {
	bucket.refill(share, now)
	granted := min(want, bucket.level)
	bucket.level -= granted
	return granted
}

// lend debits up to want tokens for a borrower, or nothing when there are fewer
// than the least that is of use to it.
func (bucket *bucket) lend(share Share, least, want float64, now time.Time) float64 {
	bucket.refill(share, now)
	granted := min(want, bucket.level)
	if granted <= 0 || granted < least {
		return 0
	}
	bucket.level -= granted
	bucket.addLoan(loan{deadline: now.Add(LoanTime + loanMargin + loanStep), tokens: granted})
	return granted
}

// loanStep is the time within which loans are counted as one. It bounds the
// list, and each loan's deadline is later by as much.
const loanStep = 50 * time.Millisecond

func (bucket *bucket) addLoan(added loan) {
	if last := len(bucket.loans) - 1; last >= 0 && added.deadline.Sub(bucket.loans[last].deadline) < loanStep {
		bucket.loans[last].tokens += added.tokens
		return
	}
	bucket.loans = append(bucket.loans, added)
}

// credit gives unspent tokens back. Tokens of a loan that is still open no
// longer count as lent.
func (bucket *bucket) credit(share Share, tokens float64, lent bool, now time.Time) {
	if lent {
		bucket.repay(tokens, now)
	}
	bucket.refill(share, now)
	bucket.level += tokens
	bucket.refill(share, now)
}

func (bucket *bucket) repay(tokens float64, now time.Time) {
	for i := range bucket.loans {
		if !now.Before(bucket.loans[i].deadline) {
			continue
		}
		part := min(tokens, bucket.loans[i].tokens)
		bucket.loans[i].tokens -= part
		tokens -= part
	}
}
