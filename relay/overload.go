package relay

import (
	"time"

	"github.com/bramleygw/bramleygw/admission"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/roster"
)

const (
	// aimedWaitDivisor is the part of the shortest maximum wait of a service's routes for
	// which requests are to wait in the mean while there are more than targets take. VMs
	// know of each other's requests late, so that some targets have several times the mean.
	aimedWaitDivisor = 7
	// defaultAimedWait applies to services whose routes have no latency target.
	defaultAimedWait = 70 * time.Millisecond
)

// Room returns what the targets of a service take, for the admission of requests.
func (relay *Relay) Room(service string, now time.Time) admission.Room {
	room := admission.Room{
		TokensPerSecond: relay.Roster.Capacity(service, now).PromptTokensPerSecond,
		Wait:            relay.Roster.MeanWait(service, now), AimedWait: defaultAimedWait,
	}
	if table := relay.table.Load(); table != nil && table.LeastWait(service) > 0 {
		room.AimedWait = time.Duration(table.LeastWait(service)) / aimedWaitDivisor
	}
	return room
}

// checkRoom refuses a new request if callers ask for more than targets take and there is
// no room for it. Streams that are taken up are exempt, because their callers already
// have a part of the answer.
func (job *job) checkRoom(now time.Time) error {
	if !job.limitedByRoom() {
		return nil
	}
	job.controller = job.relay.Admission.Get(job.service.Name)
	decision := job.controller.Decide(job.demand(), now)
	if decision.Change != nil {
		job.relay.logOverload(job.service.Name, decision.Change)
	}
	if decision.Admitted {
		return nil
	}
	job.overRoom = true
	job.relay.Metrics.OverRoom.Add(1)
	return overloaded(decision.RetryAt)
}

// limitedByRoom reports whether the request is admitted by the room at targets.
func (job *job) limitedByRoom() bool {
	return job.relay.Admission != nil && job.service != nil && job.request.Prompt != nil && job.request.LastEventID == "" &&
		job.relay.Roster.Adaptive(job.service.Name)
}

// demand returns what the request asks of the targets.
func (job *job) demand() admission.Request {
	demand := admission.Request{Tokens: float64(job.request.Prompt.unsharedTokens())}
	priority := job.route.Priority
	if job.account != nil {
		demand.Account = job.account.Name
		if job.account.HasPriority {
			priority = job.account.Priority
		}
	}
	demand.Level = admission.LevelOf(priority, job.route.Priority)
	return demand
}

// recordPlace records that a target took the request.
func (job *job) recordPlace(now time.Time) {
	if job.controller != nil && job.delivery.Runs() == 0 {
		job.controller.Place(job.demand(), now)
	}
}

// recordNoPlace records that a target rejected the request for want of room, or that none
// of the targets that serve could take it.
func (job *job) recordNoPlace(now time.Time) {
	if job.controller == nil || job.delivery.Runs() > 0 || job.relay.Roster.Capacity(job.service.Name, now).Targets == 0 {
		return
	}
	job.controller.TurnAway(job.demand(), now)
}

// late reports whether, under overload, the assigned target would answer the request too
// late: its work is left to requests that can be answered in time. A request that left a
// silent target would have been answered there.
func (job *job) late(assignment *roster.Assignment, now time.Time) bool {
	if job.controller == nil || job.started || job.moved || job.route.LatencyTarget <= 0 || !job.controller.Overloaded(now) {
		return false
	}
	latest := job.route.LatencyTarget.After(job.request.Arrived)
	if job.deadline.Before(latest) {
		latest = job.deadline
	}
	prompt := time.Duration(job.request.Prompt.unsharedTokens()) * prefillPerToken
	wait := job.relay.waitCorrector.correct(assignment.Wait, now)
	return now.Add(wait).Add(prompt).After(latest)
}

// leave gives up the assigned target. A request that has run nowhere is refused.
func (job *job) leave(assignment *roster.Assignment, now time.Time) error {
	assignment.Withdraw()
	job.tooLate = true
	job.relay.Metrics.TooLate.Add(1)
	if job.delivery.Runs() > 0 {
		job.retryDenial = deniedByDeadline
		return nil
	}
	job.recordNoPlace(now)
	return overloaded(job.controller.Refuse(job.demand(), now))
}

func overloaded(retryAt time.Time) error {
	return refusal.New(refusal.Overloaded, "all targets are busy; retry after the time in Retry-After").WithRetryAt(retryAt)
}

// logOverload logs the begin or the end of an overload.
func (relay *Relay) logOverload(service string, change *admission.Change) {
	logged := event.ServiceRelieved
	if change.Overloaded {
		logged = event.ServiceOverloaded
	}
	relay.Log.Emit(logged, event.F("service", service), event.F("asked_tokens_per_s", int(change.Asked)),
		event.F("room_tokens_per_s", int(change.Room.TokensPerSecond)), event.F("wait_ms", change.Room.Wait.Milliseconds()))
}
