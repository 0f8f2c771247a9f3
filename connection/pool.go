package connection

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxIdle is the maximum number of idle connections of a pool.
const maxIdle = 16

// Pool reuses connections to one address for short calls. It is safe for concurrent
// use. It never retries a request.
type Pool struct {
	address netip.AddrPort
	open    func() (net.Conn, error) // nil for TCP connections to the address

	mu   sync.Mutex // guards idle
	idle []*Client
}

// NewPool returns a pool of plain TCP connections to the address.
func NewPool(address netip.AddrPort) *Pool {
	return &Pool{address: address}
}

// NewPoolOver returns a pool whose connections are made by open. Its calls set a Host header.
func NewPoolOver(open func() (net.Conn, error)) *Pool {
	return &Pool{open: open}
}

// Address returns the address that the pool connects to.
func (pool *Pool) Address() netip.AddrPort {
	return pool.address
}

// Close closes the idle connections; calls in flight continue.
func (pool *Pool) Close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, idle := range pool.idle {
		idle.Close()
	}
	pool.idle = nil
}

// Call sends one request, which fill prepares, and returns the status and the
// complete body of the response. Errors that occurred before the first byte was sent
// are marked ErrDial; after any other error the server may have executed the call.
func (pool *Pool) Call(ctx context.Context, deadline time.Time, fill func(*fasthttp.Request)) (int, []byte, error) {
	client := pool.acquire()
	client.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, client.Abort)
	defer stop()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetHost(pool.address.String())
	fill(request)
	if err := client.Do(request, response); err != nil {
		client.Close()
		return 0, nil, err
	}
	body, err := readBody(response)
	if err != nil || !stop() {
		client.Close()
		return response.StatusCode(), body, err
	}
	pool.release(client)
	return response.StatusCode(), body, nil
}

func readBody(response *fasthttp.Response) ([]byte, error) {
	if !response.IsBodyStream() {
		return append([]byte(nil), response.Body()...), nil
	}
	body, err := response.BodyUncompressed()
	if err != nil {
		return nil, err
	}
	body = append([]byte(nil), body...)
	return body, response.CloseBodyStream()
}

func (pool *Pool) acquire() *Client {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for len(pool.idle) > 0 {
		last := len(pool.idle) - 1
		client := pool.idle[last]
		pool.idle = pool.idle[:last]
		if !client.Stale() {
			return client
		}
		client.Close()
	}
	return NewOver(pool.address, pool.open)
}

func (pool *Pool) release(client *Client) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle) >= maxIdle {
		client.Close()
		return
	}
	pool.idle = append(pool.idle, client)
}
