package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/refusal"
)

// storeWithKey returns a configuration store with one key that has the digest.
func storeWithKey(t *testing.T, digest string, withdrawn bool) *catalog.Store {
	t.Helper()
	spec, err := json.Marshal(catalog.Key{Name: "k", Account: "school", Digest: digest, Withdrawn: withdrawn})
	if err != nil {
		t.Fatal(err)
	}
	store := catalog.New()
	store.Load([]catalog.Object{{ID: catalog.ID(catalog.KindKey, "k"), Version: 1, Spec: spec}}, 1)
	return store
}

func TestCancelWithdrawn(t *testing.T) {
	digest := fmt.Sprintf("%064d", 1)
	cases := []struct {
		name  string
		key   string // the request's key
		store *catalog.Store
		want  refusal.Code // empty if the request continues
	}{
		{"valid key", digest, storeWithKey(t, digest, false), ""},
		{"withdrawn key", digest, storeWithKey(t, digest, true), refusal.KeyWithdrawn},
		{"deleted key", digest, catalog.New(), refusal.KeyWithdrawn},
		{"open route", "", catalog.New(), ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var inFlight inFlight
			ctx, request := inFlight.begin(t.Context(), test.key)
			defer inFlight.end(request)
			inFlight.cancelWithdrawn(test.store.Snapshot)
			got := refusal.Code("")
			if ctx.Err() != nil {
				got = refusal.From(context.Cause(ctx)).Code
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// A key is created and used at once, while the VM is still applying the change. The
// request was admitted with a newer configuration than the one that lacks the key.
func TestNewKeyIsNotTreatedAsWithdrawn(t *testing.T) {
	digest := fmt.Sprintf("%064d", 1)
	store := catalog.New()
	var inFlight inFlight
	ctx, request := inFlight.begin(t.Context(), digest)
	defer inFlight.end(request)
	inFlight.cancelWithdrawn(func() *catalog.Snapshot {
		if inFlight.mu.TryLock() {
			inFlight.mu.Unlock()
			t.Error("got a configuration that was read without the lock, want it read while no request can be registered")
		}
		store = storeWithKey(t, digest, false)
		return store.Snapshot()
	})
	if ctx.Err() != nil {
		t.Errorf("got %v, want the request to continue", context.Cause(ctx))
	}
}
