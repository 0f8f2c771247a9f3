// Package retry bounds how often failed work is tried again.
//
// A Budget lets retries be a share of the requests, so that a fault does not
// multiply the load. A Backoff spreads the tries of one piece of work.
//
// # Usage
//
//	budget := retry.NewBudget(now)
//	budget.Request(now)
//	if budget.Allow(now) { ... }
//
//	at := retry.Backoff{First: 20 * time.Millisecond, Last: time.Second}.Next(attempt, now)
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// share is the part of requests that may be tried again.
	share = 0.2
	// reserve is the retries that may come at once, as when a target dies with
	// many requests in flight.
	reserve = 100
	// trickle is the retries a second that are always allowed.
	trickle = 5
)

// Budget is a token bucket that requests fill and retries empty. It is safe
// for concurrent use.
type Budget struct {
	mu      sync.Mutex // guards level and updated
	level   float64
	updated time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time) *Budget {
	return &Budget{level: reserve, updated: now}
}

// Request notes a first try.
func (budget *Budget) Request(now time.Time) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.fill(share, now)
}

// Allow takes a retry out of the budget; false when it is empty.
func (budget *Budget) Allow(now time.Time) bool {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.fill(0, now)
	if budget.level < 1 {
		return false
	}
	budget.level--
	return true
}

// fill adds to the level. The caller holds mu.
func (budget *Budget) fill(amount float64, now time.Time) {
	if elapsed := now.Sub(budget.updated).Seconds(); elapsed > 0 {
		amount += elapsed * trickle
		budget.updated = now
	}
	budget.level = min(reserve, budget.level+amount)
}

// Backoff doubles the pause between tries, with full jitter.
type Backoff struct {
	First time.Duration
	Last  time.Duration
}

// Next returns when to make the attempt with the given number, from 0.
func (backoff Backoff) Next(attempt int, now time.Time) time.Time {
	pause := backoff.Last
	if attempt < 20 {
		pause = min(backoff.First<<attempt, backoff.Last)
	}
	return now.Add(time.Duration(rand.Int64N(int64(pause) + 1)))
}
