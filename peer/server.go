// Package peer talks to the other VMs, by grpc.
//
// VMs exchange heartbeats, lend each other tokens of the client accounts'
// rates, tell each other of changes and of deaths of targets, and hand out the
// configuration to a VM that starts. VMs are dialled by IP number; the
// library's name resolution, balancing, proxies and retries are off.
//
// # Usage
//
//	server := &peer.Server{Address: address, Handler: router}
//	err := server.Run(ctx)
//
//	dialer := peer.NewDialer(nil)
//	beat, err := dialer.Heartbeat(ctx, address, beat)
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer/peerpb"
	"github.com/bramleygw/bramleygw/quota"
)

// keepaliveInterval must not be shorter than the server's enforced minimum.
const (
	keepaliveInterval = 10 * time.Second
	keepaliveMinimum  = 5 * time.Second
	keepaliveTimeout  = 3 * time.Second
	partObjects       = 256
	maxMessage        = 16 << 20 // bytes
)

// Beat is a heartbeat.
type Beat struct {
	Name        string
	Address     netip.AddrPort
	Version     objects.Version
	PlatformAge time.Duration
	Heard       []PeerAge
	// Boot tells the sender's process from earlier ones of its VM, and Uptime how
	// long ago it began to count.
	Boot     string
	Uptime   time.Duration
	Spending []Spending
	Targets  []TargetNews
	Backlogs []Backlog
	Named    []NamedWeights
	// Positions are the newest changes that the sender knows of its collections.
	Positions []objects.Position
	// Zone is the sender's availability zone; Speaks is set when it exchanges
	// heartbeats with other zones for its own, and Speakers are VMs that do.
	Zone     string
	Speaks   bool
	Speakers []membership.Peer
	// Zones are sums of what the VMs of availability zones tell.
	Zones []ZoneSummary
}

// ZoneSummary is the sum of what the VMs of an availability zone tell.
type ZoneSummary struct {
	Zone string
	// Teller tells the process that made the sums; Number grows with each of its
	// summaries.
	Teller string
	Number uint64
	Age    time.Duration
	// Uptime is how long before the summary the teller began to count.
	Uptime   time.Duration
	VMs      int
	Spending []Spending
	Backlogs []Backlog
}

// NamedWeights is a version of weights that operators named lately.
type NamedWeights struct {
	Model   string
	Version uint64
	// Age is since the first VM learned of it, as far as the sender knows.
	Age time.Duration
}

// Backlog is the prompt tokens of a VM that a target has to read.
type Backlog struct {
	Target string
	Tokens int
}

// Spending is one account's tokens at a VM since its process started.
type Spending struct {
	Account string
	// Spent was admitted; Wanted was asked for, whether admitted or not.
	Spent  float64
	Wanted float64
}

// TargetNews is what a VM learned of a target before the platform's list tells
// it: the weights version that it has or, when Rolling is set, is being given.
type TargetNews struct {
	Target  string
	Model   string
	Weights uint64
	Rolling bool
}

// PeerAge tells how long ago a VM was heard.
type PeerAge struct {
	Name string
	Age  time.Duration
}

// Charge counts a target's death against a request.
type Charge struct {
	Digest string
	Death  string
}

// Notice is news for another VM.
type Notice struct {
	Objects []catalog.Object
	Charges []Charge
	Targets []TargetNews
	// Relay asks the receiver to tell the other VMs of its availability zone.
	Relay bool
}

// Handler is what a VM does for others.
type Handler interface {
	Beat(beat Beat) Beat
	Lend(right int, share quota.Share, least, want float64) quota.Grant
	TakeBack(right int, share quota.Share, tokens float64)
	Notified(notice Notice)
	// Objects returns what is newer than a version or, where there are several
	// collections, than the positions, and the newest version.
	Objects(above objects.Version, known []objects.Position) ([]catalog.Object, objects.Version)
}

// Server serves other VMs. The exported fields are set before Run.
type Server struct {
	Listener net.Listener
	Handler  Handler
	TLS      *tls.Config
}

// Run serves until the context ends.
func (server *Server) Run(ctx context.Context) error {
	transport := insecure.NewCredentials()
	if server.TLS != nil {
		transport = credentials.NewTLS(server.TLS)
	}
	grpcServer := grpc.NewServer(
		grpc.Creds(transport),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveMinimum, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	peerpb.RegisterPeerServer(grpcServer, &service{handler: server.Handler})
	stop := context.AfterFunc(ctx, grpcServer.Stop)
	defer stop()
	err := grpcServer.Serve(server.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve other VMs")
}

// service adapts the handler to the generated interface.
type service struct {
	peerpb.UnimplementedPeerServer
	handler Handler
}

// Heartbeat implements peerpb.PeerServer.
func (service *service) Heartbeat(_ context.Context, request *peerpb.Beat) (*peerpb.Beat, error) {
	return encodeBeat(service.handler.Beat(decodeBeat(request))), nil
}

// Borrow implements peerpb.PeerServer.
func (service *service) Borrow(_ context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	share := quota.Share{Account: request.GetAccount(), Rate: request.GetRate(), Burst: request.GetBurst()}
	grant := service.handler.Lend(int(request.GetRight()), share, request.GetLeast(), request.GetWant())
	return &peerpb.BorrowReply{Held: grant.Held, Tokens: grant.Tokens, Left: grant.Left}, nil
}

// Return implements peerpb.PeerServer.
func (service *service) Return(_ context.Context, request *peerpb.ReturnRequest) (*peerpb.ReturnReply, error) {
	share := quota.Share{Account: request.GetAccount(), Rate: request.GetRate(), Burst: request.GetBurst()}
	service.handler.TakeBack(int(request.GetRight()), share, request.GetTokens())
	return &peerpb.ReturnReply{}, nil
}

// Notify implements peerpb.PeerServer.
func (service *service) Notify(_ context.Context, request *peerpb.Notice) (*peerpb.NoticeReply, error) {
	notice := Notice{Objects: decodeObjects(request.GetObjects()), Targets: decodeTargets(request.GetTargets()), Relay: request.GetRelay()}
	for _, charge := range request.GetCharges() {
		notice.Charges = append(notice.Charges, Charge{Digest: charge.GetDigest(), Death: charge.GetDeath()})
	}
	service.handler.Notified(notice)
	return &peerpb.NoticeReply{}, nil
}

// Snapshot implements peerpb.PeerServer.
func (service *service) Snapshot(request *peerpb.SnapshotRequest, stream grpc.ServerStreamingServer[peerpb.SnapshotPart]) error {
	newer, version := service.handler.Objects(objects.Version(request.GetAboveVersion()), decodePositions(request.GetKnown()))
	if uint64(version) <= request.GetAboveVersion() {
		return nil
	}
	for len(newer) > partObjects {
		if err := stream.Send(&peerpb.SnapshotPart{Objects: encodeObjects(newer[:partObjects])}); err != nil {
			return err
		}
		newer = newer[partObjects:]
	}
	return stream.Send(&peerpb.SnapshotPart{Objects: encodeObjects(newer), Version: uint64(version)})
}
