package roster

import (
	"math"
	"net/netip"
	"time"
)

const (
	// mismatchPause is how long a target gets no requests after its instance differed
	// from the expected one; by then the platform's lists are more up to date.
	mismatchPause = 250 * time.Millisecond
	// weightsPause is how long a target gets no requests after it rejected its known
	// weights, unless others become known earlier. Reports lag by some hundred
	// milliseconds: it is asked again after reportInterval.
	weightsPause   = time.Second
	reportInterval = 100 * time.Millisecond
	// silenceLimit is how long a target with requests in flight may send nothing
	// before it is probed for whether it still accepts connections. probeInterval is
	// the time between two such probes.
	silenceLimit  = 250 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// minProbeBackoff is the delay before an unreachable target is probed again; it
	// doubles with each failed probe up to maxProbeBackoff.
	minProbeBackoff = 100 * time.Millisecond
	maxProbeBackoff = time.Second
	// maxDoublings bounds the exponent of the backoff.
	maxDoublings = 8
	// trialInterval is the time between two trial requests to an ejected target.
	trialInterval = 500 * time.Millisecond
	// outcomeWeight is the weight of one outcome in the moving average of the failure
	// share: the average covers about sixteen requests.
	outcomeWeight = 1.0 / 16
	// ejectionThreshold is the failure share above which a target is ejected unless
	// no other target is left. It is well above the share that a service's own
	// failures reach by chance.
	ejectionThreshold = 0.4
	// ejectionTime is how long an ejected target gets no requests before one trial
	// request is sent to it.
	ejectionTime = time.Second
	// freshReportTime is the age up to which the request counts of a load report are
	// used without discount. In the estimated wait, the reported queue decays instead.
	freshReportTime = 250 * time.Millisecond
	// queueDecayTime is the time constant with which a reported queue decays. A queue
	// persists as long as requests arrive as fast as they are completed. Reports
	// older than maxReportAge are ignored.
	queueDecayTime = time.Second
	maxReportAge   = 5 * time.Second
)

// Load is the load that a target reports in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int // 0 if unknown
	// WorkTime is how long work takes now, as a factor of the usual time; 0 if unknown.
	WorkTime float64
}

// rollout is the weights that a target is loading.
type rollout struct {
	model    string
	weights  uint64
	deadline time.Time
}

// Target is one target. All fields are guarded by the roster's lock.
type Target struct {
	roster *Roster
	entry  Entry
	seed   uint64

	// registered is the registration with the highest revision.
	registered Entry

	removed bool
	dropAt  time.Time // when an expired registration is dropped; zero unless expired
	rollout rollout
	rest    rest
	limit   limit
	brittle brittle

	inFlight int
	// pendingTokens is the number of prompt tokens that this VM sent and the target
	// has not processed yet.
	pendingTokens int

	load       Load
	reportedAt time.Time
	// begunSinceReport is the number of requests sent since the last load report.
	begunSinceReport int
	// peerBacklogs is, for each other VM, the number of prompt tokens that it sent
	// and the target had not processed, as last reported by that VM.
	peerBacklogs peerBacklogs

	// unreachable is set when this VM observed that the target accepts no direct
	// connections; a successful probe or an answer clears it. through is the address of
	// a VM that reaches it meanwhile; invalid if none is known.
	unreachable bool
	through     netip.AddrPort
	// tunnelAt is when a VM that reaches it may be looked for again, after
	// tunnelSearches times.
	tunnelAt       time.Time
	tunnelSearches int
	failedProbes   int  // consecutive failed probes
	mismatched     bool // its weights or its instance are not the expected ones: it is asked for a report
	probeAt        time.Time
	pausedUntil    time.Time // set when mismatched
	// rejected is the weights that the target rejected: the pause ends when others are
	// known. It is empty if the pause has another cause.
	rejected     Model
	ejectedUntil time.Time // set when too many requests failed
	// failureShare is the moving average of the share of requests that failed.
	failureShare float64
	// lastReceived is when the target last sent a byte. It is also set at registration
	// and when a request begins at an idle target, so that idle time does not count as
	// silence.
	lastReceived time.Time
	// heardAt is when the target last sent this VM a byte, and peerHeardAt when it last
	// sent another VM one, as far as this VM was told.
	heardAt     time.Time
	peerHeardAt time.Time
}

func newTarget(roster *Roster, entry Entry) *Target {
	return &Target{roster: roster, entry: entry, seed: seed(entry.ID)}
}

// update applies a registration but keeps newer weights versions and the draining
// state, because an older registration may arrive late. A version that is older than the one
// in the registration before was taken back by an order that was carried out late.
func (target *Target) update(entry Entry, now time.Time) {
	known := target.entry.Models
	draining := target.entry.Draining
	target.entry = entry
	target.entry.Models = append([]Model(nil), entry.Models...)
	target.entry.Draining = entry.Draining || draining
	for _, model := range known {
		if !target.tookBack(entry, model.Name) {
			target.raiseWeights(model.Name, model.Weights)
		}
	}
	if entry.Revision >= target.registered.Revision {
		target.registered = entry
	}
	if target.lastReceived.IsZero() {
		target.lastReceived = now
	}
}

// tookBack reports whether a registration shows that the target went back to older weights
// of a model.
func (target *Target) tookBack(entry Entry, model string) bool {
	before, _ := target.registered.weights(model)
	after, ok := entry.weights(model)
	return ok && entry.Revision > target.registered.Revision && after < before
}

// raiseWeights records a weights version unless the known one is the same or newer.
func (target *Target) raiseWeights(model string, weights uint64) {
	for i := range target.entry.Models {
		known := &target.entry.Models[i]
		if known.Name != model || known.Weights >= weights {
			continue
		}
		known.Weights = weights
	}
}

// weights returns the weights version that the target is known to have of a model.
func (target *Target) weights(model string) (uint64, bool) {
	return target.entry.weights(model)
}

// weights returns the weights version of a model in the registration.
func (entry *Entry) weights(model string) (uint64, bool) {
	for _, known := range entry.Models {
		if known.Name == model {
			return known.Weights, true
		}
	}
	return 0, false
}

// recordOutcome updates the failure share with the outcome of a request.
func (target *Target) recordOutcome(failed bool, now time.Time) {
	value := 0.0
	if failed {
		value = 1
	}
	target.failureShare += (value - target.failureShare) * outcomeWeight
	if failed && target.failureShare > ejectionThreshold {
		target.ejectedUntil = now.Add(ejectionTime)
	}
}

// usable reports whether the target may get new requests, disregarding pauses and
// ejection.
func (target *Target) usable(now time.Time) bool {
	return target.generalObstacle(now) == ""
}

// paused reports whether the target gets no requests because of a mismatch.
func (target *Target) paused(now time.Time) bool {
	if !now.Before(target.pausedUntil) {
		return false
	}
	weights, _ := target.weights(target.rejected.Name)
	return weights == target.rejected.Weights
}

// awaitsWeights reports whether the target is loading weights that it is not yet
// known to have.
func (target *Target) awaitsWeights(now time.Time) bool {
	if !now.Before(target.rollout.deadline) {
		return false
	}
	weights, ok := target.weights(target.rollout.model)
	return ok && weights < target.rollout.weights
}

// waitMicros estimates, in microseconds, how long the target processes other
// prompts before a new one. It is the greater of two estimates: from the tokens
// that all VMs sent, and from the queue that the target reports.
func (target *Target) waitMicros(now time.Time) int {
	tokens := target.pendingTokens + target.peerTokens(now)
	age := now.Sub(target.reportedAt)
	reported := 0.0
	if age < maxReportAge {
		reported = float64(target.load.Waiting*queuedCost) * math.Exp(-age.Seconds()/queueDecayTime.Seconds())
	}
	return max(tokens*prefillTokenCost, int(reported))
}

// wait returns the estimate of waitMicros as a duration.
func (target *Target) wait(now time.Time) time.Duration {
	return time.Duration(target.waitMicros(now)) * time.Microsecond
}

// requestCount estimates the number of requests of all VMs at the target.
func (target *Target) requestCount(now time.Time) int {
	if now.Sub(target.reportedAt) > freshReportTime {
		return target.inFlight
	}
	return max(target.inFlight, target.load.Running+target.load.Waiting+target.begunSinceReport)
}

// Assignment is the assignment of one request to a target, which counts the
// request until End is called.
type Assignment struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	// Software is the version of the target's software.
	Software string
	// StartTime distinguishes processes that used the same ID.
	StartTime int64
	// Weights is the version of the model's weights that the target has; 0 for
	// plain services.
	Weights uint64
	// Through is the VM through which the target is connected to; invalid if directly.
	Through netip.AddrPort
	// RequiredWeights is the oldest version that the request allows; 0 for any.
	RequiredWeights uint64
	// Wait estimates how long the target processes other prompts first.
	Wait time.Duration
	// Home is the address of the target that should hold the prompt's prefix; the
	// zero value when it is this target or the prompt has no shared prefix.
	Home netip.AddrPort
	// OutsideSubset is set if the VM prefers other targets and this one is not the home.
	OutsideSubset bool

	roster        *Roster
	target        *Target
	tokens        int
	promptPending bool
	trial         bool // the first request after a rest
	ended         bool
	// trialBefore is when the next trial request was due before this one was assigned.
	trialBefore time.Time
	// lastReceived is when the target last sent a byte for this request, or when the
	// request was assigned.
	lastReceived time.Time
	assignedAt   time.Time
}

// PromptProcessed records that the target has processed the prompt.
func (assignment *Assignment) PromptProcessed(now time.Time) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	assignment.finishPrompt()
	assignment.received(now)
}

func (assignment *Assignment) finishPrompt() {
	if assignment.promptPending {
		assignment.promptPending = false
		assignment.target.pendingTokens -= assignment.tokens
	}
}

// Received records that the target sent a byte.
func (assignment *Assignment) Received(now time.Time) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	assignment.received(now)
}

// received records that the target sent a byte. The caller holds the roster's lock.
func (assignment *Assignment) received(now time.Time) {
	assignment.target.lastReceived, assignment.lastReceived, assignment.target.heardAt = now, now, now
}

// Answered records an answer and, if hasLoad is set, its load report. It reports
// whether the target was unreachable before.
func (assignment *Assignment) Answered(load Load, hasLoad bool, now time.Time) bool {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	target := assignment.target
	assignment.received(now)
	wasUnreachable := target.unreachable
	if !target.through.IsValid() && !assignment.Through.IsValid() {
		target.unreachable, target.failedProbes = false, 0
		if assignment.roster.adaptive(assignment.Service) {
			delete(assignment.roster.lost, assignment.Service) // this VM is not cut off from the service
		}
	}
	if hasLoad && load.WorkTime > 0 {
		assignment.roster.reportWorkTime[assignment.Service] = true
	}
	if hasLoad {
		target.load, target.reportedAt, target.begunSinceReport = load, now, 0
		target.brittle.report(load, now)
	}
	return wasUnreachable && !target.unreachable
}

// Succeeded records a successful request.
func (assignment *Assignment) Succeeded(now time.Time) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	assignment.target.recordOutcome(false, now)
	assignment.roster.recordServiceTime(assignment.Service, now.Sub(assignment.assignedAt))
}

// Failed records a failed request. If unreachable is set, the target gets no new
// requests until a probe reaches it. It reports whether the target was reachable before.
func (assignment *Assignment) Failed(unreachable bool, now time.Time) bool {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	if unreachable && assignment.Through.IsValid() {
		return assignment.target.loseTunnel(assignment.Through, now)
	}
	assignment.target.recordOutcome(true, now)
	return unreachable && assignment.roster.markUnreachable(assignment.target, now)
}

// Usable reports whether the target may still get new requests.
func (assignment *Assignment) Usable(now time.Time) bool {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	return assignment.target.usable(now) && !assignment.target.paused(now)
}

// MaySend reports whether the request may still be sent to the target that it was assigned to
// some time ago: that start of the target has not left, has not asked for a rest that this
// request is not to end, and does not load weights.
func (assignment *Assignment) MaySend(now time.Time) bool {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	target := assignment.target
	if assignment.roster.targets[target.entry.ID] != target || target.removed || target.entry.Draining {
		return false
	}
	resting := !assignment.trial && target.rest.availability(now) == Resting
	return !resting && !target.awaitsWeights(now)
}

// Unreachable reports whether the target accepts no more connections, or not on the way
// that this request took.
func (assignment *Assignment) Unreachable() bool {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	return assignment.pathLost()
}

// MarkReplaced records that another target answered at the address: this start of the
// target has ended. Its registration may last for seconds, in which each VM would send
// requests that are rejected. The second result is false if that was known.
func (assignment *Assignment) MarkReplaced(now time.Time) (Change, bool) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	return assignment.roster.markLeaving(assignment.target, SourceAddress, now)
}

// MarkMismatched records that the target did not name another one in an answer that says
// that another one has the address. It gets no requests until it reports its weights or
// mismatchPause has passed.
func (assignment *Assignment) MarkMismatched(now time.Time) {
	assignment.markMismatched(Model{}, now.Add(mismatchPause), now)
}

// MarkRejectedWeights records that the target rejected the weights of a model that it was
// known to have, as far as its answer tells. It gets no requests until others are known or
// weightsPause has passed, and is asked for a report.
func (assignment *Assignment) MarkRejectedWeights(model string, now time.Time) {
	assignment.markMismatched(Model{Name: model, Weights: assignment.Weights}, now.Add(weightsPause), now)
}

func (assignment *Assignment) markMismatched(rejected Model, until, now time.Time) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	target := assignment.target
	if weights, _ := target.weights(rejected.Name); weights != rejected.Weights {
		return // others became known since the request was sent
	}
	target.rejected, target.pausedUntil = rejected, until
	if !target.mismatched {
		target.mismatched, target.probeAt = true, now
		assignment.roster.signalProbe()
	}
}

// SilentFor returns how long the target has sent nothing for any request of this VM, or,
// if the way that this request took is lost, nothing for this request.
func (assignment *Assignment) SilentFor(now time.Time) time.Duration {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	if assignment.target.through.IsValid() && assignment.pathLost() {
		return now.Sub(assignment.lastReceived)
	}
	return now.Sub(assignment.target.lastReceived)
}

// End removes the request from the target's counts. It may be called more than once.
func (assignment *Assignment) End() {
	if assignment.ended {
		return
	}
	assignment.ended = true
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	assignment.finishPrompt()
	assignment.target.inFlight--
	if assignment.trial {
		assignment.target.rest.endTrial()
	}
}

// Withdraw ends an assignment whose request is not sent, as if it had not been made.
func (assignment *Assignment) Withdraw() {
	if assignment.ended {
		return
	}
	assignment.End()
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	target := assignment.target
	target.begunSinceReport = max(0, target.begunSinceReport-1)
	target.limit.give()
	target.brittle.begun = max(0, target.brittle.begun-1)
	if target.ejected() {
		target.ejectedUntil = assignment.trialBefore
	}
}
