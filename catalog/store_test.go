package catalog

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/bramleygw/bramleygw/objects"
)

func keyObject(version objects.Version, withdrawn bool) Object {
	spec, _ := json.Marshal(Key{Name: "k", Account: "school", Digest: fmt.Sprintf("%064d", 1), Withdrawn: withdrawn})
	return Object{ID: ID(KindKey, "k"), Version: version, Spec: spec}
}

func accountObject(name string, version objects.Version, rate float64) Object {
	spec, _ := json.Marshal(Account{Name: name, Rate: rate, Burst: 4 * rate})
	return Object{ID: ID(KindAccount, name), Version: version, Spec: spec}
}

// The promise: an accepted configuration never reverts.
func TestNothingReverts(t *testing.T) {
	cases := []struct {
		name string
		act  func(*Store)
		want float64 // the account's rate in force; 0 for no account
	}{
		{"older change after a newer", func(store *Store) { store.Apply(accountObject("a", 5, 1)) }, 100},
		{"older hint", func(store *Store) { store.Hint(accountObject("a", 9, 1)) }, 100},
		{"list that is older than the store", func(store *Store) { store.Load([]Object{accountObject("a", 5, 1)}, 9) }, 100},
		{"list at the same version with an older object", func(store *Store) { store.Load([]Object{accountObject("a", 5, 1)}, 10) }, 100},
		{"hint kept by a list that does not know it yet", func(store *Store) {
			store.Hint(accountObject("a", 30, 300))
			store.Load([]Object{accountObject("a", 10, 100)}, 20)
		}, 300},
		{"deleted by a newer list", func(store *Store) { store.Load(nil, 20) }, 0},
		{"hint of a new object kept by a list", func(store *Store) {
			store.Load(nil, 20)
			store.Hint(accountObject("a", 30, 300))
			store.Load(nil, 25)
		}, 300},
		{"deleted, then an old hint", func(store *Store) {
			store.Apply(Object{ID: ID(KindAccount, "a"), Version: 20, Deleted: true})
			store.Hint(accountObject("a", 15, 1))
		}, 0},
		{"made again after deletion", func(store *Store) {
			store.Apply(Object{ID: ID(KindAccount, "a"), Version: 20, Deleted: true})
			store.Apply(accountObject("a", 21, 210))
		}, 210},
		{"unreadable change keeps the former", func(store *Store) {
			store.Apply(Object{ID: ID(KindAccount, "a"), Version: 20, Spec: json.RawMessage(`{"name":"a","rate":-1}`)})
		}, 100},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store := New()
			store.Load([]Object{accountObject("a", 10, 100)}, 10)
			test.act(store)
			got := 0.0
			if account := store.Snapshot().Account("a"); account != nil {
				got = account.Rate
			}
			if got != test.want {
				t.Errorf("got a rate of %v, want %v", got, test.want)
			}
		})
	}
}

func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	store := New()
	store.Load([]Object{keyObject(10, false)}, 10)
	store.Hint(keyObject(11, true))
	store.Apply(keyObject(12, false)) // an operator's racing change
	if key := store.Snapshot().Key(fmt.Sprintf("%064d", 1)); key == nil || !key.Withdrawn {
		t.Errorf("got %+v, want it withdrawn", key)
	}
}

// Changes that arrive by watch, by hint and by list, in any order, lead to the
// same configuration.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "changes")
		var changes []Object
		final := map[string]Object{}
		for version := 1; version <= count; version++ {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			object := accountObject(name, objects.Version(version), float64(version))
			if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
				object = Object{ID: object.ID, Version: object.Version, Deleted: true}
			}
			changes = append(changes, object)
			final[object.ID] = object
		}
		store := New()
		for _, object := range rapid.Permutation(changes).Draw(t, "hints") {
			if rapid.Bool().Draw(t, "told") {
				store.Hint(object)
			}
		}
		for _, object := range changes {
			store.Apply(object)
		}
		for _, object := range rapid.Permutation(changes).Draw(t, "late") {
			store.Hint(object)
		}
		for id, want := range final {
			_, ok := store.Object(KindAccount, want.Name())
			if ok == want.Deleted {
				t.Fatalf("got %s present %t, want %t", id, ok, !want.Deleted)
			}
		}
		if got := store.Snapshot().Version; got != objects.Version(count) {
			t.Fatalf("got version %d, want %d", got, count)
		}
	})
}

// The model of a register that only grows: a read never returns less than one
// that ended before it began.
var growing = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		if written, ok := input.(int); ok && written > 0 {
			return true, max(state.(int), written)
		}
		return output.(int) == state.(int), state
	},
}

// Histories of concurrent writers and readers of one object are linearizable.
func TestHistoriesOfVersionsGrow(t *testing.T) {
	for range 10 {
		store := New()
		var mu sync.Mutex
		var history []porcupine.Operation
		clock := int64(0)
		tick := func() int64 {
			mu.Lock()
			defer mu.Unlock()
			clock++
			return clock
		}
		note := func(operation porcupine.Operation) {
			mu.Lock()
			defer mu.Unlock()
			history = append(history, operation)
		}
		var waiting sync.WaitGroup
		for client := range 4 {
			waiting.Go(func() {
				for i := range 8 {
					if client < 2 {
						version := 1 + i*2 + client
						call := tick()
						store.Hint(accountObject("a", objects.Version(version), float64(version)))
						note(porcupine.Operation{ClientId: client, Input: version, Output: 0, Call: call, Return: tick()})
						continue
					}
					call := tick()
					got := 0
					if account := store.Snapshot().Account("a"); account != nil {
						got = int(account.Rate)
					}
					note(porcupine.Operation{ClientId: client, Input: 0, Output: got, Call: call, Return: tick()})
				}
			})
		}
		waiting.Wait()
		if !porcupine.CheckOperations(growing, history) {
			t.Fatal("got a history in which a configuration went back")
		}
	}
}

// Histories of keys: after a withdrawal has ended, no read finds the key valid,
// whatever later changes of operators that did not know say.
func TestHistoriesOfWithdrawals(t *testing.T) {
	for range 10 {
		store := New()
		store.Load([]Object{keyObject(1, false)}, 1)
		var mu sync.Mutex
		var history []porcupine.Operation
		clock := int64(0)
		tick := func() int64 {
			mu.Lock()
			defer mu.Unlock()
			clock++
			return clock
		}
		var waiting sync.WaitGroup
		for client := range 4 {
			waiting.Go(func() {
				for i := range 8 {
					operation := porcupine.Operation{ClientId: client, Input: 0, Output: 0, Call: tick()}
					switch {
					case client == 0 && i == 4:
						operation.Input = 1
						store.Hint(keyObject(50, true))
					case client == 1:
						store.Hint(keyObject(objects.Version(10*i+2), false))
						continue
					default:
						if key := store.Snapshot().Key(fmt.Sprintf("%064d", 1)); key != nil && key.Withdrawn {
							operation.Output = 1
						}
					}
					operation.Return = tick()
					mu.Lock()
					history = append(history, operation)
					mu.Unlock()
				}
			})
		}
		waiting.Wait()
		if !porcupine.CheckOperations(growing, history) {
			t.Fatal("got a history in which a withdrawn key worked again")
		}
	}
}

func BenchmarkApplyIn3000Objects(b *testing.B) {
	store := New()
	var listed []Object
	for i := range 3000 {
		listed = append(listed, accountObject(fmt.Sprint("a", i), objects.Version(i+1), 100))
	}
	store.Load(listed, 3000)
	version := objects.Version(3000)
	b.ReportAllocs()
	for b.Loop() {
		version++
		store.Apply(accountObject("a7", version, float64(version)))
	}
}
