// Package connection provides an HTTP/1.1 client that owns exactly one connection.
//
// The HTTP client library pools connections, retries requests and sets one deadline
// for a complete response. A Client restricts the library to one connection without
// retries, so that the owner of the Client can limit the time between two reads,
// abort a read from another goroutine, and decide whether the connection may be
// reused. It also rejects answers with malformed heads that the library accepts.
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

// ErrDial marks errors that occurred before any byte of the request was sent.
var ErrDial = errors.New("could not connect")

// ErrWithheld marks the error by which OnSend kept a request from being sent.
var ErrWithheld = errors.New("the request was withheld")

const (
	// dialTimeout is many times the round-trip time between availability zones, and
	// short compared to the time that a caller waits for a first answer.
	dialTimeout    = 200 * time.Millisecond
	readBufferSize = 16 << 10 // bytes
	// maxIdleTime is the longest time for which a connection is kept idle. A goroutine of the
	// library outlives each connection by up to that time.
	maxIdleTime = 10 * time.Second
	// A connection whose peer disappears without a reset fails after keepAliveIdle
	// plus keepAliveProbes times keepAliveInterval. Both durations must be whole
	// seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// ackTimeout is how long sent data may remain unacknowledged.
	ackTimeout = 2500 * time.Millisecond
)

// Dialer returns the dialer for connections to other processes. Its connections
// fail within a few seconds if the peer disappears without a reset.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setAckTimeout,
	}
}

func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optionErr)
}

// Client is one connection with an HTTP codec. Methods other than SetDeadline and
// Abort must not be called concurrently.
type Client struct {
	// OnData, if set, is called after each read that returned data. It is set before
	// Do.
	OnData func()
	// OnSend, if set, is called when the connection is open, before the first byte of a
	// request is sent. If it returns an error, nothing is sent. It is set before Do.
	OnSend func() error

	http fasthttp.HostClient
	conn *conn
	used bool
	tls  *tls.Config              // nil for plain TCP
	open func() (net.Conn, error) // nil for a TCP connection to the address
}

// New returns a client for the address; it connects at the first request. A
// nil tlsConfig means plain TCP.
func New(address netip.AddrPort, tlsConfig *tls.Config) *Client {
	if tlsConfig != nil && tlsConfig.ServerName == "" {
		tlsConfig = tlsConfig.Clone()
		tlsConfig.ServerName = address.Addr().String()
	}
	client := &Client{conn: &conn{}, tls: tlsConfig}
	client.conn.onData = client.received
	client.http = fasthttp.HostClient{
		Addr:                          address.String(),
		IsTLS:                         tlsConfig != nil,
		Dial:                          client.dial,
		MaxConns:                      1,
		MaxIdleConnDuration:           maxIdleTime,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		StreamResponseBody:            true,
		MaxResponseBodySize:           readBufferSize, // larger bodies are streamed
		ReadBufferSize:                readBufferSize,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: false,
		SecureErrorLogMessage:         true, // errors are logged, and must not quote answers
	}
	return client
}

// NewOver returns a client whose connection to the address is made by open.
func NewOver(address netip.AddrPort, open func() (net.Conn, error)) *Client {
	client := New(address, nil)
	client.open = open
	return client
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

func (client *Client) dial(address string) (net.Conn, error) {
	if client.used {
		// The library found the connection closed and tries to open another one.
		return nil, errors.Mark(errors.New("connection was closed"), ErrDial)
	}
	inner, err := client.connect(address)
	if err != nil {
		return nil, errors.Mark(err, ErrDial)
	}
	client.used = true
	client.conn.open(inner, client.tls)
	return client.conn, nil
}

func (client *Client) connect(address string) (net.Conn, error) {
	if client.open != nil {
		return client.open()
	}
	return Dialer().Dial("tcp", address)
}

// Used reports whether the client has already connected.
func (client *Client) Used() bool {
	return client.used
}

// Stale reports whether the idle connection must not be reused: the peer has
// closed it or has sent unrequested data.
func (client *Client) Stale() bool {
	return client.used && !Reusable(client.conn.inner())
}

// SetDeadline sets the deadline of all pending and later reads and writes; a zero
// time removes it. It may be called while another goroutine reads.
func (client *Client) SetDeadline(deadline time.Time) {
	client.conn.setDeadline(deadline)
}

// Do sends the request and reads the header of the response; the body is streamed.
// Errors that occurred before the first byte was sent are marked ErrDial, the error of OnSend
// ErrWithheld, and answers that are not used because of their heads give ErrMalformedHead.
func (client *Client) Do(request *fasthttp.Request, response *fasthttp.Response) error {
	response.StreamBody = true
	client.conn.head = headCheck{}
	client.conn.onSend, client.conn.withheld = client.OnSend, nil
	err := client.http.Do(request, response)
	switch {
	case client.conn.withheld != nil:
		return errors.Mark(client.conn.withheld, ErrWithheld)
	case client.conn.head.err != nil:
		return client.conn.head.err // the library reports it as the end of the connection
	}
	return err
}

func (client *Client) received() {
	if client.OnData != nil {
		client.OnData()
	}
}

// Abort closes the connection; a pending read returns immediately. It may be called
// from any goroutine.
func (client *Client) Abort() {
	client.conn.abort()
}

// Close closes the connection and releases the codec.
func (client *Client) Close() {
	client.conn.abort()
	client.http.CloseIdleConnections()
}

// conn applies the deadline of the Client's owner to reads and writes instead of
// the library's deadlines, and checks the heads of answers.
type conn struct {
	net.Conn           // encrypts if the Client uses TLS
	raw      net.Conn  // the connection without encryption
	onData   func()    // called after each read that returned data
	head     headCheck // of the answer to the current request
	// onSend is called before the current request is sent; nil once it was. withheld is its
	// error.
	onSend   func() error
	withheld error

	mu       sync.Mutex // guards deadline, aborted and assignments to Conn and raw
	deadline time.Time
	aborted  bool
}

func (conn *conn) open(inner net.Conn, tlsConfig *tls.Config) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.Conn, conn.raw = inner, inner
	if tlsConfig != nil {
		conn.Conn = tls.Client(inner, tlsConfig)
	}
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

// Read implements net.Conn.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if count > 0 {
		conn.onData()
	}
	if headErr := conn.head.observe(buffer[:count]); headErr != nil {
		return 0, headErr
	}
	return count, err
}

// Handshake makes the library take the connection for one that is already encrypted where
// it should be: heads of answers are checked after decryption.
func (conn *conn) Handshake() error { return nil }

// Write implements net.Conn. It fails after the deadline even if the process was
// paused while the deadline passed.
func (conn *conn) Write(text []byte) (int, error) {
	conn.mu.Lock()
	deadline := conn.deadline
	conn.mu.Unlock()
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	if conn.onSend != nil {
		conn.withheld, conn.onSend = conn.onSend(), nil
	}
	if conn.withheld != nil {
		return 0, conn.withheld
	}
	return conn.Conn.Write(text)
}

func (conn *conn) abort() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.aborted = true
	if conn.raw != nil {
		_ = conn.raw.Close() // closing by TLS may block
	}
}

// SetDeadline ignores the library's deadline.
func (conn *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline ignores the library's deadline.
func (conn *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline ignores the library's deadline.
func (conn *conn) SetWriteDeadline(time.Time) error { return nil }
