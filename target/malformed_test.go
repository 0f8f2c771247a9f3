package target

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against broken answers that reach callers: a target in trouble sends a head that no
// answer has. Like a reset, it says nothing of whether the request ran.
func TestMalformedHeadsAreBrokenAnswers(t *testing.T) {
	const (
		length  = "Content-Length: 4\r\n\r\nbody"
		chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
		event   = "Content-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: a\n\n"
		ok      = "HTTP/1.1 200 OK\r\n"
	)
	for _, test := range []struct {
		name, text string
		want       error
	}{
		{"status 000", "HTTP/1.1 000 OK\r\n" + length, ErrConnectionLost},
		{"status 000 without a reason", "HTTP/1.1 000\r\n" + length, ErrConnectionLost},
		{"status 000 in chunks", "HTTP/1.1 000 OK\r\n" + chunked, ErrConnectionLost},
		{"status 000 without length", "HTTP/1.1 000 OK\r\n\r\nbody", ErrConnectionLost},
		{"status 000 of a stream", "HTTP/1.1 000 OK\r\n" + event, ErrConnectionLost},
		{"status 000 after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + length, ErrConnectionLost},
		{"status 001", "HTTP/1.1 001 OK\r\n" + length, ErrConnectionLost},
		{"status 099", "HTTP/1.1 099 OK\r\n" + length, ErrConnectionLost},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", ErrConnectionLost},
		{"status 600", "HTTP/1.1 600 OK\r\n" + length, ErrConnectionLost},
		{"status 999", "HTTP/1.1 999 OK\r\n" + length, ErrConnectionLost},
		{"status of one digit", "HTTP/1.1 0 OK\r\n" + length, ErrConnectionLost},
		{"status of two digits", "HTTP/1.1 20 OK\r\n" + length, ErrConnectionLost},
		{"status of four digits", "HTTP/1.1 0200 OK\r\n" + length, ErrConnectionLost},
		{"negative status", "HTTP/1.1 -20 OK\r\n" + length, ErrConnectionLost},
		{"status with a letter", "HTTP/1.1 2x0 OK\r\n" + length, ErrConnectionLost},
		{"blank in a name", ok + "X-A B: b\r\n" + length, ErrConnectionLost},
		{"blank in a name of a failure", "HTTP/1.1 500 Any\r\nX-A B: b\r\n" + length, ErrConnectionLost},
		{"blank in a name of a stream", ok + "X-A B: b\r\n" + event, ErrConnectionLost},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX-A B: b\r\n\r\n" + ok + length, ErrConnectionLost},
		{"blank after a name", ok + "X-A : b\r\n" + length, ErrConnectionLost},
		{"blank after the name of the length", ok + "Content-Length : 4\r\n\r\nbody", ErrConnectionLost},
		{"blank after the name of the framing", ok + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ErrConnectionLost},
		{"blank in the name of a length before the length", ok + "Content Length: 9\r\n" + length, ErrConnectionLost},
		{"blank in the name of a length after the length", ok + "Content-Length: 4\r\nContent Length: 9\r\n\r\nbody", ErrConnectionLost},
		{"blank in a name before a folded value", ok + "X-A B: b\r\n c\r\n" + length, ErrConnectionLost},
		{"blank before the first name", ok + " X-A: b\r\n" + length, ErrConnectionLost},
		{"blank before a later name", ok + "X-A: b\r\n Content-Length: 9\r\n" + length, ErrConnectionLost},
		{"tab before a later name", ok + "X-A: b\r\n\tX-B: c\r\n" + length, ErrConnectionLost},
		{"folded value", ok + "X-A: b\r\n c\r\n" + length, ErrConnectionLost},
		{"blank alone as a name", ok + " : b\r\n" + length, ErrConnectionLost},
		{"tab in a name", ok + "X-A\tB: b\r\n" + length, ErrConnectionLost},
		{"tab after a name", ok + "X-A\t: b\r\n" + length, ErrConnectionLost},
		{"null byte in a name", ok + "X-A\x00B: b\r\n" + length, ErrConnectionLost},
		{"carriage return in a name", ok + "X-A\rB: b\r\n" + length, ErrConnectionLost},
		{"control byte after a name", ok + "X-A\x01: b\r\n" + length, ErrConnectionLost},
		{"delete byte in a name", ok + "X-A\x7fB: b\r\n" + length, ErrConnectionLost},
		{"blanks around a value", ok + "X-A: \tb : c \r\nX-B:d\r\n" + length, nil},
		{"lowest status", ok + length, nil},
		{"highest status", "HTTP/1.1 599 Any\r\n" + length, nil},
		{"interim answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + length, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := startUnframed(t, test.text)
			address := netip.MustParseAddrPort(server.listener.Addr().String())
			client := NewWithDialect(address, &streamDialect{nativeDialect{address: address.String()}})
			defer client.Close()
			call := Call{Method: http.MethodPost, Path: "/", RequestID: "r1", Deadline: time.Now().Add(10 * time.Second)}
			head, body, err := client.Forward(t.Context(), call, eventReceiver{})
			if !errors.Is(err, test.want) {
				t.Errorf("Forward: got status %d, %q, %v, want %v", head.Status, body, err, test.want)
			}
			if head, body, err = client.Do(t.Context(), call, nil); !errors.Is(err, test.want) {
				t.Errorf("Do: got status %d, %q, %v, want %v", head.Status, body, err, test.want)
			}
			if _, err := client.Stream(t.Context(), call, func(Event) error { return nil }); test.want != nil && !errors.Is(err, test.want) {
				t.Errorf("Stream: got %v, want %v", err, test.want)
			}
		})
	}
}

// Guards against answers of callers in the log, which gets the errors of attempts.
func TestErrorsDoNotQuoteBodies(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b\x01\r\nContent-Length: 6\r\n\r\nsecret",
		"HTTP/1.1 200 OK\r\nContent-Length: 6x\r\n\r\nsecret",
		"HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nsecret",
		"HTTX/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret",
		`{"a":"secret"}`,
	} {
		client := New(netip.MustParseAddrPort(startUnframed(t, text).listener.Addr().String()), nil)
		_, _, err := client.Do(t.Context(), Call{Path: "/", Deadline: time.Now().Add(10 * time.Second)}, nil)
		if err == nil || strings.Contains(err.Error(), "secret") {
			t.Errorf("got %v for %q, want an error that does not quote the body", err, text)
		}
	}
}
