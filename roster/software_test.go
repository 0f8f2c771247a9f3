package roster

import "testing"

func softwareEntry(id, software string) Entry {
	entry := engineEntry(id, "a", 1)
	entry.Software = software
	return entry
}

// Guards against streams that go on at another software version than the one that
// began them.
func TestFixedSoftwareExcludesOtherVersions(t *testing.T) {
	roster := New("a")
	roster.Put(softwareEntry("e1", "v1"), start)
	for _, id := range []string{"e2", "e3", "e4"} {
		roster.Put(softwareEntry(id, "v1.1"), start)
	}
	roster.Put(softwareEntry("e5", ""), start)
	for range 5 {
		if got := choose(t, roster, Criteria{FixedSoftware: true, Software: "v1"}, start); got.ID != "e1" || got.Software != "v1" {
			t.Errorf("got target %s of version %q, want e1 of v1", got.ID, got.Software)
		}
	}
	if got := choose(t, roster, Criteria{FixedSoftware: true}, start).ID; got != "e5" {
		t.Errorf("got target %s for the empty version, want e5: empty text is a version of its own", got)
	}
	if got, ok := roster.Choose(Criteria{Service: "notes", FixedSoftware: true, Software: "v2"}, start); ok {
		t.Errorf("got target %s for a version that no target has, want none", got.ID)
	}
}

// Guards against streams that are sent to the new version of a target that was
// replaced under its ID.
func TestTargetWithNewSoftwareUnderItsIDIsANewTarget(t *testing.T) {
	roster := New("a")
	roster.Put(softwareEntry("e1", "v1"), start)
	running := choose(t, roster, Criteria{}, start)
	roster.Put(softwareEntry("e1", "v1.1"), afterMs(10))
	if _, ok := roster.Choose(Criteria{Service: "notes", FixedSoftware: true, Software: "v1"}, afterMs(20)); ok || running.Software != "v1" {
		t.Errorf("got a target of v1 or version %q of the running request, want no target, and v1", running.Software)
	}
}

func TestRegisteredCountsTargetsThatCanTakeNoRequestNow(t *testing.T) {
	roster := New("a")
	roster.Put(softwareEntry("e1", "v1"), start)
	roster.Put(softwareEntry("e2", "v1.1"), start)
	criteria := Criteria{Service: "notes", FixedSoftware: true, Software: "v1"}
	assignment := choose(t, roster, criteria, start)
	assignment.Failed(true, start)
	if _, ok := roster.Choose(criteria, start); ok || !roster.Registered(criteria) {
		t.Error("got an unreachable target chosen or not registered, want it registered only")
	}
	tried := criteria
	tried.Tried = []string{"e1"}
	if roster.Registered(tried) {
		t.Error("got a tried target registered, want none")
	}
	draining := softwareEntry("e1", "v1")
	draining.Draining = true
	roster.Put(draining, start)
	if roster.Registered(criteria) {
		t.Error("got a draining target registered, want none")
	}
	roster.Put(softwareEntry("e3", "v1"), start)
	roster.Remove("e3", start)
	if roster.Registered(criteria) {
		t.Error("got a removed target registered, want none")
	}
}
