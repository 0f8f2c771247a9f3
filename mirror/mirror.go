// Package mirror keeps a VM's copy of the platform's objects, fed by lists,
// watches and other VMs, which may tell things late, twice or out of order. An
// object never goes back to an older version.
//
// The package does no I/O.
//
// # Usage
//
//	copy := mirror.New()
//	changes := copy.Replace(objects.Targets, list.Items, list.Metadata.ResourceVersion)
//	changes = copy.Apply(objects.Targets, events, version)
//	changes = copy.Merge(told)
//	if copy.Behind(positions) { told := ask(copy.Positions()) }
package mirror

import (
	"strings"
	"sync"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
)

// Change is an object that is new, changed or removed.
type Change struct {
	Collection objects.Collection
	Object     objects.Object
	Removed    bool
}

// entry is the newest known state of an object; removals are kept.
type entry struct {
	object  objects.Object
	version objects.Version // of the object, or of its removal
	removed bool
}

// collection is one collection's entries by name.
type collection struct {
	entries map[string]*entry
	at      objects.Version // all changes up to it are known
	newest  objects.Version // of the newest change that is known
	listed  bool
}

// maxRemovals bounds the removals that are kept of a collection.
const maxRemovals = 2000

// Mirror is the copy. It is safe for concurrent use.
type Mirror struct {
	mu          sync.Mutex // guards the fields below
	collections map[objects.Collection]*collection
	newest      objects.Version
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{collections: map[objects.Collection]*collection{}}
}

func (mirror *Mirror) collection(name objects.Collection) *collection {
	found, ok := mirror.collections[name]
	if !ok {
		found = &collection{entries: map[string]*entry{}}
		mirror.collections[name] = found
	}
	return found
}

// At returns the version up to which a collection is complete; false before its
// first list.
func (mirror *Mirror) At(name objects.Collection) (objects.Version, bool) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	found := mirror.collection(name)
	return found.at, found.listed
}

// Known reports whether anything is known of a collection, from the platform or
// from another VM.
func (mirror *Mirror) Known(name objects.Collection) bool {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	found := mirror.collection(name)
	return found.listed || len(found.entries) > 0
}

// Newest returns the version of the newest change that is known.
func (mirror *Mirror) Newest() objects.Version {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.newest
}

// Replace takes a complete list. A list older than what is known changes
// nothing.
func (mirror *Mirror) Replace(name objects.Collection, list []objects.Object, at objects.Version) []Change {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	found := mirror.collection(name)
	if at < found.at {
		return nil
	}
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, object := range list {
		listed[object.Metadata.Name] = true
		changes = mirror.put(changes, name, object, object.Metadata.ResourceVersion, false)
	}
	for key, known := range found.entries {
		if !listed[key] && !known.removed && known.version <= at {
			changes = mirror.put(changes, name, known.object, at, true)
		}
	}
	found.at, found.listed = at, true
	found.prune()
	return changes
}

// Apply takes the events of a watch up to a version.
func (mirror *Mirror) Apply(name objects.Collection, events []objects.WatchEvent, at objects.Version) []Change {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	found := mirror.collection(name)
	var changes []Change
	for _, event := range events {
		removed := event.Type == objects.Deleted
		version := event.Object.Metadata.ResourceVersion
		if known, ok := found.entries[event.Object.Metadata.Name]; removed && ok && known.version == version && !known.removed {
			version++ // it told the version of the last change before it
		}
		changes = mirror.put(changes, name, event.Object, version, removed)
	}
	found.at = max(found.at, at)
	return changes
}

// put takes one object's state when it is newer. The caller holds mu.
func (mirror *Mirror) put(changes []Change, name objects.Collection, object objects.Object, version objects.Version, removed bool) []Change {
	found := mirror.collection(name)
	known, ok := found.entries[object.Metadata.Name]
	if ok && known.version >= version {
		return changes
	}
	mirror.newest = max(mirror.newest, version)
	found.newest = max(found.newest, version)
	found.entries[object.Metadata.Name] = &entry{object: object, version: version, removed: removed}
	if removed && (!ok || known.removed) {
		return changes // it was not in use
	}
	return append(changes, Change{Collection: name, Object: object, Removed: removed})
}

// prune drops the removals when there are too many.
func (found *collection) prune() {
	removed := 0
	for _, known := range found.entries {
		if known.removed {
			removed++
		}
	}
	if removed <= maxRemovals {
		return
	}
	for key, known := range found.entries {
		if known.removed {
			delete(found.entries, key)
		}
	}
}

// Merge takes what another VM knows.
func (mirror *Mirror) Merge(told []catalog.Object) []Change {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	var changes []Change
	for _, object := range told {
		name, key, ok := strings.Cut(object.ID, "/")
		if !ok {
			continue
		}
		known := objects.Object{Metadata: objects.Metadata{Name: key, ResourceVersion: object.Version}, Spec: object.Spec}
		changes = mirror.put(changes, objects.Collection(name), known, object.Version, object.Deleted)
	}
	return changes
}

// Positions returns the newest change that is known of each collection. A
// collection has its own: what is known of one says nothing of another.
func (mirror *Mirror) Positions() []objects.Position {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	var positions []objects.Position
	for name, found := range mirror.collections {
		if found.newest > 0 {
			positions = append(positions, objects.Position{Collection: name, Version: found.newest})
		}
	}
	return positions
}

// Behind reports whether another VM with the positions knows a newer change of
// any collection.
func (mirror *Mirror) Behind(told []objects.Position) bool {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	for _, position := range told {
		if mirror.collection(position.Collection).newest < position.Version {
			return true
		}
	}
	return false
}

// Since returns, for another VM with the positions, all changes after them, and
// the version of the newest one.
func (mirror *Mirror) Since(positions []objects.Position) ([]catalog.Object, objects.Version) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	after := map[objects.Collection]objects.Version{}
	for _, position := range positions {
		after[position.Collection] = position.Version
	}
	var told []catalog.Object
	for name, found := range mirror.collections {
		for key, known := range found.entries {
			if known.version <= after[name] {
				continue
			}
			told = append(told, catalog.Object{
				ID: string(name) + "/" + key, Version: known.version, Deleted: known.removed, Spec: known.object.Spec,
			})
		}
	}
	return told, mirror.newest
}

// Objects returns the objects of a collection that are in use.
func (mirror *Mirror) Objects(name objects.Collection) []objects.Object {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	var listed []objects.Object
	for _, known := range mirror.collection(name).entries {
		if !known.removed {
			listed = append(listed, known.object)
		}
	}
	return listed
}
