package target

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/connection"
)

// Cause is why a connection was opened.
type Cause string

// The causes.
const (
	// CauseNoIdle: there was no idle connection.
	CauseNoIdle Cause = "no_idle"
	// CauseIdleTooLong: the idle connections had been used before Call.UsedSince.
	CauseIdleTooLong Cause = "idle_too_long"
	// CauseKeepAliveOver: the time for which the target keeps idle connections was over.
	CauseKeepAliveOver Cause = "keep_alive_over"
	// CauseClosed: the target had closed the idle connection or sent data on it.
	CauseClosed Cause = "closed_by_target"
	// CauseSameRequest: the idle connection had carried an answer to the same request.
	CauseSameRequest Cause = "same_request"
	// CauseUnidentified: the idle connection had carried an answer without ID, such as a
	// report, and the call has an ID.
	CauseUnidentified Cause = "unidentified"
	// CauseRequired: the call is an order, or a retry that requires a new connection.
	CauseRequired Cause = "required"
	// CauseTunnel: the connection goes through another VM.
	CauseTunnel Cause = "tunnel"
	// CauseProbe: it shows whether a target accepts connections.
	CauseProbe Cause = "probe"
	// CauseDeathProbe: it shows whether a target died with a request.
	CauseDeathProbe Cause = "death_probe"
)

// opened reports a connection that was opened.
func (client *Client) opened(cause Cause) {
	if client.OnOpen != nil {
		client.OnOpen(cause)
	}
}

// maxRejections is the number of unsuccessful answers after which a connection is closed,
// because it keeps a digest of each.
const maxRejections = 64

// idSeed is that of the digests of request IDs.
var idSeed = maphash.MakeSeed()

// carried reports whether the connection carried an answer to the request with the digest
// after which it may be sent again, or its last answer was to the request.
func (idle *idleConnection) carried(digest uint64) bool {
	return idle.answered == digest || slices.Contains(idle.rejected, digest)
}

// record records the answer to a request. It returns false if there are too many to be
// remembered.
func (idle *idleConnection) record(requestID string, status int) bool {
	idle.answered = maphash.String(idSeed, requestID)
	if status >= fasthttp.StatusMultipleChoices {
		idle.rejected = append(idle.rejected, idle.answered)
	}
	return len(idle.rejected) < maxRejections
}

// acquire returns a reusable idle connection, or a new one and why it is opened.
func (client *Client) acquire(call Call) (idleConnection, Cause) {
	switch {
	case call.Open != nil:
		return idleConnection{conn: connection.NewOver(client.address, call.Open)}, CauseTunnel
	case call.NewConnection:
		return idleConnection{conn: connection.New(client.address, client.tls)}, CauseRequired
	}
	cause := CauseNoIdle
	for {
		idle, ok, obstacle := client.take(call)
		if obstacle != "" {
			cause = obstacle
		}
		if !ok {
			return idleConnection{conn: connection.New(client.address, client.tls)}, cause
		}
		cause = idle.obstacle(call, time.Now())
		if cause == "" {
			return idle, ""
		}
		idle.conn.Close()
	}
}

// take removes and returns the most recently used idle connection that may fit the
// call. It returns the obstacle of those that it left.
//
// A second copy of an answer may arrive late, as the answer to the next call on its
// connection. A copy with an ID is recognized. Connections that carried answers without ID
// are therefore kept apart, for calls without ID: reports and orders.
func (client *Client) take(call Call) (idleConnection, bool, Cause) {
	client.mu.Lock()
	defer client.mu.Unlock()
	var obstacle Cause
	digest := maphash.String(idSeed, call.RequestID)
	for i := len(client.idle) - 1; i >= 0; i-- {
		idle := client.idle[i]
		if idle.unidentified != (call.RequestID == "") {
			if idle.unidentified {
				obstacle = CauseUnidentified
			}
			continue
		}
		if call.LeaveOlder && idle.since.Before(call.UsedSince) {
			return idleConnection{}, false, CauseIdleTooLong // the others were used before
		}
		if !idle.unidentified && idle.carried(digest) {
			// A second copy of that answer would be taken for the answer to this call.
			obstacle = CauseSameRequest
			continue
		}
		client.idle = append(client.idle[:i], client.idle[i+1:]...)
		return idle, true, obstacle
	}
	return idleConnection{}, false, obstacle
}

// obstacle returns why the connection may not be reused, or an empty cause.
func (idle *idleConnection) obstacle(call Call, now time.Time) Cause {
	switch {
	case idle.expired(now):
		return CauseKeepAliveOver
	case idle.since.Before(call.UsedSince):
		return CauseIdleTooLong
	case idle.conn.Stale():
		return CauseClosed
	}
	return ""
}

// expired reports whether the target may close the connection at any time.
func (idle *idleConnection) expired(now time.Time) bool {
	return !idle.until.IsZero() && !now.Before(idle.until)
}

// release makes the connection available for reuse after a complete answer to the request
// with the ID. It closes it instead when the client is closed or holds maxIdleConnections,
// when the answer to a request with an ID has none, or when it cannot remember the answer.
func (client *Client) release(idle idleConnection, head Head, requestID string) {
	client.mu.Lock()
	defer client.mu.Unlock()
	idle.since, idle.until, idle.unidentified = time.Now(), head.KeepAliveUntil, requestID == ""
	remembers := idle.unidentified || idle.record(requestID, head.Status)
	if client.closed || len(client.idle) >= maxIdleConnections || head.RequestID != requestID || !remembers {
		idle.conn.Close()
		return
	}
	client.idle = append(client.idle, idle)
}

// CloseExpired closes the idle connections that are older than the target's Keep-Alive
// allows.
func (client *Client) CloseExpired(now time.Time) {
	client.mu.Lock()
	defer client.mu.Unlock()
	kept := client.idle[:0]
	for _, idle := range client.idle {
		if idle.expired(now) {
			idle.conn.Close()
			continue
		}
		kept = append(kept, idle)
	}
	client.idle = kept
}
