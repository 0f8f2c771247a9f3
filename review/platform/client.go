package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// reply is what a client saw: status 0 means that the channel ended or that nothing came
// in time.
type reply struct {
	id       string
	status   int
	stamp    string
	body     string
	complete bool
	header   http.Header
}

var requestCount atomic.Int64

func newID() string { return fmt.Sprintf("r%06d", requestCount.Add(1)) }

// request is one client attempt.
type request struct {
	id, method, host, path, key string
	budget                      time.Duration
	headers                     map[string]string
	body                        []byte
}

func (q request) text() []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Bramleygw-Request-Id: %s\r\nX-Bramleygw-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		q.method, q.path, q.host, q.id, q.budget.Milliseconds(), q.key)
	for name, value := range q.headers {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
	}
	text.WriteString("\r\n")
	text.Write(q.body)
	return text.Bytes()
}

func hazard(key string) request {
	return request{id: newID(), method: http.MethodPost, host: "notes.example", path: "/hazard/check", key: key, budget: 2500 * time.Millisecond, body: []byte("report"),
		headers: map[string]string{"X-Bramleygw-Model": "m0", "X-Bramleygw-Token-Usage": "1800,3", "X-Bramleygw-Prompt-Prefix": fmt.Sprintf("5c1e07a%d:341,91bd3%03x:227,e44%06x:1232", rand.IntN(8), rand.IntN(592), rand.IntN(1<<24))}}
}

func summary(key string) request {
	q := hazard(key)
	q.path, q.budget = "/summary/round", 12*time.Second
	q.headers["X-Bramleygw-Token-Usage"] = "6610,55"
	return q
}

func signoff(key string) request {
	return request{id: newID(), method: http.MethodPost, host: "rounds.example", path: "/signoff/area", key: key, budget: time.Second, body: []byte("area cleaned")}
}

func rota(key, name string) request {
	return request{id: newID(), method: http.MethodGet, host: "rounds.example", path: "/rota/" + name, key: key, budget: time.Second}
}

// send sends a request on a new channel and returns what came back.
func send(r *record, front string, q request) reply {
	result := reply{id: q.id}
	r.line("client sends %s %s (%s) to %s", q.method, q.path, q.id, front)
	defer func() {
		r.line("client got %d for %s, stamp %q, complete %t, body %.80q", result.status, q.id, result.stamp, result.complete, result.body)
	}()
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return result
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.budget + 200*time.Millisecond))
	if _, err := conn.Write(q.text()); err != nil {
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return result
	}
	body, err := io.ReadAll(response.Body)
	result.status, result.stamp, result.body, result.complete = response.StatusCode, response.Header.Get("X-Bramleygw-Server-Stamp"), string(body), err == nil
	result.header = response.Header
	return result
}
