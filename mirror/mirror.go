// Package mirror holds a VM's copy of the platform's objects. Its sources are
// lists, watches and other VMs, which may deliver changes late, twice or out of
// order. An object never reverts to an older version.
//
// The package does no I/O.
//
// # Usage
//
//	copy := mirror.New()
//	changes := copy.Replace(objects.Targets, list.Items, list.Metadata.ResourceVersion)
//	changes = copy.Apply(objects.Targets, events, version)
//	changes = copy.Merge(received)
//	if copy.LacksChanges(positions) { received := fetch(copy.Positions()) }
package mirror

import (
	"strings"
	"sync"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
)

// Change is an object that was added, modified or removed.
type Change struct {
	Collection objects.Collection
	Object     objects.Object
	Removed    bool
}

// entry is the newest known state of an object. Entries of removed objects are kept, so
// that older changes do not restore the objects and other VMs receive the removals.
type entry struct {
	object  objects.Object
	version objects.Version // of the object, or of its removal
	removed bool
}

// collection holds the entries of one collection.
type collection struct {
	entries       map[string]*entry // by object name
	syncedVersion objects.Version   // all changes up to it are known
	newestVersion objects.Version   // of the newest known change
	listed        bool              // a complete list was received
	empty         bool              // another VM reported that it has had no object
}

// maxRemovals is the maximum number of removed entries kept per collection.
const maxRemovals = 2000

// Mirror is a copy of the platform's objects. It is safe for concurrent use.
type Mirror struct {
	mu            sync.Mutex // guards the fields below
	collections   map[objects.Collection]*collection
	newestVersion objects.Version
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{collections: map[objects.Collection]*collection{}}
}

// collection returns the named collection, created when missing. The caller holds mu.
func (mirror *Mirror) collection(name objects.Collection) *collection {
	found, ok := mirror.collections[name]
	if !ok {
		found = &collection{entries: map[string]*entry{}}
		mirror.collections[name] = found
	}
	return found
}

// SyncedVersion returns the version up to which a collection is complete, and false before its
// first list.
func (mirror *Mirror) SyncedVersion(name objects.Collection) (objects.Version, bool) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	collection := mirror.collection(name)
	return collection.syncedVersion, collection.listed
}

// RecordEmpty records that another VM knows of no object of a collection that was listed.
func (mirror *Mirror) RecordEmpty(name objects.Collection) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	mirror.collection(name).empty = true
}

// NewestVersion returns the version of the newest known change.
func (mirror *Mirror) NewestVersion() objects.Version {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.newestVersion
}

// Replace applies a complete list of a collection and returns the changes. A list older
// than the version up to which the collection is complete changes nothing. Objects that
// the list lacks are removed unless their version is newer than the list's.
func (mirror *Mirror) Replace(name objects.Collection, list []objects.Object, version objects.Version) []Change {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	collection := mirror.collection(name)
	if version < collection.syncedVersion {
		return nil
	}
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, object := range list {
		listed[object.Metadata.Name] = true
		changes = mirror.put(changes, name, object, object.Metadata.ResourceVersion, false)
	}
	for key, entry := range collection.entries {
		if !listed[key] && !entry.removed && entry.version <= version {
			changes = mirror.put(changes, name, entry.object, version, true)
		}
	}
	collection.syncedVersion, collection.listed = version, true
	collection.prune()
	return changes
}

// Apply applies the events of a watch, which are complete up to a version, and returns the
// changes.
//
// The event of a removal may carry the version of the object's last change, which says
// nothing about when it was removed. An object whose last event is a removal does not exist
// at the version up to which the events are complete, so its removal gets this version.
// Positions then show it to VMs that have newer changes of other objects.
func (mirror *Mirror) Apply(name objects.Collection, events []objects.WatchEvent, upTo objects.Version) []Change {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	collection := mirror.collection(name)
	last := make(map[string]int, len(events)) // index of each object's last event
	for i, event := range events {
		last[event.Object.Metadata.Name] = i
	}
	var changes []Change
	for i, event := range events {
		removed := event.Type == objects.Deleted
		key, version := event.Object.Metadata.Name, event.Object.Metadata.ResourceVersion
		entry, ok := collection.entries[key]
		switch {
		case removed && last[key] == i:
			version = max(version, upTo)
		case removed && ok && entry.version == version && !entry.removed:
			version++ // older than the object that was created again
		}
		changes = mirror.put(changes, name, event.Object, version, removed)
	}
	collection.syncedVersion = max(collection.syncedVersion, upTo)
	return changes
}

// put stores an object's state if it is newer than the known one, and returns changes
// with this change appended if the object was added, modified or removed. The caller holds mu.
func (mirror *Mirror) put(changes []Change, name objects.Collection, object objects.Object, version objects.Version, removed bool) []Change {
	collection := mirror.collection(name)
	mirror.newestVersion = max(mirror.newestVersion, version)
	collection.newestVersion = max(collection.newestVersion, version)
	return collection.put(changes, name, object, version, removed)
}

// put implements Mirror.put, but does not record that the changes up to the version are known.
func (collection *collection) put(changes []Change, name objects.Collection, object objects.Object, version objects.Version, removed bool) []Change {
	current, ok := collection.entries[object.Metadata.Name]
	if ok && current.version >= version {
		return changes
	}
	collection.entries[object.Metadata.Name] = &entry{object: object, version: version, removed: removed}
	if removed && (!ok || current.removed) {
		return changes // the object did not exist or was already removed
	}
	return append(changes, Change{Collection: name, Object: object, Removed: removed})
}

// prune deletes all removed entries when there are more than maxRemovals.
func (collection *collection) prune() {
	removed := 0
	for _, entry := range collection.entries {
		if entry.removed {
			removed++
		}
	}
	if removed <= maxRemovals {
		return
	}
	for key, entry := range collection.entries {
		if entry.removed {
			delete(collection.entries, key)
		}
	}
}

// Merge applies objects received from another VM, which are all that this one lacked of
// their collections, and returns the changes. Objects whose ID has no collection are ignored.
func (mirror *Mirror) Merge(received []catalog.Object) []Change {
	return mirror.merge(received, (*Mirror).put)
}

// MergeAhead applies objects received from another VM ahead of changes that precede them, and
// returns the changes. Positions do not show them until those are known.
func (mirror *Mirror) MergeAhead(received []catalog.Object) []Change {
	return mirror.merge(received, func(mirror *Mirror, changes []Change, name objects.Collection, object objects.Object, version objects.Version, removed bool) []Change {
		return mirror.collection(name).put(changes, name, object, version, removed)
	})
}

func (mirror *Mirror) merge(received []catalog.Object, put func(*Mirror, []Change, objects.Collection, objects.Object, objects.Version, bool) []Change) []Change {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	var changes []Change
	for _, object := range received {
		name, key, ok := strings.Cut(object.ID, "/")
		if !ok {
			continue
		}
		converted := objects.Object{Metadata: objects.Metadata{Name: key, ResourceVersion: object.Version}, Spec: object.Spec}
		changes = put(mirror, changes, objects.Collection(name), converted, object.Version, object.Deleted)
	}
	return changes
}

// Get returns the newest known state of an object, also if that is its removal, or false if it
// was never known.
func (mirror *Mirror) Get(name objects.Collection, key string) (catalog.Object, bool) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	entry, ok := mirror.collection(name).entries[key]
	if !ok {
		return catalog.Object{}, false
	}
	return entry.encode(name, key), true
}

func (entry *entry) encode(name objects.Collection, key string) catalog.Object {
	return catalog.Object{ID: string(name) + "/" + key, Version: entry.version, Deleted: entry.removed, Spec: entry.object.Spec}
}

// Positions returns the version of the newest known change of each collection, 0 of one
// that is known to have had no object. Each collection has its own position because changes
// of one may arrive before earlier changes of another.
func (mirror *Mirror) Positions() []objects.Position {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	var positions []objects.Position
	for name, collection := range mirror.collections {
		if collection.newestVersion > 0 || collection.listed || collection.empty {
			positions = append(positions, objects.Position{Collection: name, Version: collection.newestVersion})
		}
	}
	return positions
}

// LacksChanges reports whether another VM with the given positions has a newer change of any
// collection.
func (mirror *Mirror) LacksChanges(positions []objects.Position) bool {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	for _, position := range positions {
		if mirror.collection(position.Collection).newestVersion < position.Version {
			return true
		}
	}
	return false
}

// ChangesSince returns all changes after the given positions of another VM, and the
// version of the newest known change. Objects that were merged ahead are left out: the other VM
// would take the changes that precede them for known.
func (mirror *Mirror) ChangesSince(positions []objects.Position) ([]catalog.Object, objects.Version) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	versions := map[objects.Collection]objects.Version{}
	for _, position := range positions {
		versions[position.Collection] = position.Version
	}
	var changed []catalog.Object
	for name, collection := range mirror.collections {
		for key, entry := range collection.entries {
			if entry.version <= versions[name] || entry.version > collection.newestVersion {
				continue
			}
			changed = append(changed, entry.encode(name, key))
		}
	}
	return changed, mirror.newestVersion
}

// Objects returns the objects of a collection that are not removed.
func (mirror *Mirror) Objects(name objects.Collection) []objects.Object {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	var listed []objects.Object
	for _, entry := range mirror.collection(name).entries {
		if !entry.removed {
			listed = append(listed, entry.object)
		}
	}
	return listed
}
