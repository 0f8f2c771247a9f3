package quota

import "time"

// loan is a number of tokens that a borrower may still spend.
type loan struct {
	deadline time.Time
	tokens   float64
}

// bucket is the token bucket of one share. Its level and the outstanding loans
// together never exceed the burst, so that at most burst + rate * length tokens
// are spent in a window of any length.
type bucket struct {
	level   float64
	updated time.Time
	loans   []loan
	// withheld is the number of tokens that a former holder may have lent. They
	// count as outstanding until withheldUntil.
	withheld      float64
	withheldUntil time.Time
}

// refill adds the tokens that accrued until now.
func (bucket *bucket) refill(share Share, now time.Time) {
	if elapsed := now.Sub(bucket.updated).Seconds(); elapsed > 0 {
		bucket.level += elapsed * share.Rate
		bucket.updated = now
	}
	bucket.level = min(bucket.level, share.Burst-bucket.outstanding(now))
	bucket.level = max(bucket.level, 0)
}

// outstanding drops expired loans and returns the tokens on loan, including
// withheld ones.
func (bucket *bucket) outstanding(now time.Time) float64 {
	active := bucket.loans[:0]
	total := 0.0
	for _, loan := range bucket.loans {
		if now.Before(loan.deadline) {
			active = append(active, loan)
			total += loan.tokens
		}
	}
	bucket.loans = active
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

// lend debits up to want tokens for a borrower, or none if fewer than minTokens
// are available.
func (bucket *bucket) lend(share Share, minTokens, want float64, now time.Time) float64 {
	bucket.refill(share, now)
	granted := min(want, bucket.level)
	if granted <= 0 || granted < minTokens {
		return 0
	}
	bucket.level -= granted
	bucket.addLoan(loan{deadline: now.Add(LoanTime + loanMargin + loanStep), tokens: granted})
	return granted
}

// loanStep is the time within which loans are merged into one. It bounds the
// length of the list; each loan's deadline is later by as much.
const loanStep = 50 * time.Millisecond

func (bucket *bucket) addLoan(newLoan loan) {
	if last := len(bucket.loans) - 1; last >= 0 && newLoan.deadline.Sub(bucket.loans[last].deadline) < loanStep {
		bucket.loans[last].tokens += newLoan.tokens
		return
	}
	bucket.loans = append(bucket.loans, newLoan)
}

// credit returns unspent tokens to the bucket. If they were lent, they no longer
// count as outstanding in loans that are still open.
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
