// Package quota keeps each client account within its rate and burst over the
// whole fleet.
//
// An account's rate and burst are split into equal parts. Each part belongs to
// a right, an object in the platform that one VM holds; the holder alone
// issues the part's tokens, from a token bucket. A VM that needs tokens takes
// what its own rights have and borrows the rest from other holders, who debit
// before they answer. A loan counts against the burst until its deadline.
//
// A right has no expiry, so that it survives an outage of the platform. It
// passes on when its holder released it or is no longer listed by the
// platform. A new holder that did not receive the levels starts empty.
//
// The package does no I/O and takes the time as an argument.
// docs/design/limits.md tells what was weighed and why the bound holds.
//
// # Usage
//
//	mint := quota.NewMint()
//	mint.Acquire(7, levels, now)
//	ledger := quota.NewLedger(mint, lender)
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
	// Parts is the number of rights over which an account is spread.
	Parts = 4
	// LoanTime is how long a borrower may take to spend a loan. It spends what it
	// borrowed at once, so that this bounds the time of its calls.
	LoanTime = 500 * time.Millisecond
	// loanMargin is added on the lender's side, for differences in clock rate.
	loanMargin = 100 * time.Millisecond
)

// RightsOf returns the rights over which an account is spread.
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

// ShareOf returns one part of an account.
func ShareOf(account string, rate, burst float64) Share {
	return Share{Account: account, Rate: rate / Parts, Burst: burst / Parts}
}

// Level is the tokens left in one account's bucket of a released right.
type Level struct {
	Account string  `json:"account"`
	Tokens  float64 `json:"tokens"`
	// Lent is what is still on loan; the next holder withholds it.
	Lent float64 `json:"lent,omitempty"`
}
