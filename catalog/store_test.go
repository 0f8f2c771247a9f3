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

// An accepted configuration must never be reverted by an older change or list.
func TestAcceptedConfigurationIsNotReverted(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Store)
		want   float64 // the account's current rate; 0 for no account
	}{
		{"older change after a newer one", func(store *Store) { store.Apply(accountObject("a", 5, 1)) }, 100},
		{"older unordered change", func(store *Store) { store.ApplyUnordered(accountObject("a", 9, 1)) }, 100},
		{"list older than the store", func(store *Store) { store.Load([]Object{accountObject("a", 5, 1)}, 9) }, 100},
		{"list at the same version with an older object", func(store *Store) { store.Load([]Object{accountObject("a", 5, 1)}, 10) }, 100},
		{"unordered change newer than a list is retained", func(store *Store) {
			store.ApplyUnordered(accountObject("a", 30, 300))
			store.Load([]Object{accountObject("a", 10, 100)}, 20)
		}, 300},
		{"deleted by a newer list", func(store *Store) { store.Load(nil, 20) }, 0},
		{"new object from an unordered change is retained after a list", func(store *Store) {
			store.Load(nil, 20)
			store.ApplyUnordered(accountObject("a", 30, 300))
			store.Load(nil, 25)
		}, 300},
		{"deleted, then an older unordered change", func(store *Store) {
			store.Apply(Object{ID: ID(KindAccount, "a"), Version: 20, Deleted: true})
			store.ApplyUnordered(accountObject("a", 15, 1))
		}, 0},
		{"created again after deletion", func(store *Store) {
			store.Apply(Object{ID: ID(KindAccount, "a"), Version: 20, Deleted: true})
			store.Apply(accountObject("a", 21, 210))
		}, 210},
		{"invalid change retains the previous spec", func(store *Store) {
			store.Apply(Object{ID: ID(KindAccount, "a"), Version: 20, Spec: json.RawMessage(`{"name":"a","rate":-1}`)})
		}, 100},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store := New()
			store.Load([]Object{accountObject("a", 10, 100)}, 10)
			test.change(store)
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
	store.ApplyUnordered(keyObject(11, true))
	store.Apply(keyObject(12, false)) // an operator's concurrent change
	if key := store.Snapshot().Key(fmt.Sprintf("%064d", 1)); key == nil || !key.Withdrawn {
		t.Errorf("got %+v, want a withdrawn key", key)
	}
}

// Changes from a watch and from other VMs must lead to the same configuration,
// whatever the order in which they arrive.
func TestArrivalOrderDoesNotMatter(t *testing.T) {
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
		for _, object := range rapid.Permutation(changes).Draw(t, "unordered changes") {
			if rapid.Bool().Draw(t, "received") {
				store.ApplyUnordered(object)
			}
		}
		for _, object := range changes {
			store.Apply(object)
		}
		for _, object := range rapid.Permutation(changes).Draw(t, "late changes") {
			store.ApplyUnordered(object)
		}
		for id, want := range final {
			_, ok := store.Object(KindAccount, want.Name())
			if ok == want.Deleted {
				t.Fatalf("object %s: got present=%t, want %t", id, ok, !want.Deleted)
			}
		}
		if got := store.Snapshot().Version; got != objects.Version(count) {
			t.Fatalf("got version %d, want %d", got, count)
		}
	})
}

// increasingRegister models a register whose value never decreases: a read never
// returns less than a read that ended before it began.
var increasingRegister = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		if written, ok := input.(int); ok && written > 0 {
			return true, max(state.(int), written)
		}
		return output.(int) == state.(int), state
	},
}

// Concurrent writes and reads of one object must be linearizable.
func TestObjectVersionsAreLinearizable(t *testing.T) {
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
		record := func(operation porcupine.Operation) {
			mu.Lock()
			defer mu.Unlock()
			history = append(history, operation)
		}
		var clients sync.WaitGroup
		for client := range 4 {
			clients.Go(func() {
				for i := range 8 {
					if client < 2 {
						version := 1 + i*2 + client
						call := tick()
						store.ApplyUnordered(accountObject("a", objects.Version(version), float64(version)))
						record(porcupine.Operation{ClientId: client, Input: version, Output: 0, Call: call, Return: tick()})
						continue
					}
					call := tick()
					got := 0
					if account := store.Snapshot().Account("a"); account != nil {
						got = int(account.Rate)
					}
					record(porcupine.Operation{ClientId: client, Input: 0, Output: got, Call: call, Return: tick()})
				}
			})
		}
		clients.Wait()
		if !porcupine.CheckOperations(increasingRegister, history) {
			t.Fatal("got a history in which a configuration was reverted, want linearizable reads")
		}
	}
}

// Once a withdrawal has completed, no read may find the key valid, even if
// operators who did not know of the withdrawal change the key afterwards.
func TestKeyWithdrawalsAreLinearizable(t *testing.T) {
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
		var clients sync.WaitGroup
		for client := range 4 {
			clients.Go(func() {
				for i := range 8 {
					operation := porcupine.Operation{ClientId: client, Input: 0, Output: 0, Call: tick()}
					switch {
					case client == 0 && i == 4:
						operation.Input = 1
						store.ApplyUnordered(keyObject(50, true))
					case client == 1:
						store.ApplyUnordered(keyObject(objects.Version(10*i+2), false))
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
		clients.Wait()
		if !porcupine.CheckOperations(increasingRegister, history) {
			t.Fatal("got a history in which a withdrawn key became valid again, want linearizable reads")
		}
	}
}

func BenchmarkApplyWith3000Objects(b *testing.B) {
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
