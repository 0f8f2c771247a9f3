// Package standin provides simple stand-ins for the systems that bramleygw works
// with: the platform, model engines and plain services.
//
// They implement the published protocols of those systems over TCP and can inject
// faults. The tests, the demonstration and the bench use them.
//
// # Usage
//
//	engine := &standin.Engine{Model: "ledger", Weights: "w1"}
//	err := engine.Start(netip.MustParseAddrPort("127.0.0.1:0"))
//	defer engine.Stop()
package standin

import (
	"net"
	"net/netip"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/connection"
)

const maxBody = 64 << 20 // bytes

// server is an HTTP server whose connections can all be reset at once.
type server struct {
	handler fasthttp.RequestHandler

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	address  netip.AddrPort
	conns    map[net.Conn]bool
	done     chan struct{}
}

// start listens on the address, or on the previous one if the address is invalid.
func (server *server) start(address netip.AddrPort) error {
	server.mu.Lock()
	defer server.mu.Unlock()
	if !address.IsValid() {
		address = server.address
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	server.listener = listener
	server.address = listener.Addr().(*net.TCPAddr).AddrPort()
	server.conns = map[net.Conn]bool{}
	server.done = make(chan struct{})
	go server.run(listener, server.done)
	return nil
}

func (server *server) run(listener net.Listener, done chan struct{}) {
	defer close(done)
	http := fasthttp.Server{
		Handler:               server.handler,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		ReadBufferSize:        32 << 10,
		Logger:                connection.DiscardLogger{},
		ConnState:             server.trackConn,
	}
	_ = http.Serve(listener) // ends when the listener is closed
}

func (server *server) trackConn(conn net.Conn, state fasthttp.ConnState) {
	server.mu.Lock()
	defer server.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		server.conns[conn] = true
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(server.conns, conn)
	}
}

// crash closes the listener and resets every connection.
func (server *server) crash() {
	server.mu.Lock()
	listener, conns, done := server.listener, server.conns, server.done
	server.listener, server.conns = nil, map[net.Conn]bool{}
	server.mu.Unlock()
	if listener == nil {
		return
	}
	_ = listener.Close()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	<-done
}

func (server *server) addr() netip.AddrPort {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.address
}

// drop closes a request's connection without sending a response.
func drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {}) // fasthttp closes the connection afterwards
}
