package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/retry"
	"github.com/bramleygw/bramleygw/roster"
)

// A VM that is cut off from the targets of a service connects to them through other VMs
// that reach them. All decisions on a request remain with the VM that received it; the
// other one passes bytes on, and learns from the heads of answers what the target wants.

const (
	// tunnelTimeout bounds opening a tunnel: a connection of the other VM to the target
	// and a round trip to that VM.
	tunnelTimeout = 350 * time.Millisecond
	// tunnelAttempts is the number of VMs that are asked for a tunnel in a row, of the
	// own availability zone and of others each.
	tunnelAttempts = 2
	// maxTunnels is the number of tunnels that a VM carries for others at once.
	maxTunnels = 512
	// tunnelsCheckInterval is the interval at which a VM that stops looks whether it still
	// carries tunnels.
	tunnelsCheckInterval = 20 * time.Millisecond
	// maxSniffedHead is the number of bytes of an answer in which its head is looked for.
	maxSniffedHead = 16 << 10
	// causeCarried is the cause under which connections for other VMs are counted.
	causeCarried = "carried"
)

// tunnels connects to targets through other VMs, and for them.
type tunnels struct {
	gateway *Gateway

	mu      sync.Mutex // guards the fields below
	carried int        // tunnels that this VM carries for others
	closed  bool       // whether it carries no more
}

// close denies further tunnels: the other VMs look for another way.
func (tunnels *tunnels) close() {
	tunnels.mu.Lock()
	defer tunnels.mu.Unlock()
	tunnels.closed = true
}

// finish waits until this VM carries no tunnel, or the deadline has passed.
func (tunnels *tunnels) finish(deadline time.Time) {
	for now := time.Now(); tunnels.used() && now.Before(deadline); now = time.Now() {
		retry.Wait(context.Background(), now.Add(tunnelsCheckInterval))
	}
}

func (tunnels *tunnels) used() bool {
	tunnels.mu.Lock()
	defer tunnels.mu.Unlock()
	return tunnels.carried > 0
}

// reserve counts a tunnel that is about to be carried. It returns false if it must not be.
func (tunnels *tunnels) reserve() bool {
	tunnels.mu.Lock()
	defer tunnels.mu.Unlock()
	if tunnels.closed || tunnels.carried >= maxTunnels {
		return false
	}
	tunnels.carried++
	return true
}

// release counts a tunnel that has ended.
func (tunnels *tunnels) release() {
	tunnels.mu.Lock()
	defer tunnels.mu.Unlock()
	tunnels.carried--
}

// Open implements relay.Tunnels.
func (tunnels *tunnels) Open(assignment *roster.Assignment) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tunnelTimeout)
	defer cancel()
	tunnels.gateway.metrics.TunnelsOpened.Add(1)
	return tunnels.gateway.dialer.Tunnel(ctx, assignment.Through, assignment.ID)
}

// find looks for a VM through which the target can be reached, and records it.
func (tunnels *tunnels) find(ctx context.Context, id string) {
	gateway := tunnels.gateway
	var through netip.AddrPort
	for _, vm := range tunnels.candidates(time.Now()) {
		if tunnels.reaches(ctx, vm.Address, id) {
			through = vm.Address
			break
		}
	}
	if !gateway.roster.RecordTunnel(id, through, time.Now()) {
		return
	}
	if through.IsValid() {
		gateway.Log.Emit(event.TargetTunneled, event.F("target", id), event.F("through", through.String()))
	} else {
		gateway.relay.RecordReachability(id, roster.SourceProbe, errNotReached, time.Now())
	}
}

// reaches reports whether another VM connects to the target.
func (tunnels *tunnels) reaches(ctx context.Context, through netip.AddrPort, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	conn, err := tunnels.gateway.dialer.Tunnel(ctx, through, id)
	if err != nil {
		return false // logged once no VM reaches the target
	}
	_ = conn.Close() // nothing was sent
	return true
}

// Reached implements relay.Tunnels. It asks one VM of the own availability zone and one of
// another at the same time.
func (tunnels *tunnels) Reached(ctx context.Context, id string) bool {
	near, far := tunnels.neighbors(time.Now())
	group, ctx := errgroup.WithContext(ctx)
	for _, vms := range [][]membership.Peer{near, far} {
		if len(vms) == 0 {
			continue
		}
		group.Go(func() error {
			if tunnels.reaches(ctx, vms[rand.IntN(len(vms))].Address, id) {
				return errReached
			}
			return nil
		})
	}
	return errors.Is(group.Wait(), errReached)
}

// errReached ends the questions of Reached.
var errReached = errors.New("a VM reaches the target")

// candidates returns some VMs that may reach targets: first VMs of the own availability
// zone, then others, which may reach them if the whole zone does not.
func (tunnels *tunnels) candidates(now time.Time) []membership.Peer {
	near, far := tunnels.neighbors(now)
	return append(sample(near), sample(far)...)
}

// neighbors returns the VMs of the own availability zone that are alive, and those of the
// other ones.
func (tunnels *tunnels) neighbors(now time.Time) (near, far []membership.Peer) {
	members := tunnels.gateway.members
	for _, vm := range members.LivePeers(now) {
		if vm.Zone == members.Zone {
			near = append(near, vm)
		}
	}
	for _, vm := range members.Peers(now) {
		if vm.Zone != members.Zone {
			far = append(far, vm)
		}
	}
	return near, far
}

// sample returns up to tunnelAttempts of the VMs in random order.
func sample(vms []membership.Peer) []membership.Peer {
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:min(len(vms), tunnelAttempts)]
}

// errNotReached is logged for a target that is no longer reached through another VM.
var errNotReached = errors.New("the target is reached neither directly nor through another VM")

// errTunnelDenied is returned for a target to which this VM may or can open no connection
// for another VM.
var errTunnelDenied = errors.New("this VM does not reach the target or may send it nothing; use another VM")

// DialTarget implements peer.Handler. The target gets no more through this VM than from
// it: nothing while it leaves or rests.
func (gateway *Gateway) DialTarget(ctx context.Context, id string) (net.Conn, error) {
	return gateway.tunnels.dial(ctx, id)
}

func (tunnels *tunnels) dial(ctx context.Context, id string) (net.Conn, error) {
	gateway := tunnels.gateway
	contact, ok := gateway.newContact(id)
	if !ok || !contact.Reached() {
		return nil, errTunnelDenied
	}
	if !tunnels.reserve() {
		return nil, errTunnelDenied
	}
	conn, err := connection.Dialer().DialContext(ctx, "tcp", contact.Address.String())
	if err != nil {
		tunnels.release()
		return nil, errors.CombineErrors(errTunnelDenied, err)
	}
	gateway.metrics.TunnelsCarried.Add(1)
	gateway.metrics.Connections.Add(causeCarried, 1)
	return &carriedConn{Conn: conn, tunnels: tunnels, contact: contact}, nil
}

// carriedConn is a connection to a target for another VM. It observes the head of the
// target's answer.
type carriedConn struct {
	net.Conn
	tunnels *tunnels
	contact *contact

	head    []byte
	sniffed bool
	closed  atomic.Bool
}

// Read implements net.Conn.
func (carriedConn *carriedConn) Read(buffer []byte) (int, error) {
	count, err := carriedConn.Conn.Read(buffer)
	if !carriedConn.sniffed {
		carriedConn.sniff(buffer[:count])
	}
	return count, err
}

// sniff adds to the head of the answer and observes it once it is complete.
func (carriedConn *carriedConn) sniff(text []byte) {
	carriedConn.head = append(carriedConn.head, text...)
	if len(carriedConn.head) > maxSniffedHead {
		carriedConn.sniffed, carriedConn.head = true, nil
		return
	}
	if !bytes.Contains(carriedConn.head, []byte("\r\n\r\n")) {
		return
	}
	var response fasthttp.Response
	if connection.ReadHead(carriedConn.head, &response.Header) == nil { // else the VM at the near end logs why
		carriedConn.contact.observe(carriedConn.tunnels.gateway.TargetDialect.Head(&response))
	}
	carriedConn.sniffed, carriedConn.head = true, nil
}

// Close implements net.Conn.
func (carriedConn *carriedConn) Close() error {
	if carriedConn.closed.CompareAndSwap(false, true) {
		carriedConn.tunnels.release()
	}
	return carriedConn.Conn.Close()
}
