package router

import (
	"context"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/settings"
	"github.com/bramleygw/bramleygw/standin"
)

// TestFirstObjectIsApplied guards against a VM that starts while the platform has
// no objects and then misses the first one that is created.
func TestFirstObjectIsApplied(t *testing.T) {
	ephemeral := netip.MustParseAddrPort("127.0.0.1:0")
	platform := &standin.Platform{}
	listener, err := platform.Start(ephemeral)
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Stop()
	vm := settings.Defaults()
	vm.Name, vm.AvailabilityZone, vm.Platform = "first-object", "a", listener.Addr()
	vm.Caller.Address, vm.Operator.Address, vm.Peer.Address = ephemeral, ephemeral, ephemeral
	router := New(vm, event.New(os.Stderr, vm.Name, event.LevelError))
	if err := router.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx) }()
	defer func() { router.SkipGracefulStop(); cancel(); <-done }()
	deadline := time.After(20 * time.Second)
	created := false
	for router.Catalog().Snapshot().Account("a") == nil {
		if router.Ready() && !created {
			created = true
			client := objects.New(listener.Addr())
			defer client.Close()
			if _, err := client.Create(ctx, objects.Configs, catalog.ID(catalog.KindAccount, "a"), catalog.Account{Name: "a", Rate: 1, Burst: 4}); err != nil {
				t.Fatal(err)
			}
		}
		select {
		case <-router.Catalog().Changed():
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			t.Fatal("got no account, want the first object applied")
		}
	}
}
