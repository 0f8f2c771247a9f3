package roster

import (
	"net/netip"
	"testing"
)

// Guards against probes that come late (SHORT): the loop that sends them waits until NextProbe
// unless DueProbes signals that a probe became due earlier.
func TestProbesThatBecomeDueEarlierAreSignaled(t *testing.T) {
	unreachable := func(roster *Roster, assignment *Assignment) {
		assignment.Failed(true, start)
	}
	for _, test := range []struct {
		name            string
		before, advance func(roster *Roster, assignment *Assignment)
	}{
		{"report shows the rejected weights", func(_ *Roster, assignment *Assignment) {
			assignment.MarkRejectedWeights("m", start)
		}, func(roster *Roster, _ *Assignment) {
			roster.RecordWeights("e1", []Model{{Name: "m", Weights: 1}}, afterMs(5))
		}},
		{"probe failed", unreachable, func(roster *Roster, _ *Assignment) { roster.RecordProbe("e1", false, afterMs(5)) }},
		{"way through another VM lost", unreachable, func(roster *Roster, assignment *Assignment) {
			assignment.Through = netip.MustParseAddrPort("127.0.0.2:1")
			roster.RecordTunnel("e1", assignment.Through, afterMs(5))
			assignment.Failed(true, afterMs(5))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			roster := New("a")
			roster.Put(engineEntry("e1", "a", 1), start)
			assignment := choose(t, roster, Criteria{Model: "m"}, start)
			test.before(roster, assignment)
			assignment.End()
			<-roster.DueProbes()
			if got := roster.Probes(start); len(got) != 1 {
				t.Fatalf("got probes %+v, want one", got)
			}
			before := roster.NextProbe(start)
			test.advance(roster, assignment)
			after := roster.NextProbe(afterMs(5))
			if !after.Before(before) {
				t.Fatalf("next probe at %v, want earlier than %v", after, before)
			}
			select {
			case <-roster.DueProbes():
			default:
				t.Errorf("got no signal that the next probe is due %v earlier", before.Sub(after))
			}
		})
	}
}
