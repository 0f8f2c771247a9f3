package connection

import (
	"bufio"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// headLength returns the length of the head that a text begins with, with its interim answers,
// if the text arrives in parts of the given size; 0 if it is incomplete.
func headLength(text string, size int) (int, error) {
	var headCheck headCheck
	for at := 0; at < len(text); at += size {
		end := min(at+size, len(text))
		if err := headCheck.observe([]byte(text[at:end])); err != nil {
			return 0, err
		}
		if headCheck.done {
			return end, nil
		}
	}
	return 0, nil
}

// Guards against answers whose heads the check and the library tell apart differently, so that
// a part of a head is not checked.
func FuzzHeadsEndWhereTheLibraryEndsThem(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\nbody",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 000 OK\r\n\r\n",
		"HTTP/1.1 100\r\nX-A: b\r\n\r\n\r\nHTTP/1.1 204\r\n\r\n",
		"\r\n\nHTTP/1.0 200 OK\nX-A: b\n\nbody\r\n\r\n",
		"HTTP/1.1  000 OK\r\nX-A: b\r\n c: d\r\n\r\n",
		"HTTP/1.1 200 OK\n\nbody\r\n\r\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		got, err := headLength(text, 1)
		_, wholeErr := headLength(text, max(1, len(text)))
		if (err == nil) != (wholeErr == nil) {
			t.Errorf("got %v in single bytes and %v at once for %q, want the same", err, wholeErr, text)
		}
		reader := bufio.NewReaderSize(strings.NewReader(text), readBufferSize)
		response := fasthttp.Response{SkipBody: true}
		if err != nil || response.Read(reader) != nil {
			return
		}
		rest := make([]byte, len(text))
		unread, _ := reader.Read(rest) // at its end nothing is unread
		if want := len(text) - unread; got != want {
			t.Errorf("got a head of %d bytes, want %d as the library does: %q", got, want, text)
		}
	})
}
