package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
)

// othersReach implements Tunnels: whether other VMs reach all targets.
type othersReach bool

func (othersReach) Open(*roster.Assignment) (net.Conn, error) { return nil, net.ErrClosed }

func (othersReach othersReach) Reached(context.Context, string) bool { return bool(othersReach) }

// Guards against sound prompts that are refused: the connections of a VM that is cut off from
// its targets are reset, and each one counts as the death of a target.
func TestCutConnectionIsNoDeathOfItsTarget(t *testing.T) {
	for _, test := range []struct {
		othersReach othersReach
		want        int64
	}{{true, 0}, {false, 1}} {
		t.Run(fmt.Sprint("others reach it: ", bool(test.othersReach)), func(t *testing.T) {
			fixture := newFixture(t, routing.Route{Kind: routing.Stream, Splits: resumableRoute.Splits})
			fixture.relay.Tunnels = test.othersReach
			cut := fixture.addTarget(t, "s1", "")
			cut.receive = func(string) {
				_ = cut.server.Listener.Close()
				panic(http.ErrAbortHandler)
			}
			if _, err := fixture.serve(t, Request{ID: "r1"}); err == nil {
				t.Error("got an answer over a connection that broke, want none")
			}
			if got := fixture.relay.Metrics.TargetDeaths.Value(); got != test.want {
				t.Errorf("got %d deaths of targets, want %d", got, test.want)
			}
		})
	}
}
