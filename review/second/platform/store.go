package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store.
type store struct {
	listener net.Listener

	mu       sync.Mutex // guards the fields below
	revision uint64
	kinds    map[string]map[string]*object
	history  []storeEvent
	changed  chan struct{} // closed at the next change
}

type metadata struct {
	Name           string
	Revision       uint64
	CreateRevision uint64
	Finalizers     []string
	Deleting       bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

type storeEvent struct {
	kind     string
	revision uint64
	removed  bool
	object   object
}

func newStore(listener net.Listener) *store {
	store := &store{listener: listener, revision: 100, kinds: map[string]map[string]*object{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: store}).Serve(listener) }() // ends with the process
	return store
}

// put writes an object as an operator or an engine would. Its return is the confirmation.
func (store *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	check(err)
	store.mu.Lock()
	defer store.mu.Unlock()
	store.write(kind, name, text, nil)
}

// remove removes an object.
func (store *store) remove(kind, name string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	known, ok := store.kinds[kind][name]
	if !ok {
		return
	}
	store.revision++
	delete(store.kinds[kind], name)
	removed := *known
	removed.Metadata.Revision = store.revision
	store.publish(storeEvent{kind, store.revision, true, removed})
}

// write stores an object. The caller holds mu.
func (store *store) write(kind, name string, spec, status json.RawMessage) object {
	store.revision++
	if store.kinds[kind] == nil {
		store.kinds[kind] = map[string]*object{}
	}
	stored := object{Metadata: metadata{Name: name, Revision: store.revision, CreateRevision: store.revision, Finalizers: []string{}}, Spec: spec, Status: status}
	if known, ok := store.kinds[kind][name]; ok {
		stored.Metadata.CreateRevision = known.Metadata.CreateRevision
	}
	store.kinds[kind][name] = &stored
	store.publish(storeEvent{kind, store.revision, false, stored})
	return stored
}

// publish records a change and wakes the watches. The caller holds mu.
func (store *store) publish(event storeEvent) {
	store.history = append(store.history, event)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body) // a call that broke off is not carried out
	time.Sleep(4 * time.Millisecond)    // as the sheet says
	path := strings.Split(strings.TrimPrefix(request.URL.Path, "/v1/objects/"), "/")
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && len(path) == 1 && query.Has("Watch"):
		store.watch(writer, request, path[0])
	case request.Method == http.MethodGet && len(path) == 1:
		store.list(writer, path[0], query.Get("after"))
	default:
		store.change(writer, request, path, body)
	}
}

func answer(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value) // fails if the caller has left
}

func (store *store) list(writer http.ResponseWriter, kind, after string) {
	store.mu.Lock()
	defer store.mu.Unlock()
	items := []object{}
	for name, stored := range store.kinds[kind] {
		if name > after {
			items = append(items, *stored)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(writer, http.StatusOK, map[string]any{"items": items, "HasMore": false, "CurrentRev": store.revision})
}

func (store *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseUint(request.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		store.mu.Lock()
		events, changed, revision := []map[string]any{}, store.changed, store.revision
		for _, event := range store.history {
			if event.kind == kind && event.revision > from {
				events = append(events, map[string]any{"Removed": event.removed, "Object": event.object})
			}
		}
		store.mu.Unlock()
		if len(events) > 0 || over {
			answer(writer, http.StatusOK, map[string]any{"Events": events, "CurrentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-request.Context().Done():
			return
		}
	}
}

// change carries out a call for one object.
func (store *store) change(writer http.ResponseWriter, request *http.Request, path []string, body []byte) {
	var sent object
	_ = json.Unmarshal(body, &sent) // calls without a body change nothing by it
	name := sent.Metadata.Name
	if len(path) > 1 {
		name = path[1]
	}
	expected := sent.Metadata.Revision
	if text := request.URL.Query().Get("Revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	known, ok := store.kinds[path[0]][name]
	switch {
	case request.Method == http.MethodPost && ok, ok && expected != 0 && expected != known.Metadata.Revision:
		answer(writer, http.StatusConflict, known)
	case request.Method == http.MethodPost:
		answer(writer, http.StatusCreated, store.write(path[0], name, sent.Spec, nil))
	case !ok:
		answer(writer, http.StatusNotFound, map[string]any{})
	case request.Method == http.MethodGet:
		answer(writer, http.StatusOK, known)
	case request.Method == http.MethodPut && len(path) > 2:
		answer(writer, http.StatusOK, store.write(path[0], name, known.Spec, sent.Status))
	case request.Method == http.MethodPut:
		answer(writer, http.StatusOK, store.write(path[0], name, sent.Spec, known.Status))
	case request.Method == http.MethodDelete:
		store.mu.Unlock()
		store.remove(path[0], name)
		store.mu.Lock()
		answer(writer, http.StatusOK, map[string]any{})
	default:
		answer(writer, http.StatusMethodNotAllowed, map[string]any{})
	}
}
