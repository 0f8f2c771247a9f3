package relay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/admission"
	"github.com/bramleygw/bramleygw/buffer"
	"github.com/bramleygw/bramleygw/delivery"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/release"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/target"
)

const (
	// A request for which no target is available is held for its latency target
	// divided by holdDivisor, but at most for maxHold. The roster is polled at
	// holdPollInterval.
	holdDivisor      = 8
	maxHold          = 100 * time.Millisecond
	holdPollInterval = 10 * time.Millisecond
	// Preferred targets are used for waits up to the maximum wait divided by
	// preferredWaitDivisor: estimates miss what other VMs have sent since their last
	// heartbeats.
	preferredWaitDivisor = 4
)

// job is the processing of one request, from admission to its end.
type job struct {
	relay   *Relay
	request *Request
	answer  Answer
	table   *routing.Table
	route   *routing.Route
	account *routing.Account // nil on open routes
	service *routing.Service // nil when the route's service is not configured

	digest quarantine.Digest
	// parts are the IDs of the parts of the prompt that other requests may share.
	// blockedPart is one of them that is blocked, for the log.
	parts       []string
	blockedPart string

	deadline time.Time
	// limitedBy is who set the deadline, endedBy what ended the request without a complete
	// answer, for the log.
	limitedBy, endedBy string
	charged            float64 // tokens deducted from the account's limit

	tried []string
	// holdDeadline is the time until which the request may wait for a target. It is
	// zero until the request first has to wait.
	holdDeadline time.Time
	// reservation is held while the request waits for the end of a target's rest.
	reservation *roster.Reservation
	delivery    delivery.Delivery
	// targetFull is set once a target rejected the request for lack of capacity.
	targetFull bool
	// started is set once a part of the answer was sent to the caller, first at
	// firstSentAt.
	started     bool
	firstSentAt time.Time
	// callerLeft is where the request was when its caller left, for the log; empty while
	// that is not known.
	callerLeft string
	// progress is that of the current attempt.
	progress *eventProgress
	// writing is set while a part of the answer is written to the caller.
	writing atomic.Bool
	// lastEventID is the ID of the last event that the caller received.
	lastEventID string
	// unnumbered is set while the caller has a part of a stream whose events have no IDs:
	// no target can tell where it broke off. The silence monitor reads it too.
	unnumbered atomic.Bool
	// software is the version that began the stream, nil until it is known: the stream
	// goes on only there. The silence monitor reads it too. softwareDeadline is the time
	// until which the stream waits for a target of that version, zero until it waits.
	software         atomic.Pointer[string]
	softwareDeadline time.Time
	// originKnowledge is what is known of the stream that the request takes up, for
	// the log; empty if it takes none up. attempts counts the attempts recorded with
	// Origins.
	originKnowledge string
	attempts        int
	// recordedSoftware is the software version of the last attempt recorded with Origins
	// that was sent.
	recordedSoftware string
	// unsettled is set while the store may have any of several versions for the stream.
	unsettled bool
	// failedHead and failedBody are the last complete answer that reported a
	// failure, failedShare the memory that it holds.
	failedHead  *target.Head
	failedBody  []byte
	failedShare *buffer.Share
	// next is the target that is reserved for the next attempt; nil if there is none.
	next *nextTarget
	// left holds the targets that were left because they were silent. They may be
	// tried again when no other target takes the request. The retry for that was taken
	// out of the budget at spareRetryAt, which is zero if there is none.
	left         []string
	spareRetryAt time.Time
	// returnsTo, if set, are those of them to which alone the request may return.
	returnsTo []string
	// moved is set once a target was left because it was silent. That target may be sound, so
	// that the request does not end for want of another one while it has time left. owesRetry is
	// set while the retry for its next attempt is still to be taken out of the budget, and
	// rejectedAt is when a target last rejected it.
	moved      bool
	owesRetry  bool
	rejectedAt time.Time
	// retryDenial is what last denied a retry, for the log.
	retryDenial string

	// refusedWait is the corrected wait estimate because of which the request was
	// refused; zero otherwise.
	refusedWait time.Duration
	// limitEstimate is the estimate of the account's tokens and demand because of
	// which the request was refused; nil otherwise.
	limitEstimate *quota.Estimate
	// restEnd is the first end of a rest, if all targets rest when the request is
	// refused; zero otherwise.
	restEnd time.Time
	// limited is set if all targets are at their limits when the request is refused.
	limited bool
	// notAdmitted is set if the request was refused because the targets of its service
	// are brittle and nearly full.
	notAdmitted bool
	// controller is set if the request was admitted by the room at targets. overRoom is
	// set if there was none for it, tooLate if no target would answer it in time.
	controller *admission.Controller
	overRoom   bool
	tooLate    bool
	// obstacles are why each target was not taken when none was found last.
	obstacles map[roster.Obstacle]int
	attempt   attempt
}

// attempt is the state of the attempt at the current target.
type attempt struct {
	assignment roster.Assignment
	// chosenAt is when the target was chosen, sentAt when the request was sent there; zero
	// before.
	chosenAt, sentAt time.Time
	// scope is that of the cache entries that the request uses at the target.
	scope routing.Scope
	// begin withdraws the attempt if it does not begin in time; begun is set once the first
	// token has arrived.
	begin  *beginMonitor
	begun  bool
	head   target.Head
	events bool // at least one event was received
	// mustContinue is set until the target has sent an event with an ID, if it was asked
	// to continue a stream: what comes before is not part of the stream.
	mustContinue bool
	// runningAt is when the parts of the prompt count as answered while the stream goes
	// on; zero before the first event, and once they do.
	runningAt time.Time
	died      bool // the target accepted no connections after the attempt had broken
	// reached is set if it did; it broke the attempt although it lives.
	reached bool
	sample  *release.Sample // nil unless an order for the service runs
}

func (relay *Relay) newJob(request *Request, answer Answer, table *routing.Table, route *routing.Route, account *routing.Account) *job {
	job := &job{
		relay: relay, request: request, answer: answer, table: table, route: route, account: account,
		lastEventID: request.LastEventID, parts: request.sharedParts(), progress: &eventProgress{},
	}
	job.deadline, job.limitedBy = relay.limitDeadline(request, route)
	job.service = table.Service(route.Service(job.streamID()))
	name := ""
	if account != nil {
		name = account.Name
	}
	job.digest = quarantine.DigestOf(name, append([]byte(request.Method+" "+request.PathAndQuery+"\n"), request.Body...))
	return job
}

// charge returns the number of tokens to deduct from the account's limit.
func (job *job) charge() float64 {
	switch {
	case !job.account.ChargeByTokens:
		return 1
	case job.request.Prompt == nil:
		return job.account.DefaultTokens
	}
	return float64(job.request.Prompt.Input + job.request.Prompt.Output)
}

// serve sends the request to targets until one answers or the request ends.
func (job *job) serve(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, job.deadline)
	defer cancel()
	defer job.releaseNext()
	defer job.releaseReservation()
	defer func() { job.failedShare.Close() }()
	job.delivery = delivery.Delivery{Sender: job, Repeatable: job.route.Kind.Repeatable(), Attempts: job.route.Attempts, AllowReturn: job.allowReturn}
	err := job.checkCaller(ctx)
	if err == nil {
		err = job.checkAdmission(time.Now())
	}
	if err == nil {
		err = job.checkRoom(time.Now())
	}
	if err == nil {
		err = job.findOrigin(ctx)
	}
	if err == nil {
		err = job.run(ctx)
	}
	if err == nil {
		return nil
	}
	job.recordEnd(ctx)
	job.delayRetry(refusal.From(err), time.Now())
	if job.delivery.Runs() == 0 && job.charged > 0 {
		job.relay.Limits.Refund(job.account.Name, job.charged, time.Now())
	}
	if refusal.From(err).Code == refusal.StreamInterrupted {
		job.relay.Metrics.StreamsBroken.Add(1)
	}
	return err
}

// run sends the request to targets until one answers or none can.
func (job *job) run(ctx context.Context) error {
	if job.service != nil {
		job.relay.Budgets.RecordRequest(job.service.Name, job.request.Arrived)
	}
	return job.delivery.Run(ctx)
}

// ChooseTarget implements delivery.Sender. Whatever the request waited for, it is not
// sent if a part of its prompt was blocked or its caller left in the meantime.
func (job *job) ChooseTarget(ctx context.Context) (bool, error) {
	ok, err := job.chooseOrigin(ctx)
	if !ok || err != nil {
		return ok, err
	}
	blocked := job.checkParts(time.Now())
	if blocked == nil {
		// Last, since the caller may have left while the request waited.
		return job.checkCallerBeforeSend(ctx)
	}
	job.attempt.assignment.Withdraw()
	if job.delivery.Runs() > 0 {
		job.retryDenial = deniedByQuarantine
		return false, nil
	}
	return false, blocked
}

// chooseTarget chooses the next target. A request that has run nowhere and finds no
// target is held for a short time, in case a target is about to load new
// weights, to report its weights or to become reachable again. A stream that has begun
// is held for longer, because only targets of its software version may take it.
func (job *job) chooseTarget(ctx context.Context) (bool, error) {
	if job.service == nil || job.unnumbered.Load() {
		return false, nil
	}
	if !job.payRetry(ctx) {
		return false, nil
	}
	if job.takeNext(time.Now()) {
		return true, nil
	}
	for {
		now := time.Now()
		assignment, ok := job.relay.Roster.Choose(job.criteria(now), now)
		if ok {
			job.releaseReservation()
			job.attempt = attempt{assignment: assignment, chosenAt: now}
			if job.late(&job.attempt.assignment, now) {
				return false, job.leave(&job.attempt.assignment, now)
			}
			if assignment.OutsideSubset {
				job.relay.Metrics.OutsideSubset.Add(1)
			}
			return true, job.checkWait(&job.attempt.assignment)
		}
		if job.retryLeft() || job.widen() {
			continue
		}
		if !job.mayWait(now) || !retry.Wait(ctx, now.Add(holdPollInterval)) {
			job.obstacles = job.relay.Roster.Obstacles(job.criteria(now), now)
			if !job.targetFull {
				job.recordNoPlace(now)
			}
			return false, nil
		}
		if !job.targetFull || job.mayAskAgain(time.Now()) {
			job.tried = nil
		}
	}
}

// checkWait refuses a request whose estimated wait at its target exceeds the
// maximum wait of its route, and releases the assignment. Without this limit all
// later requests would be late too, and targets would process late requests instead
// of requests that can still be answered in time.
// Streams that are taken up are exempt, because their callers already have a part of the
// answer.
func (job *job) checkWait(assignment *roster.Assignment) error {
	maxWait := job.route.MaxWait
	if job.request.Prompt == nil || maxWait <= 0 || job.delivery.Runs() > 0 || job.takesUp() {
		return nil
	}
	now := time.Now()
	wait := job.relay.waitCorrector.correct(assignment.Wait, now)
	if limit := maxWait.After(now); now.Add(wait).Before(limit) {
		return nil
	}
	assignment.End()
	job.refusedWait = wait
	job.recordNoPlace(now)
	if job.controller != nil && job.controller.Overloaded(now) {
		return overloaded(job.controller.Refuse(job.demand(), now))
	}
	// By then the target has processed the prompts that wait now.
	return overloaded(now.Add(wait + rand.N(delivery.RetryAfter)))
}

// criteria returns what the request requires of a target.
func (job *job) criteria(now time.Time) roster.Criteria {
	criteria := roster.Criteria{
		Service: job.service.Name, Route: job.route.Name, Repeatable: job.route.Kind.Repeatable(), Tried: job.tried, Among: job.returnsTo, Rejected: job.targetFull, Reservation: job.reservation,
		PreferLogged: job.route.Kind == routing.ResumableStream,
	}
	if software := job.software.Load(); software != nil {
		criteria.FixedSoftware, criteria.Software = true, *software
	}
	prompt := job.request.Prompt
	if !job.usesWeights() {
		return criteria
	}
	criteria.Model = prompt.Model
	criteria.Prefix = prompt.sharedPrefix(job.cacheScope())
	criteria.Tokens = prompt.unsharedTokens()
	criteria.NewestWeights = job.relay.Weights.Named(prompt.Model, now.Add(-weightsGrace))
	if maxWait := job.route.MaxWait.After(now).Sub(now); maxWait > 0 {
		criteria.InTime = func(wait time.Duration) bool {
			return job.relay.waitCorrector.correct(wait, now) <= maxWait/preferredWaitDivisor
		}
	}
	criteria.RequiredWeights = func(wait time.Duration) uint64 { return job.requiredWeights(wait, now) }
	return criteria
}

// requiredWeights returns the oldest version that a target may have which the request
// reaches now and where other prompts are processed first for the estimated wait. The
// platform's bound on the use of a version starts when the first version that replaces
// it is named, and a request uses a version from its first token on.
func (job *job) requiredWeights(wait time.Duration, now time.Time) uint64 {
	prompt := job.request.Prompt
	prefill := time.Duration(prompt.Input) * prefillPerToken
	firstToken := now.Add(job.relay.waitCorrector.correct(wait, now)).Add(prefill).Add(weightsMargin)
	return job.relay.Weights.Named(prompt.Model, firstToken.Add(-time.Duration(job.relay.Bounds.WeightsGrace)))
}

// Send implements delivery.Sender.
func (job *job) Send(ctx context.Context) (delivery.Outcome, error) {
	assignment := &job.attempt.assignment
	job.beginSample(assignment)
	result := job.send(ctx, assignment)
	if errors.IsAny(result, errWithheld, errScopeChanged) {
		assignment.Withdraw()
	}
	assignment.End()
	if !errors.Is(result, errScopeChanged) {
		job.tried = append(job.tried, assignment.ID)
	}
	now := time.Now()
	outcome := outcomeOf(result)
	if outcome != delivery.Answered {
		job.recordDeparture(ctx, leftAtTarget)
	}
	defer func() { job.endSample(ctx, outcome, result) }()
	job.recordSilence(assignment, result, now)
	job.relay.Metrics.ByTarget.Count(assignment.ID, outcome.String())
	switch outcome {
	case delivery.Answered:
		assignment.Succeeded(now)
		job.recordAnswer(now)
		return outcome, nil
	case delivery.CallerGone:
		return outcome, nil
	case delivery.NotSent:
		if !errors.IsAny(result, errWithheld, errScopeChanged) {
			job.recordLoss(assignment, result, now)
		}
	case delivery.NotRun:
		job.handleRejection(assignment, now)
	case delivery.FailedAnswer:
		assignment.Failed(false, now)
	case delivery.Broken:
		if job.endedInSilence(ctx, assignment, now) {
			assignment.Failed(false, now)
		}
		if ctx.Err() == nil && !errors.Is(result, errReplaced) { // otherwise this VM cancelled the attempt
			if errors.Is(result, target.ErrConnectionLost) {
				job.recordLoss(assignment, result, now)
			} else {
				assignment.Failed(false, now)
			}
			job.recordDeath(ctx, assignment, result)
		}
	}
	job.logAttempt(assignment, result)
	return outcome, nil
}

// outcomeOf maps the result of an attempt to an outcome.
func outcomeOf(result error) delivery.Outcome {
	switch {
	case result == nil:
		return delivery.Answered
	case errors.Is(result, errCallerGone):
		return delivery.CallerGone
	case errors.Is(result, target.ErrNotSent):
		return delivery.NotSent
	case errors.Is(result, errNotRun):
		return delivery.NotRun
	case errors.IsAny(result, errFailedAnswer, errNotAStream):
		return delivery.FailedAnswer
	}
	return delivery.Broken
}

// handleRejection handles an answer in which the target reported that it did not
// run the request.
func (job *job) handleRejection(assignment *roster.Assignment, now time.Time) {
	if job.attempt.head.Status == statusMisdirected {
		job.handleMisdirected(assignment, now)
		return
	}
	if job.attempt.head.RestUntil.IsZero() {
		job.targetFull, job.rejectedAt = true, now
		job.recordNoPlace(now)
		assignment.RecordRejection(now)
	}
}

// handleMisdirected handles an answer in which the target at the address reported that it
// is another one or has other weights than the request expects.
func (job *job) handleMisdirected(assignment *roster.Assignment, now time.Time) {
	instance := job.attempt.head.Incarnation
	switch sameTarget := instance == "" || instance == assignment.ID; {
	case sameTarget && assignment.Weights > 0:
		assignment.MarkRejectedWeights(job.request.Prompt.Model, now)
	case sameTarget:
		assignment.MarkMismatched(now)
	default:
		if change, changed := assignment.MarkReplaced(now); changed {
			job.relay.RecordAvailability(change, now)
		}
	}
}

// Started implements delivery.Sender.
func (job *job) Started() bool {
	return job.started
}

// Fallback implements delivery.Sender.
func (job *job) Fallback() (bool, error) {
	if job.failedHead == nil {
		return false, nil
	}
	if err := job.deliver(*job.failedHead, job.failedBody); err != nil {
		return false, refusal.New(refusal.CallerGone, "the caller went away")
	}
	return true, nil
}
