package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// floodServer sends a text once and then another one without end, until the caller
// closes the connection.
type floodServer struct {
	listener net.Listener
	start    string
	repeated string
	closed   chan struct{} // closed when a caller has closed its connection
}

func startFlood(t *testing.T, start, repeated string) *floodServer {
	t.Helper()
	listener, err := net.Listen("tcp", ephemeralPort.String())
	if err != nil {
		t.Fatal(err)
	}
	server := &floodServer{listener: listener, start: start, repeated: strings.Repeat(repeated, 1+4096/len(repeated)), closed: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go server.run()
	return server
}

func (server *floodServer) run() {
	conn, err := server.listener.Accept()
	if err != nil {
		return
	}
	defer close(server.closed)
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil || request.Body.Close() != nil {
		return
	}
	_, err = conn.Write([]byte(server.start))
	for err == nil {
		_, err = conn.Write([]byte(server.repeated))
	}
}

// eventReceiver discards an answer.
type eventReceiver struct{}

func (eventReceiver) Head(Head) error    { return nil }
func (eventReceiver) Event([]byte) error { return nil }

// streamDialect treats event streams as the dialects of users' platforms do.
type streamDialect struct{ nativeDialect }

func (dialect *streamDialect) Head(response *fasthttp.Response) Head {
	head := dialect.nativeDialect.Head(response)
	head.Stream = strings.HasPrefix(head.ContentType, "text/event-stream")
	return head
}

// maxFloodMemory bounds what one answer may allocate in all: buffers that grow up to
// the longest answer that is buffered.
const maxFloodMemory = 8 * maxBufferedAnswer

// Guards against a target that sends bytes without end: they must not fill the memory
// or hold the request, and the connection must be closed.
func TestEndlessBytesEndTheCall(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const stream = ok + "Content-Type: text/event-stream\r\n"
	for _, test := range []struct {
		name, start, repeated string
	}{
		{"bytes that are no answer", "", "zzzz"},
		{"blank lines", "", "\r\n"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header value", ok + "X-A: ", "a"},
		{"header lines", ok, "X-A: a\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body until the connection ends", ok + "\r\n", "a"},
		{"body with a length", ok + "Content-Length: 1000000000000\r\n\r\n", "a"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "20\r\n" + strings.Repeat("a", 32) + "\r\n"},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n4;", "a"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "a"},
		{"trailer lines", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: a\r\n"},
		{"stream without event ends", stream + "\r\n", "data: a\n"},
		{"stream of one line", stream + "Transfer-Encoding: chunked\r\n\r\n", "8\r\naaaaaaaa\r\n"},
		{"stream after an event", stream + "\r\nid: 1\ndata: a\n\n", "a"},
	} {
		for name, call := range map[string]func(*Client, Call) error{
			"forward": func(client *Client, call Call) error {
				_, _, err := client.Forward(t.Context(), call, eventReceiver{})
				return err
			},
			"do": func(client *Client, call Call) error {
				_, _, err := client.Do(t.Context(), call, nil)
				return err
			},
		} {
			t.Run(test.name+"/"+name, func(t *testing.T) {
				server := startFlood(t, test.start, test.repeated)
				address := netip.MustParseAddrPort(server.listener.Addr().String())
				client := NewWithDialect(address, &streamDialect{nativeDialect{address: address.String()}})
				defer client.Close()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := call(client, Call{Method: fasthttp.MethodGet, Path: "/", RequestID: "r", Deadline: time.Now().Add(20 * time.Second)})
				runtime.ReadMemStats(&after)
				if err == nil {
					t.Error("got a complete answer, want an error")
				}
				if errors.Is(err, ErrTimeout) {
					t.Errorf("got error %v, want the call ended before its deadline", err)
				}
				if got := after.TotalAlloc - before.TotalAlloc; got > maxFloodMemory {
					t.Errorf("got %d bytes allocated, want at most %d", got, maxFloodMemory)
				}
				<-server.closed
			})
		}
	}
}

// partsReader returns one byte at a time.
type partsReader struct{ text string }

func (reader *partsReader) Read(buffer []byte) (int, error) {
	if reader.text == "" {
		return 0, io.EOF
	}
	count := copy(buffer, reader.text[:1])
	reader.text = reader.text[1:]
	return count, nil
}

// eventCollector collects events.
type eventCollector struct {
	eventReceiver
	events []string
}

func (collector *eventCollector) Event(event []byte) error {
	collector.events = append(collector.events, string(event))
	return nil
}

// Guards against an end of an event that is missed because it arrives in parts.
func TestEventEndsThatArriveInParts(t *testing.T) {
	want := []string{"data: a\n\n", "data: b\r\n\r\n", "data: c\r\r", "\n\n", "data: d\r\n\r\n"}
	collector := &eventCollector{}
	if err := forwardEvents(&partsReader{strings.Join(want, "")}, collector, nil); err != nil {
		t.Fatal(err)
	}
	if got := collector.events; !slices.Equal(got, want) {
		t.Errorf("got events %q, want %q", got, want)
	}
}
