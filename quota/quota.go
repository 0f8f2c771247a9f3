// Package quota keeps each client account within its rate and burst across the
// whole fleet.
//
// An account's rate and burst are split into equal parts. Each part belongs to a
// right, an object in the platform that one VM holds; only the holder issues the
// part's tokens, from a token bucket. A VM that needs tokens takes them from its
// own rights and borrows the rest from other holders, which debit before they
// answer. A loan counts against the burst until its deadline.
//
// A right does not expire, so that it survives an outage of the platform. It
// passes to another VM when its holder has released it or is no longer listed by
// the platform. A new holder that did not receive the levels starts empty.
//
// Limiter keeps the same limits without rights, by counts that all VMs exchange.
//
// The package does no I/O and takes the time as an argument, except while Reserve
// waits for tokens. docs/design/limits.md explains the design choices and why the
// bound holds.
//
// # Usage
//
//	issuer := quota.NewIssuer()
//	issuer.Acquire(7, levels, now)
//	ledger := quota.NewLedger(issuer, lender)
//	reservation, err := ledger.Reserve(ctx, account, 1200, now)
//	...
//	reservation.Settle(900, now)
package quota

import (
	"time"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// Rights is the number of rights in the fleet.
	Rights = 32
	// Parts is the number of rights into which an account is split.
	Parts = 4
	// LoanTime is how long a borrower may take to spend a loan. A borrower spends a
	// loan on receipt and limits its calls to LoanTime.
	LoanTime = 500 * time.Millisecond
	// loanMargin is added to the deadline by the lender, to allow for differences
	// in clock rate.
	loanMargin = 100 * time.Millisecond
)

// RightsOf returns the rights into which an account is split.
func RightsOf(account string) [Parts]int {
	first := int(prefix.Digest(account) % Rights)
	var rights [Parts]int
	for i := range rights {
		rights[i] = (first + i*Rights/Parts) % Rights
	}
	return rights
}

// Share is one part of an account's rate and burst.
type Share struct {
	Account string
	// Rate is in tokens a second, Burst in tokens.
	Rate  float64
	Burst float64
}

// ShareOf returns one part of an account's rate and burst.
func ShareOf(account string, rate, burst float64) Share {
	return Share{Account: account, Rate: rate / Parts, Burst: burst / Parts}
}

// Level is the number of tokens left in one account's bucket of a released right.
type Level struct {
	Account string  `json:"account"`
	Tokens  float64 `json:"tokens"`
	// Lent is the number of tokens still on loan; the next holder withholds them.
	Lent float64 `json:"lent,omitempty"`
}
