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

// Door is one address of the API with faults of its own, so that a test can
// cut some VMs off and not others.
type Door struct {
	platform *Platform
	server   server
	// Down breaks each call.
	Down atomic.Bool
	// LoseAnswers breaks that many writes after they took effect.
	LoseAnswers atomic.Int64
	// LoseCalls breaks that many writes before they take effect.
	LoseCalls atomic.Int64
	// Delay holds each call, in nanoseconds.
	Delay atomic.Int64
}

// Start opens the first door.
func (standin *Platform) Start(address netip.AddrPort) (*Door, error) {
	standin.mu.Lock()
	if standin.objects == nil {
		standin.objects = map[objects.Collection]map[string]objects.Object{}
		standin.changed = make(chan struct{})
	}
	standin.mu.Unlock()
	door := &Door{platform: standin}
	door.server.handler = door.serve
	if err := door.server.start(address); err != nil {
		return nil, err
	}
	standin.mu.Lock()
	standin.doors = append(standin.doors, door)
	standin.mu.Unlock()
	return door, nil
}

// Stop closes all doors.
func (standin *Platform) Stop() {
	standin.mu.Lock()
	doors := standin.doors
	standin.doors = nil
	standin.mu.Unlock()
	for _, door := range doors {
		door.Cut()
	}
}

// Addr returns the door's address.
func (door *Door) Addr() netip.AddrPort {
	return door.server.addr()
}

// Cut refuses connections and breaks the open ones.
func (door *Door) Cut() {
	door.server.crash()
}

// Mend listens again at the same address.
func (door *Door) Mend() error {
	return door.server.start(netip.AddrPort{})
}

func (door *Door) serve(ctx *fasthttp.RequestCtx) {
	standin := door.platform
	standin.calls.Add(1)
	if delay := door.Delay.Load(); delay > 0 {
		time.Sleep(time.Duration(delay))
	}
	if door.Down.Load() {
		drop(ctx)
		return
	}
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/standin/") {
		standin.control(ctx, path)
		return
	}
	rest, ok := strings.CutPrefix(path, objects.APIPath)
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
		return
	}
	collection, name, _ := strings.Cut(rest, "/")
	write := !ctx.IsGet()
	if standin.throttled(write) {
		fail(ctx, fasthttp.StatusTooManyRequests, "TooManyRequests")
		return
	}
	if write && take(&door.LoseCalls) {
		drop(ctx)
		return
	}
	standin.dispatch(ctx, door, objects.Collection(collection), name)
	if write && take(&door.LoseAnswers) {
		drop(ctx)
	}
}

func take(counter *atomic.Int64) bool {
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

// control lets another process list VMs.
func (standin *Platform) control(ctx *fasthttp.RequestCtx, path string) {
	var vm objects.VM
	if path != "/standin/vms" || json.Unmarshal(ctx.PostBody(), &vm) != nil {
		fail(ctx, fasthttp.StatusBadRequest, "BadRequest")
		return
	}
	if ctx.IsDelete() {
		standin.RemoveVM(vm.Name)
		return
	}
	standin.SetVM(vm)
}

func (standin *Platform) throttled(write bool) bool {
	standin.mu.Lock()
	defer standin.mu.Unlock()
	if now := time.Now(); now.Sub(standin.windowStart) >= time.Second {
		standin.windowStart = now
		standin.writes, standin.reads = 0, 0
	}
	if write {
		standin.writes++
		return standin.WritesPerSecond > 0 && standin.writes > standin.WritesPerSecond
	}
	standin.reads++
	return standin.ReadsPerSecond > 0 && standin.reads > standin.ReadsPerSecond
}

func (standin *Platform) dispatch(ctx *fasthttp.RequestCtx, door *Door, collection objects.Collection, name string) {
	switch {
	case ctx.IsGet() && collection == objects.VMs:
		standin.listVMs(ctx)
	case ctx.IsGet() && ctx.QueryArgs().GetBool("watch"):
		standin.watch(ctx, door, collection)
	case ctx.IsGet() && name == "":
		standin.list(ctx, collection)
	case ctx.IsGet():
		standin.get(ctx, collection, name)
	default:
		standin.write(ctx, collection, name)
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
