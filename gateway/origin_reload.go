package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/origin"
)

const (
	// originReloadInterval is the time between two loads.
	originReloadInterval = 500 * time.Millisecond
	// originReloadTimeout bounds a load and the wait for it. Callers give up a stream
	// after a gap of 2 s.
	originReloadTimeout = 1500 * time.Millisecond
	// maxLoadedOrigins is the maximum number of records that are kept: those of all
	// availability zones, for the first seconds of a VM. They take 12 MB.
	maxLoadedOrigins = 65_536
)

// originReload is one load of the records and the logs of software versions. The fields
// after done are set before it is closed.
type originReload struct {
	startedAt time.Time
	done      chan struct{}
	err       error
	logs      map[string]origin.SoftwareLog
}

// originLoader loads the records and the logs from the store. Lookups share its calls. It
// is safe for concurrent use.
type originLoader struct {
	gateway *Gateway
	store   originObjects
	records *origin.Table

	mu   sync.Mutex // guards last
	last *originReload
}

func newOriginLoader(gateway *Gateway) *originLoader {
	return &originLoader{gateway: gateway, store: gateway.Store, records: origin.NewTable(maxLoadedOrigins)}
}

// load waits for a load that began at the given time or later and returns it; nil if the
// context ends first or the load fails. It begins one unless another has, at most every
// originReloadInterval.
func (originLoader *originLoader) load(ctx context.Context, since time.Time) *originReload {
	ctx, cancel := context.WithTimeout(ctx, originReloadTimeout)
	defer cancel()
	for {
		reload, wait := originLoader.begin(since, time.Now())
		if reload != nil {
			select {
			case <-reload.done:
			case <-ctx.Done():
				return nil
			}
			if reload.err == nil {
				return reload
			}
			since = reload.startedAt.Add(1) // another one may succeed
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// begin returns a load that began at the given time or later, or how long to wait until
// one may begin.
func (originLoader *originLoader) begin(since, now time.Time) (*originReload, time.Duration) {
	originLoader.mu.Lock()
	defer originLoader.mu.Unlock()
	if last := originLoader.last; last != nil {
		if !last.startedAt.Before(since) {
			return last, 0
		}
		if next := last.startedAt.Add(originReloadInterval); now.Before(next) {
			return nil, next.Sub(now)
		}
	}
	originLoader.last = &originReload{startedAt: now, done: make(chan struct{})}
	go originLoader.run(originLoader.last)
	return originLoader.last, 0
}

// run carries out a load. It does not end with the lookup that began it, because others
// wait for it.
func (originLoader *originLoader) run(reload *originReload) {
	defer close(reload.done)
	ctx, cancel := context.WithTimeout(context.Background(), originReloadTimeout)
	defer cancel()
	gateway := originLoader.gateway
	gateway.metrics.OriginsReloaded.Add(1)
	records := 0
	records, reload.err = originLoader.loadRecords(ctx)
	if reload.err == nil {
		reload.logs, reload.err = originLoader.loadLogs(ctx)
	}
	if reload.err != nil {
		gateway.Log.Emit(event.OriginsNotLoaded, event.Err(reload.err))
		return
	}
	gateway.Log.Emit(event.OriginsReloaded, event.F("records", records), event.F("logs", len(reload.logs)), event.F("ms", time.Since(reload.startedAt).Milliseconds()))
}

func (originLoader *originLoader) loadRecords(ctx context.Context) (int, error) {
	originLoader.gateway.countStoreCall("list", objects.Origins)
	list, err := originLoader.store.List(ctx, objects.Origins)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	var records []origin.Record
	for _, item := range list.Items {
		decoded, err := origin.Decode(item.Spec, now)
		if err != nil {
			originLoader.gateway.Log.Emit(event.OriginsNotLoaded, event.F("object", item.Metadata.Name), event.Err(err))
		}
		records = append(records, decoded...)
	}
	for _, record := range origin.MergeRecords(records) {
		originLoader.records.Put(record, now)
	}
	return len(records), nil
}

func (originLoader *originLoader) loadLogs(ctx context.Context) (map[string]origin.SoftwareLog, error) {
	originLoader.gateway.countStoreCall("list", objects.Software)
	list, err := originLoader.store.List(ctx, objects.Software)
	if err != nil {
		return nil, err
	}
	logs := map[string]origin.SoftwareLog{}
	for _, item := range list.Items {
		var stored origin.SoftwareLog
		if err := json.Unmarshal(item.Spec, &stored); err != nil {
			originLoader.gateway.Log.Emit(event.OriginsNotLoaded, event.F("object", item.Metadata.Name), event.Err(err))
			continue // its service has no complete log
		}
		logs[item.Metadata.Name] = stored
	}
	return logs, nil
}
