package target

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Head is what the head of an answer tells of the target.
type Head struct {
	Status      int
	ContentType string
	Incarnation string
	Weights     string
	Draining    bool
	// Load is valid when Loaded is set.
	Loaded bool
	Load   Load
	// RequestID is the request that is answered; empty when it is not named.
	RequestID string
	// NotRun is the target's word that it did not and will not run the request.
	NotRun bool
	// Stream is set for a series of events.
	Stream bool
	// Fields are passed on to the caller.
	Fields []Field
	// IdleUntil is until when the target keeps the connection open; zero when
	// it does not say.
	IdleUntil time.Time
}

// Call is one request to a target.
type Call struct {
	Method    string
	Path      string // with the query
	Body      []byte
	RequestID string
	// Weights is the version that must run the request; empty for services.
	Weights     string
	ContentType string
	// After is the id of the last event received; empty for a new stream.
	After string
	// Deadline bounds the whole call.
	Deadline time.Time
	// Fresh calls are sent on a new connection, so that one that the target
	// closed meanwhile cannot leave their outcome unknown.
	Fresh bool
	// UsedSince keeps the call off connections that have been idle since before;
	// zero means any.
	UsedSince time.Time
	// Silence returns the deadline for the next byte.
	Silence func(now time.Time) time.Time
	// OnHead, if set, is told of the answer's head before its body.
	OnHead func(Head)

	// Host is the host that the caller named, and Fields its other headers.
	Host   string
	Fields []Field
	// Account is the client account; empty on open routes.
	Account string
	// Instance is the target that must run the request; empty for any.
	Instance string
	// Salt keeps cache entries of other weights and of isolated accounts apart.
	Salt string
	// FetchFrom and SaveTo are where KV cache comes from and goes to.
	FetchFrom netip.AddrPort
	SaveTo    netip.AddrPort
	// Priority is 0 for the most urgent, valid when Prioritized is set.
	Priority    int
	Prioritized bool
}

// Dialect is how requests and heads of answers are spelled on the wire.
type Dialect interface {
	// Fill writes the call into an empty request.
	Fill(request *fasthttp.Request, call *Call)
	// Head reads the head of an answer.
	Head(response *fasthttp.Response) Head
}

// ownDialect is the product's own.
type ownDialect struct {
	address string
	tls     bool
}

// Fill implements Dialect.
func (dialect *ownDialect) Fill(request *fasthttp.Request, call *Call) {
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
	if call.After != "" {
		request.Header.Set("Last-Event-Id", call.After)
	}
	if call.Body != nil {
		request.SetBodyRaw(call.Body)
	}
}

// Head implements Dialect.
func (dialect *ownDialect) Head(response *fasthttp.Response) Head {
	head := Head{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Incarnation: string(response.Header.Peek("X-Incarnation")),
		Weights:     string(response.Header.Peek("X-Weights-Version")),
		Draining:    string(response.Header.Peek("X-Draining")) == "true",
		RequestID:   string(response.Header.Peek("X-Request-Id")),
	}
	head.Load, head.Loaded = parseLoad(string(response.Header.Peek("Endpoint-Load-Metrics")))
	return head
}

// keptShare is the part of a connection's idle timeout in which it is used
// again, so that a request does not cross the target's close.
const keptShare = 0.75

// KeptUntil returns until when a connection with the Keep-Alive header may be
// used: three quarters of its timeout. It returns zero when there is none.
func KeptUntil(header string, now time.Time) time.Time {
	for _, part := range strings.Split(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseFloat(text, 64); err == nil && seconds >= 0 {
			return now.Add(time.Duration(seconds * float64(time.Second) * keptShare))
		}
	}
	return time.Time{}
}
