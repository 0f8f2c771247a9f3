package standin

import (
	"encoding/json"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Order is an order to an engine, such as to load another weights version.
type Order struct {
	// Type is load_weights, drain, undrain or cancel.
	Type         string `json:"type"`
	Weights      string `json:"weights,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	FencingToken uint64 `json:"fencing_token"`
}

func (engine *Engine) order(ctx *fasthttp.RequestCtx) {
	var order Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "BadRequest")
		return
	}
	engine.mu.Lock()
	if engine.ChecksFencing && order.FencingToken < engine.fencingToken {
		engine.mu.Unlock()
		fail(ctx, fasthttp.StatusPreconditionFailed, "old fencing token")
		return
	}
	engine.fencingToken = max(engine.fencingToken, order.FencingToken)
	runCtx := engine.runCtx
	engine.mu.Unlock()
	switch order.Type {
	case "load_weights":
		engine.Load(order.Weights)
	case "drain", "undrain":
		engine.mu.Lock()
		engine.draining = order.Type == "drain"
		engine.mu.Unlock()
	case "cancel":
		engine.cancel(order.RequestID)
	default:
		fail(ctx, fasthttp.StatusBadRequest, "type must be load_weights, drain, undrain or cancel")
		return
	}
	if runCtx.Err() != nil {
		drop(ctx)
		return
	}
	engine.Orders.Add(1)
	engine.headers(ctx, "")
}

// Load changes the weights version and clears the cache. It does nothing if the
// version is loaded already.
func (engine *Engine) Load(weights string) {
	engine.mu.Lock()
	same := engine.Weights == weights
	engine.mu.Unlock()
	if same {
		return
	}
	loading := engine.Store.loading.Add(1)
	defer engine.Store.loading.Add(-1)
	for {
		highest := engine.Store.MaxLoads.Load()
		if loading <= highest || engine.Store.MaxLoads.CompareAndSwap(highest, loading) {
			break
		}
	}
	slowdown := max(1, loading-maxConcurrentLoads+1)
	sleep(engine.currentRunCtx(), loadTime*time.Duration(slowdown))
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.Weights = weights
	engine.cache = newCache(engine.Blocks)
}

func (engine *Engine) cancel(id string) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if job, ok := engine.streams[id]; ok {
		job.mu.Lock()
		job.readers, job.readersChangedAt = 0, time.Time{}
		job.mu.Unlock()
	}
}

// Service is a plain service that counts the runs of each request body.
type Service struct {
	Name string

	// LoseAnswers is the number of next calls whose connection is closed after the
	// call ran.
	LoseAnswers atomic.Int64
	// SeenKeys is the number of requests that carried a credential.
	SeenKeys atomic.Int64

	server server
	mu     sync.Mutex // guards runs
	runs   map[string]int
}

// Start starts the service. If the address is invalid, it listens on the previous
// one.
func (service *Service) Start(address netip.AddrPort) error {
	service.mu.Lock()
	if service.runs == nil {
		service.runs = map[string]int{}
	}
	service.mu.Unlock()
	service.server.handler = service.serve
	return service.server.start(address)
}

// Addr returns the address.
func (service *Service) Addr() netip.AddrPort {
	return service.server.addr()
}

// Stop stops the service immediately and resets its connections.
func (service *Service) Stop() {
	service.server.crash()
}

// Runs returns how many times a request body was run.
func (service *Service) Runs(body string) int {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.runs[body]
}

// MaxRuns returns the highest number of runs of any one body.
func (service *Service) MaxRuns() int {
	service.mu.Lock()
	defer service.mu.Unlock()
	highest := 0
	for _, count := range service.runs {
		highest = max(highest, count)
	}
	return highest
}

func (service *Service) serve(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek("Authorization")) > 0 || len(ctx.Request.Header.Peek("Cookie")) > 0 {
		service.SeenKeys.Add(1)
	}
	body := string(ctx.PostBody())
	service.mu.Lock()
	service.runs[body]++
	service.mu.Unlock()
	if decrementIfPositive(&service.LoseAnswers) {
		drop(ctx)
		return
	}
	ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
	reply(ctx, fasthttp.StatusOK, serviceAnswer{Service: service.Name, Path: string(ctx.Path()), Echo: body})
}

type serviceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}
