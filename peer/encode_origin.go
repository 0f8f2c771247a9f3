package peer

import (
	"time"

	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/peer/peerpb"
)

// originTransit is added to the age of a query's window. The receiver dates the window
// back from the arrival of the query, and it must not begin later than the sender's.
const originTransit = 200 * time.Millisecond

func encodeOrigins(records []origin.Record, now time.Time) []*peerpb.OriginRecord {
	encoded := make([]*peerpb.OriginRecord, len(records))
	for i, record := range records {
		encoded[i] = &peerpb.OriginRecord{
			RequestId: record.RequestID, Attempt: uint32(max(0, record.Attempt)),
			Service: record.Origin.Service, Software: record.Origin.Software, LeftMs: milliseconds(record.Until.Sub(now)),
		}
	}
	return encoded
}

func decodeOrigins(encoded []*peerpb.OriginRecord, now time.Time) []origin.Record {
	decoded := make([]origin.Record, len(encoded))
	for i, record := range encoded {
		decoded[i] = origin.Record{
			RequestID: record.GetRequestId(), Attempt: int(record.GetAttempt()),
			Origin: origin.Origin{Service: record.GetService(), Software: record.GetSoftware()},
			Until:  now.Add(time.Duration(record.GetLeftMs()) * time.Millisecond),
		}
	}
	return decoded
}

func encodeOriginQuery(query origin.Query, now time.Time) *peerpb.FindOriginRequest {
	window := now.Sub(query.Since) + originTransit + time.Millisecond - 1 // rounded up
	return &peerpb.FindOriginRequest{
		RequestId: query.RequestID, Service: query.Service, WindowMs: milliseconds(window), Forward: query.Forward,
	}
}

func decodeOriginQuery(encoded *peerpb.FindOriginRequest, now time.Time) origin.Query {
	return origin.Query{
		RequestID: encoded.GetRequestId(), Service: encoded.GetService(),
		Since: now.Add(-time.Duration(encoded.GetWindowMs()) * time.Millisecond), Forward: encoded.GetForward(),
	}
}

func encodeOriginAnswer(answer origin.Answer, now time.Time) *peerpb.FindOriginReply {
	encoded := &peerpb.FindOriginReply{
		Known: answer.Known, Service: answer.Origin.Service, Software: answer.Origin.Software, Several: answer.Several,
		Versions: answer.Versions,
	}
	if !answer.WatchedSince.IsZero() {
		encoded.WatchedMs = milliseconds(now.Sub(answer.WatchedSince))
	}
	return encoded
}

// decodeOriginAnswer dates the watch back from the arrival of the answer: it never begins
// earlier than the sender stated.
func decodeOriginAnswer(encoded *peerpb.FindOriginReply, now time.Time) origin.Answer {
	answer := origin.Answer{
		Known: encoded.GetKnown(), Origin: origin.Origin{Service: encoded.GetService(), Software: encoded.GetSoftware()},
		Several: encoded.GetSeveral(), Versions: encoded.GetVersions(),
	}
	if watched := encoded.GetWatchedMs(); watched > 0 {
		answer.WatchedSince = now.Add(-time.Duration(watched) * time.Millisecond)
	}
	return answer
}
