package standin

import (
	"bufio"
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/objects"
)

const (
	// bookmarkInterval is the interval at which an idle watch receives a bookmark.
	bookmarkInterval = 500 * time.Millisecond
	historyLength    = 4096 // maximum number of events that a watch can lag behind
)

// Platform simulates the versioned object API of the platform, with faults.
type Platform struct {
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; 0 means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// VMLag is the delay until a change is visible in the list of VMs.
	VMLag time.Duration

	mu          sync.Mutex // guards the fields below
	version     objects.Version
	objects     map[objects.Collection]map[string]objects.Object
	history     []change
	compacted   objects.Version // history holds the versions after this one
	changed     chan struct{}
	vms         []vmChange
	windowStart time.Time
	writes      int
	reads       int

	calls     atomic.Int64
	endpoints []*Endpoint
}

type change struct {
	collection objects.Collection
	event      objects.WatchEvent
}

type vmChange struct {
	visibleAt time.Time
	vm        objects.VM
	removed   bool
}

// Calls returns the number of calls received so far; a watch counts as one call.
func (platform *Platform) Calls() int64 {
	return platform.calls.Load()
}

// SetVM adds a VM to the list or updates it; the change is visible after VMLag.
func (platform *Platform) SetVM(vm objects.VM) {
	platform.addVMChange(vmChange{vm: vm})
}

// RemoveVM removes a VM from the list; the change is visible after VMLag.
func (platform *Platform) RemoveVM(name string) {
	platform.addVMChange(vmChange{vm: objects.VM{Name: name}, removed: true})
}

func (platform *Platform) addVMChange(change vmChange) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	change.visibleAt = time.Now().Add(platform.VMLag)
	platform.vms = append(platform.vms, change)
}

// CompactHistory drops the history, so that a watch from an older version receives an
// ERROR event, the equivalent of 410 Gone.
func (platform *Platform) CompactHistory() {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.history = nil
	platform.compacted = platform.version
	platform.notifyWatchers()
}

func (platform *Platform) listVMs(ctx *fasthttp.RequestCtx) {
	platform.mu.Lock()
	current := map[string]objects.VM{}
	now := time.Now()
	for _, change := range platform.vms {
		if change.visibleAt.After(now) {
			continue
		}
		if change.removed {
			delete(current, change.vm.Name)
		} else {
			current[change.vm.Name] = change.vm
		}
	}
	list := objects.List{Metadata: objects.ListMetadata{ResourceVersion: objects.Version(len(platform.vms))}}
	platform.mu.Unlock()
	for name, vm := range current {
		spec, _ := json.Marshal(vm)
		list.Items = append(list.Items, objects.Object{Metadata: objects.Metadata{Name: name}, Spec: spec})
	}
	sortItems(list.Items)
	reply(ctx, fasthttp.StatusOK, list)
}

func (platform *Platform) list(ctx *fasthttp.RequestCtx, collection objects.Collection) {
	platform.mu.Lock()
	list := objects.List{Metadata: objects.ListMetadata{ResourceVersion: platform.version}}
	for _, object := range platform.objects[collection] {
		list.Items = append(list.Items, object)
	}
	platform.mu.Unlock()
	sortItems(list.Items)
	reply(ctx, fasthttp.StatusOK, list)
}

func sortItems(items []objects.Object) {
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
}

func (platform *Platform) get(ctx *fasthttp.RequestCtx, collection objects.Collection, name string) {
	platform.mu.Lock()
	object, ok := platform.objects[collection][name]
	platform.mu.Unlock()
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
		return
	}
	reply(ctx, fasthttp.StatusOK, object)
}

func (platform *Platform) write(ctx *fasthttp.RequestCtx, collection objects.Collection, name string) {
	var sent objects.Object
	if !ctx.IsDelete() {
		if err := json.Unmarshal(ctx.PostBody(), &sent); err != nil {
			fail(ctx, fasthttp.StatusBadRequest, "BadRequest")
			return
		}
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if platform.objects[collection] == nil {
		platform.objects[collection] = map[string]objects.Object{}
	}
	switch {
	case ctx.IsPost():
		platform.create(ctx, collection, sent)
	case ctx.IsPut():
		platform.update(ctx, collection, name, sent)
	case ctx.IsDelete():
		platform.remove(ctx, collection, name)
	default:
		fail(ctx, fasthttp.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (platform *Platform) create(ctx *fasthttp.RequestCtx, collection objects.Collection, sent objects.Object) {
	name := sent.Metadata.Name
	if _, ok := platform.objects[collection][name]; ok {
		fail(ctx, fasthttp.StatusConflict, "AlreadyExists")
		return
	}
	sent.Metadata.CreationTimestamp = time.Now().UTC()
	object := platform.record(collection, objects.Added, sent)
	reply(ctx, fasthttp.StatusCreated, object)
}

func (platform *Platform) update(ctx *fasthttp.RequestCtx, collection objects.Collection, name string, sent objects.Object) {
	stored, ok := platform.objects[collection][name]
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
		return
	}
	if sent.Metadata.ResourceVersion != stored.Metadata.ResourceVersion {
		fail(ctx, fasthttp.StatusConflict, "Conflict")
		return
	}
	stored.Spec = sent.Spec
	reply(ctx, fasthttp.StatusOK, platform.record(collection, objects.Modified, stored))
}

func (platform *Platform) remove(ctx *fasthttp.RequestCtx, collection objects.Collection, name string) {
	stored, ok := platform.objects[collection][name]
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
		return
	}
	want := string(ctx.QueryArgs().Peek("resourceVersion"))
	if want != "" && want != stored.Metadata.ResourceVersion.String() {
		fail(ctx, fasthttp.StatusConflict, "Conflict")
		return
	}
	reply(ctx, fasthttp.StatusOK, platform.record(collection, objects.Deleted, stored))
}

// record stores a change and notifies the watches. The caller holds mu.
func (platform *Platform) record(collection objects.Collection, kind objects.EventType, object objects.Object) objects.Object {
	platform.version++
	object.Metadata.ResourceVersion = platform.version
	if kind == objects.Deleted {
		delete(platform.objects[collection], object.Metadata.Name)
	} else {
		platform.objects[collection][object.Metadata.Name] = object
	}
	platform.history = append(platform.history, change{collection, objects.WatchEvent{Type: kind, Object: object}})
	if len(platform.history) > historyLength {
		platform.compacted = platform.history[0].event.Object.Metadata.ResourceVersion
		platform.history = platform.history[1:]
	}
	platform.notifyWatchers()
	return object
}

func (platform *Platform) notifyWatchers() {
	close(platform.changed)
	platform.changed = make(chan struct{})
}

func (platform *Platform) watch(ctx *fasthttp.RequestCtx, endpoint *Endpoint, collection objects.Collection) {
	var from objects.Version
	quoted := `"` + string(ctx.QueryArgs().Peek("resourceVersion")) + `"`
	if json.Unmarshal([]byte(quoted), &from) != nil {
		fail(ctx, fasthttp.StatusBadRequest, "BadRequest")
		return
	}
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		encoder := json.NewEncoder(writer)
		timer := time.NewTicker(bookmarkInterval)
		defer timer.Stop()
		for !endpoint.Down.Load() {
			events, next, changed := platform.eventsSince(collection, from)
			from = next
			for _, event := range events {
				_ = encoder.Encode(event) // a broken connection is detected at the flush
			}
			if writer.Flush() != nil || len(events) > 0 && events[len(events)-1].Type == objects.Error {
				return
			}
			select {
			case <-changed:
			case <-timer.C:
			}
		}
	})
}

// eventsSince returns the events after a version, followed by a bookmark, the
// current version, and a channel that is closed at the next change.
func (platform *Platform) eventsSince(collection objects.Collection, from objects.Version) ([]objects.WatchEvent, objects.Version, <-chan struct{}) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if from < platform.compacted {
		return []objects.WatchEvent{{Type: objects.Error}}, from, platform.changed
	}
	var events []objects.WatchEvent
	first := sort.Search(len(platform.history), func(i int) bool {
		return platform.history[i].event.Object.Metadata.ResourceVersion > from
	})
	for _, change := range platform.history[first:] {
		if change.collection == collection {
			events = append(events, change.event)
		}
	}
	bookmark := objects.Object{Metadata: objects.Metadata{ResourceVersion: platform.version}}
	events = append(events, objects.WatchEvent{Type: objects.Bookmark, Object: bookmark})
	return events, platform.version, platform.changed
}
