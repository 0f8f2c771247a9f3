package standin

import (
	"encoding/json"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/objects"
)

// Endpoint is one address of the platform API with its own injected faults, so that
// a test can disconnect some VMs and not others.
type Endpoint struct {
	platform *Platform
	server   server
	// Down makes each call fail with a closed connection.
	Down atomic.Bool
	// LoseAnswers is the number of next writes whose connection is closed after the
	// write took effect.
	LoseAnswers atomic.Int64
	// LoseCalls is the number of next writes whose connection is closed before the
	// write takes effect.
	LoseCalls atomic.Int64
	// Delay is added to each call, in nanoseconds.
	Delay atomic.Int64
}

// Start opens an endpoint of the platform API on the address. It can be called
// several times.
func (platform *Platform) Start(address netip.AddrPort) (*Endpoint, error) {
	platform.mu.Lock()
	if platform.objects == nil {
		platform.objects = map[objects.Collection]map[string]objects.Object{}
		platform.changed = make(chan struct{})
	}
	platform.mu.Unlock()
	endpoint := &Endpoint{platform: platform}
	endpoint.server.handler = endpoint.serve
	if err := endpoint.server.start(address); err != nil {
		return nil, err
	}
	platform.mu.Lock()
	platform.endpoints = append(platform.endpoints, endpoint)
	platform.mu.Unlock()
	return endpoint, nil
}

// Stop closes all endpoints.
func (platform *Platform) Stop() {
	platform.mu.Lock()
	endpoints := platform.endpoints
	platform.endpoints = nil
	platform.mu.Unlock()
	for _, endpoint := range endpoints {
		endpoint.Disconnect()
	}
}

// Addr returns the endpoint's address.
func (endpoint *Endpoint) Addr() netip.AddrPort {
	return endpoint.server.addr()
}

// Disconnect closes the listener and resets the open connections.
func (endpoint *Endpoint) Disconnect() {
	endpoint.server.crash()
}

// Reconnect listens again on the same address.
func (endpoint *Endpoint) Reconnect() error {
	return endpoint.server.start(netip.AddrPort{})
}

func (endpoint *Endpoint) serve(ctx *fasthttp.RequestCtx) {
	platform := endpoint.platform
	platform.calls.Add(1)
	if delay := endpoint.Delay.Load(); delay > 0 {
		time.Sleep(time.Duration(delay))
	}
	if endpoint.Down.Load() {
		drop(ctx)
		return
	}
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/standin/") {
		platform.control(ctx, path)
		return
	}
	rest, ok := strings.CutPrefix(path, objects.APIPath)
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
		return
	}
	collection, name, _ := strings.Cut(rest, "/")
	write := !ctx.IsGet()
	if platform.throttled(write) {
		fail(ctx, fasthttp.StatusTooManyRequests, "TooManyRequests")
		return
	}
	if write && decrementIfPositive(&endpoint.LoseCalls) {
		drop(ctx)
		return
	}
	platform.dispatch(ctx, endpoint, objects.Collection(collection), name)
	if write && decrementIfPositive(&endpoint.LoseAnswers) {
		drop(ctx)
	}
}

// decrementIfPositive decrements the counter and returns true, or returns false
// if it is not positive.
func decrementIfPositive(counter *atomic.Int64) bool {
	for {
		left := counter.Load()
		if left <= 0 {
			return false
		}
		if counter.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// control lets another process add VMs to the list and remove them.
func (platform *Platform) control(ctx *fasthttp.RequestCtx, path string) {
	var vm objects.VM
	if path != "/standin/vms" || json.Unmarshal(ctx.PostBody(), &vm) != nil {
		fail(ctx, fasthttp.StatusBadRequest, "BadRequest")
		return
	}
	if ctx.IsDelete() {
		platform.RemoveVM(vm.Name)
		return
	}
	platform.SetVM(vm)
}

func (platform *Platform) throttled(write bool) bool {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if now := time.Now(); now.Sub(platform.windowStart) >= time.Second {
		platform.windowStart = now
		platform.writes, platform.reads = 0, 0
	}
	if write {
		platform.writes++
		return platform.WritesPerSecond > 0 && platform.writes > platform.WritesPerSecond
	}
	platform.reads++
	return platform.ReadsPerSecond > 0 && platform.reads > platform.ReadsPerSecond
}

func (platform *Platform) dispatch(ctx *fasthttp.RequestCtx, endpoint *Endpoint, collection objects.Collection, name string) {
	switch {
	case ctx.IsGet() && collection == objects.VMs:
		platform.listVMs(ctx)
	case ctx.IsGet() && ctx.QueryArgs().GetBool("watch"):
		platform.watch(ctx, endpoint, collection)
	case ctx.IsGet() && name == "":
		platform.list(ctx, collection)
	case ctx.IsGet():
		platform.get(ctx, collection, name)
	default:
		platform.write(ctx, collection, name)
	}
}

func reply(ctx *fasthttp.RequestCtx, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		fail(ctx, fasthttp.StatusInternalServerError, "InternalError")
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

type statusBody struct {
	Kind   string `json:"kind"`
	Status string `json:"status"`
	Reason string `json:"reason"`
	Code   int    `json:"code"`
}

func fail(ctx *fasthttp.RequestCtx, status int, reason string) {
	reply(ctx, status, statusBody{Kind: "Status", Status: "Failure", Reason: reason, Code: status})
}
