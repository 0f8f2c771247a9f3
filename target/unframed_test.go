package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// unframedServer answers each request on each connection with a text that has neither a
// length nor chunks, and then closes the connection.
type unframedServer struct {
	listener net.Listener
	text     string

	mu       sync.Mutex // guards requests
	requests int
}

func startUnframed(t *testing.T, text string) *unframedServer {
	t.Helper()
	listener, err := net.Listen("tcp", ephemeralPort.String())
	if err != nil {
		t.Fatal(err)
	}
	server := &unframedServer{listener: listener, text: text}
	t.Cleanup(func() { _ = listener.Close() })
	go server.run()
	return server
}

func (server *unframedServer) run() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil && request.Body.Close() == nil {
			server.mu.Lock()
			server.requests++
			server.mu.Unlock()
			_, _ = conn.Write([]byte(server.text)) // fails if the caller has disconnected
		}
		_ = conn.Close()
	}
}

// streamHead is the head of an unframed stream.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// Guards against targets whose end is not noticed: an answer without length ends with
// its connection, and a stream that ends within an event has been broken off, as has a
// success that ends after its head.
func TestUnframedAnswers(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       error
	}{
		{"stream", streamHead + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", nil},
		{"stream ends within an event", streamHead + "id: 1\ndata: a\n\nid: 2\nda", ErrConnectionLost},
		{"stream ends within its first event", streamHead + "id: 1\nda", ErrConnectionLost},
		{"body", "HTTP/1.1 200 OK\r\n\r\nthe whole body", nil},
		{"head alone", "HTTP/1.1 200 OK\r\n\r\n", ErrConnectionLost},
		{"head alone of a stream", streamHead, ErrConnectionLost},
		{"no content", "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", nil},
		{"empty failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", nil},
		{"empty body of an older protocol", "HTTP/1.0 200 OK\r\n\r\n", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := startUnframed(t, test.text)
			address := netip.MustParseAddrPort(server.listener.Addr().String())
			client := NewWithDialect(address, &streamDialect{nativeDialect{address: address.String()}})
			defer client.Close()
			for range 3 {
				call := Call{Method: http.MethodPost, Path: "/", RequestID: "r1", Deadline: time.Now().Add(10 * time.Second)}
				_, _, err := client.Forward(context.Background(), call, eventReceiver{})
				if test.want == nil && err != nil || !errors.Is(err, test.want) {
					t.Errorf("got %v, want %v", err, test.want)
				}
			}
			if server.requests != 3 {
				t.Errorf("got %d requests, want 3: the connection of an unframed answer ends with it", server.requests)
			}
		})
	}
}
