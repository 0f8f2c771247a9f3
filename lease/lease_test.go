package lease

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/objects"
)

// store is an in-memory platform that holds one object.
type store struct {
	mu      sync.Mutex // guards the fields below
	version objects.Version
	spec    json.RawMessage
	// down makes each call fail; loseReply makes the next write take effect without
	// a reply.
	down      bool
	loseReply bool
	// readDelay is how long a read takes to reach the platform.
	readDelay time.Duration
}

func (store *store) object() objects.Object {
	return objects.Object{Metadata: objects.Metadata{ResourceVersion: store.version}, Spec: store.spec}
}

func (store *store) Get(context.Context, objects.Collection, string) (objects.Object, error) {
	store.mu.Lock()
	readDelay := store.readDelay
	store.mu.Unlock()
	<-time.After(readDelay)
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	if store.version == 0 {
		return objects.Object{}, objects.ErrNotFound
	}
	return store.object(), nil
}

func (store *store) write(expected objects.Version, conflict error, spec any) (objects.Object, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.down {
		return objects.Object{}, objects.ErrUnavailable
	}
	if store.version != expected {
		return objects.Object{}, conflict
	}
	store.version++
	store.spec, _ = json.Marshal(spec)
	if store.loseReply {
		store.loseReply = false
		return objects.Object{}, objects.ErrUnknown
	}
	return store.object(), nil
}

func (store *store) Create(_ context.Context, _ objects.Collection, _ string, spec any) (objects.Object, error) {
	return store.write(0, objects.ErrExists, spec)
}

func (store *store) Update(_ context.Context, _ objects.Collection, _ string, version objects.Version, spec any) (objects.Object, error) {
	return store.write(version, objects.ErrConflict, spec)
}

// step is an action at a given time after the start of the test.
type step struct {
	at     time.Duration
	action func(*store, *bool)
}

func TestAtMostOneHolderUnderFaults(t *testing.T) {
	pause := func(_ *store, paused *bool) { *paused = true }
	resume := func(_ *store, paused *bool) { *paused = false }
	cases := []struct {
		name  string
		steps []step
		// wantSecond is set if the second VM must hold the lease at some time.
		wantSecond bool
	}{
		{name: "no fault"},
		{name: "holder paused", steps: []step{{4 * time.Second, pause}}, wantSecond: true},
		{name: "holder paused and resumed", steps: []step{{4 * time.Second, pause}, {16 * time.Second, resume}}, wantSecond: true},
		{name: "holder paused for less than the term", steps: []step{{4 * time.Second, pause}, {7 * time.Second, resume}}},
		{name: "platform down", steps: []step{
			{4 * time.Second, func(store *store, _ *bool) { store.down = true }},
			{20 * time.Second, func(store *store, _ *bool) { store.down = false }},
		}},
		{name: "reply to renewal lost", steps: []step{{4 * time.Second, func(store *store, _ *bool) { store.loseReply = true }}}},
		{name: "holder paused and reply lost", steps: []step{
			{4 * time.Second, pause},
			{11 * time.Second, func(store *store, _ *bool) { store.loseReply = true }},
			{16 * time.Second, resume},
		}, wantSecond: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkAtMostOneHolder(t, test.steps, test.wantSecond) })
		})
	}
}

func checkAtMostOneHolder(t *testing.T, steps []step, wantSecond bool) {
	store := &store{}
	first, second := New(store, "plans", "vm-1/a"), New(store, "plans", "vm-2/b")
	started := time.Now()
	paused, secondHeld := false, false
	var lastToken uint64
	for tick := 0; time.Since(started) < 40*time.Second; tick++ {
		for len(steps) > 0 && time.Since(started) >= steps[0].at {
			steps[0].action(store, &paused)
			steps = steps[1:]
		}
		if tick%10 == 0 {
			if !paused {
				first.AcquireOrRenew(t.Context())
			}
			second.AcquireOrRenew(t.Context())
		}
		now := time.Now()
		if first.Held(now) && second.Held(now) {
			t.Fatalf("got two holders after %v, want one at most", time.Since(started))
		}
		for _, lease := range []*Lease{first, second} {
			if !lease.Held(now) {
				continue
			}
			if lease.Token() < lastToken {
				t.Fatalf("got token %d after %d, want no lower token", lease.Token(), lastToken)
			}
			lastToken = lease.Token()
		}
		secondHeld = secondHeld || second.Held(now)
		<-time.After(100 * time.Millisecond)
	}
	if secondHeld != wantSecond {
		t.Errorf("second VM held the lease: got %t, want %t", secondHeld, wantSecond)
	}
	if !first.Held(time.Now()) && !second.Held(time.Now()) {
		t.Error("got no holder in the end, want one")
	}
}

func TestReleasedLeaseIsAcquiredWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &store{}
		first, second := New(store, "plans", "vm-1/a"), New(store, "plans", "vm-2/b")
		if !first.AcquireOrRenew(t.Context()) || second.AcquireOrRenew(t.Context()) {
			t.Fatal("got no holder or two, want the first")
		}
		first.Release(t.Context())
		if !second.AcquireOrRenew(t.Context()) {
			t.Error("lease not acquired right after its release, want it acquired")
		}
		if got, want := second.Token(), first.Token()+1; got != want {
			t.Errorf("got token %d, want %d", got, want)
		}
	})
}

// Guards against two holders: the lease is renewed while another VM's read of it is in
// progress, so that the version read is younger than the read.
func TestSlowReadDoesNotShortenTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &store{}
		first, second := New(store, "plans", "vm-1/a"), New(store, "plans", "vm-2/b")
		first.AcquireOrRenew(t.Context())
		const readDelay = 4 * time.Second
		store.readDelay = readDelay
		done := make(chan bool)
		go func() { done <- second.AcquireOrRenew(t.Context()) }()
		<-time.After(readDelay - time.Millisecond)
		renewedAt := time.Now()
		if !first.Renew(t.Context()) {
			t.Fatal("got the renewal refused, want it confirmed")
		}
		if <-done {
			t.Fatal("got the lease taken over at the first read, want it left to its holder")
		}
		store.readDelay = 0
		for !second.AcquireOrRenew(t.Context()) {
			<-time.After(10 * time.Millisecond)
		}
		if got, want := time.Since(renewedAt), time.Duration(second.TakeoverDelay); got < want {
			t.Errorf("got the lease taken over %v after its renewal, want at least %v", got, want)
		}
	})
}

// Guards against two holders in turn within the bound: VMs tell each other which write of
// the lease they know, in messages that are lost, late and out of order.
func TestWritesThatVMsTellOfDoNotShortenTakeover(t *testing.T) {
	const seeds = 200
	takeovers := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			store := &store{}
			leases := []*Lease{New(store, "orders", "vm-1/a"), New(store, "orders", "vm-2/b"), New(store, "orders", "vm-3/c")}
			pausedUntil := make([]time.Time, len(leases))
			var wroteAt time.Time // when the lease was last written
			holder := -1
			var token uint64
			for range 600 {
				for i, lease := range leases {
					now := time.Now()
					if now.Before(pausedUntil[i]) {
						continue
					}
					if random.IntN(60) == 0 {
						pausedUntil[i] = now.Add(time.Duration(random.IntN(20_000)) * time.Millisecond)
					}
					observed := lease.Observed()
					age, delay := now.Sub(observed.At), time.Duration(random.IntN(4000))*time.Millisecond
					for _, other := range leases {
						if observed.Version > 0 && random.IntN(3) == 0 {
							time.AfterFunc(delay, func() {
								other.Observe(Observation{Version: observed.Version, Holder: observed.Holder, At: time.Now().Add(-age)})
							})
						}
					}
					if random.IntN(3) > 0 || !lease.AcquireOrRenew(t.Context()) {
						continue
					}
					if early := lease.TakeoverDelay.After(wroteAt).Sub(now); i != holder && holder >= 0 && early > 0 {
						t.Fatalf("seed %d: got the lease taken over %v too early", seed, early)
					}
					if i != holder {
						takeovers++
					}
					if got := lease.Token(); got < token {
						t.Fatalf("seed %d: got token %d after %d", seed, got, token)
					}
					holder, token, wroteAt = i, lease.Token(), now
				}
				<-time.After(100 * time.Millisecond)
			}
		})
	}
	if takeovers < seeds {
		t.Errorf("got %d takeovers, want %d at least", takeovers, seeds)
	}
}
