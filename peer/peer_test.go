package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/peer/peerpb"
	"github.com/bramleygw/bramleygw/quota"
)

// handler is an in-memory Handler that records its calls.
type handler struct {
	mu         sync.Mutex // guards the fields below
	heartbeats []Heartbeat
	notices    []Notice
	returned   float64
	objects    []catalog.Object
	issuer     *quota.Issuer
	origins    []origin.Record
	query      origin.Query
	answer     origin.Answer
	dial       func(target string) (net.Conn, error)
}

func (handler *handler) HandleHeartbeat(heartbeat Heartbeat) Heartbeat {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	handler.heartbeats = append(handler.heartbeats[:0], heartbeat)
	return Heartbeat{Name: "other", Version: 7, Address: netip.MustParseAddrPort("127.0.0.9:1")}
}

func (handler *handler) Lend(right int, share quota.Share, minTokens, want float64) quota.Grant {
	return handler.issuer.Lend(right, share, minTokens, want, time.Now())
}

func (handler *handler) AcceptReturn(_ int, _ quota.Share, tokens float64) {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	handler.returned += tokens
}

func (handler *handler) HandleNotice(notice Notice) NoticeReply {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	handler.notices = append(handler.notices, notice)
	return NoticeReply{AnsweredParts: notice.AnsweredParts}
}

func (handler *handler) Objects(objects.Version, []objects.Position) ([]catalog.Object, objects.Version) {
	return handler.objects, 9
}

func (handler *handler) StoreOrigins(_ context.Context, records []origin.Record) bool {
	return len(records) == 1
}

func (handler *handler) RecordOrigins(records []origin.Record) {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	handler.origins = append(handler.origins, records...)
}

func (handler *handler) FindOrigin(_ context.Context, query origin.Query) origin.Answer {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	handler.query = query
	return handler.answer
}

func (handler *handler) DialTarget(_ context.Context, target string) (net.Conn, error) {
	return handler.dial(target)
}

func start(t testing.TB, handler *handler) (*Dialer, netip.AddrPort, context.CancelFunc) {
	t.Helper()
	handler.issuer = quota.NewIssuer()
	return startWith(t, handler)
}

func startWith(t testing.TB, handler Handler) (*Dialer, netip.AddrPort, context.CancelFunc) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := &Server{Listener: listener, Handler: handler}
	go func() { done <- server.Run(ctx) }()
	dialer := NewDialer(nil)
	t.Cleanup(func() {
		dialer.Close()
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got error %v from the server, want none", err)
		}
	})
	return dialer, listener.Addr().(*net.TCPAddr).AddrPort(), cancel
}

func TestContract(t *testing.T) {
	handler := &handler{}
	for i := range 3*snapshotPartObjects + 1 { // several snapshot parts
		handler.objects = append(handler.objects, catalog.Object{ID: "client_account.a", Version: objects.Version(i), Spec: []byte(`{}`)})
	}
	dialer, address, _ := start(t, handler)
	ctx := t.Context()
	sent := Heartbeat{Name: "me", Address: netip.MustParseAddrPort("127.0.0.8:1"), Version: 5, PlatformAge: time.Second, PeerAges: []PeerAge{{Name: "x", Age: 2 * time.Second}}}
	reply, err := dialer.Heartbeat(ctx, address, sent)
	if err != nil || reply.Name != "other" || reply.Version != 7 {
		t.Errorf("got %+v %v, want the heartbeat of the called VM", reply, err)
	}
	if got := handler.heartbeats[0]; got.Name != sent.Name || got.Address != sent.Address || got.PlatformAge != sent.PlatformAge || len(got.PeerAges) != 1 {
		t.Errorf("got %+v, want %+v", got, sent)
	}
	share := quota.Share{Account: "a", Rate: 1, Burst: 100}
	if grant, err := dialer.Borrow(ctx, address, 3, share, 0, 10); err != nil || grant.Held {
		t.Errorf("got %+v %v for a right that is not held, want no grant", grant, err)
	}
	handler.issuer.Acquire(3, nil, time.Now())
	if grant, err := dialer.Borrow(ctx, address, 3, share, 0, 10); err != nil || grant.Tokens != 10 {
		t.Errorf("got %+v %v, want 10 tokens", grant, err)
	}
	if grant, err := dialer.Borrow(ctx, address, 3, share, 500, 500); err != nil || grant.Tokens != 0 || grant.Left < 89 {
		t.Errorf("got %+v %v, want no tokens: fewer are left than the minimum", grant, err)
	}
	if err := dialer.Return(ctx, address, 3, share, 4); err != nil || handler.returned != 4 {
		t.Errorf("got %v returned %v, want 4", handler.returned, err)
	}
	notice := Notice{Objects: handler.objects[:1], Charges: []Charge{{"d", "e1/1"}}}
	if _, err := dialer.Notify(ctx, address, notice); err != nil || len(handler.notices) != 1 || handler.notices[0].Charges[0] != notice.Charges[0] {
		t.Errorf("got %+v %v, want the notice", handler.notices, err)
	}
	objects, version, err := dialer.Snapshot(ctx, address, 0, nil)
	if err != nil || len(objects) != len(handler.objects) || version != 9 {
		t.Errorf("got %d objects at %d %v, want %d at 9", len(objects), version, err, len(handler.objects))
	}
	if objects, version, err = dialer.Snapshot(ctx, address, 9, nil); err != nil || len(objects) != 0 || version != 0 {
		t.Errorf("got %d objects at %d %v, want nothing newer", len(objects), version, err)
	}
}

func TestOriginCalls(t *testing.T) {
	began := origin.Origin{Service: "ledger", Software: "v1.1"}
	now := time.Now()
	handler := &handler{answer: origin.Answer{Known: true, Origin: began, Several: true, WatchedSince: now.Add(-time.Hour)}}
	dialer, address, _ := start(t, handler)
	record := origin.Record{RequestID: "r1", Attempt: 2, Origin: began, Until: now.Add(time.Hour)}
	if err := dialer.RecordOrigins(t.Context(), address, []origin.Record{record, record}); err != nil || len(handler.origins) != 2 {
		t.Fatalf("got %d records %v, want 2", len(handler.origins), err)
	}
	got := handler.origins[0]
	got.Until = record.Until // TestOriginTimes checks the times
	if got != record {
		t.Errorf("got %+v, want %+v", got, record)
	}
	answer, err := dialer.FindOrigin(t.Context(), address, origin.Query{RequestID: "r1", Service: "ledger", Since: now, Forward: true})
	if err != nil || !answer.Known || answer.Origin != began || !answer.Several {
		t.Errorf("got %+v %v, want %+v", answer, err, handler.answer)
	}
	if handler.query.RequestID != "r1" || handler.query.Service != "ledger" || !handler.query.Forward {
		t.Errorf("got query %+v, want the one sent", handler.query)
	}
	if _, err := dialer.FindOrigin(t.Context(), netip.AddrPort{}, origin.Query{}); !errors.Is(err, ErrUnknownPeer) {
		t.Errorf("got error %v without an address, want ErrUnknownPeer", err)
	}
}

// Heartbeats are most of the traffic between VMs. As whole numbers, the counts of 16
// accounts take half the bytes that eight-byte numbers would.
func TestSpendingEncodingIsCompact(t *testing.T) {
	const maxBytes = 16 * 24 // with account names of eight bytes
	var sent Heartbeat
	for i := range 16 {
		spent := 1000 * float64(i*i) * 1.37
		sent.Spending = append(sent.Spending, Spending{Account: fmt.Sprintf("account%d", i%10), Spent: spent, Wanted: spent + float64(i%3)*812.5})
	}
	encoded := encodeHeartbeat(sent)
	got := decodeHeartbeat(encoded)
	for i, want := range sent.Spending {
		if spent := got.Spending[i].Spent; spent < want.Spent || spent >= want.Spent+1 {
			t.Errorf("got %v spent, want %v rounded up", spent, want.Spent)
		}
		if wanted := got.Spending[i].Wanted; wanted < want.Wanted-1 || wanted > want.Wanted+1 {
			t.Errorf("got %v wanted, want %v within a token", wanted, want.Wanted)
		}
	}
	if size := proto.Size(&peerpb.Beat{Spending: encoded.Spending}); size > maxBytes {
		t.Errorf("got %d bytes for 16 accounts, want at most %d", size, maxBytes)
	}
}

// A broadcast must deliver the notice to all reachable VMs and report the address of
// each other one.
func TestBroadcastReportsFailures(t *testing.T) {
	first, second := &handler{}, &handler{}
	dialer, firstAddress, _ := start(t, first)
	_, secondAddress, _ := start(t, second)
	unreachable := netip.MustParseAddrPort("0.0.0.0:0")
	var failures []netip.AddrPort
	notice := Notice{Charges: []Charge{{"d", "e1/1"}}}
	confirmed := dialer.Broadcast(t.Context(), []netip.AddrPort{firstAddress, unreachable, secondAddress}, notice, func(address netip.AddrPort, _ NoticeReply, err error) {
		if err != nil {
			failures = append(failures, address)
		}
	})
	if confirmed != 2 || len(first.notices) != 1 || len(second.notices) != 1 {
		t.Errorf("got %d VMs confirmed, %d and %d notices, want 2, 1 and 1", confirmed, len(first.notices), len(second.notices))
	}
	if len(failures) != 1 || failures[0] != unreachable {
		t.Errorf("got failures at %v, want %v", failures, unreachable)
	}
}

func TestHeartbeatFailsWhenVMUnreachable(t *testing.T) {
	cases := []struct {
		name string
		// prepare causes the fault and returns the address to call, invalid for the
		// address of the started VM.
		prepare func(*handler, context.CancelFunc) netip.AddrPort
	}{
		{"VM that stopped", func(_ *handler, cancel context.CancelFunc) netip.AddrPort { cancel(); return netip.AddrPort{} }},
		{"address unknown", func(*handler, context.CancelFunc) netip.AddrPort { return netip.MustParseAddrPort("0.0.0.0:0") }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			handler := &handler{}
			dialer, address, cancel := start(t, handler)
			if override := test.prepare(handler, cancel); override.IsValid() {
				address = override
			}
			ctx, stop := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer stop()
			for { // a call may still reach the VM while it stops
				if _, err := dialer.Heartbeat(ctx, address, Heartbeat{Name: "me"}); err != nil {
					return
				}
			}
		})
	}
}

func BenchmarkBorrow(b *testing.B) {
	handler := &handler{}
	dialer, address, _ := start(b, handler)
	handler.issuer.Acquire(3, nil, time.Now())
	share := quota.Share{Account: "school-7", Rate: 1e12, Burst: 1e15}
	if _, err := dialer.Borrow(b.Context(), address, 3, share, 0, 1); err != nil {
		b.Fatal(err)
	}
	before := dialer.Bytes.Load()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := dialer.Borrow(b.Context(), address, 3, share, 0, 1000); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(dialer.Bytes.Load()-before)/float64(b.N), "bytes/op")
}

func BenchmarkHeartbeat(b *testing.B) {
	handler := &handler{}
	dialer, address, _ := start(b, handler)
	heartbeat := Heartbeat{Name: "vm-100", Address: netip.MustParseAddrPort("127.0.0.8:1"), Version: 123456, PlatformAge: time.Second}
	for range 16 {
		heartbeat.PeerAges = append(heartbeat.PeerAges, PeerAge{Name: "vm-101", Age: 2 * time.Second})
	}
	before := dialer.Bytes.Load()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := dialer.Heartbeat(b.Context(), address, heartbeat); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(dialer.Bytes.Load()-before)/float64(b.N), "bytes/op")
}
