package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for one engine. It serves one request at a time on a channel.
type engine struct {
	d       *deployment
	service string
	address string
	zone    string
	model   bool // it serves the model m0
	// extraLate reports whether a second copy of this answer is sent late, at the point
	// where the next answer is expected on the channel.
	extraLate func() bool
	// crashes reports whether a request crashes the engine that begins to run it.
	crashes func(r *http.Request) bool
	backIn  time.Duration // after a crash
	sameID  bool          // it starts again under the ID that it had
	// onOrder may take an order over: the engine sends no answer then and carries the
	// order out when it likes.
	onOrder func(e *engine, body []byte) bool
	// onRun is called when a request begins to run.
	onRun func(e *engine, r *http.Request)

	mu       sync.Mutex
	id       string
	born     int64
	beats    int
	version  uint64 // of the weights of m0
	sequence uint64
	fence    uint64
	busy     bool
	running  int
	slots    int
	down     bool
	leaving  bool
	hangs    float64 // the part of the requests that get no answer though they run
	listener net.Listener
	conns    map[net.Conn]bool
}

func (e *engine) start() error {
	listener, err := listen(e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	if !e.sameID || e.id == "" {
		e.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	e.born, e.sequence, e.fence, e.busy, e.running, e.down, e.hangs = time.Now().UnixMilli(), 0, 0, false, 0, false, 0
	e.listener, e.conns = listener, map[net.Conn]bool{}
	id, born := e.id, e.born
	e.mu.Unlock()
	e.d.record.line("engine %s of %s starts at %s", id, e.service, e.address)
	e.beat()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			if e.down || e.born != born {
				e.mu.Unlock()
				_ = conn.Close()
				return
			}
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return nil
}

// leave removes the engine's entry: it never reports that it drains. It serves for some
// more time and then exits.
func (e *engine) leave(serves time.Duration) {
	e.mu.Lock()
	id := e.id
	e.leaving = true
	e.mu.Unlock()
	e.d.store.remove("servers", id)
	e.d.record.line("the entry of engine %s is removed; it serves for another %s", id, serves)
	time.AfterFunc(serves, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.down = true
		_ = e.listener.Close()
		for conn := range e.conns {
			_ = conn.Close()
		}
		e.d.record.line("engine %s exits", id)
	})
}

// beat writes the engine's entry: at its start, and when more than Sequence changes.
func (e *engine) beat() {
	e.mu.Lock()
	e.beats++
	entry := map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": e.slots, "State": "ready", "ColdLeftMs": 0, "Stage": "unified",
		"Models": []any{}, "Sequence": e.beats, "born": e.born,
	}
	if e.model {
		entry["Models"] = []any{map[string]any{"Name": "m0", "Version": e.version, "Adapters": []any{}}}
	}
	id := e.id
	e.mu.Unlock()
	e.d.store.put("servers", id, entry)
}

// crash ends the engine: its listener and all its channels are gone. It is back after
// some time.
func (e *engine) crash(why string) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	id, sameID := e.id, e.sameID
	_ = e.listener.Close()
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.d.record.line("engine %s CRASHES: %s", id, why)
	time.AfterFunc(e.backIn, func() {
		if !sameID {
			e.d.store.remove("servers", id)
		}
		if err := e.start(); err != nil {
			e.d.record.line("engine %s: %v", id, err)
		}
	})
}

func (e *engine) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := conn.Write(late); err != nil {
				return
			}
			e.d.record.line("engine %s: the second copy of the answer before arrives late, on the channel where %s %s (%s) was just sent", e.id, r.Method, r.URL.Path, r.Header.Get("X-Bramleygw-Request-Id"))
			late = nil
		}
		answer, ok := e.answer(conn, r, body)
		if !ok {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if e.extraLate != nil && e.extraLate() {
			late = answer
			e.d.record.line("engine %s: will send a second copy of its answer to %s %s (id %q)", e.id, r.Method, r.URL.Path, r.Header.Get("X-Bramleygw-Request-Id"))
		}
	}
}

func message(status int, headers map[string]string, body []byte) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range headers {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", len(body))
	text.Write(body)
	return text.Bytes()
}

// answer runs a request and returns the bytes of the answer; false if the channel ends.
func (e *engine) answer(conn net.Conn, r *http.Request, body []byte) ([]byte, bool) {
	requestID := r.Header.Get("X-Bramleygw-Request-Id")
	headers := map[string]string{}
	if requestID != "" {
		headers["X-Bramleygw-Request-Id"] = requestID
	}
	e.mu.Lock()
	id, version := e.id, e.version
	e.mu.Unlock()
	if expected := r.Header.Get("X-Bramleygw-Expect-Instance"); expected != "" && expected != id {
		headers["X-Bramleygw-Instance-Id"] = id
		return message(421, headers, nil), true
	}
	switch {
	case r.URL.Path == "/health":
		headers["X-Bramleygw-Instance-Id"] = id
		return message(200, headers, nil), true
	case r.URL.Path == "/v1/report":
		headers["Content-Type"] = "application/json"
		return message(200, headers, e.report()), true
	case r.URL.Path == "/v1/order":
		if e.onOrder != nil && e.onOrder(e, body) {
			time.Sleep(20 * time.Second) // no answer
			return nil, false
		}
		return message(e.order(body, ""), headers, nil), true
	case requestID == "":
		headers["X-Bramleygw-Not-Run"] = "1"
		return message(400, headers, nil), true
	}
	if expected := r.Header.Get("X-Bramleygw-Expect-Version"); expected != "" && expected != strconv.FormatUint(version, 10) {
		headers["X-Bramleygw-Instance-Id"] = id
		return message(421, headers, nil), true
	}
	return e.run(conn, r, headers)
}

func (e *engine) run(conn net.Conn, r *http.Request, headers map[string]string) ([]byte, bool) {
	requestID := r.Header.Get("X-Bramleygw-Request-Id")
	e.mu.Lock()
	if e.running >= e.slots {
		e.mu.Unlock()
		headers["X-Bramleygw-Not-Run"] = "1"
		return message(503, headers, nil), true
	}
	e.running++
	running, version := e.running, e.version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.d.record.line("engine %s runs %s %s (%s)", e.id, r.Method, r.URL.Path, requestID)
	if e.onRun != nil {
		e.onRun(e, r)
	}
	if e.crashes != nil && e.crashes(r) {
		e.crash("it began to run " + requestID)
		return nil, false
	}
	time.Sleep(15 * time.Millisecond)
	e.mu.Lock()
	hangs, down, born := rand.Float64() < e.hangs, e.down, e.born
	e.mu.Unlock()
	for hangs && !down { // until the engine is down
		time.Sleep(10 * time.Millisecond)
		e.mu.Lock()
		down = e.down || e.born != born
		e.mu.Unlock()
	}
	if down {
		return nil, false
	}
	headers["X-Bramleygw-Server-Stamp"] = stamp(requestID)
	headers["X-Bramleygw-Server-Load"] = fmt.Sprintf("%d,0,%d", running, e.slots)
	if !e.model {
		return message(200, headers, []byte("done "+requestID)), true
	}
	headers["X-Bramleygw-Weight-Versions"] = strconv.FormatUint(version, 10)
	headers["Content-Type"] = "text/event-stream"
	var events strings.Builder
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= 3; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: %s part %d\n\n", i, requestID, i)
	}
	return message(200, headers, []byte(events.String())), true
}

func stamp(requestID string) string { return "stamp." + requestID }

func (e *engine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	text, _ := json.Marshal(map[string]any{
		"Stage": "unified", "Models": []any{map[string]any{"Name": "m0", "Version": e.version, "Adapters": []any{}}}, "Busy": e.busy, "Sequence": e.sequence,
		"QueueDepth": 0, "ActiveRequests": e.running, "KvUsed": 41000, "KvTotal": 232217, "Handles": 0, "born": e.born,
	})
	return text
}

type order struct {
	OpType, Model, SwapMode, Holder string
	Version, FenceToken             uint64
	Expected                        *uint64
}

// order accepts or rejects an order as the pages say, and returns the status.
func (e *engine) order(body []byte, how string) int {
	var o order
	if json.Unmarshal(body, &o) != nil || o.OpType != "Version" || o.Holder == "" || o.FenceToken == 0 {
		return 400
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := 202
	switch {
	case e.down:
		return 0
	case o.FenceToken < e.fence:
		status = 412
	case o.Expected != nil && *o.Expected != e.sequence, e.busy:
		status = 409
	case o.Version == e.version:
		status = 200
	}
	e.fence = max(e.fence, o.FenceToken)
	expected := "none"
	if o.Expected != nil {
		expected = strconv.FormatUint(*o.Expected, 10)
	}
	e.d.record.line("engine %s: order of %s, token %d: version %d, Expected %s%s -> %d (it had version %d, Sequence %d)", e.id, o.Holder, o.FenceToken, o.Version, expected, how, status, e.version, e.sequence)
	if status != 202 {
		return status
	}
	e.sequence++
	e.busy = true
	born := e.born
	time.AfterFunc(210*time.Millisecond, func() {
		e.mu.Lock()
		alive := !e.down && e.born == born
		if alive {
			e.version, e.busy = o.Version, false
			e.d.record.line("engine %s has version %d", e.id, o.Version)
		}
		e.mu.Unlock()
		if alive {
			e.beat()
		}
	})
	return status
}
