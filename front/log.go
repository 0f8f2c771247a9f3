package front

import (
	"net/http"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/relay"
)

// Counter counts by name.
type Counter interface {
	Add(name string, count int64)
}

// maxLines is the maximum number of log lines of one kind per second.
const maxLines = 50

// closedBy names the end of a connection that closed it, for logs and metrics.
func closedBy(byCaller bool) string {
	if byCaller {
		return "caller"
	}
	return "vm"
}

// recordEnding logs and counts the close of a connection on which a request was being received,
// or on which data had arrived that was not read. Requests that were received completely are
// logged by whoever answers them.
func (server *Server) recordEnding(ending ending) {
	if ending.phase == phaseRunning || ending.phase.waits() && (!ending.unread || ending.byCaller) {
		return
	}
	if server.Cuts != nil {
		server.Cuts.Add(ending.phase.String()+"/"+closedBy(ending.byCaller), 1)
	}
	now := time.Now()
	skipped, ok := server.cutSampler.Allow(now, maxLines)
	if !ok {
		return
	}
	server.Log.Emit(event.CallerCut, event.F("phase", ending.phase.String()), event.F("phase_ms", now.Sub(ending.since).Milliseconds()),
		event.F("closed_by", closedBy(ending.byCaller)), event.F("received", ending.received), event.F("unread", ending.unread),
		event.F("draining", server.Draining()), event.F("stopping", server.closed.Load()), event.F("skipped", skipped))
}

// logNotTaken logs a request that was not handed to the relay. The request is nil if its head
// could not be decoded.
func (server *Server) logNotTaken(httpRequest *http.Request, request *relay.Request, refused *refusal.Refusal, arrived time.Time) {
	now := time.Now()
	skipped, ok := server.notTakenSampler.Allow(now, maxLines)
	if !ok {
		return
	}
	id := ""
	if request != nil {
		id = request.ID
	}
	server.Log.Emit(event.RequestNotTaken, event.F("request", id), event.F("code", string(refused.Code)), event.F("outcome", string(refused.Outcome)),
		event.F("length", httpRequest.ContentLength), event.F("after_ms", now.Sub(arrived).Milliseconds()), event.F("skipped", skipped))
}
