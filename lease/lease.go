// Package lease provides mutual exclusion between VMs: only the holder of a lease
// may send orders.
//
// The lease is an object in the platform that its holder renews. Clocks are never
// compared between VMs. Another VM takes the lease over when it has seen the object
// unchanged for the term plus a margin by its own clock; the holder counts its term
// from before it sent the renewal and stops a margin before the end. The clocks
// therefore only need to run at about the same rate. Each acquisition increases the
// fencing token.
//
// VMs may tell each other which version of the object they know and for how long, so
// that the time for which it was unchanged includes the time before a VM's first look.
//
// # Usage
//
//	lease := lease.New(platformClient, "plans", "vm-1/3f")
//	if lease.AcquireOrRenew(ctx) { // acquired or renewed
//		deadline := lease.Deadline() // orders must end before this time
//		token := lease.Token()
//	}
package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/settings"
)

const (
	// Term is how long a lease is valid after its last renewal.
	Term = 6 * time.Second
	// Margin is how long before the end of the term the holder stops, and how long
	// after the end another VM takes over. It allows for different clock rates.
	Margin = 1500 * time.Millisecond
	// RenewInterval is how often the holder renews the lease.
	RenewInterval = 1500 * time.Millisecond
)

// Objects is the part of the platform's API that leases use.
type Objects interface {
	Get(ctx context.Context, collection objects.Collection, name string) (objects.Object, error)
	Create(ctx context.Context, collection objects.Collection, name string, spec any) (objects.Object, error)
	Update(ctx context.Context, collection objects.Collection, name string, version objects.Version, spec any) (objects.Object, error)
}

// Spec is the spec of a lease's object in the platform.
type Spec struct {
	// Holder is the current holder, or empty after a release.
	Holder string `json:"holder"`
	// Boot identifies the holder's process, to distinguish a restarted process from
	// earlier ones.
	Boot string `json:"boot,omitempty"`
	// Token is the fencing token; it increases with each acquisition.
	Token uint64 `json:"token"`
	// Renewals counts the renewals, so that each renewal changes the object.
	Renewals uint64 `json:"renewals"`
}

// Observation is a version of the lease's object that a VM knows.
type Observation struct {
	Version objects.Version
	// Holder is the holder according to that version; empty after a release.
	Holder string
	// At is a time at which the object had the version already.
	At time.Time
}

// Lease is one VM's view of a lease. Only Observe and Observed are safe for concurrent
// use.
type Lease struct {
	// ValidFor is how long after a renewal orders may be sent, and TakeoverDelay how
	// long the object must have been unchanged before another holder may take the
	// lease. The defaults are Term-Margin and Term+Margin; set other values before
	// the first use.
	ValidFor      settings.Span
	TakeoverDelay settings.Span
	// Boot, if set, distinguishes this process from earlier ones of the same holder.
	// A new process takes its holder's lease at once, with a higher token.
	Boot string

	objects Objects
	name    string
	holder  string

	deadline time.Time // when this holder must have stopped; zero when not held
	token    uint64
	written  objects.Version // version of this holder's last write; 0 when unknown
	renewals uint64

	mu       sync.Mutex // guards observed
	observed Observation
}

// New returns a Lease with the given name for a holder. It does not acquire it.
func New(objects Objects, name, holder string) *Lease {
	return &Lease{objects: objects, name: name, holder: holder, ValidFor: settings.Span(Term - Margin), TakeoverDelay: settings.Span(Term + Margin)}
}

// Held reports whether the lease is held and has not expired at the given time.
func (lease *Lease) Held(now time.Time) bool {
	return now.Before(lease.deadline)
}

// Deadline returns the time by which the holder must have stopped. It is zero if the
// lease was never acquired, was lost or has been released.
func (lease *Lease) Deadline() time.Time {
	return lease.deadline
}

// Token returns the fencing token of this holder's last acquisition.
func (lease *Lease) Token() uint64 {
	return lease.token
}

// Observe records a version of the object that this VM or another one knows, and returns
// the newest known one with the earliest time.
func (lease *Lease) Observe(observation Observation) Observation {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	newer := observation.Version > lease.observed.Version
	if newer || observation.Version == lease.observed.Version && observation.At.Before(lease.observed.At) {
		lease.observed = observation
	}
	return lease.observed
}

// Observed returns the newest version of the object that is known here. Its version is 0
// if none is.
func (lease *Lease) Observed() Observation {
	lease.mu.Lock()
	defer lease.mu.Unlock()
	return lease.observed
}

// AcquireOrRenew acquires or renews the lease and returns whether it is held.
func (lease *Lease) AcquireOrRenew(ctx context.Context) bool {
	requestedAt := time.Now()
	object, err := lease.objects.Get(ctx, objects.Leases, lease.name)
	if errors.Is(err, objects.ErrNotFound) {
		spec := Spec{Holder: lease.holder, Boot: lease.Boot, Token: 1}
		object, err = lease.objects.Create(ctx, objects.Leases, lease.name, spec)
		return lease.recordWrite(err, object, requestedAt, spec)
	}
	if err != nil {
		return lease.Held(time.Now())
	}
	var spec Spec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return false
	}
	return lease.writeIfAllowed(ctx, object.Metadata.ResourceVersion, spec, requestedAt)
}

// writeIfAllowed writes the lease if this holder may do so, given the version and
// the spec that were read: it renews its own lease and acquires one that is
// released, expired or held by an earlier process of the same holder.
func (lease *Lease) writeIfAllowed(ctx context.Context, version objects.Version, spec Spec, requestedAt time.Time) bool {
	// The time after the answer, because the object may have been written while the
	// call was in progress.
	known := lease.Observe(Observation{Version: version, Holder: spec.Holder, At: time.Now()})
	switch {
	case spec.Holder == lease.holder && spec.Boot == lease.Boot:
	case spec.Holder == lease.holder || spec.Holder == "":
		spec = Spec{Holder: lease.holder, Token: spec.Token + 1}
	case requestedAt.Before(lease.TakeoverDelay.After(known.At)):
		// The other holder's lease may still be valid. This includes an earlier
		// process of the same VM under another holder name: its orders may still be
		// running. If both processes use one name and set Boot, the case above applies.
		lease.deadline, lease.written = time.Time{}, 0
		return false
	default:
		spec = Spec{Holder: lease.holder, Token: spec.Token + 1}
	}
	return lease.write(ctx, version, spec, requestedAt)
}

// Renew renews the lease with a single write. It returns true only if the platform
// has confirmed the write, so that no other holder can have taken the lease over.
func (lease *Lease) Renew(ctx context.Context) bool {
	if lease.written == 0 {
		return lease.AcquireOrRenew(ctx) && lease.written != 0
	}
	spec := Spec{Holder: lease.holder, Token: lease.token, Renewals: lease.renewals}
	return lease.write(ctx, lease.written, spec, time.Now()) && lease.written != 0
}

func (lease *Lease) write(ctx context.Context, version objects.Version, spec Spec, requestedAt time.Time) bool {
	spec.Boot = lease.Boot
	spec.Renewals++
	object, err := lease.objects.Update(ctx, objects.Leases, lease.name, version, spec)
	return lease.recordWrite(err, object, requestedAt, spec)
}

// recordWrite records the outcome of a write. If the reply was lost, the
// deadline is not extended; the next AcquireOrRenew reads whether the write took effect.
func (lease *Lease) recordWrite(err error, object objects.Object, requestedAt time.Time, spec Spec) bool {
	lease.written = 0
	if errors.IsAny(err, objects.ErrConflict, objects.ErrExists) {
		lease.deadline = time.Time{} // another holder wrote, or an earlier write by this holder took effect without a reply
		return false
	}
	if err != nil {
		return lease.Held(time.Now()) && lease.token == spec.Token
	}
	lease.deadline = lease.ValidFor.After(requestedAt)
	lease.token, lease.renewals = spec.Token, spec.Renewals
	lease.written = object.Metadata.ResourceVersion
	lease.Observe(Observation{Version: lease.written, Holder: lease.holder, At: time.Now()})
	return true
}

// Release gives up the lease, so that another VM can acquire it without waiting for
// it to expire. It must be called only when no order is in progress.
func (lease *Lease) Release(ctx context.Context) {
	lease.deadline, lease.written = time.Time{}, 0
	object, err := lease.objects.Get(ctx, objects.Leases, lease.name)
	if err != nil {
		return
	}
	var spec Spec
	if json.Unmarshal(object.Spec, &spec) != nil || spec.Holder != lease.holder {
		return
	}
	spec.Holder = ""
	_, _ = lease.objects.Update(ctx, objects.Leases, lease.name, object.Metadata.ResourceVersion, spec)
}
