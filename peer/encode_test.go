package peer

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleygw/bramleygw/admission"
	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/peer/peerpb"
	"github.com/bramleygw/bramleygw/release"
	"github.com/bramleygw/bramleygw/settings"
)

// testReleases returns what a VM tells of an order, with all fields set.
func testReleases() []Release {
	var histogram release.Histogram
	histogram[3], histogram[6] = 1.5, 20
	return []Release{{
		Order:      release.Order{Name: "o1", Created: 3, Revision: 4, Service: "notes", To: "v2", Duration: settings.Span(12 * time.Second), State: release.Running},
		OrderedAge: time.Second, HasIssue: true, Stage: release.Expanded, Share: 0.25, Token: 5, IssueAge: 2 * time.Millisecond, Bad: "failures sum",
		Counted: true, Counts: release.Table{{Route: "sum", New: true}: {Answers: 21.5, Bad: 2, First: histogram, Rest: histogram}}, OthersInFlight: 7,
	}}
}

// Each field of a heartbeat must survive encoding and decoding.
func TestHeartbeatRoundTrip(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.8:1")
	spending := []Spending{{Account: "derby", Spent: 120, Wanted: 150}}
	backlogs := []Backlog{{Target: "i-1", Tokens: 900}}
	demands := []admission.Demand{{Service: "notes", VMs: 20, Counts: []admission.Count{{Account: 1 << 31, Level: 34, Asked: 9000}}, Placed: 7000, TurnedAway: 800}}
	want := Heartbeat{
		Name: "vm-1", Address: address, Version: 5, PlatformAge: time.Second,
		PeerAges: []PeerAge{{Name: "vm-2", Age: 2 * time.Second, PlatformAge: time.Second, Address: netip.MustParseAddrPort("127.0.0.9:2")}}, Boot: "b1", Uptime: 7 * time.Second, Spending: spending,
		Targets: []TargetUpdate{
			{Target: "i-1", Model: "m", Weights: 3, Rolling: true}, {Target: "i-1", Model: "m", Weights: 3},
			{Target: "i-2", Leaving: true, StartTime: 1_700_000_000_000},
		},
		Backlogs: backlogs, NamedWeights: []NamedWeights{{Model: "m", Version: 3, Age: time.Second}},
		Positions: []objects.Position{{Collection: objects.Configs, Version: 9}},
		Zone:      "z1", IsRepresentative: true, HasSummaries: true, Representatives: []membership.Peer{{Name: "vm-3", Address: address, Zone: "z2"}},
		ZoneSummaries: []ZoneSummary{{
			Zone: "z2", Origin: "vm-3/b1", Number: 4, Age: time.Second, Uptime: 3 * time.Second, VMs: 19,
			Spending: spending, Backlogs: backlogs, HotPrefixes: []HotPrefix{{Prefix: 1 << 63, TokensPerSecond: 90_000, Homes: 2}}, Demands: demands, Releases: testReleases(),
		}},
		HeardTargets:   []HeardTarget{{Hash: 1 << 31, Age: 40 * time.Millisecond}, {Hash: 5}},
		HotPrefixes:    []HotPrefix{{Prefix: 7, TokensPerSecond: 30_000, Homes: 3}},
		Demands:        demands,
		BlockedParts:   []BlockedPart{{Part: "p1", Left: time.Minute}},
		TargetLimits:   []TargetLimit{{Target: "i-1", StartTime: 1_700_000_000_000, Rate: 2.3, Age: time.Second}},
		BrittleTargets: []BrittleTarget{{Target: "i-1", StartTime: 7, Tolerance: 2.5, Age: 3 * time.Millisecond, Running: 4, Waiting: 5, Slots: 6, HasLoad: true, LoadAge: 8 * time.Millisecond, Room: 9.5, HasRejected: true, RejectedAge: 10 * time.Millisecond, Admitted: 0.5}},
		OrdersLease:    LeaseWrite{Version: 7, Holder: "vm-2@127.0.0.9", Age: time.Second},
		Releases:       testReleases(), ReleasesLease: LeaseWrite{Version: 8, Holder: "vm-3@127.0.0.9", Age: time.Second}, OrdersRead: 9,
	}
	fields := reflect.ValueOf(want)
	for i := range fields.NumField() {
		if fields.Field(i).IsZero() {
			t.Errorf("got zero value for field %s, want one that tests its encoding", fields.Type().Field(i).Name)
		}
	}
	wire, err := proto.Marshal(encodeHeartbeat(want))
	if err != nil {
		t.Fatal(err)
	}
	received := &peerpb.Beat{}
	if err := proto.Unmarshal(wire, received); err != nil {
		t.Fatal(err)
	}
	if got := decodeHeartbeat(received); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// The clocks of two VMs differ, so times travel as ages. What a call takes must not make a
// window shorter or a watch longer.
func TestOriginTimes(t *testing.T) {
	const skew = time.Hour
	sent := time.Unix(1_700_000_000, 0)
	received := sent.Add(skew + 150*time.Millisecond) // by the receiver's clock
	query := origin.Query{Since: sent.Add(-10*time.Second - 1)}
	window := received.Sub(decodeOriginQuery(encodeOriginQuery(query, sent), received).Since)
	if least := 10*time.Second + 150*time.Millisecond + 1; window < least || window > least+100*time.Millisecond {
		t.Errorf("got a window of %v, want at least %v and little more", window, least)
	}
	for _, test := range []struct{ watched, want time.Duration }{
		{time.Minute + 1, time.Minute}, {100 * time.Hour, maxWireDuration},
	} {
		answer := decodeOriginAnswer(encodeOriginAnswer(origin.Answer{WatchedSince: sent.Add(-test.watched)}, sent), received)
		if got := received.Sub(answer.WatchedSince); got != test.want {
			t.Errorf("got a watch of %v, want %v", got, test.want)
		}
	}
	if got := decodeOriginAnswer(encodeOriginAnswer(origin.Answer{}, sent), received); !got.WatchedSince.IsZero() {
		t.Errorf("got a watch since %v from a VM without a list, want none", got.WatchedSince)
	}
	records := decodeOrigins(encodeOrigins([]origin.Record{{Until: sent.Add(time.Minute)}}, sent), received)
	if got := records[0].Until.Sub(received); got != time.Minute {
		t.Errorf("got a record that is left %v, want %v", got, time.Minute)
	}
}

// Each field of a notice must survive encoding and decoding.
func TestNoticeRoundTrip(t *testing.T) {
	want := Notice{
		Name: "vm-1", Boot: "b1", Uptime: 30 * 24 * time.Hour,
		Objects: []catalog.Object{{ID: "o1", Version: 3, Spec: []byte("{}")}}, Charges: []Charge{{"d1", "i-1/r1"}},
		Targets: []TargetUpdate{{Target: "i-1", Model: "m", Weights: 3}}, PartDeaths: []PartDeath{{Death: "i-1/5", Request: "d1", Parts: []string{"p1", "p2"}}},
		BlockedParts: []BlockedPart{{Part: "p1", Left: time.Minute}}, AnsweredParts: []PartAnswer{{Part: "p2", Age: time.Second}}, Relay: true,
		OrdersLease: LeaseWrite{Version: 7, Holder: "vm-2@127.0.0.9", Age: time.Second}, Releases: testReleases(),
	}
	fields := reflect.ValueOf(want)
	for i := range fields.NumField() {
		if fields.Field(i).IsZero() {
			t.Errorf("got zero value for field %s, want one that tests its encoding", fields.Type().Field(i).Name)
		}
	}
	if got := decodeNotice(encodeNotice(want)); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
