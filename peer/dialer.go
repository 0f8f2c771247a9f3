package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/peer/peerpb"
	"github.com/bramleygw/bramleygw/quota"
)

const (
	maxReconnectPause = time.Second
	connectTimeout    = time.Second
)

// ErrUnknownPeer is returned for an invalid address.
var ErrUnknownPeer = errors.New("the VM's address is not known yet; retry later")

// Dialer holds one gRPC connection per called VM. It is safe for concurrent use.
type Dialer struct {
	tls *tls.Config
	// Bytes counts the payload bytes on the wire that all calls sent and received.
	Bytes atomic.Int64

	mu    sync.Mutex // guards conns and the fields of each
	conns map[netip.AddrPort]*vmConn
}

// vmConn is the connection to a VM.
type vmConn struct {
	*grpc.ClientConn
	tunnels int  // that it carries
	retired bool // whether it is closed with its last tunnel
}

// NewDialer returns a dialer. A nil tlsConfig selects plain TCP.
func NewDialer(tlsConfig *tls.Config) *Dialer {
	return &Dialer{tls: tlsConfig, conns: map[netip.AddrPort]*vmConn{}}
}

// Close closes all connections.
func (dialer *Dialer) Close() {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	for _, conn := range dialer.conns {
		_ = conn.Close()
	}
	dialer.conns = map[netip.AddrPort]*vmConn{}
}

// Disconnect makes the next call to a VM open a new connection. Tunnels over the present one
// go on.
func (dialer *Dialer) Disconnect(address netip.AddrPort) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	if conn, ok := dialer.conns[address]; ok {
		dialer.retire(address, conn)
	}
}

// Retain disconnects all VMs except those at the given addresses.
func (dialer *Dialer) Retain(addresses map[netip.AddrPort]bool) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	for address, conn := range dialer.conns {
		if !addresses[address] {
			dialer.retire(address, conn)
		}
	}
}

// retire closes a connection once it carries no tunnel. The caller holds mu.
func (dialer *Dialer) retire(address netip.AddrPort, conn *vmConn) {
	delete(dialer.conns, address)
	if conn.retired = true; conn.tunnels == 0 {
		_ = conn.Close()
	}
}

// endTunnel counts a tunnel that has ended.
func (dialer *Dialer) endTunnel(conn *vmConn) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	if conn.tunnels--; conn.retired && conn.tunnels == 0 {
		_ = conn.Close()
	}
}

func (dialer *Dialer) client(address netip.AddrPort) (peerpb.PeerClient, error) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	conn, err := dialer.connect(address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

// beginTunnel returns the connection to a VM and counts a tunnel that it is to carry.
func (dialer *Dialer) beginTunnel(address netip.AddrPort) (*vmConn, error) {
	dialer.mu.Lock()
	defer dialer.mu.Unlock()
	conn, err := dialer.connect(address)
	if err == nil {
		conn.tunnels++
	}
	return conn, err
}

// connect returns the connection to a VM. The caller holds mu.
func (dialer *Dialer) connect(address netip.AddrPort) (*vmConn, error) {
	if !address.IsValid() {
		return nil, ErrUnknownPeer
	}
	if conn, ok := dialer.conns[address]; ok {
		return conn, nil
	}
	transport := insecure.NewCredentials()
	if dialer.tls != nil {
		transport = credentials.NewTLS(dialer.tls)
	}
	conn, err := grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(transport),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connWindow),
		grpc.WithStatsHandler(&byteCounter{bytes: &dialer.Bytes}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 2, Jitter: 0.3, MaxDelay: maxReconnectPause},
			MinConnectTimeout: connectTimeout,
		}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "connect to VM")
	}
	dialer.conns[address] = &vmConn{ClientConn: conn}
	return dialer.conns[address], nil
}

// Heartbeat sends a heartbeat to a VM and returns the VM's own.
func (dialer *Dialer) Heartbeat(ctx context.Context, address netip.AddrPort, heartbeat Heartbeat) (Heartbeat, error) {
	client, err := dialer.client(address)
	if err != nil {
		return Heartbeat{}, err
	}
	reply, err := client.Heartbeat(ctx, encodeHeartbeat(heartbeat))
	if err != nil {
		return Heartbeat{}, errors.Wrap(err, "heartbeat")
	}
	return decodeHeartbeat(reply), nil
}

// Borrow requests between minTokens and want tokens of a right from the VM that holds it.
func (dialer *Dialer) Borrow(ctx context.Context, address netip.AddrPort, right int, share quota.Share, minTokens, want float64) (quota.Grant, error) {
	client, err := dialer.client(address)
	if err != nil {
		return quota.Grant{}, err
	}
	reply, err := client.Borrow(ctx, &peerpb.BorrowRequest{
		Right: uint32(right), Account: share.Account, Rate: share.Rate, Burst: share.Burst, Least: minTokens, Want: want,
	})
	if err != nil {
		return quota.Grant{}, errors.Wrap(err, "borrow tokens")
	}
	return quota.Grant{Held: reply.GetHeld(), Tokens: reply.GetTokens(), Left: reply.GetLeft()}, nil
}

// Return returns unused tokens of a right to the VM that holds the right.
func (dialer *Dialer) Return(ctx context.Context, address netip.AddrPort, right int, share quota.Share, tokens float64) error {
	client, err := dialer.client(address)
	if err != nil {
		return err
	}
	_, err = client.Return(ctx, &peerpb.ReturnRequest{
		Right: uint32(right), Account: share.Account, Rate: share.Rate, Burst: share.Burst, Tokens: tokens,
	})
	return errors.Wrap(err, "return tokens")
}

// Notify sends a notice to another VM.
func (dialer *Dialer) Notify(ctx context.Context, address netip.AddrPort, notice Notice) (NoticeReply, error) {
	client, err := dialer.client(address)
	if err != nil {
		return NoticeReply{}, err
	}
	reply, err := client.Notify(ctx, encodeNotice(notice))
	return NoticeReply{AnsweredParts: decodeAnswers(reply.GetAnsweredParts())}, errors.Wrap(err, "notify VM")
}

// Snapshot requests the objects of another VM that are newer than a version or, where
// VMs keep several collections, than the known positions. It also returns the version of
// the newest object.
func (dialer *Dialer) Snapshot(ctx context.Context, address netip.AddrPort, above objects.Version, known []objects.Position) ([]catalog.Object, objects.Version, error) {
	client, err := dialer.client(address)
	if err != nil {
		return nil, 0, err
	}
	stream, err := client.Snapshot(ctx, &peerpb.SnapshotRequest{AboveVersion: uint64(above), Known: encodePositions(known)})
	if err != nil {
		return nil, 0, errors.Wrap(err, "request configuration")
	}
	var received []catalog.Object
	var version objects.Version
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return received, version, nil
		}
		if err != nil {
			return nil, 0, errors.Wrap(err, "receive configuration")
		}
		received = append(received, decodeObjects(part.GetObjects())...)
		version = objects.Version(part.GetVersion())
	}
}

// RecordOrigins sends records of where streams began to a VM that holds them.
func (dialer *Dialer) RecordOrigins(ctx context.Context, address netip.AddrPort, records []origin.Record) error {
	client, err := dialer.client(address)
	if err != nil {
		return err
	}
	_, err = client.RecordOrigins(ctx, &peerpb.RecordOriginsRequest{Records: encodeOrigins(records, time.Now())})
	return errors.Wrap(err, "send origins of streams")
}

// StoreOrigins sends records to the VM that writes those of its availability zone to the
// store. It reports whether they are in the store; a VM of an older build never says so.
func (dialer *Dialer) StoreOrigins(ctx context.Context, address netip.AddrPort, records []origin.Record) (bool, error) {
	client, err := dialer.client(address)
	if err != nil {
		return false, err
	}
	request := &peerpb.RecordOriginsRequest{Records: encodeOrigins(records, time.Now()), AwaitStored: true}
	reply, err := client.RecordOrigins(ctx, request)
	return reply.GetStored(), errors.Wrap(err, "have origins of streams stored")
}

// FindOrigin asks a VM where a stream began.
func (dialer *Dialer) FindOrigin(ctx context.Context, address netip.AddrPort, query origin.Query) (origin.Answer, error) {
	client, err := dialer.client(address)
	if err != nil {
		return origin.Answer{}, err
	}
	reply, err := client.FindOrigin(ctx, encodeOriginQuery(query, time.Now()))
	if err != nil {
		return origin.Answer{}, errors.Wrap(err, "ask for the origin of a stream")
	}
	return decodeOriginAnswer(reply, time.Now()), nil
}

// byteCounter is a stats.Handler that counts payload bytes on the wire.
type byteCounter struct {
	bytes *atomic.Int64
}

// TagRPC implements stats.Handler.
func (counter *byteCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC implements stats.Handler.
func (counter *byteCounter) HandleRPC(_ context.Context, rpc stats.RPCStats) {
	switch payload := rpc.(type) {
	case *stats.InPayload:
		counter.bytes.Add(int64(payload.WireLength))
	case *stats.OutPayload:
		counter.bytes.Add(int64(payload.WireLength))
	}
}

// TagConn implements stats.Handler.
func (counter *byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (counter *byteCounter) HandleConn(context.Context, stats.ConnStats) {}
