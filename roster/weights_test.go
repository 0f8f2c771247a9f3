package roster

import (
	"testing"
	"time"
)

// A registration may report the new weights before the VM that gave the order
// does: the target must become usable again in either order.
func TestTargetIsChosenAgainOnceNewWeightsAreKnown(t *testing.T) {
	tests := []struct {
		name   string
		report func(*Roster)
	}{
		{"by the VM that gave the order", func(roster *Roster) { roster.RaiseWeights("e1", "m", 2) }},
		{"by its registration", func(roster *Roster) { roster.Put(engineEntry("e1", "a", 2), afterMs(10)) }},
		{"by its registration first", func(roster *Roster) {
			roster.Put(engineEntry("e1", "a", 2), afterMs(10))
			roster.RaiseWeights("e1", "m", 2)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roster := New("a")
			roster.Put(engineEntry("e1", "a", 1), start)
			roster.BeginRollout("e1", "m", 2, afterMs(2500))
			if _, ok := roster.Choose(Criteria{Service: "notes"}, afterMs(5)); ok {
				t.Error("got a target that is loading weights, want none")
			}
			test.report(roster)
			choose(t, roster, Criteria{}, afterMs(20))
		})
	}
}

func TestWeightsVersionNeverDecreases(t *testing.T) {
	roster := New("a")
	roster.Put(engineEntry("e1", "a", 3), start)
	roster.RaiseWeights("e1", "m", 2)
	roster.Put(engineEntry("e1", "a", 1), afterMs(10))
	if got := choose(t, roster, Criteria{Model: "m"}, afterMs(20)).Weights; got != 3 {
		t.Errorf("got weights %d, want 3", got)
	}
}

// Guards against targets that stay on older weights and serve nothing: an order that is
// carried out late took a target back, as its next registration says.
func TestWeightsAreTakenBackByLaterRegistrationOnly(t *testing.T) {
	for _, test := range []struct {
		name                 string
		registered, told     uint64 // at revision 5, and by another VM since
		revision, next, want uint64
	}{
		{"taken back", 3, 0, 6, 2, 2},
		{"earlier registration arrives late", 3, 0, 4, 2, 3},
		{"registration does not show the load yet", 2, 3, 6, 2, 3},
		{"taken back after a load that no registration showed", 2, 3, 6, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			roster := New("a")
			put := func(revision, weights uint64) {
				entry := engineEntry("e1", "a", weights)
				entry.Revision = revision
				roster.Put(entry, start)
			}
			put(5, test.registered)
			roster.RaiseWeights("e1", "m", test.told)
			put(test.revision, test.next)
			if got := choose(t, roster, Criteria{Model: "m"}, start).Weights; got != test.want {
				t.Errorf("got weights %d, want %d", got, test.want)
			}
		})
	}
}

func TestOldWeightsAreAvoidedAndExcludedBelowRequired(t *testing.T) {
	roster := New("a")
	roster.Put(engineEntry("old", "a", 1), start)
	if _, ok := roster.Choose(Criteria{Service: "notes", Model: "m", NewestWeights: 2, RequiredWeights: func(time.Duration) uint64 { return 2 }}, start); ok {
		t.Error("got a target below the required version, want none")
	}
	choose(t, roster, Criteria{Model: "m", NewestWeights: 2}, start).End()
	roster.Put(engineEntry("new", "a", 2), start)
	for range 5 {
		assignment := choose(t, roster, Criteria{Model: "m", NewestWeights: 2}, start)
		if assignment.ID != "new" {
			t.Errorf("got %s, want the target with the new weights", assignment.ID)
		}
		assignment.End()
	}
}

// Guards against requests that begin on replaced weights: the registration of a target
// does not say which weights it has, so nothing makes the target check the version.
func TestTargetWithUnknownWeightsIsNotUsedIfAVersionIsRequired(t *testing.T) {
	roster := New("a")
	entry := engineEntry("e1", "a", 1)
	entry.Models = nil
	roster.Put(entry, start)
	if _, ok := roster.Choose(Criteria{Service: "notes", Model: "m", NewestWeights: 2, RequiredWeights: func(time.Duration) uint64 { return 2 }}, start); ok {
		t.Error("got a target whose weights are not known, want none")
	}
	choose(t, roster, Criteria{Model: "m"}, start)
}

// A VM that missed the report of a rollout obtains the weights version by a probe of
// the target.
func TestTargetWithUnexpectedWeightsIsProbedForReport(t *testing.T) {
	roster := New("a")
	roster.Put(engineEntry("e1", "a", 1), start)
	assignment := choose(t, roster, Criteria{Model: "m"}, start)
	assignment.MarkRejectedWeights("m", start)
	assignment.End()
	probes := roster.Probes(afterMs(1))
	if len(probes) != 1 || !probes[0].Report {
		t.Fatalf("got probes %+v, want one for a report", probes)
	}
	roster.RecordWeights("e1", []Model{{Name: "m", Weights: 2}}, afterMs(5))
	if got := choose(t, roster, Criteria{Model: "m"}, afterMs(5)).Weights; got != 2 {
		t.Errorf("got weights %d, want 2", got)
	}
}

// Guards against requests that one target rejects one after the other: it has loaded weights
// of which this VM was not told, and its reports show them only some hundred ms later.
func TestTargetThatRejectedItsWeightsIsNotUsedUntilOthersAreKnown(t *testing.T) {
	for _, test := range []struct {
		name string
		tell func(roster *Roster, weights uint64, at time.Time)
	}{
		{"report", func(roster *Roster, weights uint64, at time.Time) {
			roster.RecordWeights("e1", []Model{{Name: "m", Weights: weights}}, at)
		}},
		{"notice", func(roster *Roster, weights uint64, _ time.Time) { roster.RaiseWeights("e1", "m", weights) }},
		{"registration", func(roster *Roster, weights uint64, at time.Time) { roster.Put(engineEntry("e1", "a", weights), at) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			roster := New("a")
			roster.Put(engineEntry("e1", "a", 1), start)
			assignment := choose(t, roster, Criteria{Model: "m"}, start)
			assignment.MarkRejectedWeights("m", start)
			assignment.End()
			for ms := 10; ms < 500; ms += 10 {
				probes := roster.Probes(afterMs(ms))
				if ms == 10 && len(probes) != 1 {
					t.Fatalf("got probes %+v, want one for a report", probes)
				}
				if len(probes) > 0 {
					roster.RecordWeights("e1", []Model{{Name: "m", Weights: 1}}, afterMs(ms))
				}
				if _, ok := roster.Choose(Criteria{Service: "notes", Model: "m"}, afterMs(ms)); ok {
					t.Fatalf("got the target %d ms after it rejected its known weights, want none", ms)
				}
			}
			test.tell(roster, 2, afterMs(500))
			if got := choose(t, roster, Criteria{Model: "m"}, afterMs(500)).Weights; got != 2 {
				t.Errorf("got weights %d, want 2", got)
			}
		})
	}
}
