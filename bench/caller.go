package bench

import (
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/standin"
)

const callerDeadline = 30 * time.Second

// Callers is the HTTP client of the simulated callers. Like common clients, it
// detects idle connections that the server closed, and it retries no request.
type Callers struct {
	mu    sync.Mutex // guards idle and inUse
	idle  map[netip.AddrPort][]*connection.Client
	inUse map[*connection.Client]bool
}

// NewCallers returns a client without open connections.
func NewCallers() *Callers {
	return &Callers{idle: map[netip.AddrPort][]*connection.Client{}, inUse: map[*connection.Client]bool{}}
}

func (callers *Callers) acquire(address netip.AddrPort) *connection.Client {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	conn := callers.pop(address)
	callers.inUse[conn] = true
	return conn
}

// pop returns an idle connection or a new one. The caller holds mu.
func (callers *Callers) pop(address netip.AddrPort) *connection.Client {
	for {
		idle := callers.idle[address]
		if len(idle) == 0 {
			return connection.New(address, nil)
		}
		conn := idle[len(idle)-1]
		callers.idle[address] = idle[:len(idle)-1]
		if !conn.Stale() {
			return conn
		}
		conn.Close()
	}
}

// release returns a connection to the idle ones if reuse is true, and closes it
// otherwise.
func (callers *Callers) release(address netip.AddrPort, conn *connection.Client, reuse bool) {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	delete(callers.inUse, conn)
	if !reuse || callers.idle == nil {
		conn.Close()
		return
	}
	callers.idle[address] = append(callers.idle[address], conn)
}

// Abort closes the connections of requests in flight.
func (callers *Callers) Abort() {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	for conn := range callers.inUse {
		conn.Abort()
	}
}

// Close closes the idle connections. Connections released later are closed too.
func (callers *Callers) Close() {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	for _, idle := range callers.idle {
		for _, conn := range idle {
			conn.Close()
		}
	}
	callers.idle = nil
}

// Answer is the answer that a caller received.
type Answer struct {
	Status  int
	Refusal refusal.Code
	Outcome refusal.Outcome
	Text    string
	Usage   completion.Usage
	// Complete is true if the answer arrived completely, with its end marker.
	Complete   bool
	FirstToken time.Duration
	Err        error

	headers map[string]string // the headers in limitHeaders, of a refusal
}

// limitHeaders are the rate limit headers that are recorded from a refusal.
var limitHeaders = []string{"Retry-After", "X-Ratelimit-Limit-Tokens", "X-Ratelimit-Remaining-Tokens", "X-Ratelimit-Reset-Tokens"}

// Header returns the value of one of limitHeaders.
func (answer *Answer) Header(name string) string {
	return answer.headers[name]
}

// Send sends one request and reads its answer.
func (callers *Callers) Send(address netip.AddrPort, key string, path string, body []byte, idempotencyKey string) Answer {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(path)
	request.Header.SetHost(address.String())
	request.Header.SetContentType("application/json")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	request.SetBodyRaw(body)
	started := time.Now()
	conn := callers.acquire(address)
	conn.SetDeadline(started.Add(callerDeadline))
	if err := conn.Do(request, response); err != nil {
		callers.release(address, conn, false)
		return Answer{Err: err}
	}
	got := Answer{Status: response.StatusCode()}
	if strings.HasPrefix(string(response.Header.ContentType()), "text/event-stream") {
		got.readStream(response, started)
	} else {
		got.readBody(response, started)
	}
	callers.release(address, conn, got.Err == nil && !response.ConnectionClose())
	return got
}

func (answer *Answer) readBody(response *fasthttp.Response, started time.Time) {
	text, err := response.BodyUncompressed()
	if err == nil && response.IsBodyStream() {
		err = response.CloseBodyStream()
	}
	if err != nil {
		answer.Err = err
		return
	}
	answer.FirstToken = time.Since(started)
	if answer.Status >= fasthttp.StatusBadRequest {
		var body refusal.Body
		answer.Err = json.Unmarshal(text, &body)
		answer.Refusal, answer.Outcome = body.Error.Code, body.Error.Outcome
		answer.headers = map[string]string{}
		for _, name := range limitHeaders {
			answer.headers[name] = string(response.Header.Peek(name))
		}
		return
	}
	var parsed completion.Answer
	if json.Unmarshal(text, &parsed) != nil || len(parsed.Choices) == 0 || parsed.Choices[0].Message == nil {
		answer.Text = string(text) // the answer of a plain service
		answer.Complete = true
		return
	}
	answer.Text = parsed.Choices[0].Message.Content
	answer.Complete = true
	if parsed.Usage != nil {
		answer.Usage = *parsed.Usage
	}
}

func (answer *Answer) readStream(response *fasthttp.Response, started time.Time) {
	var text strings.Builder
	finished := false
	for event, err := range sse.Read(response.BodyStream(), &sse.ReadConfig{MaxEventSize: 1 << 20}) {
		if err != nil {
			answer.Err = err
			break
		}
		if event.Type == "error" {
			var body refusal.Body
			answer.Err = json.Unmarshal([]byte(event.Data), &body)
			answer.Refusal, answer.Outcome = body.Error.Code, body.Error.Outcome
			break
		}
		if event.Data == "[DONE]" {
			answer.Complete = finished
			continue
		}
		chunk, err := completion.ParseChunk([]byte(event.Data))
		if err != nil {
			answer.Err = errors.Wrap(err, "parsing a chunk")
			break
		}
		if answer.FirstToken == 0 {
			answer.FirstToken = time.Since(started)
		}
		text.WriteString(chunk.Text)
		finished = finished || chunk.FinishReason != ""
	}
	answer.Text = text.String()
	if err := response.CloseBodyStream(); err != nil && answer.Err == nil {
		answer.Err = err
	}
}

// MatchesRequest reports whether the text is the answer to the request body with one of the
// weights versions.
func MatchesRequest(text string, body []byte, weights ...string) bool {
	request, err := completion.Parse(body, completion.Chat, nil)
	if err != nil {
		return false
	}
	for _, version := range weights {
		if text == standin.Answer(request.Model, version, request.Prompt, request.MaxTokens) {
			return true
		}
	}
	return false
}
