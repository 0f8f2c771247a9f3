package roster

import (
	"fmt"
	"testing"
	"time"
)

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
	if _, ok := roster.Choose(criteria, start); ok || !roster.Registered(criteria, start) {
		t.Error("got an unreachable target chosen or not registered, want it registered only")
	}
	tried := criteria
	tried.Tried = []string{"e1"}
	if roster.Registered(tried, start) {
		t.Error("got a tried target registered, want none")
	}
	draining := softwareEntry("e1", "v1")
	draining.Draining = true
	roster.Put(draining, start)
	if roster.Registered(criteria, start) {
		t.Error("got a draining target registered, want none")
	}
	roster.Put(softwareEntry("e3", "v1"), start)
	roster.Remove("e3", start)
	if roster.Registered(criteria, start) {
		t.Error("got a removed target registered, want none")
	}
}

// Guards against a stream that waits for a target which wants nothing for longer than the
// stream can wait.
func TestRegisteredLeavesOutLongRests(t *testing.T) {
	roster := New("a")
	roster.Put(softwareEntry("e1", "v1"), start)
	criteria := Criteria{Service: "notes", FixedSoftware: true, Software: "v1"}
	assignment := choose(t, roster, criteria, start)
	assignment.Observe(Announcement{RestUntil: start.Add(time.Second), Rejected: true}, start)
	assignment.End()
	for after, want := range map[time.Duration]bool{0: false, 999 * time.Millisecond: false, time.Second: true, 2 * time.Second: true} {
		if got := roster.Registered(criteria, start.Add(after)); got != want {
			t.Errorf("by %s: got %t for a target that rests for 1 s, want %t", after, got, want)
		}
	}
}

// Guards against take-ups that are sent to any target although two software versions
// served while the stream may have begun.
func TestSeveralCountsVersionsThatWereListed(t *testing.T) {
	roster := New("a")
	roster.Put(softwareEntry("e1", "v1"), start)
	roster.Put(softwareEntry("e2", "v1"), afterMs(100))
	roster.Put(softwareEntry("e3", "v1.1"), afterMs(1000))
	roster.Put(Entry{ID: "other", Service: "other", Software: "v7"}, afterMs(1000))
	roster.Remove("e1", afterMs(2000))
	roster.Remove("e2", afterMs(3000))
	tests := []struct {
		name       string
		since, now int // milliseconds
		want       bool
	}{
		{"before the second version", 0, 999, false},
		{"until the second version", 0, 1000, true},
		{"while both are listed", 1500, 1600, true},
		{"until the first one was removed", 3000, 9000, true},
		{"after the first one was removed", 3001, 9000, false},
		{"one after the other", 0, 9000, true},
	}
	for _, test := range tests {
		if got := roster.Several("notes", afterMs(test.since), afterMs(test.now)); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
	if roster.Several("other", start, afterMs(9000)) || roster.Several("unknown", start, afterMs(9000)) {
		t.Error("got several versions of a service with one or none, want not")
	}
	roster.Put(softwareEntry("e4", "v1"), afterMs(10_000))
	if !roster.Several("notes", afterMs(10_000), afterMs(10_000)) {
		t.Error("got one version after the first one is listed again, want several")
	}
}

func TestOnlySoftwareIsThatOfAllTargets(t *testing.T) {
	roster := New("a")
	steps := []struct {
		step   func()
		want   string
		wantOK bool
	}{
		{func() {}, "", false},
		{func() { roster.Put(softwareEntry("e1", "v1"), start) }, "v1", true},
		{func() { roster.Put(softwareEntry("e2", "v1"), start) }, "v1", true},
		{func() { roster.Put(softwareEntry("e3", "v1.1"), start) }, "", false},
		{func() { roster.Replace([]Entry{softwareEntry("e3", "v1.1")}, start) }, "v1.1", true},
	}
	for i, step := range steps {
		step.step()
		if got, ok := roster.OnlySoftware("notes"); got != step.want || ok != step.wantOK {
			t.Errorf("step %d: got %q, %v, want %q, %v", i, got, ok, step.want, step.wantOK)
		}
	}
}

// A registration that expired while the platform was down may come back.
func TestSeveralCountsExpiredRegistrationsUntilTheyAreDropped(t *testing.T) {
	roster := New("a")
	roster.Put(softwareEntry("e1", "v1"), start)
	roster.PlatformDown(start)
	roster.PlatformUp(afterMs(5000))
	roster.Replace([]Entry{softwareEntry("e2", "v1.1")}, afterMs(5000))
	roster.Sweep(afterMs(7000))
	if !roster.Several("notes", afterMs(6900), afterMs(8000)) {
		t.Error("got one version while an expired registration was kept, want several")
	}
	if roster.Several("notes", afterMs(7001), afterMs(8000)) {
		t.Error("got several versions after the expired registration was dropped, want one")
	}
}

// Guards against memory that grows with each version that is released, or with names
// that another program writes.
func TestFormerVersionsAreBounded(t *testing.T) {
	roster := New("a")
	for i := range 1000 {
		roster.Replace([]Entry{softwareEntry("e1", fmt.Sprint("v", i)), {ID: "e2", Service: fmt.Sprint("s", i)}}, afterMs(i))
	}
	if got := len(roster.versions["notes"]); got > maxFormerVersions+1 {
		t.Errorf("got %d versions remembered, want %d at most", got, maxFormerVersions+1)
	}
	if !roster.Several("notes", afterMs(999), afterMs(999)) || roster.Several("notes", afterMs(1000), afterMs(1000)) {
		t.Error("got the newest versions forgotten, want the last two to count until the change")
	}
	later := afterMs(1000).Add(formerServiceMemory + time.Millisecond)
	roster.Replace([]Entry{softwareEntry("e1", "v1")}, later)
	roster.Replace([]Entry{softwareEntry("e1", "v1")}, later.Add(formerServiceMemory))
	if got := len(roster.versions); got > 2 {
		t.Errorf("got %d services remembered, want those listed in the last hour", got)
	}
}

// Guards against a VM that, just started or after an outage of the platform, counts
// the versions that it does not know as never listed.
func TestWatchedSince(t *testing.T) {
	roster := New("a")
	roster.Put(softwareEntry("e1", "v1"), start)
	if since, ok := roster.WatchedSince(); ok {
		t.Errorf("got a complete list since %v before the first list, want none", since)
	}
	steps := []struct {
		name   string
		step   func()
		want   time.Time
		wantOK bool
	}{
		{"listed", func() { roster.RecordList(afterMs(100)) }, afterMs(100), true},
		{"platform down", func() { roster.PlatformDown(afterMs(200)) }, time.Time{}, false},
		{"platform up", func() { roster.PlatformUp(afterMs(300)) }, afterMs(300), true},
		{"platform still up", func() { roster.PlatformUp(afterMs(400)) }, afterMs(300), true},
		{"listed again", func() { roster.Replace(nil, afterMs(500)) }, afterMs(500), true},
	}
	for _, step := range steps {
		step.step()
		if got, ok := roster.WatchedSince(); ok != step.wantOK || ok && !got.Equal(step.want) {
			t.Errorf("%s: got %v, %v, want %v, %v", step.name, got, ok, step.want, step.wantOK)
		}
	}
}
