package target

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// scriptedServer answers each request with the text that script returns for it.
type scriptedServer struct {
	listener net.Listener
	// script gets the number of the request on its connection, from 0, and its ID.
	script func(number int, id string) string

	mu          sync.Mutex // guards connections
	connections int
	closed      chan struct{} // receives an element for each connection that ended
}

func startScripted(t *testing.T, script func(number int, id string) string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", ephemeralPort.String())
	if err != nil {
		t.Fatal(err)
	}
	server := &scriptedServer{listener: listener, script: script, closed: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go server.run()
	return server
}

func (server *scriptedServer) run() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.mu.Lock()
		server.connections++
		server.mu.Unlock()
		go server.runConn(conn)
	}
}

func (server *scriptedServer) runConn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		_, _ = conn.Write([]byte(server.script(number, request.Header.Get(scriptedID)))) // fails if the caller has disconnected
	}
	_ = conn.Close()
	server.closed <- struct{}{}
}

const scriptedID = "X-Request-Id"

// answerText returns an answer to the request with the ID, which is echoed if echo is set.
func answerText(id string, echo bool, status int, fields string, padding int) string {
	if echo {
		fields += scriptedID + ": " + id + "\r\n"
	}
	body := "answer to " + id + strings.Repeat(" ", padding)
	return fmt.Sprintf("HTTP/1.1 %d Text\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// scriptedDialect sends and reads the ID of requests and how long connections are kept.
type scriptedDialect struct{}

func (scriptedDialect) Fill(request *fasthttp.Request, call *Call) {
	request.SetRequestURI(call.Path)
	request.Header.SetHost("a.example")
	request.Header.Set(scriptedID, call.RequestID)
}

func (scriptedDialect) Head(response *fasthttp.Response) Head {
	return Head{
		Status: response.StatusCode(), RequestID: string(response.Header.Peek(scriptedID)),
		KeepAliveUntil: ParseKeepAlive(string(response.Header.Peek("Keep-Alive")), time.Now()),
	}
}

// newScriptedClient returns a client that counts the connections that it opens by cause.
func newScriptedClient(t *testing.T, server *scriptedServer) (*Client, map[Cause]int) {
	t.Helper()
	client := NewWithDialect(server.listener.Addr().(*net.TCPAddr).AddrPort(), scriptedDialect{})
	t.Cleanup(client.Close)
	causes := map[Cause]int{}
	client.OnOpen = func(cause Cause) { causes[cause]++ }
	return client, causes
}

func scriptedCall(id string) Call {
	return Call{Method: http.MethodGet, Path: "/", RequestID: id, Deadline: time.Now().Add(20 * time.Second)}
}

// Guards against connections that are opened without need: a call that may not use an idle
// connection must leave it to other calls where targets pay for connections.
func TestConnectionsOpenedByCause(t *testing.T) {
	oldOnes := func(call *Call) { call.UsedSince = time.Now().Add(time.Hour) } // any idle connection is too old
	leaving := func(call *Call) { oldOnes(call); call.LeaveOlder = true }
	required := func(call *Call) { call.NewConnection = true }
	any := func(*Call) {}
	tests := []struct {
		name   string
		fields string // of the answers
		calls  []func(*Call)
		want   map[Cause]int
		idle   int // connections left
	}{
		{name: "reused", calls: []func(*Call){any, any, any}, want: map[Cause]int{CauseNoIdle: 1}, idle: 1},
		{name: "too old", calls: []func(*Call){any, oldOnes, oldOnes}, want: map[Cause]int{CauseNoIdle: 1, CauseIdleTooLong: 2}, idle: 1},
		{name: "too old for one call only", calls: []func(*Call){any, leaving, any, any}, want: map[Cause]int{CauseNoIdle: 1, CauseIdleTooLong: 1}, idle: 2},
		{name: "required", calls: []func(*Call){any, required, any}, want: map[Cause]int{CauseNoIdle: 1, CauseRequired: 1}, idle: 2},
		{name: "kept no longer", fields: "Keep-Alive: timeout=0\r\n", calls: []func(*Call){any, any}, want: map[Cause]int{CauseNoIdle: 1, CauseKeepAliveOver: 1}, idle: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := startScripted(t, func(_ int, id string) string { return answerText(id, true, http.StatusOK, test.fields, 0) })
			client, causes := newScriptedClient(t, server)
			for i, change := range test.calls {
				call := scriptedCall(fmt.Sprint("r", i))
				change(&call)
				if _, _, err := client.Do(context.Background(), call, nil); err != nil {
					t.Fatal(err)
				}
			}
			if !maps.Equal(causes, test.want) || len(client.idle) != test.idle {
				t.Errorf("got %v and %d idle, want %v and %d", causes, len(client.idle), test.want, test.idle)
			}
		})
	}
}

// Guards against idle connections that are held open for longer than the target keeps
// them, and against the others being closed with them.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	server := startScripted(t, func(_ int, id string) string {
		return answerText(id, true, http.StatusOK, "Keep-Alive: timeout="+strings.TrimPrefix(id, "r")+"\r\n", 0)
	})
	client, causes := newScriptedClient(t, server)
	for i, id := range []string{"r0", "r60"} {
		call := scriptedCall(id)
		call.NewConnection = i > 0
		if _, _, err := client.Do(context.Background(), call, nil); err != nil {
			t.Fatal(err)
		}
	}
	client.CloseExpired(time.Now())
	<-server.closed
	if _, _, err := client.Do(context.Background(), scriptedCall("r61"), nil); err != nil || len(server.closed) > 0 || causes[CauseNoIdle] != 1 {
		t.Errorf("got error %v and connections %v, want the one that is kept reused", err, causes)
	}
}

// Guards against a second copy of an answer, which a faulty target or proxy sends late,
// reaching the next caller of the connection, and against one being taken for the answer
// to the same request when it is sent again: its NotRun would let it run twice.
func TestSecondCopyOfAnAnswerReachesNoOther(t *testing.T) {
	const large = 64 << 10 // bytes, more than is buffered
	tests := []struct {
		name string
		// The answer to the request before the last is sent twice. echo, status and padding
		// are what it has.
		ids     []string
		echo    bool
		status  int
		padding int
		// early copies come with the answer, others with the next request.
		early bool
	}{
		{name: "with the next request", echo: true, ids: []string{"r0", "r1"}},
		{name: "with the answer", echo: true, ids: []string{"r0", "r1"}, early: true},
		{name: "with the answer, large", echo: true, ids: []string{"r0", "r1"}, early: true, padding: large},
		{name: "rejection of a request that is sent again", echo: true, status: http.StatusTooManyRequests, ids: []string{"r0", "r0"}},
		{name: "without the ID that others have", ids: []string{"r-1", "r0", "r1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			copied, sent := "", 0
			server := startScripted(t, func(number int, id string) string {
				switch sent++; {
				case sent == len(test.ids)-1: // the answer that is sent twice
					copied = answerText(id, test.echo, max(http.StatusOK, test.status), "", test.padding)
					if test.early {
						return copied + copied
					}
					return copied
				case sent == len(test.ids) && number > 0 && !test.early:
					return copied + answerText(id, true, http.StatusOK, "", 0)
				}
				return answerText(id, true, http.StatusOK, "", 0)
			})
			client, _ := newScriptedClient(t, server)
			for i, id := range test.ids {
				head, body, err := client.Do(context.Background(), scriptedCall(id), nil)
				if i < len(test.ids)-1 || errors.Is(err, ErrAnswerMismatch) {
					continue
				}
				if want := "answer to " + id; err != nil || string(body) != want || head.Status != http.StatusOK {
					t.Errorf("got status %d, body %.40q and error %v, want %q or none of another request", head.Status, body, err, want)
				}
			}
		})
	}
}
