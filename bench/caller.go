package bench

import (
	"context"
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

// callers is the callers' HTTP client. Like common clients, it notices idle
// connections that were closed, and repeats nothing.
type callers struct {
	mu   sync.Mutex // guards idle
	idle map[netip.AddrPort][]*connection.Client
}

func newCallers() *callers {
	return &callers{idle: map[netip.AddrPort][]*connection.Client{}}
}

func (callers *callers) acquire(address netip.AddrPort) *connection.Client {
	callers.mu.Lock()
	defer callers.mu.Unlock()
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

func (callers *callers) release(address netip.AddrPort, conn *connection.Client) {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	callers.idle[address] = append(callers.idle[address], conn)
}

// close breaks the idle connections.
func (callers *callers) close() {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	for _, idle := range callers.idle {
		for _, conn := range idle {
			conn.Close()
		}
	}
	callers.idle = nil
}

// answer is what a caller got.
type answer struct {
	status     int
	refusal    refusal.Code
	outcome    refusal.Outcome
	text       string
	usage      completion.Usage
	complete   bool
	firstToken time.Duration
	err        error
}

// send makes one request and reads its answer.
func (callers *callers) send(_ context.Context, address netip.AddrPort, key string, path string, body []byte, idempotencyKey string) answer {
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
		conn.Close()
		return answer{err: err}
	}
	got := answer{status: response.StatusCode()}
	if strings.HasPrefix(string(response.Header.ContentType()), "text/event-stream") {
		got.readStream(response, started)
	} else {
		got.readWhole(response, started)
	}
	if got.err != nil || response.ConnectionClose() {
		conn.Close()
		return got
	}
	callers.release(address, conn)
	return got
}

func (answer *answer) readWhole(response *fasthttp.Response, started time.Time) {
	text, err := response.BodyUncompressed()
	if err == nil && response.IsBodyStream() {
		err = response.CloseBodyStream()
	}
	if err != nil {
		answer.err = err
		return
	}
	answer.firstToken = time.Since(started)
	if answer.status >= fasthttp.StatusBadRequest {
		var body refusal.Body
		answer.err = json.Unmarshal(text, &body)
		answer.refusal, answer.outcome = body.Error.Code, body.Error.Outcome
		return
	}
	var whole completion.Answer
	if json.Unmarshal(text, &whole) != nil || len(whole.Choices) == 0 || whole.Choices[0].Message == nil {
		answer.text = string(text) // a plain service's
		answer.complete = true
		return
	}
	answer.text = whole.Choices[0].Message.Content
	answer.complete = true
	if whole.Usage != nil {
		answer.usage = *whole.Usage
	}
}

func (answer *answer) readStream(response *fasthttp.Response, started time.Time) {
	var text strings.Builder
	finished := false
	for event, err := range sse.Read(response.BodyStream(), &sse.ReadConfig{MaxEventSize: 1 << 20}) {
		if err != nil {
			answer.err = err
			break
		}
		if event.Type == "error" {
			var body refusal.Body
			answer.err = json.Unmarshal([]byte(event.Data), &body)
			answer.refusal, answer.outcome = body.Error.Code, body.Error.Outcome
			break
		}
		if event.Data == "[DONE]" {
			answer.complete = finished
			continue
		}
		chunk, err := completion.ParseChunk([]byte(event.Data))
		if err != nil {
			answer.err = errors.Wrap(err, "chunk")
			break
		}
		if answer.firstToken == 0 {
			answer.firstToken = time.Since(started)
		}
		text.WriteString(chunk.Text)
		finished = finished || chunk.Finish != ""
	}
	answer.text = text.String()
	if err := response.CloseBodyStream(); err != nil && answer.err == nil {
		answer.err = err
	}
}

// own reports whether the text is the answer to the body by one of the weights
// versions.
func own(text string, body []byte, weights ...string) bool {
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
