// Package retry limits how often failed requests and calls are retried.
//
// A Budget limits retries to a share of the requests, so that a fault does not
// multiply the load. A Window does the same over a sliding window and allows
// all retries of the window at once. A Backoff spaces the attempts of one
// operation.
//
// # Usage
//
//	budget := retry.NewBudget(now)
//	budget.RecordRequest(now)
//	if budget.Allow(now) { ... }
//
//	at := retry.Backoff{Initial: 20 * time.Millisecond, Max: time.Second}.Next(attempt, now)
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryShare is the share of requests that may be retried: each request adds
	// this many retries to the budget.
	retryShare = 0.2
	// capacity is the number of retries that may be made at once, as when a target
	// dies with many requests in flight.
	capacity = 100
	// minRetriesPerSecond is the rate of retries that is allowed even without
	// requests.
	minRetriesPerSecond = 5
)

// Budget is a token bucket: requests and time add tokens, each retry takes one.
// It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex // guards level and updated
	level   float64
	updated time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time) *Budget {
	return &Budget{level: capacity, updated: now}
}

// RecordRequest counts the first attempt of a request.
func (budget *Budget) RecordRequest(now time.Time) {
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.fill(retryShare, now)
}

// Allow takes one retry from the budget. It returns false when less than one is
// left.
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

// fill adds the amount, and what the elapsed time yields, to the level. The caller
// holds mu.
func (budget *Budget) fill(amount float64, now time.Time) {
	if elapsed := now.Sub(budget.updated).Seconds(); elapsed > 0 {
		amount += elapsed * minRetriesPerSecond
		budget.updated = now
	}
	budget.level = min(capacity, budget.level+amount)
}

// Backoff doubles the maximum pause between attempts from Initial to Max. Each
// pause is random between zero and that maximum (full jitter).
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

// Next returns when to make the attempt with the given number, from 0.
func (backoff Backoff) Next(attempt int, now time.Time) time.Time {
	pause := backoff.Max
	if attempt < 20 {
		pause = min(backoff.Initial<<attempt, backoff.Max)
	}
	return now.Add(time.Duration(rand.Int64N(int64(pause) + 1)))
}
