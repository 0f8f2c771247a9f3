package target

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const scriptedID = "X-Request-Id"

// scriptedDialect sends and reads the ID of requests and how long connections are kept.
type scriptedDialect struct{}

func (scriptedDialect) Fill(request *fasthttp.Request, call *Call) {
	request.SetRequestURI("http://a.example/")
	request.Header.Set(scriptedID, call.RequestID)
}

func (scriptedDialect) Head(response *fasthttp.Response) Head {
	return Head{
		Status: response.StatusCode(), RequestID: string(response.Header.Peek(scriptedID)),
		KeepAliveUntil: ParseKeepAlive(string(response.Header.Peek("Keep-Alive")), time.Now()),
	}
}

// scriptedClient sends requests to a server that answers each with the text that script
// returns for its number on its connection, from 0, and its ID. It counts the connections
// that are opened by cause.
type scriptedClient struct {
	*Client
	causes map[Cause]int
	script func(number int, id string) string
}

func newScripted(t *testing.T, script func(number int, id string) string) *scriptedClient {
	t.Helper()
	listener, err := net.Listen("tcp", ephemeralPort.String())
	if err != nil {
		t.Fatal(err)
	}
	client := &scriptedClient{causes: map[Cause]int{}, script: script}
	client.Client = NewWithDialect(listener.Addr().(*net.TCPAddr).AddrPort(), scriptedDialect{})
	client.OnOpen = func(cause Cause) { client.causes[cause]++ }
	t.Cleanup(func() { client.Close(); _ = listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go client.runServer(conn)
		}
	}()
	return client
}

func (client *scriptedClient) runServer(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, number := bufio.NewReader(conn), 0
	for request, err := http.ReadRequest(reader); err == nil; request, err = http.ReadRequest(reader) {
		_, _ = conn.Write([]byte(client.script(number, request.Header.Get(scriptedID)))) // fails if the caller has disconnected
		number++
	}
}

func (client *scriptedClient) call(id string, change func(*Call)) (Head, []byte, error) {
	call := Call{RequestID: id, Deadline: time.Now().Add(20 * time.Second)}
	change(&call)
	return client.Do(context.Background(), call, nil)
}

// answerText returns an answer to the request with the ID, which is echoed if echo is set.
func answerText(id string, echo bool, status int, fields string, padding int) string {
	if echo {
		fields += scriptedID + ": " + id + "\r\n"
	}
	body := "answer to " + id + strings.Repeat(" ", padding)
	return fmt.Sprintf("HTTP/1.1 %d Text\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

func unchanged(*Call) {}

// Guards against connections that are opened without need: a call that may not use an idle
// connection must leave it to other calls where targets pay for connections. Guards too
// against idle connections that are held open for longer than the target keeps them.
func TestConnectionsOpenedByCause(t *testing.T) {
	oldOnes := func(call *Call) { call.UsedSince = time.Now().Add(time.Hour) } // any idle connection is too old
	leaving := func(call *Call) { oldOnes(call); call.LeaveOlder = true }
	required := func(call *Call) { call.NewConnection = true }
	tests := []struct {
		name   string
		fields string // of the answers
		calls  []func(*Call)
		want   map[Cause]int
		idle   int // connections left after those that expired were closed
	}{
		{name: "reused", calls: []func(*Call){unchanged, unchanged, unchanged}, want: map[Cause]int{CauseNoIdle: 1}, idle: 1},
		{name: "too old", calls: []func(*Call){unchanged, oldOnes, oldOnes}, want: map[Cause]int{CauseNoIdle: 1, CauseIdleTooLong: 2}, idle: 1},
		{name: "too old for one call only", calls: []func(*Call){unchanged, leaving, unchanged, unchanged}, want: map[Cause]int{CauseNoIdle: 1, CauseIdleTooLong: 1}, idle: 2},
		{name: "required", calls: []func(*Call){unchanged, required, unchanged}, want: map[Cause]int{CauseNoIdle: 1, CauseRequired: 1}, idle: 2},
		{name: "kept no longer", fields: "Keep-Alive: timeout=0\r\n", calls: []func(*Call){unchanged, unchanged}, want: map[Cause]int{CauseNoIdle: 1, CauseKeepAliveOver: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := newScripted(t, func(_ int, id string) string { return answerText(id, true, http.StatusOK, test.fields, 0) })
			for i, change := range test.calls {
				if _, _, err := client.call(fmt.Sprint("r", i), change); err != nil {
					t.Fatal(err)
				}
			}
			client.CloseExpired(time.Now())
			if !maps.Equal(client.causes, test.want) || len(client.idle) != test.idle {
				t.Errorf("got %v and %d idle, want %v and %d", client.causes, len(client.idle), test.want, test.idle)
			}
		})
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
		{name: "without an ID, the first of its target", ids: []string{"r0", "r1"}},
		{name: "of a report or an order, which have no ID", ids: []string{"", "r0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			copied, sent := "", 0
			client := newScripted(t, func(number int, id string) string {
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
			for i, id := range test.ids {
				observed := false
				head, body, err := client.call(id, func(call *Call) { call.OnHead = func(Head) { observed = true } })
				mismatch := errors.Is(err, ErrAnswerMismatch)
				if observed == mismatch {
					t.Errorf("got head observed %t and error %v, want the heads of answers to the call alone", observed, err)
				}
				if i < len(test.ids)-1 || mismatch {
					continue
				}
				if want := "answer to " + id; err != nil || string(body) != want || head.Status != http.StatusOK {
					t.Errorf("got status %d, body %.40q and error %v, want %q or none of another request", head.Status, body, err, want)
				}
			}
		})
	}
}

// Guards against a request that runs twice, or whose caller is told that it has not run: a
// faulty target writes an earlier rejection of it once more when it is sent again on the
// same connection, after answers to other requests.
func TestEarlierRejectionAnswersNoLaterTry(t *testing.T) {
	for _, between := range []int{0, 1, 5, 200} {
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError} {
			t.Run(fmt.Sprint("status ", status, ", answers between ", between), func(t *testing.T) {
				rejection := answerText("r", true, status, "", 0)
				sent, first := 0, true // whether the answers are on the connection of the rejection
				client := newScripted(t, func(number int, id string) string {
					sent++
					first = first && (number > 0 || sent == 1)
					switch last := between + 2; {
					case sent == 1:
						return rejection
					case sent == last && first:
						return rejection + answerText(id, true, http.StatusOK, "", 0)
					case sent%2 == 0 && sent < last:
						return answerText(id, true, status, "", 0) // others are rejected too
					}
					return answerText(id, true, http.StatusOK, "", 0)
				})
				if head, _, err := client.call("r", unchanged); err != nil || head.Status != status {
					t.Fatalf("got status %d and %v, want %d", head.Status, err, status)
				}
				for i := range between {
					if _, _, err := client.call(fmt.Sprint("other-", i), unchanged); err != nil {
						t.Fatal(err)
					}
				}
				if head, _, err := client.call("r", unchanged); err != nil || head.Status != http.StatusOK {
					t.Errorf("got status %d and %v for the request sent again, want its own answer", head.Status, err)
				}
				if opened := client.causes[CauseNoIdle] + client.causes[CauseSameRequest]; opened > 2+between/maxRejections {
					t.Errorf("got %d connections opened, want 2 and one for every %d rejections", opened, maxRejections)
				}
			})
		}
	}
}
