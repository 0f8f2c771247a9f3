package target

import (
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/buffer"
)

// Field is one HTTP header field.
type Field struct {
	Name  string
	Value string
}

// Head is the status and the header fields of a target's answer.
type Head struct {
	Status      int
	ContentType string
	Incarnation string
	Weights     string
	// Draining is set if the target states that it leaves.
	Draining bool
	// RestUntil is the end of the rest that the target asks for; zero for none.
	// RestProblem is a text about a rest that was not used as it is, or empty.
	RestUntil   time.Time
	RestProblem string
	// Limit is the number of requests a second that the target takes from all VMs
	// together, as long as its answers say so; 0 for none. LimitProblem is a text about
	// a limit that was not used as it is, or empty.
	Limit        float64
	LimitProblem string
	// Tolerance is how many requests the target may have to reject in a second before it
	// falls over, as long as its answers say so; 0 if it is not brittle.
	// ToleranceProblem is a text about a number that was not used as it is, or empty.
	Tolerance        float64
	ToleranceProblem string
	// Load is the target's load report; valid when HasLoad is set.
	HasLoad bool
	Load    Load
	// RequestID is the ID of the answered request; empty when the target does not
	// return it.
	RequestID string
	// Missing names the field without which the target's success does not count, if the
	// head reports success and has no such field; empty otherwise. Answers to requests with
	// an ID are not used then.
	Missing string
	// NotRun is set when the target guarantees that it did not and will not run
	// the request.
	NotRun bool
	// PromisesNotRun is set when callers take the status as the promise that the request
	// did not run, whether or not the target guarantees it.
	PromisesNotRun bool
	// Stream is set when the body is an event stream.
	Stream bool
	// Fields are the header fields that are forwarded to the caller.
	Fields []Field
	// KeepAliveUntil is the time until which the idle connection may be reused;
	// zero when the target does not report it.
	KeepAliveUntil time.Time
}

// Call is one request to a target.
type Call struct {
	Method    string
	Path      string // including the query
	Body      []byte
	RequestID string
	// Weights is the weights version that must run the request; empty for plain
	// services.
	Weights     string
	ContentType string
	// LastEventID is the ID of the last event received, after which the stream is
	// resumed; empty for a new stream.
	LastEventID string
	// Deadline is the deadline of the complete call.
	Deadline time.Time
	// NewConnection requires that the call is sent on a new connection. On a reused
	// one that the target has closed in the meantime, the outcome of the call would
	// be unknown.
	NewConnection bool
	// UsedSince excludes connections whose last use was before this time; zero
	// excludes none.
	UsedSince time.Time
	// LeaveOlder leaves the connections that UsedSince excludes to other calls, instead of
	// closing them.
	LeaveOlder bool
	// Open, if set, makes the connection for the call instead of a TCP connection to the
	// target's address.
	Open func() (net.Conn, error)
	// SilenceDeadline, if set, returns the deadline for the next byte. It is called
	// before the request is sent and before each read of a streamed body. The
	// earlier of it and Deadline applies.
	SilenceDeadline func(now time.Time) time.Time
	// OnSend, if set, is called when the connection is open, before the first byte of the
	// request is sent. If it returns an error, nothing is sent and the call fails with it,
	// marked ErrNotSent.
	OnSend func() error
	// OnHead, if set, is called with the head of an answer to this call before the body is
	// read.
	OnHead func(Head)
	// OnData, if set, is called after each read that returned data of the answer.
	OnData func()

	// Share is the part of the VM's memory for texts that the answer takes. If it is nil,
	// the answer is bounded by its length alone.
	Share *buffer.Share
	// MaxAnswer is the longest answer, in bytes, that is not streamed; 0 for the default
	// of 8 MB.
	MaxAnswer int

	// Host is the caller's Host header, and Fields its other header fields.
	Host   string
	Fields []Field
	// Account is the client account; empty on routes that need no key.
	Account string
	// Instance is the target that must run the request; empty for any.
	Instance string
	// Salt separates the cache entries of different weights and of isolated
	// accounts.
	Salt string
	// FetchFrom is the address from which the engine fetches KV cache, SaveTo the
	// one to which it saves KV cache; invalid for none.
	FetchFrom netip.AddrPort
	SaveTo    netip.AddrPort
	// Priority is 0 for the most urgent requests; valid when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Dialect encodes requests and decodes the heads of answers for one kind of
// target: it defines which header fields carry which values.
type Dialect interface {
	// Fill encodes the call into an empty request.
	Fill(request *fasthttp.Request, call *Call)
	// Head decodes the head of an answer.
	Head(response *fasthttp.Response) Head
}

// nativeDialect is bramleygw's own dialect.
type nativeDialect struct {
	address string
	tls     bool
}

// Fill implements Dialect.
func (dialect *nativeDialect) Fill(request *fasthttp.Request, call *Call) {
	request.Header.SetMethod(call.Method)
	request.SetRequestURI(call.Path)
	request.Header.SetHost(dialect.address)
	request.Header.Set("X-Request-Id", call.RequestID)
	if dialect.tls {
		request.URI().SetScheme("https")
	}
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	if call.Weights != "" {
		request.Header.Set("X-Weights-Version", call.Weights)
	}
	if call.LastEventID != "" {
		request.Header.Set("Last-Event-Id", call.LastEventID)
	}
	if call.Body != nil {
		request.SetBodyRaw(call.Body)
	}
}

// Head implements Dialect.
func (dialect *nativeDialect) Head(response *fasthttp.Response) Head {
	head := Head{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Incarnation: string(response.Header.Peek("X-Incarnation")),
		Weights:     string(response.Header.Peek("X-Weights-Version")),
		Draining:    string(response.Header.Peek("X-Draining")) == "true",
		RequestID:   string(response.Header.Peek("X-Request-Id")),
	}
	head.Load, head.HasLoad = parseLoad(string(response.Header.Peek("Endpoint-Load-Metrics")))
	return head
}

// keepAliveShare is the fraction of the target's idle time-out during which a
// connection is reused. The rest is a margin, so that the target does not close
// the connection while a request is being sent on it.
const keepAliveShare = 0.75

// ParseKeepAlive parses a Keep-Alive header and returns the time until which the
// connection may be reused: three quarters of the time-out from now. It returns
// zero when the header holds no time-out.
func ParseKeepAlive(header string, now time.Time) time.Time {
	for _, part := range strings.Split(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseFloat(text, 64); err == nil && seconds >= 0 {
			return now.Add(time.Duration(seconds * float64(time.Second) * keepAliveShare))
		}
	}
	return time.Time{}
}
