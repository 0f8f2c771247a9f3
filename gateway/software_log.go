package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/origin"
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/routing"
)

const (
	// softwareLogInterval is the time between two checks whether a log has to be changed.
	softwareLogInterval = 100 * time.Millisecond
	// softwareLogTimeout bounds a call, and how long a stream waits for a version to be
	// logged: a store that takes longer counts as unavailable.
	softwareLogTimeout = time.Second
	// softwareLogRankDelay is added for each VM of a higher rank before a VM logs a version
	// that no stream awaits, so that one VM writes and the others read what it wrote.
	softwareLogRankDelay = 10 * time.Millisecond
	maxSoftwareLogDelay  = 2 * time.Second
	// softwareLogRecheck is the time after which the first VM reads a log again: the store
	// may have been restored from an older copy.
	softwareLogRecheck = 5 * time.Second
	// softwareLogMargin is added to the lifetime of a stream's origin to get the time after
	// which a version leaves the log: the lists of targets of VMs differ by less.
	softwareLogMargin = 10 * time.Second
	// softwareLogPause is the interval between checks after which the process must have
	// been suspended: a version may have left the log and returned unseen.
	softwareLogPause = 5 * time.Second
)

// originObjects is the part of the store that keeps origins.
type originObjects interface {
	Get(ctx context.Context, collection objects.Collection, name string) (objects.Object, error)
	List(ctx context.Context, collection objects.Collection) (objects.List, error)
	Create(ctx context.Context, collection objects.Collection, name string, spec any) (objects.Object, error)
	Update(ctx context.Context, collection objects.Collection, name string, version objects.Version, spec any) (objects.Object, error)
}

// softwareLogs keeps the logs of software versions in the store, one for each service with
// streams that can be resumed. It is safe for concurrent use.
type softwareLogs struct {
	gateway *Gateway
	store   originObjects
	wake    chan struct{} // wakes run

	mu       sync.Mutex // guards the fields below
	services map[string]*serviceLog
	lastStep time.Time
	wasDown  bool // the store was unavailable at the last check
}

// serviceLog is what this VM knows of the log of one service.
type serviceLog struct {
	service   string
	retention time.Duration // of a version without targets
	stored    origin.SoftwareLog
	version   objects.Version // 0 if there is no object
	readAt    time.Time       // when stored was read or written; zero if it was not
	several   bool            // streams may run at several versions
	// confirmed are the versions that were in the log when it was last read or written, of
	// those that have had a target without a break since.
	confirmed map[string]bool
	// dueAt is when the store is called next; zero if it need not be.
	dueAt    time.Time
	awaited  bool // a stream waits for a version to be logged
	failures int
	changed  chan struct{} // closed after each call
}

func newSoftwareLogs(gateway *Gateway) *softwareLogs {
	return &softwareLogs{gateway: gateway, store: gateway.Store, wake: make(chan struct{}, 1), services: map[string]*serviceLog{}}
}

// configure adds the services that have streams that can be resumed.
func (softwareLogs *softwareLogs) configure(routes []routing.Route) {
	softwareLogs.mu.Lock()
	defer softwareLogs.mu.Unlock()
	for i := range routes {
		route := &routes[i]
		if route.Kind != routing.ResumableStream {
			continue
		}
		for _, split := range route.Splits {
			serviceLog := softwareLogs.services[split.Service]
			if serviceLog == nil {
				serviceLog = newServiceLog(split.Service)
				softwareLogs.services[split.Service] = serviceLog
			}
			// It never shrinks: streams of an earlier configuration may still run.
			serviceLog.retention = max(serviceLog.retention, relay.OriginLifetime(route)+softwareLogMargin)
		}
	}
	softwareLogs.wakeRun()
}

func newServiceLog(service string) *serviceLog {
	return &serviceLog{service: service, confirmed: map[string]bool{}, changed: make(chan struct{})}
}

func (softwareLogs *softwareLogs) wakeRun() {
	select {
	case softwareLogs.wake <- struct{}{}:
	default: // run has not seen the previous one yet
	}
}

// run keeps the logs up to date.
func (softwareLogs *softwareLogs) run(ctx context.Context) error {
	timer := time.NewTicker(softwareLogInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-softwareLogs.wake:
		case <-ctx.Done():
			return nil
		}
		for _, serviceLog := range softwareLogs.due(time.Now()) {
			softwareLogs.update(ctx, serviceLog)
		}
	}
}

// due returns the logs for which the store has to be called now.
func (softwareLogs *softwareLogs) due(now time.Time) []*serviceLog {
	rank := softwareLogs.gateway.rank(now)
	down := softwareLogs.gateway.storeHealth.answerAge(now) > 0
	softwareLogs.mu.Lock()
	defer softwareLogs.mu.Unlock()
	missed := softwareLogs.wasDown && !down || now.Sub(softwareLogs.lastStep) > softwareLogPause
	softwareLogs.wasDown, softwareLogs.lastStep = down, now
	var due []*serviceLog
	for _, serviceLog := range softwareLogs.services {
		if missed {
			clear(serviceLog.confirmed)
		}
		if serviceLog.isDue(softwareLogs.gateway, rank, now) {
			due = append(due, serviceLog)
		}
	}
	return due
}

// sighting returns what this VM has seen of the service's versions, and those that have
// targets now.
func (serviceLog *serviceLog) sighting(gateway *Gateway, rank int, now time.Time) (origin.Sighting, []string) {
	since := now.Add(-serviceLog.retention)
	listed, recent := gateway.roster.Software(serviceLog.service, since)
	watchedSince, watched := gateway.roster.WatchedSince()
	synced, _ := gateway.mirror.SyncedVersion(objects.Targets)
	return origin.Sighting{
		Recent: recent, Complete: watched && !watchedSince.After(since), Removes: rank == 0, Newer: synced >= serviceLog.version,
	}, listed
}

// isDue reports whether the store has to be called now. The caller holds the lock of the
// logs.
func (serviceLog *serviceLog) isDue(gateway *Gateway, rank int, now time.Time) bool {
	sighting, listed := serviceLog.sighting(gateway, rank, now)
	confirmed := map[string]bool{}
	for _, version := range listed {
		confirmed[version] = serviceLog.confirmed[version]
	}
	serviceLog.confirmed = confirmed
	serviceLog.several = serviceLog.stored.Several(sighting.Recent)
	gateway.roster.SetLogged(serviceLog.service, serviceLog.logged())
	needed := len(serviceLog.logged()) < len(listed) || serviceLog.awaited ||
		!serviceLog.readAt.IsZero() && !serviceLog.stored.Next(sighting).Equal(serviceLog.stored) ||
		rank == 0 && len(listed) > 0 && now.Sub(serviceLog.readAt) > softwareLogRecheck
	switch {
	case !needed:
		serviceLog.dueAt = time.Time{}
		return false
	case serviceLog.dueAt.IsZero():
		serviceLog.dueAt = now.Add(min(time.Duration(rank)*softwareLogRankDelay, maxSoftwareLogDelay))
	}
	return !now.Before(serviceLog.dueAt) || serviceLog.awaited && serviceLog.failures == 0
}

func (serviceLog *serviceLog) logged() []string {
	var logged []string
	for version, confirmed := range serviceLog.confirmed {
		if confirmed {
			logged = append(logged, version)
		}
	}
	return logged
}

// update reads a log and writes what it lacks.
func (softwareLogs *softwareLogs) update(ctx context.Context, serviceLog *serviceLog) {
	ctx, cancel := context.WithTimeout(ctx, softwareLogTimeout)
	defer cancel()
	gateway := softwareLogs.gateway
	stored, version, err := softwareLogs.read(ctx, serviceLog.service)
	now := time.Now()
	rank := gateway.rank(now)
	softwareLogs.mu.Lock()
	serviceLog.version = version
	sighting, _ := serviceLog.sighting(gateway, rank, now)
	softwareLogs.mu.Unlock()
	if next := stored.Next(sighting); err == nil && !next.Equal(stored) {
		stored = next
		version, err = softwareLogs.write(ctx, serviceLog.service, next, version)
	}
	softwareLogs.record(serviceLog, stored, version, sighting.Recent, err)
}

// read returns the log in the store; its version is 0 if there is none.
func (softwareLogs *softwareLogs) read(ctx context.Context, service string) (origin.SoftwareLog, objects.Version, error) {
	softwareLogs.gateway.countStoreCall("get", objects.Software)
	object, err := softwareLogs.store.Get(ctx, objects.Software, service)
	if errors.Is(err, objects.ErrNotFound) {
		return origin.SoftwareLog{}, 0, nil
	}
	var stored origin.SoftwareLog
	if err == nil {
		err = errors.Wrap(json.Unmarshal(object.Spec, &stored), "decode the log of software versions; delete the object, this system writes it again")
	}
	return stored, object.Metadata.ResourceVersion, err
}

func (softwareLogs *softwareLogs) write(ctx context.Context, service string, next origin.SoftwareLog, version objects.Version) (objects.Version, error) {
	var object objects.Object
	var err error
	if version == 0 {
		softwareLogs.gateway.countStoreCall("create", objects.Software)
		object, err = softwareLogs.store.Create(ctx, objects.Software, service, next)
	} else {
		softwareLogs.gateway.countStoreCall("update", objects.Software)
		object, err = softwareLogs.store.Update(ctx, objects.Software, service, version, next)
	}
	if err == nil {
		softwareLogs.gateway.Log.Emit(event.SoftwareLogged, event.F("service", service), event.F("versions", next.Versions), event.F("complete", next.Complete))
	}
	return object.Metadata.ResourceVersion, err
}

// record records the outcome of an update and wakes the streams that wait for it. After a
// conflict the log is read again at once, after another error with a growing delay.
func (softwareLogs *softwareLogs) record(serviceLog *serviceLog, stored origin.SoftwareLog, version objects.Version, recent []string, err error) {
	softwareLogs.mu.Lock()
	defer softwareLogs.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		serviceLog.stored, serviceLog.version, serviceLog.readAt = stored, version, now
		serviceLog.failures, serviceLog.dueAt, serviceLog.awaited = 0, time.Time{}, false
		serviceLog.several = stored.Several(recent)
		for _, recentVersion := range recent {
			serviceLog.confirmed[recentVersion] = stored.Has(recentVersion)
		}
		softwareLogs.gateway.roster.SetLogged(serviceLog.service, serviceLog.logged())
	case errors.IsAny(err, objects.ErrConflict, objects.ErrExists):
		serviceLog.dueAt = now.Add(rand.N(softwareLogRankDelay))
		softwareLogs.wakeRun()
		return
	default:
		if serviceLog.failures == 0 {
			softwareLogs.gateway.Log.Emit(event.SoftwareNotLogged, event.F("service", serviceLog.service), event.Err(err))
		}
		serviceLog.dueAt = storeBackoff.Next(serviceLog.failures, now)
		serviceLog.failures++
	}
	close(serviceLog.changed)
	serviceLog.changed = make(chan struct{})
}

// await waits until a version is in the log. It does not wait while the store is
// unavailable.
func (softwareLogs *softwareLogs) await(ctx context.Context, service, version string) {
	deadline := time.NewTimer(softwareLogTimeout)
	defer deadline.Stop()
	for {
		changed := softwareLogs.awaitedChange(service, version)
		if changed == nil {
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitedChange returns what to wait for until a version is in the log; nil if it is, or
// if the store is unavailable.
func (softwareLogs *softwareLogs) awaitedChange(service, version string) <-chan struct{} {
	down := softwareLogs.gateway.storeHealth.answerAge(time.Now()) > 0
	softwareLogs.mu.Lock()
	defer softwareLogs.mu.Unlock()
	serviceLog, ok := softwareLogs.services[service]
	if !ok || serviceLog.confirmed[version] || down || serviceLog.failures > 0 {
		return nil
	}
	serviceLog.awaited = true
	softwareLogs.wakeRun()
	return serviceLog.changed
}

// several reports whether streams of a service may run at several versions, as far as this
// VM knows; false for a service without streams that can be resumed.
func (softwareLogs *softwareLogs) several(service string) bool {
	softwareLogs.mu.Lock()
	defer softwareLogs.mu.Unlock()
	serviceLog, ok := softwareLogs.services[service]
	return ok && serviceLog.several
}

// has reports whether the service has streams that can be resumed.
func (softwareLogs *softwareLogs) has(service string) bool {
	softwareLogs.mu.Lock()
	defer softwareLogs.mu.Unlock()
	return softwareLogs.services[service] != nil
}

// names returns the services with streams that can be resumed.
func (softwareLogs *softwareLogs) names() []string {
	softwareLogs.mu.Lock()
	defer softwareLogs.mu.Unlock()
	var names []string
	for service := range softwareLogs.services {
		names = append(names, service)
	}
	return names
}

// single reports whether the logs, as they were listed in the store, and the
// registrations have a single version of a service.
func (softwareLogs *softwareLogs) single(service string, logs map[string]origin.SoftwareLog, now time.Time) bool {
	_, recent := softwareLogs.gateway.roster.Software(service, now.Add(-softwareLogMargin))
	return logs[service].Single(recent)
}
