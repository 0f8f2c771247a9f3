package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/objects"
)

// originMemoryStore is the store of a fleet in virtual time.
type originMemoryStore struct {
	Store // methods that these tests do not call

	mu      sync.Mutex // guards the fields below
	version objects.Version
	items   map[string]objects.Object
	down    bool
	// delay, if set, is how late the next write to the collection takes effect, if its
	// condition still holds then. Its answer is lost.
	delay           time.Duration
	delayCollection objects.Collection
	writes          map[objects.Collection]int
}

func newOriginMemoryStore() *originMemoryStore {
	return &originMemoryStore{version: 100, items: map[string]objects.Object{}, writes: map[objects.Collection]int{}}
}

// Get implements Store.
func (store *originMemoryStore) Get(_ context.Context, collection objects.Collection, name string) (objects.Object, error) {
	sleep(5 * time.Millisecond)
	store.mu.Lock()
	defer store.mu.Unlock()
	object, ok := store.items[string(collection)+"/"+name]
	switch {
	case store.down:
		return objects.Object{}, objects.ErrUnavailable
	case !ok:
		return objects.Object{}, objects.ErrNotFound
	}
	return object, nil
}

// List implements Store.
func (store *originMemoryStore) List(_ context.Context, collection objects.Collection) (objects.List, error) {
	sleep(5 * time.Millisecond)
	store.mu.Lock()
	defer store.mu.Unlock()
	var list objects.List
	if store.down {
		return list, objects.ErrUnavailable
	}
	for _, key := range slices.Sorted(maps.Keys(store.items)) {
		if strings.HasPrefix(key, string(collection)+"/") {
			list.Items = append(list.Items, store.items[key])
		}
	}
	return list, nil
}

// Create implements Store.
func (store *originMemoryStore) Create(ctx context.Context, collection objects.Collection, name string, spec any) (objects.Object, error) {
	object, err := store.Update(ctx, collection, name, 0, spec)
	if err == objects.ErrConflict {
		err = objects.ErrExists
	}
	return object, err
}

// Update implements Store.
func (store *originMemoryStore) Update(_ context.Context, collection objects.Collection, name string, version objects.Version, spec any) (objects.Object, error) {
	sleep(5 * time.Millisecond)
	store.mu.Lock()
	defer store.mu.Unlock()
	store.writes[collection]++
	if store.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return objects.Object{}, err
	}
	if store.delay > 0 && store.delayCollection == collection {
		time.AfterFunc(store.delay, func() { store.apply(collection, name, version, text) })
		store.delay = 0
		return objects.Object{}, objects.ErrUnknown
	}
	return store.write(collection, name, version, text)
}

func (store *originMemoryStore) apply(collection objects.Collection, name string, version objects.Version, text []byte) {
	store.mu.Lock()
	defer store.mu.Unlock()
	_, _ = store.write(collection, name, version, text) // nobody receives the answer
}

// write writes an object if it has the version. The caller holds mu.
func (store *originMemoryStore) write(collection objects.Collection, name string, version objects.Version, text []byte) (objects.Object, error) {
	key := string(collection) + "/" + name
	if store.items[key].Metadata.ResourceVersion != version {
		return objects.Object{}, objects.ErrConflict
	}
	store.version++
	store.items[key] = objects.Object{Metadata: objects.Metadata{Name: name, ResourceVersion: store.version}, Spec: text}
	return store.items[key], nil
}

func (store *originMemoryStore) set(change func()) {
	synctest.Wait()
	store.mu.Lock()
	defer store.mu.Unlock()
	change()
}
