package router

import (
	"context"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/retry"
)

const (
	choreBuffer  = 256
	choreTimeout = 5 * time.Second
	burnInterval = time.Minute
)

// chore is work that no request waits for.
type chore func(ctx context.Context)

// later queues a chore; it is dropped when too many wait.
func (router *Router) later(work chore) {
	select {
	case router.chores <- work:
	default:
	}
}

// runChores does chores one at a time.
func (router *Router) runChores(ctx context.Context) error {
	for {
		select {
		case work := <-router.chores:
			limited, cancel := context.WithTimeout(ctx, choreTimeout)
			work(limited)
			cancel()
		case <-ctx.Done():
			return nil
		}
	}
}

// keepQuarantine records a barred request, for VMs that start later.
func (router *Router) keepQuarantine(ctx context.Context, digest quarantine.Digest) {
	entry := catalog.Quarantine{Digest: string(digest), Until: router.suspects.Expiry(digest).UTC().Round(time.Second)}
	router.metrics.PlatformCalls.Add(1)
	object, err := router.platform.Create(ctx, objects.Configs, catalog.ID(catalog.KindQuarantine, string(digest)), entry)
	if err == nil {
		router.Publish(ctx, catalog.FromPlatform(object))
	}
}

// runBurn writes this VM's finished counts into the platform.
func (router *Router) runBurn(ctx context.Context) error {
	for retry.Wait(ctx, time.Now().Add(burnInterval)) {
		router.writeBurn(ctx)
	}
	return nil
}
