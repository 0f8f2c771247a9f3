package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against a process out of memory: each connection leaves a goroutine of the HTTP library
// behind, with all that it refers to, for an hour after it was closed.
func TestClosedClientsLeaveNothingBehind(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	for _, test := range []struct {
		name string
		open func() (net.Conn, error)
	}{
		{"answered", func() (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(far)) // it was written by the client
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}()
			return near, nil
		}},
		{"not connected", func() (net.Conn, error) { return nil, io.ErrClosedPipe }},
	} {
		t.Run(test.name, func(t *testing.T) {
			// The goroutines that are left when the function returns fail the test.
			synctest.Test(t, func(t *testing.T) {
				client := NewOver(address, test.open)
				request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				request.SetRequestURI("http://" + address.String() + "/")
				if err := client.Do(request, response); (err == nil) != (test.name == "answered") {
					t.Errorf("got error %v", err)
				}
				_ = response.CloseBodyStream() // it is empty
				client.Close()
				<-time.After(time.Minute)
			})
		})
	}
}
