package standin

import (
	"bufio"
	"encoding/json"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/platform"
)

const (
	// bookmarkInterval is how often an idle watch gets a bookmark.
	bookmarkInterval = 500 * time.Millisecond
	historyLength    = 4096 // events a watch may lag
)

// Platform is a versioned object API with faults.
type Platform struct {
	// WritesPerSecond and ReadsPerSecond bound the calls; 0 means no bound.
	WritesPerSecond int
	ReadsPerSecond  int
	// VMLag delays the list of VMs.
	VMLag time.Duration

	mu          sync.Mutex // guards the fields below
	version     platform.Version
	objects     map[platform.Collection]map[string]platform.Object
	history     []change
	compacted   platform.Version // history begins after it
	changed     chan struct{}
	vms         []vmChange
	windowStart time.Time
	writes      int
	reads       int

	calls atomic.Int64
	doors []*Door
}

type change struct {
	collection platform.Collection
	event      platform.WatchEvent
}

type vmChange struct {
	visible time.Time
	vm      platform.VM
	gone    bool
}

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
		standin.objects = map[platform.Collection]map[string]platform.Object{}
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

// Calls returns the number of calls so far; a watch counts as one.
func (standin *Platform) Calls() int64 {
	return standin.calls.Load()
}

// SetVM lists a VM, visible after the lag.
func (standin *Platform) SetVM(vm platform.VM) {
	standin.changeVM(vmChange{vm: vm})
}

// RemoveVM takes a VM off the list, visible after the lag.
func (standin *Platform) RemoveVM(name string) {
	standin.changeVM(vmChange{vm: platform.VM{Name: name}, gone: true})
}

func (standin *Platform) changeVM(change vmChange) {
	standin.mu.Lock()
	defer standin.mu.Unlock()
	change.visible = time.Now().Add(standin.VMLag)
	standin.vms = append(standin.vms, change)
}

// Forget drops the history, so that watches from before get 410 Gone.
func (standin *Platform) Forget() {
	standin.mu.Lock()
	defer standin.mu.Unlock()
	standin.history = nil
	standin.compacted = standin.version
	standin.signal()
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
	rest, ok := strings.CutPrefix(path, platform.APIPath)
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
	standin.dispatch(ctx, door, platform.Collection(collection), name)
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
	var vm platform.VM
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

func (standin *Platform) dispatch(ctx *fasthttp.RequestCtx, door *Door, collection platform.Collection, name string) {
	switch {
	case ctx.IsGet() && collection == platform.VMs:
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

func (standin *Platform) listVMs(ctx *fasthttp.RequestCtx) {
	standin.mu.Lock()
	current := map[string]platform.VM{}
	now := time.Now()
	for _, change := range standin.vms {
		if change.visible.After(now) {
			continue
		}
		if change.gone {
			delete(current, change.vm.Name)
		} else {
			current[change.vm.Name] = change.vm
		}
	}
	list := platform.List{Metadata: platform.ListMetadata{ResourceVersion: platform.Version(len(standin.vms))}}
	standin.mu.Unlock()
	for name, vm := range current {
		spec, _ := json.Marshal(vm)
		list.Items = append(list.Items, platform.Object{Metadata: platform.Metadata{Name: name}, Spec: spec})
	}
	sortItems(list.Items)
	reply(ctx, fasthttp.StatusOK, list)
}

func (standin *Platform) list(ctx *fasthttp.RequestCtx, collection platform.Collection) {
	standin.mu.Lock()
	list := platform.List{Metadata: platform.ListMetadata{ResourceVersion: standin.version}}
	for _, object := range standin.objects[collection] {
		list.Items = append(list.Items, object)
	}
	standin.mu.Unlock()
	sortItems(list.Items)
	reply(ctx, fasthttp.StatusOK, list)
}

func sortItems(items []platform.Object) {
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
}

func (standin *Platform) get(ctx *fasthttp.RequestCtx, collection platform.Collection, name string) {
	standin.mu.Lock()
	object, ok := standin.objects[collection][name]
	standin.mu.Unlock()
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
		return
	}
	reply(ctx, fasthttp.StatusOK, object)
}

func (standin *Platform) write(ctx *fasthttp.RequestCtx, collection platform.Collection, name string) {
	var sent platform.Object
	if !ctx.IsDelete() {
		if err := json.Unmarshal(ctx.PostBody(), &sent); err != nil {
			fail(ctx, fasthttp.StatusBadRequest, "BadRequest")
			return
		}
	}
	standin.mu.Lock()
	defer standin.mu.Unlock()
	if standin.objects[collection] == nil {
		standin.objects[collection] = map[string]platform.Object{}
	}
	switch {
	case ctx.IsPost():
		standin.create(ctx, collection, sent)
	case ctx.IsPut():
		standin.update(ctx, collection, name, sent)
	case ctx.IsDelete():
		standin.remove(ctx, collection, name)
	default:
		fail(ctx, fasthttp.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (standin *Platform) create(ctx *fasthttp.RequestCtx, collection platform.Collection, sent platform.Object) {
	name := sent.Metadata.Name
	if _, ok := standin.objects[collection][name]; ok {
		fail(ctx, fasthttp.StatusConflict, "AlreadyExists")
		return
	}
	sent.Metadata.CreationTimestamp = time.Now().UTC()
	object := standin.record(collection, platform.Added, sent)
	reply(ctx, fasthttp.StatusCreated, object)
}

func (standin *Platform) update(ctx *fasthttp.RequestCtx, collection platform.Collection, name string, sent platform.Object) {
	known, ok := standin.objects[collection][name]
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
		return
	}
	if sent.Metadata.ResourceVersion != known.Metadata.ResourceVersion {
		fail(ctx, fasthttp.StatusConflict, "Conflict")
		return
	}
	known.Spec = sent.Spec
	reply(ctx, fasthttp.StatusOK, standin.record(collection, platform.Modified, known))
}

func (standin *Platform) remove(ctx *fasthttp.RequestCtx, collection platform.Collection, name string) {
	known, ok := standin.objects[collection][name]
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
		return
	}
	want := string(ctx.QueryArgs().Peek("resourceVersion"))
	if want != "" && want != known.Metadata.ResourceVersion.String() {
		fail(ctx, fasthttp.StatusConflict, "Conflict")
		return
	}
	reply(ctx, fasthttp.StatusOK, standin.record(collection, platform.Deleted, known))
}

// record stores a change and wakes the watches. The caller holds mu.
func (standin *Platform) record(collection platform.Collection, kind platform.EventType, object platform.Object) platform.Object {
	standin.version++
	object.Metadata.ResourceVersion = standin.version
	if kind == platform.Deleted {
		delete(standin.objects[collection], object.Metadata.Name)
	} else {
		standin.objects[collection][object.Metadata.Name] = object
	}
	standin.history = append(standin.history, change{collection, platform.WatchEvent{Type: kind, Object: object}})
	if len(standin.history) > historyLength {
		standin.compacted = standin.history[0].event.Object.Metadata.ResourceVersion
		standin.history = standin.history[1:]
	}
	standin.signal()
	return object
}

func (standin *Platform) signal() {
	close(standin.changed)
	standin.changed = make(chan struct{})
}

func (standin *Platform) watch(ctx *fasthttp.RequestCtx, door *Door, collection platform.Collection) {
	var from platform.Version
	quoted := `"` + string(ctx.QueryArgs().Peek("resourceVersion")) + `"`
	if json.Unmarshal([]byte(quoted), &from) != nil {
		fail(ctx, fasthttp.StatusBadRequest, "BadRequest")
		return
	}
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		encoder := json.NewEncoder(writer)
		timer := time.NewTicker(bookmarkInterval)
		defer timer.Stop()
		for !door.Down.Load() {
			events, next, changed := standin.since(collection, from)
			from = next
			for _, event := range events {
				_ = encoder.Encode(event) // a broken connection shows at the flush
			}
			if writer.Flush() != nil || len(events) > 0 && events[len(events)-1].Type == platform.Error {
				return
			}
			select {
			case <-changed:
			case <-timer.C:
			}
		}
	})
}

// since returns the events after a version, ended by a bookmark.
func (standin *Platform) since(collection platform.Collection, from platform.Version) ([]platform.WatchEvent, platform.Version, <-chan struct{}) {
	standin.mu.Lock()
	defer standin.mu.Unlock()
	if from < standin.compacted {
		return []platform.WatchEvent{{Type: platform.Error}}, from, standin.changed
	}
	var events []platform.WatchEvent
	first := sort.Search(len(standin.history), func(i int) bool {
		return standin.history[i].event.Object.Metadata.ResourceVersion > from
	})
	for _, change := range standin.history[first:] {
		if change.collection == collection {
			events = append(events, change.event)
		}
	}
	bookmark := platform.Object{Metadata: platform.Metadata{ResourceVersion: standin.version}}
	events = append(events, platform.WatchEvent{Type: platform.Bookmark, Object: bookmark})
	return events, standin.version, standin.changed
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
