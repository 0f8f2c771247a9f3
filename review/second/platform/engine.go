package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a model engine. It holds the parts of the prompts that it has
// read, each by its salt, its model and all parts before it, and who made them.
type engine struct {
	id       string
	address  string
	zone     string
	service  string
	model    string
	listener net.Listener
	fleet    *fleet

	mu    sync.Mutex // guards the fields below
	parts map[string]part
}

// part is a part of a prompt that an engine holds.
type part struct {
	tenant  string // whose request made it
	request string
}

// use is the use of a part by a request.
type use struct {
	request string
	tenant  string
	part    string
	made    part
	at      time.Time
}

func newEngine(fleet *fleet, id, zone string) *engine {
	listener := listen(freeHost(), 0)
	engine := &engine{id: id, address: listener.Addr().String(), zone: zone, service: fleet.service, model: fleet.model, listener: listener, fleet: fleet, parts: map[string]part{}}
	go func() { _ = (&http.Server{Handler: engine}).Serve(listener) }() // ends with the process
	go engine.register()
	return engine
}

// register writes the entry of the engine, again and again.
func (engine *engine) register() {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		engine.fleet.store.put("servers", engine.id, map[string]any{
			"Service": engine.service, "Address": engine.address, "Zone": engine.zone, "Version": "v1", "Slots": 32, "State": "ready",
			"ColdLeftMs": 0, "Stage": "unified", "Models": []any{map[string]any{"Name": engine.model, "Version": 1, "Adapters": []any{}}},
			"Sequence": sequence, "born": born,
		})
		time.Sleep(heartbeat)
	}
}

func (engine *engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body) // a request that broke off is not judged
	header := writer.Header()
	header.Set("X-Bramleygw-Server-Load", "1,0,32")
	header.Set("X-Bramleygw-Instance-Id", engine.id)
	if expected := request.Header.Get("X-Bramleygw-Expect-Instance"); expected != "" && expected != engine.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/health":
		return
	case "/v1/report":
		header.Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"Stage": "unified", "Models": []any{map[string]any{"Name": engine.model, "Version": 1, "Adapters": []any{}}},
			"Busy": false, "Sequence": 0, "QueueDepth": 0, "ActiveRequests": 0, "KvUsed": 0, "KvTotal": 232217, "Handles": 0,
		})
		return
	case "/v1/kv-events", "/v1/kv-list":
		header.Set("Content-Type", "application/json")
		_, _ = io.WriteString(writer, `{"BootEpoch":1,"NextToken":0,"Lost":false,"Events":[],"Held":[]}`)
		return
	}
	if version := request.Header.Get("X-Bramleygw-Expect-Version"); version != "" && version != "1" {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	engine.run(writer, request)
}

// run runs a request: it uses the parts that it or the engine to fetch from holds under
// the salt, reads the others, and answers with three events.
func (engine *engine) run(writer http.ResponseWriter, request *http.Request) {
	id, tenant, salt := request.Header.Get("X-Bramleygw-Request-Id"), request.Header.Get("X-Bramleygw-Tenant"), request.Header.Get("X-Bramleygw-Cache-Salt")
	engine.fleet.recordRun(id, engine.id)
	source := engine.fleet.engineAt(request.Header.Get("X-Bramleygw-Kv-Fetch-From"))
	key := salt + "|" + request.Header.Get("X-Bramleygw-Model")
	used, kept := 0, true
	parts := strings.Split(request.Header.Get("X-Bramleygw-Prompt-Prefix"), ",")
	for _, name := range parts {
		key += "|" + strings.TrimSpace(name)
		made, ok := engine.part(key)
		if !ok && source != nil && source != engine {
			made, ok = source.part(key)
		}
		kept = kept && ok // a part is found only if all before it are
		if !kept {
			made = part{tenant: tenant, request: id}
		} else {
			used++
			engine.fleet.recordUse(use{request: id, tenant: tenant, part: name, made: made, at: time.Now()})
		}
		engine.mu.Lock()
		engine.parts[key] = made
		engine.mu.Unlock()
	}
	engine.fleet.record("run     %s at %s for tenant %s, salt %q, %d of %d parts found kept", id, engine.id, tenant, salt, used, len(parts))
	header := writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Bramleygw-Request-Id", id)
	header.Set("X-Bramleygw-Server-Stamp", "3e1b.07.5a2.600.0."+id)
	header.Set("X-Bramleygw-Weight-Versions", "1")
	for event := 1; event <= 3; event++ {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(writer, "id: %d\ndata: token\n\n", event)
		_ = http.NewResponseController(writer).Flush() // fails if the caller has left
	}
}

func (engine *engine) part(key string) (part, bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	found, ok := engine.parts[key]
	return found, ok
}
