package gateway

import (
	"context"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quarantine"
)

// The ways in which a VM learns that a part of prompts crashes targets, for the log; see
// also partSourceStore.
const (
	partSourceDeaths = "deaths"
	partSourcePeer   = "peer"
)

// reportParts reports to the other VMs which parts of prompts this VM found to crash
// targets, and which not.
func (gateway *Gateway) reportParts(ctx context.Context, now time.Time) {
	gateway.metrics.BlockedParts.Set(int64(len(gateway.parts.AllBlocked(now))))
	blocked, cleared := gateway.parts.Changes(now)
	if len(blocked) == 0 && len(cleared) == 0 {
		return
	}
	notice := peer.Notice{BlockedParts: toBlockedParts(blocked, now)}
	for _, part := range blocked {
		gateway.logBlockedPart(part, partSourceDeaths)
		gateway.partStore.add(partWrite{part: part.Part, until: part.Until})
	}
	for _, part := range cleared {
		gateway.Log.Emit(event.PartCleared, event.F("part", loggedPart(part)))
		notice.AnsweredParts = append(notice.AnsweredParts, peer.PartAnswer{Part: part})
		gateway.partStore.add(partWrite{part: part})
	}
	gateway.notify(ctx, notice)
}

// mergeParts records what another VM reported at a time of parts of prompts. The reply
// states which of the parts that were in flight at deaths were answered.
func (gateway *Gateway) mergeParts(notice peer.Notice, sentAt, now time.Time) peer.NoticeReply {
	var reply peer.NoticeReply
	for _, death := range notice.PartDeaths {
		gateway.parts.RecordDeath(quarantine.Death{Target: death.Death, Request: death.Request, Parts: death.Parts}, false, now)
		for _, answer := range gateway.parts.Answers(death.Parts) {
			reply.AnsweredParts = append(reply.AnsweredParts, peer.PartAnswer{Part: answer.Part, Age: now.Sub(answer.At)})
		}
	}
	gateway.mergeAnswers(notice.AnsweredParts, sentAt)
	gateway.mergeBlocked(notice.BlockedParts, now)
	return reply
}

// mergeAnswers records which parts of prompts other VMs saw answered, as reported at a time.
func (gateway *Gateway) mergeAnswers(answers []peer.PartAnswer, sentAt time.Time) {
	merged := make([]quarantine.Answer, len(answers))
	for i, answer := range answers {
		merged[i] = quarantine.Answer{Part: answer.Part, At: sentAt.Add(-answer.Age)}
	}
	gateway.parts.MergeAnswers(merged, time.Now())
}

// mergeBlocked blocks the parts of prompts that another VM reports as blocked.
func (gateway *Gateway) mergeBlocked(parts []peer.BlockedPart, now time.Time) {
	for _, part := range parts {
		gateway.blockPart(quarantine.BlockedPart{Part: part.Part, Until: now.Add(part.Left)}, partSourcePeer, now)
	}
}

func (gateway *Gateway) blockPart(part quarantine.BlockedPart, source string, now time.Time) {
	if gateway.parts.Block(part, now) {
		gateway.logBlockedPart(part, source)
	}
}

func toBlockedParts(blocked []quarantine.BlockedPart, now time.Time) []peer.BlockedPart {
	parts := make([]peer.BlockedPart, len(blocked))
	for i, part := range blocked {
		parts[i] = peer.BlockedPart{Part: part.Part, Left: part.Until.Sub(now)}
	}
	return parts
}

func (gateway *Gateway) logBlockedPart(part quarantine.BlockedPart, source string) {
	gateway.Log.Emit(event.PartBlocked, event.F("part", loggedPart(part.Part)), event.F("until", part.Until), event.F("source", source))
}

// maxLoggedPart is the maximum length, in bytes, of the logged ID of a part: it is text
// of a caller, and log lines are bounded.
const maxLoggedPart = 64

func loggedPart(id string) string {
	return id[:min(len(id), maxLoggedPart)]
}
