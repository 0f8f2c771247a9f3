package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/mirror"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/retry"
)

const (
	// announcementStagger is how much later than the VM ranked before it a VM announces a
	// departure, unless another one has announced it: all watching VMs learn of it at once.
	announcementStagger = 20 * time.Millisecond
	// announcementRetention is how long a VM remembers what was announced to it. It exceeds the
	// longest wait before an announcement.
	announcementRetention = 5 * time.Second
)

// departures announces to other VMs, without waiting for heartbeats, that targets leave or are no
// longer registered. In a large fleet most VMs hear of it through several others, any of which may
// have just stopped.
type departures struct {
	gateway *Gateway
	// notify sends a notice to all other VMs.
	notify func(ctx context.Context, notice peer.Notice)

	mu sync.Mutex // guards announced
	// announced holds when other VMs announced departures to this one.
	announced map[announcement]time.Time
}

// announcement identifies a change of a registration.
type announcement struct {
	id      string
	version objects.Version
}

func newDepartures(gateway *Gateway) *departures {
	return &departures{gateway: gateway, notify: gateway.notify, announced: map[announcement]time.Time{}}
}

// announce announces the departures among changes that the store delivered, when it is this VM's
// turn.
func (departures *departures) announce(ctx context.Context, changes []mirror.Change) {
	var departed []catalog.Object
	for _, change := range changes {
		if change.Collection != objects.Targets || !departures.isDeparture(change) {
			continue
		}
		if object, ok := departures.gateway.mirror.Get(objects.Targets, change.Object.Metadata.Name); ok {
			departed = append(departed, object)
		}
	}
	if len(departed) > 0 {
		now := time.Now()
		go departures.run(ctx, departed, now.Add(time.Duration(min(departures.gateway.rank(now), promptWatchers))*announcementStagger))
	}
}

func (departures *departures) isDeparture(change mirror.Change) bool {
	if change.Removed {
		return true
	}
	entry, err := departures.gateway.Decoder.Target(change.Object)
	return err == nil && entry.Draining
}

// run announces at the given time what no other VM has announced by then.
func (departures *departures) run(ctx context.Context, departed []catalog.Object, at time.Time) {
	if !retry.Wait(ctx, at) {
		return
	}
	if unannounced := departures.unannounced(departed); len(unannounced) > 0 {
		departures.notify(ctx, peer.Notice{Objects: unannounced})
	}
}

// unannounced returns the objects that no other VM has announced.
func (departures *departures) unannounced(departed []catalog.Object) []catalog.Object {
	departures.mu.Lock()
	defer departures.mu.Unlock()
	var unannounced []catalog.Object
	for _, object := range departed {
		if _, ok := departures.announced[announcement{object.ID, object.Version}]; !ok {
			unannounced = append(unannounced, object)
		}
	}
	return unannounced
}

// merge puts what another VM announced into effect.
func (departures *departures) merge(announced []catalog.Object, now time.Time) {
	announced = slices.DeleteFunc(slices.Clone(announced), func(object catalog.Object) bool {
		return !strings.HasPrefix(object.ID, string(objects.Targets)+"/")
	})
	if len(announced) == 0 {
		return
	}
	departures.record(announced, now)
	gateway := departures.gateway
	gateway.update(sourceNotice, time.Time{}, func() []mirror.Change { return gateway.mirror.MergeAhead(announced) })
}

// record remembers what was announced, and forgets what was long ago.
func (departures *departures) record(announced []catalog.Object, now time.Time) {
	departures.mu.Lock()
	defer departures.mu.Unlock()
	for known, at := range departures.announced {
		if now.Sub(at) > announcementRetention {
			delete(departures.announced, known)
		}
	}
	for _, object := range announced {
		departures.announced[announcement{object.ID, object.Version}] = now
	}
}
