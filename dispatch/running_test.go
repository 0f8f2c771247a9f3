package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/refusal"
)

// keyed returns a configuration with one key of the digest.
func keyed(t *testing.T, digest string, withdrawn bool) *catalog.Store {
	t.Helper()
	spec, err := json.Marshal(catalog.Key{Name: "k", Account: "school", Digest: digest, Withdrawn: withdrawn})
	if err != nil {
		t.Fatal(err)
	}
	store := catalog.New()
	store.Load([]catalog.Object{{ID: catalog.ID(catalog.KindKey, "k"), Version: 1, Spec: spec}}, 1)
	return store
}

func TestWithdrawnKeysEndTheirRequests(t *testing.T) {
	digest := fmt.Sprintf("%064d", 1)
	cases := []struct {
		name  string
		key   string // of the request
		store *catalog.Store
		want  refusal.Code // empty when the request goes on
	}{
		{"key that works", digest, keyed(t, digest, false), ""},
		{"withdrawn key", digest, keyed(t, digest, true), refusal.KeyWithdrawn},
		{"deleted key", digest, catalog.New(), refusal.KeyWithdrawn},
		{"open route", "", catalog.New(), ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var running running
			ctx, run := running.begin(t.Context(), test.key)
			defer running.end(run)
			running.endWithdrawn(test.store.Snapshot)
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

// A key is made and used at once, while the VM takes up the change: the request
// came in with a newer configuration than the one that lacks the key.
func TestNewKeyIsNotTakenForWithdrawn(t *testing.T) {
	digest := fmt.Sprintf("%064d", 1)
	store := catalog.New()
	var running running
	ctx, run := running.begin(t.Context(), digest)
	defer running.end(run)
	running.endWithdrawn(func() *catalog.Snapshot {
		if running.mu.TryLock() {
			running.mu.Unlock()
			t.Error("got a configuration that was read while requests could join, want one that is newer than theirs")
		}
		store = keyed(t, digest, false)
		return store.Snapshot()
	})
	if ctx.Err() != nil {
		t.Errorf("got %v, want the request to go on", context.Cause(ctx))
	}
}
