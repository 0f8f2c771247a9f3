package peer

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer/peerpb"
)

// Each field of a heartbeat must survive encoding and decoding.
func TestHeartbeatRoundTrip(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.8:1")
	spending := []Spending{{Account: "derby", Spent: 120, Wanted: 150}}
	backlogs := []Backlog{{Target: "i-1", Tokens: 900}}
	want := Heartbeat{
		Name: "vm-1", Address: address, Version: 5, PlatformAge: time.Second,
		PeerAges: []PeerAge{{"vm-2", 2 * time.Second}}, Boot: "b1", Uptime: 7 * time.Second, Spending: spending,
		Targets: []TargetUpdate{
			{Target: "i-1", Model: "m", Weights: 3, Rolling: true}, {Target: "i-1", Model: "m", Weights: 3},
			{Target: "i-2", Leaving: true, StartTime: 1_700_000_000_000},
		},
		Backlogs: backlogs, NamedWeights: []NamedWeights{{Model: "m", Version: 3, Age: time.Second}},
		Positions: []objects.Position{{Collection: objects.Configs, Version: 9}},
		Zone:      "z1", IsRepresentative: true, Representatives: []membership.Peer{{Name: "vm-3", Address: address, Zone: "z2"}},
		ZoneSummaries: []ZoneSummary{{
			Zone: "z2", Origin: "vm-3/b1", Number: 4, Age: time.Second, Uptime: 3 * time.Second, VMs: 19,
			Spending: spending, Backlogs: backlogs,
		}},
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
