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

// A VM that began before there was any object learns of the very first one.
func TestFirstObjectIsLearned(t *testing.T) {
	ephemeral := netip.MustParseAddrPort("127.0.0.1:0")
	stand := &standin.Platform{}
	door, err := stand.Start(ephemeral)
	if err != nil {
		t.Fatal(err)
	}
	defer stand.Stop()
	vm := settings.Defaults()
	vm.Name, vm.AvailabilityZone, vm.Platform = "first-object", "a", door.Addr()
	vm.Caller.Address, vm.Operator.Address, vm.Peer.Address = ephemeral, ephemeral, ephemeral
	router := New(vm, event.New(os.Stderr, vm.Name, event.LevelError))
	if err := router.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx) }()
	defer func() { router.Kill(); cancel(); <-done }()
	deadline := time.After(20 * time.Second)
	made := false
	for router.Catalog().Snapshot().Account("a") == nil {
		if router.Ready() && !made {
			made = true
			client := objects.New(door.Addr())
			defer client.Close()
			if _, err := client.Create(ctx, objects.Configs, catalog.ID(catalog.KindAccount, "a"), catalog.Account{Name: "a", Rate: 1, Burst: 4}); err != nil {
				t.Fatal(err)
			}
		}
		select {
		case <-router.Catalog().Changed():
		case <-time.After(10 * time.Millisecond):
		case <-deadline:
			t.Fatal("got no account, want the first object learned")
		}
	}
}
