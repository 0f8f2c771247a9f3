package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/bramleygw/bramleygw/event"
)

// Guards against a caller that waits, and whose connection is closed without an answer because
// its body is malformed.
func TestMalformedBodiesAreRefused(t *testing.T) {
	site := httptest.NewServer(&Server{Dialect: statusDialect{}, Relay: panickingRelay{}, Log: event.New(io.Discard, "vm", event.LevelInfo)})
	defer site.Close()
	for _, body := range []string{"x\r\nabc\r\n", "3\r\nabcdef\r\n", "3\nabc\n", "ffffffffffffffffff\r\n"} {
		conn, err := net.Dial("tcp", site.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"+body); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("%q: got %v, want an answer", body, err)
		} else if response.StatusCode != http.StatusBadRequest || !response.Close {
			t.Errorf("%q: got status %d, last on its connection %t, want %d", body, response.StatusCode, response.Close, http.StatusBadRequest)
		}
		_ = conn.Close() // it was answered
	}
}
