package target

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/buffer"
)

// Guards against LOST: a target that answers many requests at once with bytes without end
// fills the memory of the smallest VM, and the requests of all others end with the process.
func TestManyEndlessAnswersFitTheSmallestVM(t *testing.T) {
	const (
		calls     = 150
		vmMemory  = 112 << 20 // bytes
		heapLimit = vmMemory * 6 / 10
		budget    = vmMemory / 10
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(heapLimit))
	defer debug.SetGCPercent(debug.SetGCPercent(60))
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, test := range []struct{ name, start, repeated string }{
		{"body until the connection ends", ok + "\r\n", "a"},
		{"body with a length", ok + "Content-Length: 1000000000000\r\n\r\n", "a"},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "20\r\n" + fmt.Sprintf("%032d", 0) + "\r\n"},
		{"event without end", ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", "data: a\n"},
		{"header lines", ok, "X-A: a\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			buffers := buffer.NewBudget(budget)
			var group sync.WaitGroup
			for range calls {
				server := startFlood(t, test.start, test.repeated)
				address := netip.MustParseAddrPort(server.listener.Addr().String())
				client := NewWithDialect(address, &streamDialect{nativeDialect{address: address.String()}})
				group.Go(func() {
					defer client.Close()
					share := buffers.Share()
					defer share.Close()
					call := Call{Method: fasthttp.MethodGet, Path: "/", RequestID: "r", Deadline: time.Now().Add(20 * time.Second), Share: share}
					_, _, err := client.Forward(context.Background(), call, eventReceiver{})
					if err == nil {
						t.Error("got a complete answer, want an error")
					}
					if !errors.Is(err, ErrNotSent) { // connecting may take too long beside the load
						<-server.closed
					}
				})
			}
			ended := make(chan struct{})
			go func() { group.Wait(); close(ended) }()
			sound := startUnframed(t, ok+"Content-Length: 4\r\n\r\nbody")
			address := netip.MustParseAddrPort(sound.listener.Addr().String())
			client := NewWithDialect(address, &streamDialect{nativeDialect{address: address.String()}})
			defer client.Close()
			most := uint64(0)
			for running := true; running; {
				select {
				case <-ended:
					running = false
				default:
					call := Call{Method: http.MethodGet, Path: "/", RequestID: "s", Deadline: time.Now().Add(20 * time.Second), Share: buffers.Share()}
					_, body, err := client.Forward(context.Background(), call, eventReceiver{})
					if !errors.Is(err, ErrNotSent) && (err != nil || string(body) != "body") {
						t.Errorf("got %q and %v of a sound target, want its answer", body, err)
					}
					var memory runtime.MemStats
					runtime.ReadMemStats(&memory)
					most = max(most, memory.HeapAlloc)
				}
			}
			if most > heapLimit {
				t.Errorf("got a heap of %d MB, want at most %d", most>>20, heapLimit>>20)
			}
			if got := buffers.Usage(); got.Most > budget || got.Bytes != 0 {
				t.Errorf("got %+v, want at most %d bytes and none at the end", got, budget)
			}
		})
	}
}
