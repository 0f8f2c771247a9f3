// Package lease lets one VM at a time carry out orders.
//
// The lease is an object in the platform that its holder renews. No clocks are
// compared between VMs: another VM takes the lease over when it has seen it
// unchanged for the whole term by its own clock, and the holder counts its term
// from before it asked for the renewal. Both clocks need only run at about the
// same rate; the holder stops a margin earlier. Each acquisition has a higher
// fencing token.
//
// # Usage
//
//	lease := lease.New(platformClient, "plans", "vm-1/3f")
//	if lease.Try(ctx) { // acquired or renewed
//		deadline := lease.Deadline() // orders must end before it
//		token := lease.Token()
//	}
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/settings"
)

const (
	// Term is how long a lease lasts after its last renewal.
	Term = 6 * time.Second
	// Margin is how much earlier its holder stops, and how much later another
	// one takes over.
	Margin = 1500 * time.Millisecond
	// RenewEvery is how often the holder renews it.
	RenewEvery = 1500 * time.Millisecond
)

// Objects is the part of the platform that leases need.
type Objects interface {
	Get(ctx context.Context, collection objects.Collection, name string) (objects.Object, error)
	Create(ctx context.Context, collection objects.Collection, name string, spec any) (objects.Object, error)
	Update(ctx context.Context, collection objects.Collection, name string, version objects.Version, spec any) (objects.Object, error)
}

// Spec is the object in the platform.
type Spec struct {
	Holder string `json:"holder"`
	// Boot tells the holder's process from earlier ones.
	Boot string `json:"boot,omitempty"`
	// Token grows with each acquisition.
	Token uint64 `json:"token"`
	// Renewals makes each renewal a change.
	Renewals uint64 `json:"renewals"`
}

// Lease is one VM's view of a lease. It is used by one goroutine.
type Lease struct {
	// Hold is how long orders may go after a renewal, and Takeover how long the
	// lease must have been unchanged before another holder takes it; set before
	// use where Term and Margin do not fit.
	Hold     settings.Span
	Takeover settings.Span
	// Boot, if set, tells this process from earlier ones of the same holder. A
	// new process takes its holder's lease at once, with a higher token.
	Boot string

	objects Objects
	name    string
	holder  string

	deadline time.Time // of the own term
	token    uint64
	known    objects.Version // of the own last write; 0 when it is not known
	renewals uint64
	seen     objects.Version
	seenAt   time.Time // when the seen version was first seen
}

// New returns a view of the named lease for a holder.
func New(objects Objects, name, holder string) *Lease {
	return &Lease{objects: objects, name: name, holder: holder, Hold: settings.Span(Term - Margin), Takeover: settings.Span(Term + Margin)}
}

// Held reports whether the lease is held and has time in hand.
func (lease *Lease) Held(now time.Time) bool {
	return now.Before(lease.deadline)
}

// Deadline returns when the holder must have stopped.
func (lease *Lease) Deadline() time.Time {
	return lease.deadline
}

// Token returns the fencing token of the own term.
func (lease *Lease) Token() uint64 {
	return lease.token
}

// Try acquires or renews the lease. It returns whether it is held.
func (lease *Lease) Try(ctx context.Context) bool {
	asked := time.Now()
	object, err := lease.objects.Get(ctx, objects.Leases, lease.name)
	if errors.Is(err, objects.ErrNotFound) {
		spec := Spec{Holder: lease.holder, Boot: lease.Boot, Token: 1}
		object, err = lease.objects.Create(ctx, objects.Leases, lease.name, spec)
		return lease.settle(err, object, asked, spec)
	}
	if err != nil {
		return lease.Held(time.Now())
	}
	var spec Spec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return false
	}
	return lease.renew(ctx, object.Metadata.ResourceVersion, spec, asked)
}

func (lease *Lease) renew(ctx context.Context, version objects.Version, spec Spec, asked time.Time) bool {
	if version != lease.seen {
		lease.seen, lease.seenAt = version, asked
	}
	switch {
	case spec.Holder == lease.holder && spec.Boot == lease.Boot:
	case spec.Holder == lease.holder || spec.Holder == "":
		spec = Spec{Holder: lease.holder, Token: spec.Token + 1}
	case asked.Before(lease.Takeover.After(lease.seenAt)):
		// Another process of the same VM is another holder, unless it told its
		// boot: its orders may still run.
		lease.deadline, lease.known = time.Time{}, 0
		return false
	default:
		spec = Spec{Holder: lease.holder, Token: spec.Token + 1}
	}
	return lease.write(ctx, version, spec, asked)
}

// Renew renews the lease with one write. It returns true only when the platform
// has just confirmed it, so that nobody has taken it over.
func (lease *Lease) Renew(ctx context.Context) bool {
	if lease.known == 0 {
		return lease.Try(ctx) && lease.known != 0
	}
	spec := Spec{Holder: lease.holder, Token: lease.token, Renewals: lease.renewals}
	return lease.write(ctx, lease.known, spec, time.Now()) && lease.known != 0
}

func (lease *Lease) write(ctx context.Context, version objects.Version, spec Spec, asked time.Time) bool {
	spec.Boot = lease.Boot
	spec.Renewals++
	object, err := lease.objects.Update(ctx, objects.Leases, lease.name, version, spec)
	return lease.settle(err, object, asked, spec)
}

// settle notes the outcome of a write. After a lost answer the term is not
// extended; the next try finds out.
func (lease *Lease) settle(err error, object objects.Object, asked time.Time, spec Spec) bool {
	lease.known = 0
	if errors.IsAny(err, objects.ErrConflict, objects.ErrExists) {
		lease.deadline = time.Time{} // another holder wrote, or a lost write of this one did
		return false
	}
	if err != nil {
		return lease.Held(time.Now()) && lease.token == spec.Token
	}
	lease.deadline = lease.Hold.After(asked)
	lease.token, lease.renewals = spec.Token, spec.Renewals
	lease.known = object.Metadata.ResourceVersion
	return true
}

// Release gives the lease up, so that another VM need not wait. It may be
// called only when no order runs.
func (lease *Lease) Release(ctx context.Context) {
	lease.deadline, lease.known = time.Time{}, 0
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
