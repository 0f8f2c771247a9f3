package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func afterMs(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func engineEntry(id, zone string, weights uint64) Entry {
	return Entry{
		ID: id, Service: "notes", Zone: zone, Models: []Model{{Name: "m", Weights: weights}},
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(id) + int(id[len(id)-1]))}), 80),
	}
}

func choose(t *testing.T, roster *Roster, criteria Criteria, now time.Time) *Assignment {
	t.Helper()
	criteria.Service = "notes"
	assignment, ok := roster.Choose(criteria, now)
	if !ok {
		t.Fatalf("got no target for %+v, want one", criteria)
	}
	return &assignment
}

func TestChooseIgnoresOtherServices(t *testing.T) {
	roster := New("a")
	roster.Put(Entry{ID: "app", Service: "app"}, start)
	if assignment, ok := roster.Choose(Criteria{Service: "notes"}, start); ok {
		t.Errorf("got target %s of another service, want none", assignment.ID)
	}
}

// Registrations expire while the platform is unreachable although their targets
// still run.
func TestExpiredRegistrationStaysUsableDuringGracePeriod(t *testing.T) {
	tests := []struct {
		name       string
		outage     int // milliseconds
		checkAfter int // milliseconds after the removal
		want       bool
	}{
		{name: "removed while the platform is up", outage: 0, checkAfter: 0, want: false},
		{name: "expired in an outage", outage: 4000, checkAfter: 1900, want: true},
		{name: "not renewed in time", outage: 4000, checkAfter: 2100, want: false},
		{name: "outage too short for expiry", outage: 500, checkAfter: 0, want: false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roster := New("a")
			roster.Put(engineEntry("e1", "a", 1), start)
			if test.outage > 0 {
				roster.PlatformDown(start)
				roster.PlatformUp(afterMs(test.outage))
			}
			roster.Remove("e1", afterMs(test.outage))
			roster.Sweep(afterMs(test.outage + test.checkAfter))
			_, got := roster.Choose(Criteria{Service: "notes"}, afterMs(test.outage+test.checkAfter))
			if got != test.want {
				t.Errorf("got usable %v, want %v", got, test.want)
			}
		})
	}
}

func TestExpiredRegistrationThatIsRenewedStays(t *testing.T) {
	roster := New("a")
	roster.Put(engineEntry("e1", "a", 1), start)
	roster.PlatformDown(start)
	roster.PlatformUp(afterMs(5000))
	roster.Replace(nil, afterMs(5000))
	roster.Put(engineEntry("e1", "a", 1), afterMs(6000))
	roster.Sweep(afterMs(9000))
	choose(t, roster, Criteria{}, afterMs(9000))
}

func TestDrainingTargetIsNeverChosenAgain(t *testing.T) {
	roster := New("a")
	draining := engineEntry("e1", "a", 1)
	draining.Draining = true
	roster.Put(draining, start)
	roster.Put(engineEntry("e1", "a", 1), afterMs(10)) // an older registration that arrives late
	if _, ok := roster.Choose(Criteria{Service: "notes"}, afterMs(20)); ok {
		t.Error("got a draining target, want none")
	}
}

func TestNewProcessWithSameIDIsNewTarget(t *testing.T) {
	roster := New("a")
	draining := engineEntry("e1", "a", 1)
	draining.Draining, draining.StartTime = true, 1
	roster.Put(draining, start)
	restarted := engineEntry("e1", "a", 1)
	restarted.StartTime = 2
	roster.Put(restarted, afterMs(10))
	choose(t, roster, Criteria{}, afterMs(20))
}

// All VMs must choose the same home for a prefix, because a target that gets a request
// with the prefix elsewhere fetches the prefix from the home.
func TestAllVMsAgreeOnPrefixHome(t *testing.T) {
	first, second := New("a"), New("b")
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		first.Put(engineEntry(id, "a", 1), start)
		second.Put(engineEntry(id, "a", 1), start)
	}
	for key := uint64(1); key < 50; key++ {
		criteria := Criteria{Model: "m", Prefix: key, Tokens: 100}
		firstAssignment, secondAssignment := choose(t, first, criteria, start), choose(t, second, criteria, start)
		if firstAssignment.ID != secondAssignment.ID {
			t.Errorf("prefix %d: got homes %s and %s, want one", key, firstAssignment.ID, secondAssignment.ID)
		}
		if firstAssignment.Home.IsValid() {
			t.Errorf("prefix %d: got a transfer from %s to its own home", key, firstAssignment.Home)
		}
		firstAssignment.End()
		secondAssignment.End()
	}
}

// A long prompt at the home delays short requests by half a second: they must be
// sent to another target and fetch the prefix.
func TestShortRequestAvoidsHomeWithLongPrompt(t *testing.T) {
	roster := New("a")
	for _, id := range []string{"e1", "e2", "e3"} {
		roster.Put(engineEntry(id, "a", 1), start)
	}
	long := choose(t, roster, Criteria{Model: "m", Prefix: 7, Tokens: 50_000}, start)
	short := choose(t, roster, Criteria{Model: "m", Prefix: 7, Tokens: 300}, start)
	if short.ID == long.ID {
		t.Errorf("got the same target %s for both, want another", short.ID)
	}
	if short.Home != long.Address {
		t.Errorf("got the prefix fetched from %s, want from its home %s", short.Home, long.Address)
	}
	long.PromptProcessed(afterMs(600))
	if assignment := choose(t, roster, Criteria{Model: "m", Prefix: 7, Tokens: 300}, afterMs(600)); assignment.ID != long.ID {
		t.Errorf("got %s once the prompt was processed, want the home %s", assignment.ID, long.ID)
	}
}

// An unreachable target must be excluded after the first failure, so that further
// requests do not fail there too.
func TestUnreachableTargetIsExcludedUntilProbeSucceeds(t *testing.T) {
	roster := New("a")
	roster.Put(engineEntry("e1", "a", 1), start)
	assignment := choose(t, roster, Criteria{}, start)
	assignment.Failed(true, start)
	assignment.End()
	for _, milliseconds := range []int{0, 300, 3000} {
		if _, ok := roster.Choose(Criteria{Service: "notes", Repeatable: true}, afterMs(milliseconds)); ok {
			t.Errorf("got an unreachable target after %d ms, want none", milliseconds)
		}
	}
	if probes := roster.Probes(afterMs(1)); len(probes) != 1 || probes[0].ID != "e1" {
		t.Fatalf("got probes %v, want one of e1", probes)
	}
	if probes := roster.Probes(afterMs(2)); len(probes) != 0 {
		t.Errorf("got another probe %v 1 ms later, want none", probes)
	}
	if roster.RecordProbe("e1", false, afterMs(100)) {
		t.Error("got a change after a failed probe, want none")
	}
	if !roster.RecordProbe("e1", true, afterMs(600)) {
		t.Error("got no change after a successful probe, want one")
	}
	choose(t, roster, Criteria{}, afterMs(601))
}

// A target that becomes unreachable with requests in flight is detected because
// it sends nothing.
func TestSilentTargetWithRequestsIsProbed(t *testing.T) {
	roster := New("a")
	roster.Put(engineEntry("e1", "a", 1), start)
	if probes := roster.Probes(afterMs(5000)); len(probes) != 0 {
		t.Errorf("got probes %v of an idle target, want none", probes)
	}
	assignment := choose(t, roster, Criteria{}, afterMs(5000))
	if probes := roster.Probes(afterMs(5200)); len(probes) != 0 {
		t.Errorf("got probes %v after 200 ms, want none yet", probes)
	}
	if probes := roster.Probes(afterMs(5300)); len(probes) != 1 {
		t.Errorf("got probes %v after 300 ms, want one", probes)
	}
	roster.RecordProbe("e1", false, afterMs(5400))
	if !assignment.Unreachable() {
		t.Error("got a reachable target after a failed probe, want it marked unreachable")
	}
	assignment.Received(afterMs(5500))
	if _, ok := roster.Choose(Criteria{Service: "notes"}, afterMs(5500)); ok {
		t.Error("got an unreachable target, want none")
	}
}

// A target that reports itself healthy may fail part of its requests.
func TestTargetThatFailsOftenIsEjected(t *testing.T) {
	roster := New("a")
	roster.Put(engineEntry("failing", "a", 1), start)
	roster.Put(engineEntry("good", "a", 1), start)
	now := start
	sent := map[string]int{}
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		assignment := choose(t, roster, Criteria{Repeatable: true}, now)
		sent[assignment.ID]++
		if assignment.ID == "failing" && sent["failing"]%2 == 0 {
			assignment.Failed(false, now)
		} else {
			assignment.Answered(Load{}, false, now)
			assignment.Succeeded(now)
		}
		assignment.End()
	}
	if sent["failing"] > 40 {
		t.Errorf("got %d of 200 requests at the failing target, want at most 40", sent["failing"])
	}
}

// A service may answer part of its requests with failures of its own. The last
// targets are never ejected, so that requests that must not be repeated get a
// target too.
func TestLastTargetsAreNeverEjected(t *testing.T) {
	roster := New("a")
	for _, id := range []string{"e1", "e2", "e3"} {
		roster.Put(engineEntry(id, "a", 1), start)
	}
	now := start
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		assignment, ok := roster.Choose(Criteria{Service: "notes", Repeatable: i%4 == 0}, now)
		if !ok {
			t.Fatalf("got no target for request %d, want one", i)
		}
		assignment.Failed(false, now)
		assignment.End()
	}
}

func TestRemovedTargetIsDroppedAfterItsRequestsEnd(t *testing.T) {
	roster := New("a")
	roster.Put(engineEntry("e1", "a", 1), start)
	assignment := choose(t, roster, Criteria{}, start)
	roster.Remove("e1", afterMs(1))
	assignment.PromptProcessed(afterMs(2))
	assignment.End()
	roster.Sweep(afterMs(3))
	if got := roster.Size(); got != 0 {
		t.Errorf("got %d targets, want 0", got)
	}
}

// Among many targets only a sample is examined: every target must still get
// requests, and the home of a prefix must always be examined.
func TestSamplingReachesAllTargetsAndKeepsHomes(t *testing.T) {
	roster := New("a")
	for i := range 100 {
		entry := engineEntry("e1", "a", 1)
		entry.ID = fmt.Sprintf("e%03d", i)
		roster.Put(entry, start)
	}
	got := map[string]int{}
	for range 3000 {
		assignment := choose(t, roster, Criteria{Model: "m", Tokens: 10}, start)
		got[assignment.ID]++
		assignment.End()
	}
	if len(got) != 100 {
		t.Errorf("got requests at %d of 100 targets, want at all", len(got))
	}
	homes := map[string]bool{}
	for range 50 {
		assignment := choose(t, roster, Criteria{Model: "m", Prefix: 7, Tokens: 10}, start)
		homes[assignment.ID] = true
		assignment.End()
	}
	if len(homes) != 1 {
		t.Errorf("got %d homes of one prefix, want 1", len(homes))
	}
}

// Choose must not allocate with as many targets as the largest deployment has.
func TestChooseAllocatesNothing(t *testing.T) {
	roster := newRosterOf600()
	criteria := Criteria{Service: "notes", Model: "m", Prefix: 7, Tokens: 1000}
	got := testing.AllocsPerRun(100, func() {
		assignment, _ := roster.Choose(criteria, start)
		assignment.End()
	})
	if got > 0 {
		t.Errorf("got %.1f allocations per Choose, want none", got)
	}
}

func newRosterOf600() *Roster {
	roster := New("a")
	for i := range 600 {
		entry := engineEntry("e1", "a", 1)
		entry.ID = entry.ID + string(rune('0'+i%10)) + string(rune('0'+i/10%10)) + string(rune('0'+i/100))
		roster.Put(entry, start)
	}
	return roster
}

func BenchmarkChoose600(b *testing.B) {
	roster := newRosterOf600()
	criteria := Criteria{Service: "notes", Model: "m", Prefix: 7, Tokens: 1000}
	b.ReportAllocs()
	for b.Loop() {
		assignment, _ := roster.Choose(criteria, start)
		assignment.End()
	}
}
