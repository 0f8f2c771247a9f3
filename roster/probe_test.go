package roster

import (
	"net/netip"
	"testing"
	"time"
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

// Guards against targets that are probed late, because the loop that probes them waits for
// NextProbe.
func TestNoProbeIsDueBeforeNextProbe(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(assignment *Assignment, now time.Time)
		due  int // latest time of the first probe, in milliseconds
	}{
		{"silent", func(*Assignment, time.Time) {}, 1500 + 252},
		{"receives bytes, then silent", func(assignment *Assignment, now time.Time) { assignment.Received(now.Add(100 * time.Millisecond)) }, 1500 + 352},
		{"unreachable", func(assignment *Assignment, now time.Time) { assignment.Failed(true, now) }, 1500},
		{"other weights", func(assignment *Assignment, now time.Time) { assignment.MarkRejectedWeights("m", now) }, 1500},
	} {
		t.Run(test.name, func(t *testing.T) {
			roster := New("a")
			for _, id := range []string{"e1", "e2", "e3"} {
				roster.Put(engineEntry(id, "a", 1), start)
			}
			next, first := roster.NextProbe(start), 0
			for milliseconds := 1; milliseconds < 8000; milliseconds++ {
				now := afterMs(milliseconds)
				if milliseconds == 1500 {
					test.fail(choose(t, roster, Criteria{Model: "m"}, now), now)
				}
				signaled := false
				select {
				case <-roster.DueProbes():
					signaled = true
				default:
				}
				probes := roster.Probes(now)
				if len(probes) > 0 && now.Before(next) && !signaled {
					t.Fatalf("got a probe after %d ms, want none before %v", milliseconds, next.Sub(start))
				}
				for _, probe := range probes {
					if first == 0 {
						first = milliseconds
					}
					if !probe.Report {
						roster.RecordProbe(probe.ID, milliseconds > 4000, now)
					}
				}
				if signaled || !now.Before(next) {
					next = roster.NextProbe(now)
				}
			}
			if first == 0 || first > test.due {
				t.Errorf("got the first probe after %d ms, want it after %d ms at the latest", first, test.due)
			}
		})
	}
}
