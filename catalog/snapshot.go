package catalog

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/quota"
)

// Snapshot is the configuration at one point in time. It is immutable.
type Snapshot struct {
	// Version is the highest resource version up to which the snapshot includes all
	// changes.
	Version objects.Version

	accounts    map[string]*Account
	keys        map[string]*Key // by digest
	keysByName  map[string]*Key
	models      map[string]*Model
	routes      []*Route // longest path first
	targets     []*Target
	serving     map[string][]*Target // by model or service name
	quarantines map[string]time.Time // by digest
	objectives  []*Objective
	rights      [quota.Rights]HeldRight
}

// HeldRight is a right with the resource version of its object. Right is nil if
// no VM has ever held the right.
type HeldRight struct {
	Right   *Right
	Version objects.Version
}

// Account returns the named account, or nil.
func (snapshot *Snapshot) Account(name string) *Account {
	return snapshot.accounts[name]
}

// Accounts returns all accounts, ordered by name.
func (snapshot *Snapshot) Accounts() []*Account {
	return sorted(snapshot.accounts, func(account *Account) string { return account.Name })
}

// Key returns the key with the digest, or nil. Digests are uniformly
// distributed, so the duration of the look-up reveals nothing about a key.
func (snapshot *Snapshot) Key(digest string) *Key {
	return snapshot.keys[digest]
}

// Model returns the named model, or nil.
func (snapshot *Snapshot) Model(name string) *Model {
	return snapshot.models[name]
}

// Models returns all models, ordered by name.
func (snapshot *Snapshot) Models() []*Model {
	return sorted(snapshot.models, func(model *Model) string { return model.Name })
}

// Route returns the route with the longest prefix of the path, or nil.
func (snapshot *Snapshot) Route(path string) *Route {
	for _, route := range snapshot.routes {
		if strings.HasPrefix(path, route.Path) || path+"/" == route.Path {
			return route
		}
	}
	return nil
}

// Targets returns all targets, ordered by name.
func (snapshot *Snapshot) Targets() []*Target {
	return snapshot.targets
}

// Serving returns the targets that serve a model or service, ordered by name.
func (snapshot *Snapshot) Serving(name string) []*Target {
	return snapshot.serving[name]
}

// Quarantined reports whether requests with the digest are blocked at time now.
func (snapshot *Snapshot) Quarantined(digest string, now time.Time) bool {
	until, ok := snapshot.quarantines[digest]
	return ok && now.Before(until)
}

// Right returns the right with the index.
func (snapshot *Snapshot) Right(index int) HeldRight {
	return snapshot.rights[index]
}

// KeyNamed returns the key with the name, or nil.
func (snapshot *Snapshot) KeyNamed(name string) *Key {
	return snapshot.keysByName[name]
}

// Objectives returns all objectives, ordered by name.
func (snapshot *Snapshot) Objectives() []*Objective {
	return snapshot.objectives
}

func sorted[T any](items map[string]*T, name func(*T) string) []*T {
	list := make([]*T, 0, len(items))
	for _, item := range items {
		list = append(list, item)
	}
	sort.Slice(list, func(i, j int) bool { return name(list[i]) < name(list[j]) })
	return list
}

// entry is an object with its decoded spec. Decoded specs are stored so that a
// change decodes only the changed object.
type entry struct {
	Object
	value any // nil for deleted objects and for kinds unknown to this release
}

// build returns a snapshot of the entries.
func build(entries map[string]entry, version objects.Version) *Snapshot {
	snapshot := &Snapshot{
		Version:     version,
		accounts:    map[string]*Account{},
		keys:        map[string]*Key{},
		keysByName:  map[string]*Key{},
		models:      map[string]*Model{},
		serving:     map[string][]*Target{},
		quarantines: map[string]time.Time{},
	}
	for _, entry := range entries {
		snapshot.add(entry)
	}
	snapshot.sortAndIndex()
	return snapshot
}

func (snapshot *Snapshot) add(entry entry) {
	switch value := entry.value.(type) {
	case *Account:
		snapshot.accounts[value.Name] = value
	case *Key:
		snapshot.keys[value.Digest] = value
		snapshot.keysByName[value.Name] = value
	case *Model:
		snapshot.models[value.Name] = value
	case *Route:
		snapshot.routes = append(snapshot.routes, value)
	case *Target:
		snapshot.targets = append(snapshot.targets, value)
	case *Quarantine:
		snapshot.quarantines[value.Digest] = value.Until
	case *Objective:
		snapshot.objectives = append(snapshot.objectives, value)
	case *Right:
		snapshot.rights[value.Index] = HeldRight{Right: value, Version: entry.Version}
	}
}

// sortAndIndex sorts the routes, targets and objectives, and indexes the targets
// by what they serve.
func (snapshot *Snapshot) sortAndIndex() {
	sort.Slice(snapshot.routes, func(i, j int) bool {
		left, right := snapshot.routes[i], snapshot.routes[j]
		if len(left.Path) != len(right.Path) {
			return len(left.Path) > len(right.Path)
		}
		return left.Name < right.Name
	})
	sort.Slice(snapshot.targets, func(i, j int) bool { return snapshot.targets[i].Name < snapshot.targets[j].Name })
	sort.Slice(snapshot.objectives, func(i, j int) bool { return snapshot.objectives[i].Name < snapshot.objectives[j].Name })
	for _, target := range snapshot.targets {
		snapshot.serving[target.Serves] = append(snapshot.serving[target.Serves], target)
	}
}

// checker is a spec that validates itself.
type checker interface{ Check() error }

func decode[T checker](spec json.RawMessage) (any, error) {
	var value T
	if err := json.Unmarshal(spec, &value); err != nil {
		return nil, errors.Wrap(err, "spec is not readable; check the types, and that an address is IP:PORT")
	}
	if err := value.Check(); err != nil {
		return nil, err
	}
	return &value, nil
}

// parse decodes and checks a spec. It returns nil for kinds unknown to this release.
func parse(kind Kind, spec json.RawMessage) (any, error) {
	switch kind {
	case KindAccount:
		return decode[Account](spec)
	case KindKey:
		return decode[Key](spec)
	case KindModel:
		return decode[Model](spec)
	case KindRoute:
		return decode[Route](spec)
	case KindTarget:
		return decode[Target](spec)
	case KindQuarantine:
		return decode[Quarantine](spec)
	case KindObjective:
		return decode[Objective](spec)
	case KindRight:
		return decode[Right](spec)
	}
	return nil, nil
}

// Check validates a spec of the given kind before it is written.
func Check(kind Kind, spec json.RawMessage) error {
	_, err := parse(kind, spec)
	return err
}

// toEntry returns the object with its decoded spec.
func (object Object) toEntry() (entry, error) {
	if object.Deleted {
		return entry{Object: object}, nil
	}
	value, err := parse(object.Kind(), object.Spec)
	return entry{Object: object, value: value}, errors.Wrapf(err, "object %s", object.ID)
}
