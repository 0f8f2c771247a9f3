package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/roster"
)

// What may deny a retry, as named in the log.
const (
	deniedByQuarantine = "quarantine"
	deniedByBudget     = "budget"
	// deniedByStream denies an attempt that could not continue the stream.
	deniedByStream = "stream_without_ids"
	// deniedByDeadline denies an attempt that would not be answered in time.
	deniedByDeadline = "deadline"
)

// AllowRetry implements delivery.Sender. The retries at a reserved target and back at
// the silent one were taken out of the budget before.
func (job *job) AllowRetry(outcome delivery.Outcome, now time.Time) bool {
	if job.next != nil && !job.blocked(now) {
		job.relay.Metrics.Retries.Add(1)
		return true
	}
	job.retryDenial = job.takeRetry(outcome, now)
	switch {
	case job.retryDenial == deniedByBudget && job.returnToLeft():
		return true
	case job.retryDenial == deniedByBudget && job.moved:
		job.retryDenial, job.owesRetry = "", true
		return true
	}
	if job.retryDenial != "" {
		return false
	}
	job.relay.Metrics.Retries.Add(1)
	return true
}

// allowReturn implements delivery.Delivery.AllowReturn. A complete answer is passed on
// instead, even if it reports a failure.
func (job *job) allowReturn(now time.Time) bool {
	return (job.started || job.failedHead == nil) && !job.blocked(now) && job.returnToLeft()
}

// returnToLeft makes the request return to a target that was left because it was silent,
// with the retry that was taken for that. It returns false if there is none.
func (job *job) returnToLeft() bool {
	if job.spareRetryAt.IsZero() {
		return false
	}
	returnsTo := job.left
	if !job.retryLeft() {
		return false
	}
	job.returnsTo, job.spareRetryAt, job.retryDenial = returnsTo, time.Time{}, ""
	job.relay.Metrics.Retries.Add(1)
	return true
}

// payRetry takes a retry that the budget did not hold out of it. It waits until the budget
// holds one, and returns false if the context ends before.
func (job *job) payRetry(ctx context.Context) bool {
	for ; job.owesRetry; job.owesRetry = !job.relay.Budgets.Allow(job.service.Name, time.Now()) {
		if !retry.Wait(ctx, time.Now().Add(deniedCheckInterval)) {
			job.retryDenial = deniedByBudget
			return false
		}
	}
	return true
}

// mayWaitToGoOn reports whether a request that left a silent target may wait for one that takes
// it: any may take a request of which nothing was sent to the caller.
func (job *job) mayWaitToGoOn() bool {
	criteria := roster.Criteria{Service: job.service.Name, Among: job.returnsTo}
	if software := job.software.Load(); software != nil {
		criteria.FixedSoftware, criteria.Software = true, *software
	}
	return job.relay.Roster.Registered(criteria, job.deadline)
}

// mayAskAgain reports whether a request that left a silent target may be sent once more to
// targets that rejected it.
func (job *job) mayAskAgain(now time.Time) bool {
	return job.moved && !now.Before(job.rejectedAt.Add(delivery.RetryAfter))
}

// widen makes targets eligible that the request did not leave, if it found none of those
// that it left and further targets may run it.
func (job *job) widen() bool {
	if job.returnsTo == nil || job.delivery.Runs() >= job.delivery.Attempts {
		return false
	}
	job.returnsTo = nil
	return true
}

// takeRetry takes a retry out of the budget. It returns what denies it, or an empty
// string.
func (job *job) takeRetry(outcome delivery.Outcome, now time.Time) string {
	if outcome != delivery.NotRun && job.blocked(now) {
		return deniedByQuarantine
	}
	if !job.relay.Budgets.Allow(job.service.Name, now) {
		return deniedByBudget
	}
	return ""
}

// blocked reports whether the quarantine blocks the request or a part of its prompt.
func (job *job) blocked(now time.Time) bool {
	_, partBlocked := job.relay.Parts.Blocked(job.parts, now)
	return partBlocked || job.relay.Quarantine.State(job.digest, now) == quarantine.Blocked
}

// nextTarget is the target that is reserved for the next attempt.
type nextTarget struct {
	assignment roster.Assignment
	reservedAt time.Time
}

// reserveNext reserves another target than the current one for the request. It takes
// two retries out of the budget: that target may reject the request, which then returns
// to the current one. If that is not possible it returns nil and the reason. It is
// called while the attempt at the current target runs.
func (job *job) reserveNext(current *roster.Assignment, now time.Time) (*nextTarget, string) {
	if job.unnumbered.Load() {
		return nil, deniedByStream
	}
	criteria := job.criteria(now)
	criteria.Tried = append(append([]string(nil), job.tried...), current.ID)
	next, ok := job.relay.Roster.Choose(criteria, now)
	if !ok {
		return nil, string(delivery.NoTarget)
	}
	if job.late(&next, now) {
		next.Withdraw()
		return nil, deniedByDeadline
	}
	if denial := job.takeRetry(delivery.Broken, now); denial != "" {
		next.Withdraw()
		return nil, denial
	}
	if !job.relay.Budgets.Allow(job.service.Name, now) {
		next.Withdraw()
		job.relay.Budgets.Return(job.service.Name, now, now)
		return nil, deniedByBudget
	}
	return &nextTarget{assignment: next, reservedAt: now}, ""
}

// takeNext uses the reserved target for the next attempt, if it may still get requests
// and has the software version of the stream, which may have begun since.
func (job *job) takeNext(now time.Time) bool {
	if job.next == nil {
		return false
	}
	next, reservedAt := job.next.assignment, job.next.reservedAt
	job.next = nil
	software := job.software.Load()
	if !next.Usable(now) || software != nil && *software != next.Software {
		next.Withdraw() // its retry remains for the target that is chosen instead
		return false
	}
	job.attempt = attempt{assignment: next, chosenAt: reservedAt}
	return true
}

// recordSilence records that a target was left because it was silent. The retry for
// returning to an earlier one is given back.
func (job *job) recordSilence(assignment *roster.Assignment, result error, now time.Time) {
	if errors.Is(result, errTimeout) && job.next != nil {
		job.returnSpareRetry(now)
		job.left, job.moved = append(job.left, assignment.ID), true
		job.spareRetryAt = job.next.reservedAt
	}
}

func (job *job) returnSpareRetry(now time.Time) {
	if !job.spareRetryAt.IsZero() {
		job.relay.Budgets.Return(job.service.Name, job.spareRetryAt, now)
		job.spareRetryAt = time.Time{}
	}
}

// retryLeft makes the targets that were left because they were silent eligible again.
// It returns false if there are none.
func (job *job) retryLeft() bool {
	if len(job.left) == 0 {
		return false
	}
	job.tried = slices.DeleteFunc(job.tried, func(id string) bool { return slices.Contains(job.left, id) })
	job.left = nil
	return true
}

// releaseNext gives up a reserved target and the reserved retries that are not used.
func (job *job) releaseNext() {
	now := time.Now()
	if next := job.next; next != nil {
		next.assignment.Withdraw()
		job.relay.Budgets.Return(job.service.Name, next.reservedAt, now)
		if !job.spareRetryAt.Equal(next.reservedAt) { // the target was not left
			job.relay.Budgets.Return(job.service.Name, next.reservedAt, now)
		}
		job.next = nil
	}
	job.returnSpareRetry(now)
}
