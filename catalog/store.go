package catalog

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/bramleygw/bramleygw/objects"
)

// Store holds the current snapshot. It is safe for concurrent use; Snapshot
// never waits.
type Store struct {
	// OnFault, if set before use, is told of objects that cannot be read.
	OnFault func(error)

	current atomic.Pointer[Snapshot]

	mu sync.Mutex // guards objects and version
	// objects holds the newest known version of each object, deletions too.
	objects map[string]entry
	version objects.Version
	loaded  bool // a list was taken, be it empty
	changed chan struct{}
}

// New returns an empty store.
func New() *Store {
	store := &Store{objects: map[string]entry{}, changed: make(chan struct{})}
	store.current.Store(build(nil, 0))
	return store
}

// Snapshot returns the configuration in force.
func (store *Store) Snapshot() *Snapshot {
	return store.current.Load()
}

// Changed returns a channel that is closed at the next change.
func (store *Store) Changed() <-chan struct{} {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.changed
}

// Load takes a complete list that is current up to the version. Objects that
// the list lacks are deleted unless they are newer than the list. A list older
// than the store changes nothing and returns false.
func (store *Store) Load(objects []Object, version objects.Version) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if version < store.version {
		return false
	}
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.ID] = true
		store.keep(object)
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

// Loaded reports whether a list was taken. A platform without objects has
// version 0, so that the version does not tell.
func (store *Store) Loaded() bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.loaded
}

// Apply takes one change out of a watch: all changes up to its version are
// known afterwards.
func (store *Store) Apply(object Object) {
	store.mu.Lock()
	defer store.mu.Unlock()
	changed := store.keep(object)
	store.version = max(store.version, object.Version)
	if changed {
		store.publish()
	} else {
		store.advance()
	}
}

// Hint takes one change told by another VM or written by this one. Earlier
// changes may be missing, so the store's version stays. It returns false when
// the object was known already.
func (store *Store) Hint(object Object) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	if !store.keep(object) {
		return false
	}
	store.publish()
	return true
}

// Advance notes that all changes up to the version are known.
func (store *Store) Advance(version objects.Version) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if version <= store.version {
		return
	}
	store.version = version
	store.advance()
}

// Objects returns all objects, deletions too, and the version up to which they
// are complete, for another VM.
func (store *Store) Objects() ([]Object, objects.Version) {
	store.mu.Lock()
	defer store.mu.Unlock()
	objects := make([]Object, 0, len(store.objects))
	for _, object := range store.objects {
		objects = append(objects, object.Object)
	}
	return objects, store.version
}

// Object returns the newest known version of one object.
func (store *Store) Object(kind Kind, name string) (Object, bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	object, ok := store.objects[ID(kind, name)]
	return object.Object, ok && !object.Deleted
}

// ObjectsOf returns the newest known version of each object of a kind.
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

// keep takes the object if it is newer. The caller holds mu.
func (store *Store) keep(object Object) bool {
	known, ok := store.objects[object.ID]
	if ok && known.Version >= object.Version {
		return store.withdrawLate(known, object)
	}
	if object.Kind() == KindKey && ok {
		object.Spec = keepWithdrawn(known.value, object.Spec)
	}
	kept, err := object.parsed()
	if err != nil {
		store.fault(err)
		if !ok || known.Deleted {
			return false
		}
		kept = known // the former one stays in force
		kept.Version = object.Version
	}
	store.objects[object.ID] = kept
	return true
}

// publish makes a snapshot of the objects. The caller holds mu.
func (store *Store) publish() {
	store.current.Store(build(store.objects, store.version))
	close(store.changed)
	store.changed = make(chan struct{})
}

// withdrawLate takes an older news of a key's withdrawal: a withdrawal counts in
// whatever order it arrives. The caller holds mu.
func (store *Store) withdrawLate(known entry, older Object) bool {
	current, ok := known.value.(*Key)
	if !ok || current.Withdrawn || older.Deleted {
		return false
	}
	former, err := parse(KindKey, older.Spec)
	if err != nil || !former.(*Key).Withdrawn || former.(*Key).Digest != current.Digest {
		return false // a key of the same name that was made again
	}
	known.Spec = older.Spec
	known.value = former
	store.objects[known.ID] = known
	return true
}

// keepWithdrawn returns the next spec of a key; once withdrawn, it stays so
// whatever a racing change says.
func keepWithdrawn(known any, next json.RawMessage) json.RawMessage {
	former, ok := known.(*Key)
	if !ok || !former.Withdrawn {
		return next
	}
	var latter Key
	if err := json.Unmarshal(next, &latter); err != nil {
		return next
	}
	latter.Withdrawn = true
	text, _ := json.Marshal(latter) // plain values: cannot fail
	return text
}

func (store *Store) fault(err error) {
	if store.OnFault != nil {
		store.OnFault(err)
	}
}

// advance publishes the same configuration at a later version. The caller
// holds mu.
func (store *Store) advance() {
	snapshot := *store.current.Load()
	snapshot.Version = store.version
	store.current.Store(&snapshot)
}
