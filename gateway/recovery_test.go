package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/front"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/roster"
	"github.com/bramleygw/bramleygw/routing"
	"github.com/bramleygw/bramleygw/settings"
)

// pass lets virtual time pass.
func pass(duration time.Duration) {
	<-time.After(duration)
}

// store is the platform's store in memory and in virtual time.
type store struct {
	Store // calls that these tests do not make

	mu      sync.Mutex // guards the fields below
	version objects.Version
	items   map[objects.Collection]objects.Object // one of each
	changed chan struct{}
	// down is until when calls fail, and slow how long others take.
	down time.Time
	slow time.Duration
	// silentFrom and silentUntil bound a silence: calls that wait or come then get
	// nothing until their deadline, also after it.
	silentFrom  time.Time
	silentUntil time.Time
	// forgets is set while watches from before the newest change are refused.
	forgets bool
}

func newStore() *store {
	return &store{items: map[objects.Collection]objects.Object{}, changed: make(chan struct{})}
}

// put writes the collection's object.
func (store *store) put(collection objects.Collection, number int64) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.version++
	spec, _ := json.Marshal(number) // a number: cannot fail
	store.items[collection] = objects.Object{Metadata: objects.Metadata{Name: string(collection), ResourceVersion: store.version}, Spec: spec}
	close(store.changed)
	store.changed = make(chan struct{})
}

// enter waits as long as a call takes and returns its failure.
func (store *store) enter(ctx context.Context) error {
	store.mu.Lock()
	slow := store.slow
	store.mu.Unlock()
	select {
	case <-time.After(slow):
	case <-ctx.Done():
		return ctx.Err()
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if time.Now().Before(store.down) {
		return objects.ErrUnavailable
	}
	return nil
}

// List implements Store.
func (store *store) List(ctx context.Context, collection objects.Collection) (objects.List, error) {
	if err := store.enter(ctx); err != nil {
		return objects.List{}, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	list := objects.List{Metadata: objects.ListMetadata{ResourceVersion: store.version}}
	if item, ok := store.items[collection]; ok {
		list.Items = append(list.Items, item)
	}
	return list, nil
}

// Changes implements Store.
func (store *store) Changes(ctx context.Context, watch objects.Watch) ([]objects.WatchEvent, objects.Version, error) {
	if err := store.enter(ctx); err != nil {
		return nil, 0, err
	}
	end := time.NewTimer(time.Until(watch.Until))
	defer end.Stop()
	began := time.Now()
	for {
		if store.silent(began, time.Now()) {
			return nil, 0, hang(ctx, watch.Until.Add(time.Second))
		}
		store.mu.Lock()
		item, version, changed, forgets := store.items[watch.Collection], store.version, store.changed, store.forgets
		store.mu.Unlock()
		switch {
		case forgets && watch.From < version:
			return nil, 0, objects.ErrGone
		case item.Metadata.ResourceVersion > watch.From:
			return []objects.WatchEvent{{Type: objects.Modified, Object: item}}, version, nil
		}
		select {
		case <-changed:
		case <-end.C:
			if store.silent(began, time.Now()) {
				return nil, 0, hang(ctx, watch.Until.Add(time.Second))
			}
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// silent reports whether a call that began at a time met the silence by now.
func (store *store) silent(began, now time.Time) bool {
	store.mu.Lock()
	defer store.mu.Unlock()
	return began.Before(store.silentUntil) && !now.Before(store.silentFrom)
}

// hang waits as a call does on a connection that is silent.
func hang(ctx context.Context, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	<-ctx.Done()
	return objects.ErrUnknown
}

// decoder reads objects that are numbers.
type decoder struct{}

func number(object objects.Object) int64 {
	var value int64
	_ = json.Unmarshal(object.Spec, &value) // written by put
	return value
}

// Config implements Decoder.
func (decoder) Config(object objects.Object) (routing.Config, error) {
	return routing.Config{Version: number(object), Services: []routing.Service{{Name: "ward"}}}, nil
}

// Target implements Decoder.
func (decoder) Target(object objects.Object) (roster.Entry, error) {
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(number(object)))
	return roster.Entry{ID: object.Metadata.Name, Service: "ward", Address: address}, nil
}

// Weights implements Decoder.
func (decoder) Weights(object objects.Object) (string, uint64, error) {
	return "m", uint64(number(object)), nil
}

// boot starts the parts of a VM that follow the store.
func boot(ctx context.Context, name string, store *store) *Gateway {
	gateway := &Gateway{
		Settings: settings.EntryVM{Name: name}, Store: store, Decoder: decoder{},
		Log: event.New(io.Discard, name, event.LevelError), callers: &front.Server{}, started: time.Now(),
	}
	gateway.build()
	for _, loop := range []func(context.Context) error{gateway.runConfigs, gateway.runTargets, gateway.runWeights} {
		go func() { _ = loop(ctx) }() // ends without an error
	}
	return gateway
}

// The pattern: all VMs are killed at the same moment and come back with nothing,
// while the store that knows everything is down, slow or has no history.
func TestAllVMsRecoverFromTheStoreAlone(t *testing.T) {
	const (
		vms = 3
		// bound is within what the platform allows for a change to be in force.
		bound   = 2 * time.Second
		version = 7
	)
	change := func(store *store) { store.put(objects.Configs, version+1) }
	cases := []struct {
		name   string
		outage time.Duration
		fault  func(*store)
		// during happens while the store is down, and later once the VMs follow it.
		during func(*store)
		later  func(*store)
		want   int64
	}{
		{"store that works", 0, nil, nil, nil, version},
		{"store that is down for long", 20 * time.Second, nil, nil, nil, version},
		{"store that is slow", 0, func(store *store) { store.slow = 700 * time.Millisecond }, nil, nil, version},
		{"store without history", 3 * time.Second, func(store *store) { store.forgets = true }, nil, change, version + 1},
		{"change while it was down", 10 * time.Second, nil, change, nil, version + 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				store := newStore()
				store.put(objects.Configs, version)
				store.put(objects.Targets, 9000)
				store.put(objects.Weights, 4)
				back := time.Now().Add(test.outage)
				store.down = back
				if test.fault != nil {
					test.fault(store)
				}
				var fleet []*Gateway
				for i := range vms {
					fleet = append(fleet, boot(ctx, fmt.Sprint("vm-", i), store))
				}
				pass(test.outage / 2)
				for _, gateway := range fleet {
					if test.outage > 0 && gateway.Ready() {
						t.Error("got a VM that is ready without a configuration, want none")
					}
				}
				if test.during != nil {
					test.during(store)
				}
				pass(time.Until(back.Add(bound)))
				if test.later != nil {
					test.later(store)
					pass(bound)
				}
				synctest.Wait()
				for i, gateway := range fleet {
					if !gateway.Ready() {
						t.Errorf("vm-%d: got not ready %v after the store's return, want ready", i, bound)
						continue
					}
					if got := gateway.relay.Table().Version; got != test.want {
						t.Errorf("vm-%d: got configuration %d, want %d", i, got, test.want)
					}
					if got := gateway.weights.Named("m", time.Now()); got != 4 {
						t.Errorf("vm-%d: got weights %d, want 4", i, got)
					}
				}
			})
		})
	}
}

// The pattern: the store is lost while VMs serve; what they know stays in force,
// and what changed meanwhile is in force soon after its return.
func TestWhatIsKnownStaysInForceWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := newStore()
		store.put(objects.Configs, 1)
		store.put(objects.Targets, 9000)
		gateway := boot(ctx, "vm", store)
		pass(time.Second)
		store.mu.Lock()
		store.down = time.Now().Add(time.Minute)
		store.mu.Unlock()
		store.put(objects.Configs, 2)
		pass(59 * time.Second)
		if !gateway.Ready() || gateway.roster.Size() != 1 {
			t.Errorf("got ready %t and %d targets without the store, want ready with one", gateway.Ready(), gateway.roster.Size())
		}
		pass(3 * time.Second)
		if got := gateway.relay.Table().Version; got != 2 {
			t.Errorf("got configuration %d after the store's return, want 2", got)
		}
	})
}

// The pattern: the store falls silent for all VMs at once and comes back; watches
// that began before stay silent for good, and no other VM knows more. A target that
// leaves soon afterwards must be known to leave in time.
func TestWatchesAreRenewedAfterASilence(t *testing.T) {
	const (
		silence = 4500 * time.Millisecond
		contact = 3 * time.Second // after the store's return, by the platform's rules
		bound   = 2 * time.Second // after the change
	)
	for phase := time.Duration(0); phase < 7*time.Second; phase += 500 * time.Millisecond {
		for _, later := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4200 * time.Millisecond} {
			t.Run(fmt.Sprint(phase, " then ", later), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					defer stop()
					store := newStore()
					store.put(objects.Configs, 1)
					store.put(objects.Targets, 9000)
					gateway := boot(ctx, "vm", store)
					pass(time.Second + phase)
					store.mu.Lock()
					store.silentFrom = time.Now()
					store.silentUntil = store.silentFrom.Add(silence)
					store.mu.Unlock()
					pass(silence + later)
					store.put(objects.Targets, 9001)
					pass(max(bound, contact-later))
					if address, _ := gateway.roster.Address(string(objects.Targets)); address.Port() != 9001 {
						t.Errorf("got the target at %v, want the change that is %v old", address, max(bound, contact-later))
					}
				})
			})
		}
	}
}
