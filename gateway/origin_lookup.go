package gateway

import (
	"context"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/origin"
)

// Find returns where the stream of an earlier request began that a caller takes up. The
// stream can have begun at since or later, and would go on at the service. Find asks other
// VMs if this one has no record, for originTimeout at most. If the
// stream is still unknown, Find loads the records in the store, for originReloadTimeout at
// most.
func (origins *origins) Find(ctx context.Context, requestID, service string, since time.Time) (origin.Origin, origin.Knowledge) {
	now := time.Now()
	query := origin.Query{RequestID: origin.ID(requestID), Service: service, Since: since}
	evidence := origin.Evidence{Since: since, Own: origins.localAnswer(query, now), OtherVMs: origins.otherVMsExist(now)}
	asked := 0
	if !evidence.Own.Known {
		calls := origins.lookupCalls(query, now)
		asked = len(calls)
		evidence.Answers = origins.ask(ctx, calls, now.Add(originTimeout))
	}
	began, knowledge := evidence.Decide(service)
	if knowledge == origin.Unknown {
		evidence = origins.reload(ctx, query, evidence)
		began, knowledge = evidence.Decide(service)
	}
	origins.metrics.OriginLookups.Add(knowledge.String(), 1)
	origins.log.Emit(event.OriginLookup,
		event.F("resumes", query.RequestID), event.F("service", service), event.F("result", knowledge.String()),
		event.F("origin_service", began.Service), event.F("software", began.Software), event.F("asked", asked),
		event.F("answers", len(evidence.Answers)), event.F("own_several", evidence.Own.Several), event.F("versions", origin.Combine(append(evidence.Answers, evidence.Own)...).Versions), event.F("logged", evidence.Logged), event.F("ms", time.Since(now).Milliseconds()))
	return began, knowledge
}

// localAnswer returns what this VM knows itself.
func (origins *origins) localAnswer(query origin.Query, now time.Time) origin.Answer {
	answer := origin.Answer{Several: origins.versions.Several(query.Service, query.Since, now)}
	_, seen := origins.versions.Software(query.Service, query.Since)
	answer.SetVersions(seen)
	if since, ok := origins.versions.WatchedSince(); ok {
		answer.WatchedSince = since
	}
	answer.Origin, answer.Known = origins.own.Get(query.RequestID, now)
	if !answer.Known {
		answer.Origin, answer.Known = origins.held.Get(query.RequestID, now)
	}
	return answer
}

// otherVMsExist reports whether there are other VMs, reachable or not. Until the platform
// has listed the VMs, it assumes that there are.
func (origins *origins) otherVMsExist(now time.Time) bool {
	for view := range origins.members.All(now) {
		recent := view.HeartbeatAgeMS >= 0 && view.HeartbeatAgeMS < presentTime.Milliseconds()
		if view.Name != origins.self && (view.Listed || recent) {
			return true
		}
	}
	return !origins.members.Listed()
}

// originCall is a call to another VM.
type originCall struct {
	peer  membership.Peer
	query origin.Query
}

// originReply is the result of a call.
type originReply struct {
	peer   membership.Peer
	answer origin.Answer
	err    error
}

// lookupCalls returns the calls of a lookup: to the holders and, in a large fleet, to the
// representatives of the other availability zones, which ask the holders there.
func (origins *origins) lookupCalls(query origin.Query, now time.Time) []originCall {
	calls := origins.holderCalls(query, now)
	if !origins.members.Hierarchical(maxHeartbeatPeers, now) {
		return calls
	}
	query.Forward = true
	for _, zone := range origins.members.Zones() {
		if zone == origins.members.Zone {
			continue
		}
		for _, representative := range origins.members.Representatives(zone, now) {
			calls = append(calls, originCall{representative, query})
		}
	}
	return calls
}

// holderCalls returns the calls to the holders among the VMs that may hold records.
func (origins *origins) holderCalls(query origin.Query, now time.Time) []originCall {
	byName := map[string]membership.Peer{}
	peers := origins.zonePeers(now)
	for _, peer := range peers {
		byName[peer.Name] = peer
	}
	var calls []originCall
	for _, holder := range origin.Holders(query.RequestID, names(peers), askedHolders) {
		calls = append(calls, originCall{byName[holder], query})
	}
	return calls
}

// ask carries out the calls together and returns the answers. It does not wait for the
// others when one VM knows where the stream began.
func (origins *origins) ask(ctx context.Context, calls []originCall, deadline time.Time) []origin.Answer {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	replies := make(chan originReply, len(calls))
	for _, call := range calls {
		go origins.runCall(ctx, call, replies)
	}
	var answers []origin.Answer
	for range calls {
		reply := <-replies
		if reply.err != nil {
			origins.log.Emit(event.OriginNotTold, event.F("peer", reply.peer.Name), event.Err(reply.err))
			continue
		}
		answers = append(answers, reply.answer)
		if reply.answer.Known {
			break
		}
	}
	return answers
}

// runCall carries out one call. The channel must have room for its reply.
func (origins *origins) runCall(ctx context.Context, call originCall, replies chan<- originReply) {
	answer, err := origins.peers.FindOrigin(ctx, call.peer.Address, call.query)
	replies <- originReply{call.peer, answer, err}
}

// answer answers another VM, also for the holders of this VM's availability zone if the
// query asks for it.
func (origins *origins) answer(ctx context.Context, query origin.Query) origin.Answer {
	now := time.Now()
	own := origins.localAnswer(query, now)
	if own.Known || !query.Forward {
		return own
	}
	query.Forward = false
	answers := origins.ask(ctx, origins.holderCalls(query, now), now.Add(originForwardTimeout))
	return origin.Combine(append(answers, own)...)
}
