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
	taskBuffer   = 256
	taskTimeout  = 5 * time.Second
	burnInterval = time.Minute
)

// task is background work that no request waits for.
type task func(ctx context.Context)

// enqueueTask queues a task, or drops it if the queue is full.
func (router *Router) enqueueTask(work task) {
	select {
	case router.tasks <- work:
	default:
	}
}

// runTasks runs queued tasks one at a time, each within taskTimeout.
func (router *Router) runTasks(ctx context.Context) error {
	for {
		select {
		case work := <-router.tasks:
			taskContext, cancel := context.WithTimeout(ctx, taskTimeout)
			work(taskContext)
			cancel()
		case <-ctx.Done():
			return nil
		}
	}
}

// recordQuarantine stores a blocked request in the platform, so that VMs that
// start later block it as well.
func (router *Router) recordQuarantine(ctx context.Context, digest quarantine.Digest) {
	entry := catalog.Quarantine{Digest: string(digest), Until: router.quarantine.Expiry(digest).UTC().Round(time.Second)}
	router.metrics.PlatformCalls.Add(1)
	object, err := router.platform.Create(ctx, objects.Configs, catalog.ID(catalog.KindQuarantine, string(digest)), entry)
	if err == nil {
		router.Publish(ctx, catalog.FromPlatform(object))
	}
}

// runBurn periodically writes this VM's completed counts for the burn report to
// the platform.
func (router *Router) runBurn(ctx context.Context) error {
	for retry.Wait(ctx, time.Now().Add(burnInterval)) {
		router.writeBurn(ctx)
	}
	return nil
}
