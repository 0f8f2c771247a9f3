package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/prefix"
)

// Defaults and costs of a stand-in engine.
const (
	defaultPrefill     = 20 * time.Microsecond // per token
	defaultDecode      = 2 * time.Millisecond  // per token
	defaultBlocks      = 160
	defaultRunning     = 16
	cachedCostDivisor  = 100 // a computed token costs this many times a cached one
	loadTime           = 250 * time.Millisecond
	loadReportInterval = 100 * time.Millisecond
	streamRetention    = 30 * time.Second
	maxConcurrentLoads = 2
)

// WeightStore holds weights and is shared by engines. More than two concurrent
// loads slow each other down.
type WeightStore struct {
	loading atomic.Int64
	// MaxLoads is the highest number of concurrent loads so far.
	MaxLoads atomic.Int64
}

// Engine simulates a model engine with a prefix cache made of blocks, one
// prefill at a time, continuous batching of decodes, and resumable streams.
type Engine struct {
	Name    string
	Model   string
	Weights string
	// Blocks is the capacity of the prefix cache, in blocks.
	Blocks int
	// PrefillPerToken and DecodePerToken are the times to process one token.
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// Running is the maximum number of requests that are decoded concurrently.
	Running int
	// ChecksFencing makes the engine reject orders with an old fencing token.
	ChecksFencing bool
	// Store is the weight store; if nil, the engine creates its own.
	Store *WeightStore
	// Poison, if set, is a text that crashes the engine when a prompt contains it.
	Poison string
	// Downtime is the time from a crash caused by Poison to the restart.
	Downtime time.Duration

	// StallStreamsBefore is a time in Unix nanoseconds: streams opened before it send no more
	// data; later ones work.
	StallStreamsBefore atomic.Int64
	// MismatchedAnswers is the number of next answers that carry the ID and the content of
	// another request.
	MismatchedAnswers atomic.Int64

	// Deaths is the number of crashes.
	Deaths atomic.Int64
	// Prefilled is the number of prompt tokens that were computed.
	Prefilled atomic.Int64
	// CachedTokens is the number of prompt tokens that were found in the cache.
	CachedTokens atomic.Int64
	// Orders is the number of orders that took effect.
	Orders atomic.Int64
	// Cancelled is the number of requests that ended before completion: the caller
	// disconnected, the request was cancelled, or the engine stopped.
	Cancelled atomic.Int64
	// SeenKeys is the number of requests that carried a credential.
	SeenKeys atomic.Int64

	server server
	once   sync.Once

	mu           sync.Mutex // guards the fields below
	runCtx       context.Context
	cancelRun    context.CancelFunc
	incarnation  int
	cache        *cache
	waiting      []*job // ordered by priority, then arrival
	running      int
	prefilling   bool
	streams      map[string]*job
	finished     []finishedStream
	fencingToken uint64
	draining     bool
	report       string
	reportedAt   time.Time
	runs         map[string]int // number of runs by request ID
}

func (engine *Engine) setDefaults() {
	engine.server.handler = engine.serve
	if engine.Blocks == 0 {
		engine.Blocks = defaultBlocks
	}
	if engine.PrefillPerToken == 0 {
		engine.PrefillPerToken = defaultPrefill
	}
	if engine.DecodePerToken == 0 {
		engine.DecodePerToken = defaultDecode
	}
	if engine.Running == 0 {
		engine.Running = defaultRunning
	}
	if engine.Store == nil {
		engine.Store = &WeightStore{}
	}
	engine.runs = map[string]int{}
}

// Start starts the engine with an empty cache. If the address is invalid, it
// listens on the previous one.
func (engine *Engine) Start(address netip.AddrPort) error {
	engine.once.Do(engine.setDefaults)
	engine.mu.Lock()
	engine.runCtx, engine.cancelRun = context.WithCancel(context.Background())
	engine.incarnation++
	engine.cache = newCache(engine.Blocks)
	engine.waiting, engine.running, engine.prefilling = nil, 0, false
	engine.streams, engine.finished = map[string]*job{}, nil
	engine.report = ""
	engine.mu.Unlock()
	return engine.server.start(address)
}

// Addr returns the address.
func (engine *Engine) Addr() netip.AddrPort {
	return engine.server.addr()
}

// Stop stops the engine immediately: connections are reset and the cache is lost.
func (engine *Engine) Stop() {
	engine.server.crash() // first, so that no stream ends normally
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.cancelRun != nil {
		engine.cancelRun()
	}
}

// Crash stops the engine and increments Deaths.
func (engine *Engine) Crash() {
	engine.Deaths.Add(1)
	engine.Stop()
}

// Runs returns how many times a request ID was started.
func (engine *Engine) Runs(id string) int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.runs[id]
}

// Match returns the number of cached tokens of the chain. The oracle policy uses
// it.
func (engine *Engine) Match(chain []prefix.Hash) int {
	engine.mu.Lock()
	cache := engine.cache
	engine.mu.Unlock()
	return cache.match(chain) * prefix.BlockTokens
}

// Backlog returns the time that a new request would wait. The oracle policy uses
// it.
func (engine *Engine) Backlog() time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	var total time.Duration
	for _, job := range engine.waiting {
		total += engine.prefillTime(job)
	}
	return total
}

// LoadedWeights returns the weights version in use.
func (engine *Engine) LoadedWeights() string {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.Weights
}

func (engine *Engine) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == completion.Chat.Path():
		engine.complete(ctx, completion.Chat)
	case path == completion.Text.Path():
		engine.complete(ctx, completion.Text)
	case path == "/v1/orders" && ctx.IsPost():
		engine.order(ctx)
	case path == "/v1/cache_events":
		engine.cacheEvents(ctx)
	case path == "/health":
		engine.headers(ctx, "")
	default:
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
	}
}

// headers sets the identity headers and the load report (ORCA, text format), which
// is recomputed at most once per loadReportInterval and therefore lags.
func (engine *Engine) headers(ctx *fasthttp.RequestCtx, id string) {
	engine.mu.Lock()
	if now := time.Now(); now.Sub(engine.reportedAt) > loadReportInterval {
		engine.reportedAt = now
		var queued int
		for _, job := range engine.waiting {
			queued += job.promptTokens
		}
		engine.report = fmt.Sprintf("TEXT named_metrics.queued_tokens=%d, named_metrics.running=%d", queued, engine.running)
	}
	report, incarnation, draining, weights := engine.report, engine.incarnation, engine.draining, engine.Weights
	engine.mu.Unlock()
	ctx.Response.Header.Set("X-Request-Id", id)
	ctx.Response.Header.Set("Endpoint-Load-Metrics", report)
	ctx.Response.Header.Set("X-Incarnation", strconv.Itoa(incarnation))
	ctx.Response.Header.Set("X-Weights-Version", weights)
	if draining {
		ctx.Response.Header.Set("X-Draining", "true")
	}
}

func (engine *Engine) complete(ctx *fasthttp.RequestCtx, form completion.Form) {
	if len(ctx.Request.Header.Peek("Authorization")) > 0 || len(ctx.Request.Header.Peek("Cookie")) > 0 {
		engine.SeenKeys.Add(1)
	}
	request, err := completion.Parse(ctx.PostBody(), form, nil)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if engine.Poison != "" && bytes.Contains(request.Prompt, []byte(engine.Poison)) {
		go engine.crashAndRestart()
		<-engine.currentRunCtx().Done()
		drop(ctx)
		return
	}
	id := string(ctx.Request.Header.Peek("X-Request-Id"))
	if decrementIfPositive(&engine.MismatchedAnswers) {
		id += "-other"
		request.Prompt = []byte("another caller's question")
	}
	last := -1
	if text := ctx.Request.Header.Peek("Last-Event-Id"); len(text) > 0 {
		last, _ = strconv.Atoi(string(text))
	}
	want := string(ctx.Request.Header.Peek("X-Weights-Version"))
	job := engine.admit(request, id, want, ctx.PostBody(), last >= 0)
	if job == nil {
		engine.headers(ctx, id)
		fail(ctx, fasthttp.StatusConflict, "the stream or the weights version is not here")
		return
	}
	engine.headers(ctx, id)
	if request.Stream {
		engine.stream(ctx, job, last, request.IncludeUsage)
		return
	}
	engine.answer(ctx, job)
}

func (engine *Engine) currentRunCtx() context.Context {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.runCtx
}

func (engine *Engine) crashAndRestart() {
	engine.Crash()
	time.Sleep(engine.Downtime)
	_ = engine.Start(netip.AddrPort{})
}

// requestOptions holds the members of a request body that completion.Request does
// not: the salt that separates the cache entries of accounts, and the priority.
type requestOptions struct {
	Salt     string `json:"cache_salt"`
	Priority int    `json:"priority"`
}

// admit returns the job to resume, or queues a new one. It returns nil if there is
// no job to resume or the request requires another weights version.
func (engine *Engine) admit(request completion.Request, id, weights string, body []byte, resume bool) *job {
	var members requestOptions
	_ = json.Unmarshal(body, &members) // completion.Parse checked the body
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if resumed, ok := engine.streams[id]; ok && resume {
		return resumed
	}
	if resume || weights != "" && weights != engine.Weights {
		return nil
	}
	engine.runs[id]++
	created := &job{
		id: id, form: request.Form, model: request.Model, priority: members.Priority,
		chain:            prefix.Seed(members.Salt, request.Model, engine.Weights).Chain(request.Prompt, nil),
		tokens:           AnswerTokens(request.Model, engine.Weights, request.Prompt, request.MaxTokens),
		promptTokens:     request.PromptTokens(),
		weights:          engine.Weights,
		runCtx:           engine.runCtx,
		changed:          make(chan struct{}),
		readersChangedAt: time.Now(),
	}
	if id != "" {
		engine.streams[id] = created
	}
	engine.enqueue(created)
	return created
}
