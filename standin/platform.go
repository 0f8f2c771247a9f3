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
	version     objects.Version
	objects     map[objects.Collection]map[string]objects.Object
	history     []change
	compacted   objects.Version // history begins after it
	changed     chan struct{}
	vms         []vmChange
	windowStart time.Time
	writes      int
	reads       int

	calls atomic.Int64
	doors []*Door
}

type change struct {
	collection objects.Collection
	event      objects.WatchEvent
}

type vmChange struct {
	visible time.Time
	vm      objects.VM
	gone    bool
}

// Calls returns the number of calls so far; a watch counts as one.
func (standin *Platform) Calls() int64 {
	return standin.calls.Load()
}

// SetVM lists a VM, visible after the lag.
func (standin *Platform) SetVM(vm objects.VM) {
	standin.changeVM(vmChange{vm: vm})
}

// RemoveVM takes a VM off the list, visible after the lag.
func (standin *Platform) RemoveVM(name string) {
	standin.changeVM(vmChange{vm: objects.VM{Name: name}, gone: true})
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

func (standin *Platform) listVMs(ctx *fasthttp.RequestCtx) {
	standin.mu.Lock()
	current := map[string]objects.VM{}
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
	list := objects.List{Metadata: objects.ListMetadata{ResourceVersion: objects.Version(len(standin.vms))}}
	standin.mu.Unlock()
	for name, vm := range current {
		spec, _ := json.Marshal(vm)
		list.Items = append(list.Items, objects.Object{Metadata: objects.Metadata{Name: name}, Spec: spec})
	}
	sortItems(list.Items)
	reply(ctx, fasthttp.StatusOK, list)
}

func (standin *Platform) list(ctx *fasthttp.RequestCtx, collection objects.Collection) {
	standin.mu.Lock()
	list := objects.List{Metadata: objects.ListMetadata{ResourceVersion: standin.version}}
	for _, object := range standin.objects[collection] {
		list.Items = append(list.Items, object)
	}
	standin.mu.Unlock()
	sortItems(list.Items)
	reply(ctx, fasthttp.StatusOK, list)
}

func sortItems(items []objects.Object) {
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
}

func (standin *Platform) get(ctx *fasthttp.RequestCtx, collection objects.Collection, name string) {
	standin.mu.Lock()
	object, ok := standin.objects[collection][name]
	standin.mu.Unlock()
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, "NotFound")
		return
	}
	reply(ctx, fasthttp.StatusOK, object)
}

func (standin *Platform) write(ctx *fasthttp.RequestCtx, collection objects.Collection, name string) {
	var sent objects.Object
	if !ctx.IsDelete() {
		if err := json.Unmarshal(ctx.PostBody(), &sent); err != nil {
			fail(ctx, fasthttp.StatusBadRequest, "BadRequest")
			return
		}
	}
	standin.mu.Lock()
	defer standin.mu.Unlock()
	if standin.objects[collection] == nil {
		standin.objects[collection] = map[string]objects.Object{}
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

func (standin *Platform) create(ctx *fasthttp.RequestCtx, collection objects.Collection, sent objects.Object) {
	name := sent.Metadata.Name
	if _, ok := standin.objects[collection][name]; ok {
		fail(ctx, fasthttp.StatusConflict, "AlreadyExists")
		return
	}
	sent.Metadata.CreationTimestamp = time.Now().UTC()
	object := standin.record(collection, objects.Added, sent)
	reply(ctx, fasthttp.StatusCreated, object)
}

func (standin *Platform) update(ctx *fasthttp.RequestCtx, collection objects.Collection, name string, sent objects.Object) {
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
	reply(ctx, fasthttp.StatusOK, standin.record(collection, objects.Modified, known))
}

func (standin *Platform) remove(ctx *fasthttp.RequestCtx, collection objects.Collection, name string) {
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
	reply(ctx, fasthttp.StatusOK, standin.record(collection, objects.Deleted, known))
}

// record stores a change and wakes the watches. The caller holds mu.
func (standin *Platform) record(collection objects.Collection, kind objects.EventType, object objects.Object) objects.Object {
	standin.version++
	object.Metadata.ResourceVersion = standin.version
	if kind == objects.Deleted {
		delete(standin.objects[collection], object.Metadata.Name)
	} else {
		standin.objects[collection][object.Metadata.Name] = object
	}
	standin.history = append(standin.history, change{collection, objects.WatchEvent{Type: kind, Object: object}})
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

func (standin *Platform) watch(ctx *fasthttp.RequestCtx, door *Door, collection objects.Collection) {
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
		for !door.Down.Load() {
			events, next, changed := standin.since(collection, from)
			from = next
			for _, event := range events {
				_ = encoder.Encode(event) // a broken connection shows at the flush
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

// since returns the events after a version, ended by a bookmark.
func (standin *Platform) since(collection objects.Collection, from objects.Version) ([]objects.WatchEvent, objects.Version, <-chan struct{}) {
	standin.mu.Lock()
	defer standin.mu.Unlock()
	if from < standin.compacted {
		return []objects.WatchEvent{{Type: objects.Error}}, from, standin.changed
	}
	var events []objects.WatchEvent
	first := sort.Search(len(standin.history), func(i int) bool {
		return standin.history[i].event.Object.Metadata.ResourceVersion > from
	})
	for _, change := range standin.history[first:] {
		if change.collection == collection {
			events = append(events, change.event)
		}
	}
	bookmark := objects.Object{Metadata: objects.Metadata{ResourceVersion: standin.version}}
	events = append(events, objects.WatchEvent{Type: objects.Bookmark, Object: bookmark})
	return events, standin.version, standin.changed
}
