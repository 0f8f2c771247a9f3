// Package connection is an HTTP/1.1 client that owns exactly one connection.
//
// The HTTP client library pools connections by itself, retries by itself and
// sets one deadline for a whole answer. A Client confines it to one connection
// without retries, so that its owner can bound the silence between two reads,
// abort a read from another goroutine, and decide whether the connection may
// ever be used again.
//
// # Usage
//
//	client := connection.New(address, nil)
//	client.SetDeadline(time.Now().Add(time.Second))
//	err := client.Do(request, response)
//	...
//	client.Close()
package connection

import (
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// ErrDial marks errors from before any byte of the request was sent.
var ErrDial = errors.New("could not connect")

const (
	// dialTimeout is many round trips between availability zones, and short beside
	// what a caller waits for a first answer.
	dialTimeout    = 200 * time.Millisecond
	readBufferSize = 16 << 10 // bytes
	// A connection that lost its other end without a reset is given up after
	// silenceBeforeProbe and probes times probeInterval, whole seconds both.
	silenceBeforeProbe = time.Second
	probeInterval      = time.Second
	probes             = 2
	// unacknowledgedLimit is how long sent bytes may stay unacknowledged.
	unacknowledgedLimit = 2500 * time.Millisecond
)

// Dialer returns the dialer for connections to other processes. It notices
// within a few seconds that the other end is gone without a reset.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silenceBeforeProbe, Interval: probeInterval, Count: probes},
		Control:         limitUnacknowledged,
	}
}

func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// Client is one connection and the HTTP codec on top of it. Methods other
// than SetDeadline and Abort must not be called concurrently.
type Client struct {
	http fasthttp.HostClient
	conn *conn
	used bool
}

// New returns a client for the address; it connects at the first request. A
// nil tlsConfig means plain TCP.
func New(address netip.AddrPort, tlsConfig *tls.Config) *Client {
	client := &Client{conn: &conn{}}
	client.http = fasthttp.HostClient{
		Addr:                          address.String(),
		IsTLS:                         tlsConfig != nil,
		TLSConfig:                     tlsConfig,
		Dial:                          client.dial,
		MaxConns:                      1,
		MaxIdleConnDuration:           time.Hour, // the owner decides
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		StreamResponseBody:            true,
		MaxResponseBodySize:           readBufferSize, // larger bodies are streamed
		ReadBufferSize:                readBufferSize,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
	}
	return client
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

func (client *Client) dial(address string) (net.Conn, error) {
	if client.used {
		// The library found its connection closed and wants another one.
		return nil, errors.Mark(errors.New("connection was closed"), ErrDial)
	}
	inner, err := Dialer().Dial("tcp", address)
	if err != nil {
		return nil, errors.Mark(err, ErrDial)
	}
	client.used = true
	client.conn.open(inner)
	return client.conn, nil
}

// Used reports whether the client has connected already.
func (client *Client) Used() bool {
	return client.used
}

// Stale reports whether the idle connection must not be used again: the other
// end has closed it or has sent bytes that nobody asked for.
func (client *Client) Stale() bool {
	return client.used && !Quiet(client.conn.inner())
}

// SetDeadline bounds each read and write from now on; a zero time lifts the
// bound. It may be called while another goroutine reads.
func (client *Client) SetDeadline(deadline time.Time) {
	client.conn.setDeadline(deadline)
}

// Do sends the request and reads the head of the response; the body is
// streamed. Errors from before the first byte was sent are marked ErrDial.
func (client *Client) Do(request *fasthttp.Request, response *fasthttp.Response) error {
	response.StreamBody = true
	return client.http.Do(request, response)
}

// Abort breaks the connection; a pending read returns at once. It may be
// called from any goroutine.
func (client *Client) Abort() {
	client.conn.abort()
}

// Close breaks the connection and frees the codec.
func (client *Client) Close() {
	client.conn.abort()
	client.http.CloseIdleConnections()
}

// conn applies the owner's deadline before each read and write in place of
// the library's.
type conn struct {
	net.Conn
	mu       sync.Mutex // guards deadline, aborted and the setting of Conn
	deadline time.Time
	aborted  bool
}

func (conn *conn) open(inner net.Conn) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.Conn = inner
	if conn.aborted {
		_ = inner.Close()
		return
	}
	_ = inner.SetDeadline(conn.deadline)
}

func (conn *conn) inner() net.Conn {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.Conn
}

func (conn *conn) setDeadline(deadline time.Time) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.deadline = deadline
	if conn.Conn != nil {
		_ = conn.Conn.SetDeadline(deadline)
	}
}

// Write implements net.Conn. It fails after the deadline even when the process
// was paused across it.
func (conn *conn) Write(text []byte) (int, error) {
	conn.mu.Lock()
	deadline := conn.deadline
	conn.mu.Unlock()
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return conn.Conn.Write(text)
}

func (conn *conn) abort() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.aborted = true
	if conn.Conn != nil {
		_ = conn.Conn.Close()
	}
}

// SetDeadline ignores the library's deadline.
func (conn *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline ignores the library's deadline.
func (conn *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline ignores the library's deadline.
func (conn *conn) SetWriteDeadline(time.Time) error { return nil }
