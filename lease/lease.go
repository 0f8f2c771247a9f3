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
)

const (
	// Term is how long a lease lasts after its last renewal.
	Term = 6 * time.Second
	// Margin is how much earlier its holder stops.
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
	// Token grows with each acquisition.
	Token uint64 `json:"token"`
	// Renewals makes each renewal a change.
	Renewals uint64 `json:"renewals"`
}

// Lease is one VM's view of a lease. It is used by one goroutine.
type Lease struct {
	objects Objects
	name    string
	holder  string

	deadline time.Time // of the own term
	token    uint64
	seen     objects.Version
	seenAt   time.Time // when the seen version was first seen
}

// New returns a view of the named lease for a holder.
func New(objects Objects, name, holder string) *Lease {
	return &Lease{objects: objects, name: name, holder: holder}
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
		_, err = lease.objects.Create(ctx, objects.Leases, lease.name, Spec{Holder: lease.holder, Token: 1})
		return lease.settle(err, asked, 1)
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
	// Another process of the same VM is another holder: its orders may still run.
	if spec.Holder != lease.holder {
		if spec.Holder != "" && asked.Sub(lease.seenAt) < Term+Margin {
			lease.deadline = time.Time{}
			return false
		}
		spec = Spec{Holder: lease.holder, Token: spec.Token + 1}
	}
	spec.Renewals++
	_, err := lease.objects.Update(ctx, objects.Leases, lease.name, version, spec)
	return lease.settle(err, asked, spec.Token)
}

// settle notes the outcome of a write. After a lost answer the term is not
// extended; the next try finds out.
func (lease *Lease) settle(err error, asked time.Time, token uint64) bool {
	if errors.IsAny(err, objects.ErrConflict, objects.ErrExists) {
		lease.deadline = time.Time{} // another holder wrote, or a lost write of this one did
		return false
	}
	if err != nil {
		return lease.Held(time.Now()) && lease.token == token
	}
	lease.deadline = asked.Add(Term - Margin)
	lease.token = token
	return true
}

// Release gives the lease up, so that another VM need not wait. It may be
// called only when no order runs.
func (lease *Lease) Release(ctx context.Context) {
	lease.deadline = time.Time{}
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
