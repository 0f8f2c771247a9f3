package roster

import (
	"fmt"
	"net/netip"
	"testing"
)

var through = netip.MustParseAddrPort("127.0.0.7:1")

func newRosterOf(targets int) *Roster {
	roster := New("a")
	for i := range targets {
		roster.Put(engineEntry(fmt.Sprint("e", i), "a", 1), start)
	}
	return roster
}

// Guards against callers served worse at a VM that is cut off from all targets: it must find
// this out from few failed connections, and reach the targets through another VM.
func TestVMThatIsCutOffUsesTunnels(t *testing.T) {
	for _, targets := range []int{1, 3, 12, 153} {
		t.Run(fmt.Sprint(targets, " targets"), func(t *testing.T) {
			roster := newRosterOf(targets)
			first := choose(t, roster, Criteria{}, start)
			first.Failed(true, start)
			first.End()
			probes := 0
			for ms := 25; ms <= 1000; ms += 25 {
				now := afterMs(ms)
				for _, probe := range roster.Probes(now) {
					probes++
					roster.RecordProbe(probe.ID, false, now)
					if roster.NeedsTunnel(probe.ID, now) && !roster.RecordTunnel(probe.ID, through, now) {
						t.Errorf("%s: got no change, want the target reachable", probe.ID)
					}
				}
			}
			if got := roster.Tunneled(); got != targets {
				t.Errorf("got %d of %d targets reached through another VM after 1 s, %d probes", got, targets, probes)
			}
			if got := choose(t, roster, Criteria{}, afterMs(1000)).Through; got != through {
				t.Errorf("got a request through %v, want %v", got, through)
			}
		})
	}
}

// Guards against load on other VMs for nothing: some targets are down, and others of their
// service are reached.
func TestVMThatReachesTargetsRarelyLooksForTunnels(t *testing.T) {
	roster := newRosterOf(12)
	down := map[string]bool{"e0": true, "e1": true, "e2": true, "e3": true}
	for id := range down {
		roster.RecordProbe(id, false, start)
	}
	probes, searches := map[string]int{}, 0
	for ms := 25; ms <= 3000; ms += 25 {
		now := afterMs(ms)
		for _, probe := range roster.Probes(now) {
			probes[probe.ID]++
			roster.RecordProbe(probe.ID, !down[probe.ID], now)
		}
		for id := range down {
			if ms%500 == 0 && roster.NeedsTunnel(id, now) {
				searches++
			}
		}
	}
	if want := 4 * len(down); searches == 0 || searches > want {
		t.Errorf("got %d searches for tunnels in 3 s, want some, at most %d", searches, want)
	}
	for id, count := range probes {
		if !down[id] && count > 2 {
			t.Errorf("%s: got %d probes, want at most 2: it was reached", id, count)
		}
	}
}

func TestDirectPathIsUsedAgainOnceItWorks(t *testing.T) {
	roster := newRosterOf(1)
	roster.RecordProbe("e0", false, start)
	roster.RecordTunnel("e0", through, start)
	choose(t, roster, Criteria{}, start).Answered(Load{}, false, afterMs(10))
	if got := choose(t, roster, Criteria{}, afterMs(20)).Through; got != through {
		t.Errorf("got a request through %v after an answer, want %v: the answer came that way", got, through)
	}
	roster.RecordProbe("e0", true, afterMs(30))
	if got := choose(t, roster, Criteria{}, afterMs(40)).Through; got.IsValid() {
		t.Errorf("got a request through %v after the target was reached, want a direct one", got)
	}
}

// Guards against requests that wait on connections that carry no data any more, while others
// reach the same target through another VM.
func TestRequestOnLostPathIsSilentByItself(t *testing.T) {
	roster := newRosterOf(1)
	stuck := choose(t, roster, Criteria{}, start)
	roster.RecordProbe("e0", false, afterMs(300))
	roster.RecordTunnel("e0", through, afterMs(300))
	tunneled := choose(t, roster, Criteria{}, afterMs(350))
	tunneled.Received(afterMs(400))
	if got := stuck.SilentFor(afterMs(450)).Milliseconds(); got != 450 || !stuck.Unreachable() {
		t.Errorf("got %d ms of silence and unreachable %t for the request on the lost path, want 450 and true", got, stuck.Unreachable())
	}
	if got := tunneled.SilentFor(afterMs(450)).Milliseconds(); got != 50 || tunneled.Unreachable() {
		t.Errorf("got %d ms of silence and unreachable %t for the other request, want 50 and false", got, tunneled.Unreachable())
	}
	tunneled.Failed(true, afterMs(500))
	if roster.Tunneled() != 0 || !tunneled.Unreachable() {
		t.Error("got a tunnel that is still used after it failed, want none")
	}
}
