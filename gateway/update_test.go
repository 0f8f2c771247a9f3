package gateway

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/front"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
)

// largeDecoder decodes configurations of the size that users have. The limit of each
// account and the address of each target tell the version.
type largeDecoder struct{ fakeDecoder }

const largeAccounts = 430

func (largeDecoder) Config(object objects.Object) (routing.Config, error) {
	config := routing.Config{Version: specNumber(object)}
	for i := range largeAccounts {
		name := fmt.Sprint("account-", i)
		config.Accounts = append(config.Accounts, routing.Account{Name: name, Keys: []string{name}, Rate: float64(config.Version)})
	}
	return config, nil
}

func (largeDecoder) Target(object objects.Object) (roster.Entry, error) {
	number := specNumber(object)
	_, _ = largeDecoder{}.Config(object) // takes as long as on a small VM
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(number))
	return roster.Entry{ID: object.Metadata.Name, Service: "ward", Address: address}, nil
}

// Guards against CONFIG: of two versions that arrive at the same time from the store and
// from another VM, the older one is put into effect last and stays in force.
func TestNewestVersionStaysInForce(t *testing.T) {
	const changes = 200
	for _, collection := range []objects.Collection{objects.Configs, objects.Targets} {
		t.Run(string(collection), func(t *testing.T) {
			store := newFakeStore()
			gateway := &Gateway{
				Settings: settings.PlatformVM{Name: "vm-0"}, Store: store, Decoder: largeDecoder{},
				Log: event.New(io.Discard, "vm-0", event.LevelError), callerServer: &front.Server{}, started: time.Now(),
			}
			gateway.build()
			inForce := func() int64 {
				if collection == objects.Configs {
					return gateway.relay.Table().Version
				}
				return int64(gateway.roster.Entries()[0].Address.Port())
			}
			for version := int64(1); version <= 2*changes; version += 2 {
				store.put(collection, version)
				older := catalog.Object{ID: string(collection) + "/" + string(collection), Version: store.version, Spec: []byte(strconv.FormatInt(version, 10))}
				store.put(collection, version+1)
				var sources sync.WaitGroup
				sources.Go(func() { gateway.applyFetched([]catalog.Object{older}) })
				sources.Go(func() {
					if err := gateway.listCollection(context.Background(), collection); err != nil {
						t.Error(err)
					}
				})
				sources.Wait()
				if got, want := inForce(), version+1; got != want {
					t.Fatalf("got version %d in force, want %d", got, want)
				}
			}
		})
	}
}
