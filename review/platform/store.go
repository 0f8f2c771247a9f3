package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata, object and change have the spelling of the pages.
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

type change struct {
	Object  object
	Removed bool
	kind    string
	rev     uint64
}

// store is a stand-in for the platform's store: linearizable, never down, no limits.
type store struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]*object
	history []change
	changed chan struct{}
	server  *http.Server
	address string
	// silent reports whether a watch goes silent for good as it begins: its channel stays
	// open, and nothing is answered. It may be nil. watcher is the address of the store by
	// which the machine reaches it.
	silent func(watcher, kind string) bool
}

// also opens the store at another address, so that one machine can be told from the others.
func (s *store) also(address string) error {
	listener, err := net.Listen("tcp", address)
	if err == nil {
		go func() { _ = s.server.Serve(listener) }()
	}
	return err
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{rev: 100, kinds: map[string]map[string]*object{}, changed: make(chan struct{}), address: address}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// record adds a change to the history and wakes the watches. The caller holds mu.
func (s *store) record(kind string, o object, removed bool) {
	s.history = append(s.history, change{Object: o, Removed: removed, kind: kind, rev: s.rev})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put is a write of the operator or of an engine. The answer is the confirmation.
func (s *store) put(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	s.rev++
	o := s.kinds[kind][name]
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreateRevision: s.rev, Finalizers: []string{}}}
		s.kinds[kind][name] = o
	}
	o.Metadata.Revision, o.Spec = s.rev, text
	s.record(kind, *o, false)
	return s.rev
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		return
	}
	delete(s.kinds[kind], name)
	s.rev++
	// The object's Revision is that of its last change.
	s.record(kind, *o, true)
}

// get returns the spec of an object, nil if there is none.
func (s *store) get(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.kinds[kind][name]; o != nil {
		return o.Spec
	}
	return nil
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	time.Sleep(4 * time.Millisecond)
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	default:
		s.call(w, r, kind, name, len(parts) > 2 && parts[2] == "status")
	}
}

const pageSize = 500

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	after := r.URL.Query().Get("after")
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	if more {
		names = names[:pageSize]
	}
	items := []object{}
	for _, name := range names {
		items = append(items, *s.kinds[kind][name])
	}
	rev := s.rev
	s.mu.Unlock()
	answerJSON(w, 200, map[string]any{"items": items, "HasMore": more, "CurrentRev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	if s.silent != nil && s.silent(r.Host, kind) {
		time.Sleep(time.Minute)
		return
	}
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.rev > from {
				events = append(events, c)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answerJSON(w, 200, map[string]any{"Events": events, "CurrentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-until:
			answerJSON(w, 200, map[string]any{"Events": events, "CurrentRev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) call(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			answerJSON(w, 400, map[string]string{"error": err.Error()})
			return
		}
	}
	if name == "" {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	o := s.kinds[kind][name]
	wanted := body.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		wanted, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && o != nil:
		answerJSON(w, 409, o)
	case r.Method == http.MethodPost:
		s.rev++
		o = &object{Metadata: metadata{Name: name, Revision: s.rev, CreateRevision: s.rev, Finalizers: []string{}}, Spec: body.Spec}
		s.kinds[kind][name] = o
		s.record(kind, *o, false)
		answerJSON(w, 201, o)
	case o == nil:
		answerJSON(w, 404, map[string]string{})
	case r.Method == http.MethodGet:
		answerJSON(w, 200, o)
	case wanted != 0 && wanted != o.Metadata.Revision:
		answerJSON(w, 409, o)
	case r.Method == http.MethodPut && status:
		s.rev++
		o.Metadata.Revision, o.Status = s.rev, body.Status
		s.record(kind, *o, false)
		answerJSON(w, 200, o)
	case r.Method == http.MethodPut:
		if string(o.Spec) != string(body.Spec) {
			s.rev++
			o.Metadata.Revision, o.Spec = s.rev, body.Spec
			s.record(kind, *o, false)
		}
		answerJSON(w, 200, o)
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.rev++
		s.record(kind, *o, true)
		answerJSON(w, 200, o)
	default:
		answerJSON(w, 405, map[string]string{})
	}
}
