// Package target is the HTTP client for targets: model engines and plain
// services.
//
// A request is sent once on one connection, without the HTTP library's own
// retries. A connection is closed and not reused when its answer timed out, was
// incomplete, belonged to another request, could not be matched to its own or lacked a
// field that each success has. Calls without an ID use other connections than those with
// one. Callers' credentials are not forwarded.
//
// # Usage
//
//	client := target.New(address, nil)
//	head, err := client.Stream(ctx, target.Call{...}, func(event target.Event) error { ... })
//	switch {
//	case errors.Is(err, target.ErrNotSent): // safe to send elsewhere
//	case errors.Is(err, target.ErrConnectionLost): // the target may have run the request
//	}
package target

import (
	"context"
	"crypto/tls"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/connection"
)

// The kinds of failure of a call; test for them with errors.Is.
var (
	// ErrNotSent: no byte of the request left this VM.
	ErrNotSent = errors.New("the target does not accept connections")
	// ErrConnectionLost: the target closed or reset the connection before the
	// answer was complete.
	ErrConnectionLost = errors.New("the target broke the connection")
	// ErrTimeout: the target sent nothing until a deadline of the call.
	ErrTimeout = errors.New("no data from the target before the deadline")
	// ErrAnswerMismatch: the answer carries the ID of another request.
	ErrAnswerMismatch = errors.New("the answer belongs to another request")
	// ErrMissingField: the answer reports success, but lacks a field that each success of
	// the target has. The target may have run the request.
	ErrMissingField = errors.New("the answer lacks a field that each success has")
	// ErrCancelled: the context of the call ended.
	ErrCancelled = errors.New("the call was cancelled")
	// ErrRefused: the target rejected the request and ran nothing.
	ErrRefused = errors.New("the target refused the request")
	// ErrIncomplete: the stream ended without its end marker.
	ErrIncomplete = errors.New("the stream ended early")
)

const (
	maxIdleConnections = 64
	maxEvent           = 1 << 20 // bytes
	endMarker          = "[DONE]"
	orderTimeout       = 10 * time.Second
)

// Event is one event of a stream.
type Event struct {
	ID   string
	Data string
}

// Mismatch is an answer that carries the ID of another request than the call.
type Mismatch struct {
	RequestID string // of the call, empty for reports and orders
	AnswerID  string
}

// Client sends requests to one target. It is safe for concurrent use.
type Client struct {
	// OnOpen, if set, is called after each connection that was opened. It is set before
	// the first call.
	OnOpen func(Cause)
	// OnMismatch, if set, is called for each answer that was discarded because it carries
	// the ID of another request. It is set before the first call.
	OnMismatch func(Mismatch)

	address netip.AddrPort
	tls     *tls.Config
	dialect Dialect

	mu     sync.Mutex       // guards idle and closed
	idle   []idleConnection // the most recently used one last
	closed bool
}

// idleConnection is a connection and what is known of the answers that it carried. In the
// pool it has no request in flight.
type idleConnection struct {
	conn  *connection.Client
	since time.Time // its last use
	// until is the time until which it may be reused; zero when the target did
	// not report it.
	until time.Time
	// answered is the request that was answered on it last, and rejected are those that it
	// answered without success: they may be sent again. Both are digests of request IDs.
	answered uint64
	rejected []uint64
	// unidentified is set if the answers on it had no ID, as the calls had none.
	unidentified bool
}

// New returns a client that uses the native dialect; a nil tlsConfig means plain
// TCP.
func New(address netip.AddrPort, tlsConfig *tls.Config) *Client {
	client := NewWithDialect(address, &nativeDialect{address: address.String(), tls: tlsConfig != nil})
	client.tls = tlsConfig
	return client
}

// NewWithDialect returns a client that uses the given dialect over plain TCP.
func NewWithDialect(address netip.AddrPort, dialect Dialect) *Client {
	return &Client{address: address, dialect: dialect}
}

// Address returns the target's address.
func (client *Client) Address() netip.AddrPort {
	return client.address
}

// Close closes the idle connections. Calls in flight are not interrupted.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.closed = true
	client.closeIdle()
}

// CloseIdle closes the idle connections; later calls open new ones.
func (client *Client) CloseIdle() {
	client.mu.Lock()
	defer client.mu.Unlock()
	client.closeIdle()
}

// closeIdle implements CloseIdle. The caller holds mu.
func (client *Client) closeIdle() {
	for _, idle := range client.idle {
		idle.conn.Close()
	}
	client.idle = nil
}

// Do sends a request and returns the complete answer, whatever its status.
// The body is stored in buffer and valid until the next use of buffer.
func (client *Client) Do(ctx context.Context, call Call, buffer []byte) (Head, []byte, error) {
	var body []byte
	head, err := client.exchange(ctx, call, func(response *fasthttp.Response, reader io.Reader) error {
		text, err := readBuffered(response, reader, call)
		if err == nil {
			body = append(buffer[:0], text...)
		}
		return err
	})
	return head, body, err
}

// Stream sends a request and calls handle with each event of the answer. It
// returns nil only after the stream's end marker. An answer that is not a stream
// gives ErrRefused.
func (client *Client) Stream(ctx context.Context, call Call, handle func(Event) error) (Head, error) {
	return client.exchange(ctx, call, func(response *fasthttp.Response, body io.Reader) error {
		if response.StatusCode() != fasthttp.StatusOK || body == nil {
			return refusedError(response)
		}
		return readEvents(body, handle)
	})
}

func refusedError(response *fasthttp.Response) error {
	return errors.Mark(errors.Newf("the target answered status %d", response.StatusCode()), ErrRefused)
}

func readEvents(body io.Reader, handle func(Event) error) error {
	ended := false
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return err
		}
		if ended {
			return errors.Mark(errors.New("events after the stream's end"), ErrIncomplete)
		}
		if event.Data == endMarker {
			ended = true
			continue
		}
		if err := handle(Event{ID: event.LastEventID, Data: event.Data}); err != nil {
			return err
		}
	}
	if !ended {
		return ErrIncomplete
	}
	return nil
}

// exchange sends a request and calls read with the answer. The connection is
// reused only when the answer belongs to this request and was read completely.
func (client *Client) exchange(ctx context.Context, call Call, read func(*fasthttp.Response, io.Reader) error) (Head, error) {
	return client.exchangeWithHead(ctx, call, func(_ Head, response *fasthttp.Response, body io.Reader) error {
		return read(response, body)
	})
}

// exchangeWithHead is like exchange and passes the decoded head to read too.
func (client *Client) exchangeWithHead(ctx context.Context, call Call, read func(Head, *fasthttp.Response, io.Reader) error) (Head, error) {
	if ctx.Err() != nil { // AfterFunc would abort only after the request was sent
		return Head{}, classify(ctx, nil, false, true)
	}
	idle, cause := client.acquire(call)
	conn := idle.conn
	reused := conn.Used()
	conn.OnData, conn.OnSend = call.OnData, call.OnSend
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	client.dialect.Fill(request, &call)
	body := &deadlineBody{conn: conn, call: &call, empty: true}
	body.extendDeadline()
	err := conn.Do(request, response)
	if !reused && conn.Used() {
		client.opened(cause)
	}
	if err != nil {
		conn.Close()
		return Head{}, classify(ctx, err, reused, true)
	}
	head := client.dialect.Head(response)
	err = client.consume(head, response, call, body, read)
	if err != nil || !stop() {
		conn.Close()
		return head, classify(ctx, err, reused, false)
	}
	if call.Open != nil {
		conn.Close() // the next call may not need the way that Open took
		return head, nil
	}
	client.release(idle, head, call.RequestID)
	return head, nil
}

// consume verifies that the answer belongs to the call and calls read with it.
// The reader is nil when the body is not streamed.
func (client *Client) consume(head Head, response *fasthttp.Response, call Call, body *deadlineBody, read func(Head, *fasthttp.Response, io.Reader) error) error {
	if head.RequestID != "" && head.RequestID != call.RequestID {
		if client.OnMismatch != nil {
			client.OnMismatch(Mismatch{RequestID: call.RequestID, AnswerID: head.RequestID})
		}
		return ErrAnswerMismatch
	}
	if head.Missing != "" && call.RequestID != "" {
		return errors.Wrap(ErrMissingField, head.Missing)
	}
	if call.OnHead != nil {
		call.OnHead(head)
	}
	if !response.IsBodyStream() {
		return read(head, response, nil)
	}
	body.reader = response.BodyStream()
	if err := read(head, response, body); err != nil {
		if body.err != nil { // the cause of the incomplete stream
			return body.err
		}
		return err
	}
	if body.empty && endsAfterHead(response) {
		return errors.Mark(errors.New("the connection ended after the head"), ErrConnectionLost)
	}
	return response.CloseBodyStream()
}

// endsAfterHead reports whether an answer with an empty body was broken off after its head:
// it reports success, and states neither a length nor chunks. Servers of HTTP/1.0 may omit
// the length of an empty body.
func endsAfterHead(response *fasthttp.Response) bool {
	isSuccess := response.StatusCode() >= fasthttp.StatusOK && response.StatusCode() < fasthttp.StatusMultipleChoices
	return isSuccess && response.Header.IsHTTP11() && response.Header.ContentLength() == unframed
}

// deadlineBody is a body that extends the connection's deadline before each read.
type deadlineBody struct {
	reader io.Reader
	conn   *connection.Client
	call   *Call
	empty  bool  // nothing was read yet
	err    error // the error that ended reading, if not io.EOF
}

// Read implements io.Reader.
func (body *deadlineBody) Read(buffer []byte) (int, error) {
	body.extendDeadline()
	count, err := body.reader.Read(buffer)
	body.empty = body.empty && count == 0
	if err != nil && err != io.EOF {
		body.err = err
	}
	return count, err
}

func (body *deadlineBody) extendDeadline() {
	deadline := body.call.Deadline
	if body.call.SilenceDeadline != nil {
		if silence := body.call.SilenceDeadline(time.Now()); silence.Before(deadline) {
			deadline = silence
		}
	}
	body.conn.SetDeadline(deadline)
}

// classify marks the error of an exchange with its kind of failure. Errors before
// the head of the answer that match no other kind count as ErrConnectionLost.
func classify(ctx context.Context, err error, reused, beforeHead bool) error {
	switch {
	case ctx.Err() != nil:
		return errors.Mark(errors.Wrap(ctx.Err(), "call ended"), ErrCancelled)
	case err == nil:
		return nil
	case errors.IsAny(err, ErrAnswerMismatch, ErrMissingField, ErrRefused, ErrIncomplete):
		return err
	case errors.Is(err, connection.ErrDial) && !reused, errors.Is(err, connection.ErrWithheld):
		return errors.Mark(err, ErrNotSent)
	case isTimeout(err):
		return errors.Mark(err, ErrTimeout)
	case beforeHead || isBroken(err):
		return errors.Mark(err, ErrConnectionLost)
	}
	return err
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout()
}

func isBroken(err error) bool {
	var broken interface{ Temporary() bool } // implemented by net errors
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, fasthttp.ErrConnectionClosed) || errors.As(err, &broken)
}

// Order sends an operation, such as loading weights, to an engine. The fencing
// token in the order lets engines that check it refuse an order that is older
// than one they accepted. The call ends at the deadline, and after orderTimeout
// at the latest; a zero deadline means orderTimeout only.
func (client *Client) Order(ctx context.Context, order []byte, deadline time.Time) error {
	call := Call{
		Method:        fasthttp.MethodPost,
		Path:          "/v1/orders",
		Body:          order,
		ContentType:   "application/json",
		RequestID:     "order-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Deadline:      deadline,
		NewConnection: true,
	}
	if latest := time.Now().Add(orderTimeout); deadline.IsZero() || latest.Before(deadline) {
		call.Deadline = latest
	}
	head, _, err := client.Do(ctx, call, nil)
	if err != nil {
		return err
	}
	if head.Status != fasthttp.StatusOK {
		return errors.Mark(errors.Newf("the target answered the order with status %d", head.Status), ErrRefused)
	}
	return nil
}
