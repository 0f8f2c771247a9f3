package mirror

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
)

func object(name string, version objects.Version) objects.Object {
	return objects.Object{Metadata: objects.Metadata{Name: name, ResourceVersion: version}}
}

func removed(name string, version objects.Version) objects.WatchEvent {
	return objects.WatchEvent{Type: objects.Deleted, Object: object(name, version)}
}

func names(changes []Change) string {
	text := ""
	for _, change := range changes {
		if change.Removed {
			text += "-"
		}
		text += change.Object.Metadata.Name + " "
	}
	return text
}

func TestListOlderThanWhatIsKnownChangesNothing(t *testing.T) {
	mirror := New()
	mirror.Replace(objects.Targets, []objects.Object{object("a", 5)}, 9)
	if got := names(mirror.Replace(objects.Targets, []objects.Object{object("b", 3)}, 8)); got != "" {
		t.Errorf("got changes %q from an older list, want none", got)
	}
}

func TestListRemovesWhatItLacks(t *testing.T) {
	mirror := New()
	mirror.Replace(objects.Targets, []objects.Object{object("a", 5)}, 9)
	if got := names(mirror.Replace(objects.Targets, nil, 10)); got != "-a " {
		t.Errorf("got %q, want the removal of a", got)
	}
}

// Another VM may tell of an object that a list which began before lacks.
func TestListKeepsWhatIsNewerThanIt(t *testing.T) {
	mirror := New()
	if got := names(mirror.Merge(told("targets/a", 12))); got != "a " {
		t.Fatalf("got %q, want a", got)
	}
	if got := names(mirror.Replace(objects.Targets, nil, 10)); got != "" {
		t.Errorf("got %q, want no change", got)
	}
}

// A removal may come with the version of the object's last change.
func TestRemovalWithTheVersionOfTheLastChange(t *testing.T) {
	mirror := New()
	mirror.Replace(objects.Targets, []objects.Object{object("a", 5)}, 5)
	if got := names(mirror.Apply(objects.Targets, []objects.WatchEvent{removed("a", 5)}, 7)); got != "-a " {
		t.Errorf("got %q, want the removal of a", got)
	}
	if got := names(mirror.Merge(told("targets/a", 5))); got != "" {
		t.Errorf("got %q from a VM that does not know of the removal, want none", got)
	}
}

// The pattern: a registration lapses and returns, another VM tells of the return,
// and only then a watch tells the former removal, and perhaps the return.
func TestRemovalThatIsOlderThanWhatIsKnownChangesNothing(t *testing.T) {
	back := objects.WatchEvent{Type: objects.Modified, Object: object("a", 12)}
	for _, test := range []struct {
		name   string
		events []objects.WatchEvent
	}{
		{"removal alone, at its own version", []objects.WatchEvent{removed("a", 8)}},
		{"removal alone, at the version before it", []objects.WatchEvent{removed("a", 5)}},
		{"removal and return", []objects.WatchEvent{removed("a", 5), back}},
	} {
		t.Run(test.name, func(t *testing.T) {
			mirror := New()
			mirror.Replace(objects.Targets, []objects.Object{object("a", 5)}, 5)
			mirror.Merge(told("targets/a", 12))
			if got := names(mirror.Apply(objects.Targets, test.events, 8)); got != "" {
				t.Errorf("got %q, want no change", got)
			}
			if got := len(mirror.Objects(objects.Targets)); got != 1 {
				t.Errorf("got %d objects, want the one that returned", got)
			}
		})
	}
}

func TestOtherVMLearnsAllChangesAndRemovals(t *testing.T) {
	first, second := New(), New()
	first.Replace(objects.Targets, []objects.Object{object("a", 5), object("b", 6)}, 6)
	told, version := first.Since(second.Positions())
	second.Merge(told)
	if version != 6 {
		t.Errorf("got version %d, want 6", version)
	}
	first.Apply(objects.Targets, []objects.WatchEvent{removed("a", 8)}, 8)
	told, _ = first.Since(second.Positions())
	if got := names(second.Merge(told)); got != "-a " {
		t.Errorf("got %q, want the removal of a", got)
	}
	if got := len(second.Objects(objects.Targets)); got != 1 {
		t.Errorf("got %d objects, want 1", got)
	}
}

// The pattern: a VM learns early of a change of one collection, from the store or
// from another VM, while an earlier change of another collection is late.
func TestNewsOfOneCollectionDoesNotHideAnother(t *testing.T) {
	first, second := New(), New()
	for _, mirror := range []*Mirror{first, second} {
		mirror.Replace(objects.Configs, []objects.Object{object("main", 5)}, 6)
	}
	first.Apply(objects.Configs, []objects.WatchEvent{{Type: objects.Modified, Object: object("main", 7)}}, 7)
	for _, mirror := range []*Mirror{first, second} {
		mirror.Apply(objects.Weights, []objects.WatchEvent{{Type: objects.Modified, Object: object("m", 9)}}, 9)
	}
	if !second.Behind(first.Positions()) || first.Behind(second.Positions()) {
		t.Errorf("got behind %v and %v, want the second VM alone", second.Behind(first.Positions()), first.Behind(second.Positions()))
	}
	told, _ := first.Since(second.Positions())
	if got := names(second.Merge(told)); got != "main " {
		t.Errorf("got %q, want the configuration that was late", got)
	}
	if second.Behind(first.Positions()) {
		t.Errorf("got behind after all was told, want not")
	}
}

// However late, often and out of order things are told, an object never goes
// back to an older version.
func TestObjectsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mirror := New()
		newest := map[string]objects.Version{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			version := objects.Version(rapid.IntRange(1, 30).Draw(t, "version"))
			var changes []Change
			switch rapid.IntRange(0, 2).Draw(t, "source") {
			case 0:
				changes = mirror.Replace(objects.Targets, []objects.Object{object(name, version)}, version)
			case 1:
				changes = mirror.Apply(objects.Targets, []objects.WatchEvent{{Type: objects.Modified, Object: object(name, version)}}, version)
			case 2:
				changes = mirror.Merge(told("targets/"+name, version))
			}
			for _, change := range changes {
				key := change.Object.Metadata.Name
				if change.Removed {
					continue
				}
				if got := change.Object.Metadata.ResourceVersion; got <= newest[key] {
					t.Fatalf("%s: got version %d after %d", key, got, newest[key])
				}
				newest[key] = change.Object.Metadata.ResourceVersion
			}
		}
	})
}

func told(id string, version objects.Version) []catalog.Object {
	return []catalog.Object{{ID: id, Version: version}}
}
