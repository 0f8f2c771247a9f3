package catalog

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/bramleygw/bramleygw/objects"
)

// Store holds the current snapshot. It is safe for concurrent use; Snapshot
// never blocks.
type Store struct {
	// OnFault, if set, is called with the error for each object whose spec cannot
	// be decoded or is invalid. It must be set before the store is used.
	OnFault func(error)

	current atomic.Pointer[Snapshot]

	mu sync.Mutex // guards the fields below
	// objects holds the newest known version of each object, including deleted
	// objects.
	objects map[string]entry
	version objects.Version
	loaded  bool          // a list was loaded, even an empty one
	changed chan struct{} // closed and replaced at each change
}

// New returns an empty store.
func New() *Store {
	store := &Store{objects: map[string]entry{}, changed: make(chan struct{})}
	store.current.Store(build(nil, 0))
	return store
}

// Snapshot returns the current configuration.
func (store *Store) Snapshot() *Snapshot {
	return store.current.Load()
}

// Changed returns a channel that is closed at the next change.
func (store *Store) Changed() <-chan struct{} {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.changed
}

// Load applies a complete list that includes all changes up to the version.
// Objects that are not in the list are deleted unless they are newer than the
// list. If the list is older than the store, Load changes nothing and returns
// false.
func (store *Store) Load(objects []Object, version objects.Version) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if version < store.version {
		return false
	}
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.ID] = true
		store.storeIfNewer(object)
	}
	for id, object := range store.objects {
		if !listed[id] && object.Version <= version {
			delete(store.objects, id)
		}
	}
	store.version = version
	store.loaded = true
	store.publish()
	return true
}

// Loaded reports whether a list was loaded. The version cannot show this, since
// the list of a platform without objects has version 0.
func (store *Store) Loaded() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.loaded
}

// Apply applies one change from a watch. The store then includes all changes up
// to the version of the object.
func (store *Store) Apply(object Object) {
	store.mu.Lock()
	defer store.mu.Unlock()
	changed := store.storeIfNewer(object)
	store.version = max(store.version, object.Version)
	if changed {
		store.publish()
	} else {
		store.publishVersion()
	}
}

// ApplyUnordered applies one change that another VM sent or that this VM wrote.
// Earlier changes may be missing, so the store's version does not change. It
// returns false if it changed nothing, as when the store already had this version
// of the object or a newer one.
func (store *Store) ApplyUnordered(object Object) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if !store.storeIfNewer(object) {
		return false
	}
	store.publish()
	return true
}

// Advance records that the store includes all changes up to the version.
func (store *Store) Advance(version objects.Version) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if version <= store.version {
		return
	}
	store.version = version
	store.publishVersion()
}

// Objects returns all objects, including deleted ones, and the version up to
// which they include all changes. Other VMs receive them as a snapshot.
func (store *Store) Objects() ([]Object, objects.Version) {
	store.mu.Lock()
	defer store.mu.Unlock()
	objects := make([]Object, 0, len(store.objects))
	for _, object := range store.objects {
		objects = append(objects, object.Object)
	}
	return objects, store.version
}

// Object returns the newest known version of an object.
func (store *Store) Object(kind Kind, name string) (Object, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	object, ok := store.objects[ID(kind, name)]
	return object.Object, ok && !object.Deleted
}

// ObjectsOf returns the newest known version of each object of the kind, without
// deleted objects.
func (store *Store) ObjectsOf(kind Kind) []Object {
	store.mu.Lock()
	defer store.mu.Unlock()
	var objects []Object
	for _, object := range store.objects {
		if object.Kind() == kind && !object.Deleted {
			objects = append(objects, object.Object)
		}
	}
	return objects
}

// storeIfNewer stores the object if it is newer than the known version, and
// reports whether anything changed. The caller holds mu.
func (store *Store) storeIfNewer(object Object) bool {
	known, ok := store.objects[object.ID]
	if ok && known.Version >= object.Version {
		return store.applyLateWithdrawal(known, object)
	}
	if object.Kind() == KindKey && ok {
		object.Spec = preserveWithdrawal(known.value, object.Spec)
	}
	updated, err := object.toEntry()
	if err != nil {
		store.reportFault(err)
		if !ok || known.Deleted {
			return false
		}
		updated = known // the previous spec stays in use
		updated.Version = object.Version
	}
	store.objects[object.ID] = updated
	return true
}

// publish replaces the current snapshot by one built from the stored objects and signals
// the change. The caller holds mu.
func (store *Store) publish() {
	store.current.Store(build(store.objects, store.version))
	close(store.changed)
	store.changed = make(chan struct{})
}

// applyLateWithdrawal applies the withdrawal of a key that arrives after a newer
// version of the key: a withdrawal takes effect in whatever order the changes
// arrive. The caller holds mu.
func (store *Store) applyLateWithdrawal(known entry, older Object) bool {
	current, ok := known.value.(*Key)
	if !ok || current.Withdrawn || older.Deleted {
		return false
	}
	withdrawn, err := parse(KindKey, older.Spec)
	if err != nil || !withdrawn.(*Key).Withdrawn || withdrawn.(*Key).Digest != current.Digest {
		return false // the current key was created again under the same name
	}
	known.Spec = older.Spec
	known.value = withdrawn
	store.objects[known.ID] = known
	return true
}

// preserveWithdrawal returns the spec to be stored for a changed key. A key that was
// withdrawn stays withdrawn, even if a concurrent change made it valid.
func preserveWithdrawal(known any, spec json.RawMessage) json.RawMessage {
	knownKey, ok := known.(*Key)
	if !ok || !knownKey.Withdrawn {
		return spec
	}
	var changedKey Key
	if err := json.Unmarshal(spec, &changedKey); err != nil {
		return spec
	}
	changedKey.Withdrawn = true
	text, _ := json.Marshal(changedKey) // cannot fail: strings and a bool only
	return text
}

func (store *Store) reportFault(err error) {
	if store.OnFault != nil {
		store.OnFault(err)
	}
}

// publishVersion publishes the current configuration at the store's version. The
// caller holds mu.
func (store *Store) publishVersion() {
	snapshot := *store.current.Load()
	snapshot.Version = store.version
	store.current.Store(&snapshot)
}
