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

// Costs of a stand-in engine.
const (
	defaultPrefill     = 20 * time.Microsecond // a token
	defaultDecode      = 2 * time.Millisecond  // a token
	defaultBlocks      = 160
	defaultRunning     = 16
	cachedCostDivisor  = 100 // a cached token costs this fraction of a computed one
	loadTime           = 250 * time.Millisecond
	loadReportInterval = 100 * time.Millisecond
	streamRetention    = 30 * time.Second
	maxConcurrentLoads = 2
)

// WeightStore is shared by engines: loads beyond two at once slow each other.
type WeightStore struct {
	loading atomic.Int64
	// Most is the highest number of loads that ran at once.
	Most atomic.Int64
}

// Engine is a model engine: a prefix cache in blocks, one prefill at a time,
// continuous batching of the decodes, streams that can be resumed.
type Engine struct {
	Name    string
	Model   string
	Weights string
	// Blocks is the size of the prefix cache.
	Blocks int
	// PrefillPerToken and DecodePerToken are the costs.
	PrefillPerToken time.Duration
	DecodePerToken  time.Duration
	// Running bounds the requests that are decoded at once.
	Running int
	// ChecksFencing refuses orders with an old fencing token.
	ChecksFencing bool
	// Store is the weight store; nil for one of its own.
	Store *WeightStore
	// Poison, if set, makes a prompt that contains it crash the engine.
	Poison string
	// Downtime is how long it stays down after a crash by poison.
	Downtime time.Duration

	// Silence makes open streams go silent while set; new ones work.
	Silence atomic.Int64
	// Cross makes that many answers carry another request's identity.
	Cross atomic.Int64

	// Deaths counts crashes.
	Deaths atomic.Int64
	// Prefilled counts prompt tokens that were computed.
	Prefilled atomic.Int64
	// Hit counts prompt tokens that were found in the cache.
	Hit atomic.Int64
	// Orders counts orders that took effect.
	Orders atomic.Int64
	// Cancelled counts requests that ended because their caller left.
	Cancelled atomic.Int64
	// SeenKeys counts requests that carried a credential.
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
	runs         map[string]int // runs by request id
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

// Start begins to serve with an empty cache; an invalid address means the
// former one.
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

// Stop ends the engine at once: connections are reset and the cache is lost.
func (engine *Engine) Stop() {
	engine.server.crash() // first, so that no stream ends in order
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.cancelRun != nil {
		engine.cancelRun()
	}
}

// Crash stops the engine and counts a death.
func (engine *Engine) Crash() {
	engine.Deaths.Add(1)
	engine.Stop()
}

// Runs returns how often a request id was begun.
func (engine *Engine) Runs(id string) int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.runs[id]
}

// Match returns how many tokens of the chain are cached, for an oracle.
func (engine *Engine) Match(chain []prefix.Hash) int {
	engine.mu.Lock()
	cache := engine.cache
	engine.mu.Unlock()
	return cache.match(chain) * prefix.BlockTokens
}

// Backlog returns the time that new work would wait, for an oracle.
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

// headers sets identity and the lagging load report (ORCA, text form).
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
	if decrementIfPositive(&engine.Cross) {
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
		engine.stream(ctx, job, last, request.Usage)
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

// requestSalt finds the member that keeps accounts' cache entries apart.
type requestOptions struct {
	Salt     string `json:"cache_salt"`
	Priority int    `json:"priority"`
}

// admit finds the job to resume or queues a new one; nil when there is none to
// resume, or when another weights version is wanted.
func (engine *Engine) admit(request completion.Request, id, weights string, body []byte, resume bool) *job {
	var members requestOptions
	_ = json.Unmarshal(body, &members) // the body was checked before
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if known, ok := engine.streams[id]; ok && resume {
		return known
	}
	if resume || weights != "" && weights != engine.Weights {
		return nil
	}
	engine.runs[id]++
	created := &job{
		id: id, form: request.Form, model: request.Model, priority: members.Priority,
		chain:          prefix.Seed(members.Salt, request.Model, engine.Weights).Chain(request.Prompt, nil),
		tokens:         AnswerTokens(request.Model, engine.Weights, request.Prompt, request.MaxTokens),
		promptTokens:   request.PromptTokens(),
		weights:        engine.Weights,
		runCtx:         engine.runCtx,
		changed:        make(chan struct{}),
		lastReaderLeft: time.Now(),
	}
	if id != "" {
		engine.streams[id] = created
	}
	engine.enqueue(created)
	return created
}
