// Package peer implements the gRPC protocol between VMs.
//
// VMs exchange heartbeats, lend each other tokens of the client accounts'
// rates, notify each other of changes and of deaths of targets, send the
// configuration to a VM that starts, keep for each other where streams began, and
// connect each other to targets that one of them does not reach. VMs are dialed by IP
// address; the library's name resolution, load balancing, proxies and retries are
// disabled.
//
// # Usage
//
//	server := &peer.Server{Listener: listener, Handler: router}
//	err := server.Run(ctx)
//
//	dialer := peer.NewDialer(nil)
//	heartbeat, err := dialer.Heartbeat(ctx, address, heartbeat)
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

	"github.com/bramleygw/bramleygw/admission"
	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/peer/peerpb"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/release"
)

// keepaliveInterval must not be shorter than keepaliveMinimum, which the server enforces.
const (
	keepaliveInterval   = 10 * time.Second
	keepaliveMinimum    = 5 * time.Second
	keepaliveTimeout    = 3 * time.Second
	snapshotPartObjects = 256 // objects per message of a snapshot stream
	maxMessageBytes     = 16 << 20
	maxHeaderListBytes  = 16 << 10
	handshakeTimeout    = 5 * time.Second
	// streamWindow and connWindow bound the bytes that a receiver has not read yet. They are
	// static because pings follow the messages where windows adapt, and so large that
	// heartbeats need few updates of them.
	streamWindow = 256 << 10
	connWindow   = 1 << 20
)

// Heartbeat is a VM's periodic report to another VM.
type Heartbeat struct {
	Name    string
	Address netip.AddrPort
	Version objects.Version
	// PlatformAge is the time since the sender's last contact with the platform.
	PlatformAge time.Duration
	// PeerAges are the ages of the last heartbeats from other VMs.
	PeerAges []PeerAge
	// Boot distinguishes the sender's process from earlier ones of its VM.
	Boot string
	// Uptime is the time since the sender's process began to count its spending.
	Uptime       time.Duration
	Spending     []Spending
	Targets      []TargetUpdate
	Backlogs     []Backlog
	NamedWeights []NamedWeights
	// Positions are the newest changes of each collection that the sender has.
	Positions []objects.Position
	// Zone is the sender's availability zone.
	Zone string
	// IsRepresentative is set when the sender represents its zone, that is, exchanges
	// heartbeats with other zones on its behalf.
	IsRepresentative bool
	// Representatives are VMs that represent their zones.
	Representatives []membership.Peer
	// ZoneSummaries are the aggregated reports of availability zones.
	ZoneSummaries []ZoneSummary
	// HasSummaries is set if the sender receives ZoneSummaries and PeerAges from another VM,
	// so that the reply need not have any.
	HasSummaries bool
	// BlockedParts are the blocked parts of prompts, for a receiver that has just
	// started.
	BlockedParts []BlockedPart
	// TargetLimits are the limits that targets name or lately ceased to name.
	TargetLimits []TargetLimit
	OrdersLease  LeaseWrite
	// BrittleTargets are the targets that are brittle or were so lately.
	BrittleTargets []BrittleTarget
	// HeardTargets are the targets that lately sent the sender bytes.
	HeardTargets []HeardTarget
	// HotPrefixes are the prefixes that may need several homes.
	HotPrefixes []HotPrefix
	// Demands are what the sender is asked for, of services whose targets take less.
	Demands       []admission.Demand
	Releases      []Release
	ReleasesLease LeaseWrite
	// OrdersRead is the store's revision up to which the sender knows the orders for
	// releases, if it knows their changes up to its position of that collection.
	OrdersRead uint64
}

// LeaseWrite is the newest write of a lease that the sender knows. Its version is 0 if
// the sender knows none.
type LeaseWrite struct {
	Version uint64 // of the lease's object in the platform
	Holder  string
	Age     time.Duration // for which a VM has known of the write
}

// ZoneSummary aggregates the reports of an availability zone's VMs.
type ZoneSummary struct {
	Zone string
	// Origin identifies the process that created the summary.
	Origin string
	// Number increases with each summary of that process.
	Number uint64
	Age    time.Duration
	// Uptime is the time for which that process had been counting when it created the
	// summary.
	Uptime   time.Duration
	VMs      int
	Spending []Spending
	Backlogs []Backlog
	// HotPrefixes are summed over the zone's VMs.
	HotPrefixes []HotPrefix
	Demands     []admission.Demand
	// Releases holds the sums of the counts alone.
	Releases []Release
}

// Release is what the sender knows of an order to release a software version.
type Release struct {
	Order release.Order
	// OrderedAge is the time since a VM first knew the order.
	OrderedAge time.Duration
	// Stage, Share and Token are what a leader issued, IssueAge ago, if HasIssue is set.
	HasIssue bool
	Stage    release.Stage
	Share    float64
	Token    uint64
	IssueAge time.Duration
	Bad      string
	// Counts and OthersInFlight are set if Counted is.
	Counted        bool
	Counts         release.Table
	OthersInFlight int
}

// NamedWeights is a weights version that operators recently named for a model.
type NamedWeights struct {
	Model   string
	Version uint64
	// Age is the time since a VM first received the version, according to the sender.
	Age time.Duration
}

// Backlog is the number of a VM's prompt tokens that a target has yet to process.
type Backlog struct {
	Target string
	Tokens int
}

// Spending counts one account's tokens at a VM since the VM's process started.
type Spending struct {
	Account string
	Spent   float64 // tokens admitted
	Wanted  float64 // tokens requested, admitted or not
}

// TargetUpdate reports a target's weights version before the platform's list shows it:
// the version that is loaded or, when Rolling is set, the one that is being loaded. When
// Leaving is set, it reports that the target's start leaves, and the fields on weights
// are empty.
type TargetUpdate struct {
	Target    string
	Model     string
	Weights   uint64
	Rolling   bool
	Leaving   bool
	StartTime int64
}

// TargetLimit is the number of requests a second that one start of a target takes from
// all VMs together; 0 if it no longer names one.
type TargetLimit struct {
	Target    string
	StartTime int64
	Rate      float64
	Age       time.Duration // since the target last said so
}

// BrittleTarget is what the sender knows of one start of a target that falls over if it
// has to reject more requests a second than Tolerance; 0 if it is no longer brittle.
type BrittleTarget struct {
	Target    string
	StartTime int64
	Tolerance float64
	Age       time.Duration // since the target last said so
	// Running, Waiting and Slots are its load, HasLoad is set if it reported one.
	Running, Waiting, Slots int
	HasLoad                 bool
	LoadAge                 time.Duration
	// Room is the number of requests at which it rejected another one; HasRejected is set
	// if it rejected one.
	Room        float64
	HasRejected bool
	RejectedAge time.Duration
	// Admitted is the part of the requests for its service that the sender admits.
	Admitted float64
}

// PeerAge is the age of a VM's last heartbeat, and what a representative forwards of it to
// the VMs of its availability zone.
type PeerAge struct {
	Name string
	Age  time.Duration
	// PlatformAge is the time since the VM's last contact with the platform.
	PlatformAge time.Duration
	Address     netip.AddrPort
}

// Charge reports a request that was in flight on a target when the target died.
type Charge struct {
	Digest string // identifies the request
	Death  string // identifies the death
}

// PartDeath reports the shared parts of a prompt that was in flight on a target when the
// target died.
type PartDeath struct {
	Death   string // identifies the death
	Request string // identifies the request
	Parts   []string
}

// NoticeReply reports when the receiver last knew of answered prompts with the parts in
// the notice's PartDeaths.
type NoticeReply struct {
	AnsweredParts []PartAnswer
}

// BlockedPart is a part of prompts that crashes targets.
type BlockedPart struct {
	Part string
	Left time.Duration // until the block ends
}

// PartAnswer states how long ago a prompt with a part was last answered.
type PartAnswer struct {
	Part string
	Age  time.Duration
}

// Notice reports changed objects, deaths of targets and updates of targets' weights to
// another VM.
type Notice struct {
	// Name, Boot and Uptime are those of the sender, as in a heartbeat. The ages in the
	// notice are as of this uptime. VMs of earlier versions send none.
	Name    string
	Boot    string
	Uptime  time.Duration
	Objects []catalog.Object
	Charges []Charge
	Targets []TargetUpdate
	// PartDeaths, BlockedParts and AnsweredParts report parts of prompts that may
	// crash targets, that do, and that do not.
	PartDeaths    []PartDeath
	BlockedParts  []BlockedPart
	AnsweredParts []PartAnswer
	OrdersLease   LeaseWrite
	Releases      []Release
	// Relay is set when the receiver must forward the notice to the other VMs of its
	// availability zone.
	Relay bool
}

// Handler handles calls from other VMs.
type Handler interface {
	// HandleHeartbeat processes a heartbeat and returns this VM's own.
	HandleHeartbeat(heartbeat Heartbeat) Heartbeat
	// Lend grants between minTokens and want tokens of a right, if this VM holds it.
	Lend(right int, share quota.Share, minTokens, want float64) quota.Grant
	// AcceptReturn accepts unused tokens of a right.
	AcceptReturn(right int, share quota.Share, tokens float64)
	// HandleNotice processes a notice.
	HandleNotice(notice Notice) NoticeReply
	// Objects returns the version of the newest object and all objects that are newer
	// than a version or, where there are several collections, than the positions.
	Objects(above objects.Version, known []objects.Position) ([]catalog.Object, objects.Version)
	// RecordOrigins keeps records of where streams began for the VM that sent them.
	RecordOrigins(records []origin.Record)
	// StoreOrigins keeps records too and reports whether they were put into the store,
	// before the context ends.
	StoreOrigins(ctx context.Context, records []origin.Record) bool
	// FindOrigin returns what this VM knows of where a stream began.
	FindOrigin(ctx context.Context, query origin.Query) origin.Answer
	// DialTarget connects to a target for another VM that does not reach it.
	DialTarget(ctx context.Context, target string) (net.Conn, error)
}

// Server serves calls from other VMs. The exported fields must be set before Run.
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
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.StaticStreamWindowSize(streamWindow),
		grpc.StaticConnWindowSize(connWindow),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
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
	return encodeHeartbeat(service.handler.HandleHeartbeat(decodeHeartbeat(request))), nil
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
	service.handler.AcceptReturn(int(request.GetRight()), share, request.GetTokens())
	return &peerpb.ReturnReply{}, nil
}

// Notify implements peerpb.PeerServer.
func (service *service) Notify(_ context.Context, request *peerpb.Notice) (*peerpb.NoticeReply, error) {
	reply := service.handler.HandleNotice(decodeNotice(request))
	return &peerpb.NoticeReply{AnsweredParts: encodeAnswers(reply.AnsweredParts)}, nil
}

// Snapshot implements peerpb.PeerServer.
func (service *service) Snapshot(request *peerpb.SnapshotRequest, stream grpc.ServerStreamingServer[peerpb.SnapshotPart]) error {
	newer, version := service.handler.Objects(objects.Version(request.GetAboveVersion()), decodePositions(request.GetKnown()))
	if uint64(version) <= request.GetAboveVersion() {
		return nil
	}
	for len(newer) > snapshotPartObjects {
		if err := stream.Send(&peerpb.SnapshotPart{Objects: encodeObjects(newer[:snapshotPartObjects])}); err != nil {
			return err
		}
		newer = newer[snapshotPartObjects:]
	}
	return stream.Send(&peerpb.SnapshotPart{Objects: encodeObjects(newer), Version: uint64(version)})
}

// RecordOrigins implements peerpb.PeerServer.
func (service *service) RecordOrigins(ctx context.Context, request *peerpb.RecordOriginsRequest) (*peerpb.RecordOriginsReply, error) {
	records := decodeOrigins(request.GetRecords(), time.Now())
	if request.GetAwaitStored() {
		return &peerpb.RecordOriginsReply{Stored: service.handler.StoreOrigins(ctx, records)}, nil
	}
	service.handler.RecordOrigins(records)
	return &peerpb.RecordOriginsReply{}, nil
}

// FindOrigin implements peerpb.PeerServer.
func (service *service) FindOrigin(ctx context.Context, request *peerpb.FindOriginRequest) (*peerpb.FindOriginReply, error) {
	answer := service.handler.FindOrigin(ctx, decodeOriginQuery(request, time.Now()))
	return encodeOriginAnswer(answer, time.Now()), nil
}
