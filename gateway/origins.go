package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/origin"
)

const (
	// maxOwnOrigins and maxHeldOrigins are the maximum numbers of records that this VM
	// keeps of its own streams and for other VMs. Both tables together take 5.8 MB.
	maxOwnOrigins  = 8192
	maxHeldOrigins = originHolders * maxOwnOrigins
	// originHolders is the number of VMs that hold a record beside the one that made it.
	originHolders = 3
	// askedHolders is one more than originHolders: the VM that made the record is not
	// among its holders, but may precede them in the order of the VM that asks.
	askedHolders = originHolders + 1
	// originBatchTime is the longest time for which records wait to be sent together.
	originBatchTime = 20 * time.Millisecond
	maxOriginBatch  = 1000
	// originTimeout bounds a lookup and the sending of a batch; originForwardTimeout
	// bounds the calls within another availability zone, which are part of a lookup.
	originTimeout        = 150 * time.Millisecond
	originForwardTimeout = 100 * time.Millisecond
)

// versions reports which software versions of a service's targets this VM has seen.
type versions interface {
	// Several reports whether targets of more than one software version served the
	// service between the two times.
	Several(service string, since, now time.Time) bool
	// Software returns the software versions of the targets registered now, and those of
	// targets that were registered at the given time or later.
	Software(service string, since time.Time) (listed, recent []string)
	// WatchedSince returns since when the list of targets has been watched; false if
	// there is none.
	WatchedSince() (time.Time, bool)
}

// noVersions stands for a list of targets that was never received.
type noVersions struct{}

// Several implements versions.
func (noVersions) Several(string, time.Time, time.Time) bool { return false }

// Software implements versions.
func (noVersions) Software(string, time.Time) (listed, recent []string) { return nil, nil }

// WatchedSince implements versions.
func (noVersions) WatchedSince() (time.Time, bool) { return time.Time{}, false }

// originPeers calls other VMs.
type originPeers interface {
	RecordOrigins(ctx context.Context, address netip.AddrPort, records []origin.Record) error
	StoreOrigins(ctx context.Context, address netip.AddrPort, records []origin.Record) (bool, error)
	FindOrigin(ctx context.Context, address netip.AddrPort, query origin.Query) (origin.Answer, error)
}

// origins records where streams began and finds it when a caller takes a stream up. While
// a service is known to have a single software version, records stay on this VM. It is
// safe for concurrent use.
//
// Callers choose request IDs: those that are long or not valid UTF-8 are replaced by
// their digest (origin.ID), and the tables are bounded.
type origins struct {
	self    string
	members *membership.Table
	peers   originPeers
	metrics *metric.Set
	log     *event.Log
	// versions must be set before the first call.
	versions versions
	// durable may be nil: then no records are stored. It must be set before the first call.
	durable *durableOrigins

	own  *origin.Table
	held *origin.Table // for other VMs
	wake chan struct{} // wakes run

	mu     sync.Mutex // guards the fields below
	outbox *origin.Outbox
	// several holds the services of own records, and whether at the last sweep each had
	// several versions and there were VMs to hold the records.
	several   map[string]bool
	lastSweep time.Time
	// unsent are the services whose own records have to be sent now.
	unsent []string
	// writer is the VM that stores the records of this VM's availability zone; empty if
	// none does. unstored are the services whose records have to be sent to it now,
	// destinations where those of each service were sent last, and notStored is the
	// number of batches that it did not confirm.
	writer       string
	unstored     []string
	destinations map[string]destination
	notStored    int
	// told are the VMs that may hold the record of a stream's earlier attempt, by request.
	told map[string]*toldVMs
}

// toldVMs are the VMs to which records of one stream were sent.
type toldVMs struct {
	names []string
	until time.Time // when the last record expires
}

func newOrigins(self string, members *membership.Table, peers originPeers, metrics *metric.Set, log *event.Log) *origins {
	return &origins{
		self: self, members: members, peers: peers, metrics: metrics, log: log, versions: noVersions{},
		own: origin.NewTable(maxOwnOrigins), held: origin.NewTable(maxHeldOrigins), wake: make(chan struct{}, 1),
		outbox: origin.NewOutbox(maxOriginBatch), several: map[string]bool{}, destinations: map[string]destination{}, told: map[string]*toldVMs{},
	}
}

// Record keeps the record of a stream that began at this VM. It sends the record to its
// holders if the service may have had several software versions. It does no I/O.
func (origins *origins) Record(record origin.Record) {
	now := time.Now()
	record.RequestID = origin.ID(record.RequestID)
	if !record.Valid() {
		return
	}
	origins.own.Put(record, now)
	service := record.Origin.Service
	origins.mu.Lock()
	if _, ok := origins.several[service]; !ok {
		origins.several[service] = false
	}
	origins.mu.Unlock()
	stores := origins.durable.several(service)
	// A lookup until record.Until goes about as far back as the record lasts.
	if since := now.Add(now.Sub(record.Until)); origins.mayBeSeveral(service, since, now) || stores {
		origins.enqueue(record, origins.zonePeers(now), stores, now)
	}
}

// mayBeSeveral reports whether several software versions may have served the service
// since the given time, as far as this VM knows.
func (origins *origins) mayBeSeveral(service string, since, now time.Time) bool {
	watched, ok := origins.versions.WatchedSince()
	return !ok || watched.After(since) || origins.versions.Several(service, since, now)
}

// enqueue adds a record to the batches of its holders and, if it has to be stored, of the
// VM that writes.
func (origins *origins) enqueue(record origin.Record, peers []membership.Peer, stores bool, now time.Time) {
	holders := origin.Holders(record.RequestID, names(peers), originHolders)
	sooner := false
	origins.mu.Lock()
	if stores && !slices.Contains(holders, origins.writer) {
		sooner = origins.enqueueStored(record, now)
	}
	for _, holder := range holders {
		origins.recordTold(holder, record)
		sooner = origins.outbox.Add(holder, record, now.Add(originBatchTime)) || sooner
	}
	origins.mu.Unlock()
	if sooner {
		origins.wakeRun()
	}
}

func (origins *origins) wakeRun() {
	select {
	case origins.wake <- struct{}{}:
	default: // run has not seen the previous one yet
	}
}

// zonePeers returns the live VMs that may hold records: in a large fleet, those of this
// VM's availability zone, as this VM receives no heartbeats from most others.
func (origins *origins) zonePeers(now time.Time) []membership.Peer {
	peers := origins.members.LivePeers(now)
	if !origins.members.Hierarchical(maxHeartbeatPeers, now) {
		return peers
	}
	var local []membership.Peer
	for _, peer := range peers {
		if peer.Zone == "" || peer.Zone == origins.members.Zone {
			local = append(local, peer)
		}
	}
	return local
}

func names(peers []membership.Peer) []string {
	names := make([]string, len(peers))
	for i, peer := range peers {
		names[i] = peer.Name
	}
	return names
}

// sweep removes expired records. When a service gets a second software version, or the
// first other VM is reachable, it has the records of the streams sent that began before.
func (origins *origins) sweep(now time.Time) {
	origins.own.Sweep(now)
	origins.held.Sweep(now)
	writer := ""
	if origins.durable != nil {
		writer = origins.durable.writerName(now)
		origins.durable.writer.setActive(writer == origins.self)
	}
	origins.mu.Lock()
	defer origins.mu.Unlock()
	for service, before := range origins.several {
		several := origins.versions.Several(service, origins.lastSweep, now) && len(origins.zonePeers(now)) > 0
		origins.several[service] = several
		if several && !before {
			origins.unsent = append(origins.unsent, service)
		}
	}
	for requestID, told := range origins.told {
		if !told.until.After(now) {
			delete(origins.told, requestID)
		}
	}
	origins.lastSweep = now
	if origins.durable != nil {
		origins.sweepDestinations(writer)
	}
	if len(origins.unsent)+len(origins.unstored) > 0 {
		origins.wakeRun()
	}
}

// run sends the batches of records. It waits while there are none.
func (origins *origins) run(ctx context.Context) error {
	var sends sync.WaitGroup
	defer sends.Wait()
	for origins.wait(ctx) {
		origins.enqueueUnsent(time.Now())
		origins.mu.Lock()
		batches := origins.outbox.Take(time.Now())
		origins.mu.Unlock()
		for _, batch := range batches {
			sends.Go(func() { origins.runSend(ctx, batch) })
		}
	}
	return nil
}

// wait waits until a batch is due or wakeRun was called. It returns false if the context
// ends first.
func (origins *origins) wait(ctx context.Context) bool {
	origins.mu.Lock()
	next, pending := origins.outbox.Next()
	origins.mu.Unlock()
	var due <-chan time.Time
	if pending {
		timer := time.NewTimer(time.Until(next))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
		return true
	case <-origins.wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// enqueueUnsent adds the own records of the services that sweep selected.
func (origins *origins) enqueueUnsent(now time.Time) {
	origins.mu.Lock()
	services, unstored := origins.unsent, origins.unstored
	origins.unsent, origins.unstored = nil, nil
	origins.mu.Unlock()
	origins.enqueueUnstored(unstored, now)
	for _, service := range services {
		peers := origins.zonePeers(now)
		for _, record := range origins.own.Records(service, now) {
			origins.enqueue(record, peers, false, now)
		}
	}
}

// runSend sends a batch to its holder.
func (origins *origins) runSend(ctx context.Context, batch origin.Batch) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	if err := origins.peers.RecordOrigins(ctx, origins.members.Address(batch.Holder), batch.Records); err != nil {
		origins.metrics.OriginsNotSent.Add(1)
		origins.recordNotSent(batch.Holder)
		origins.log.Emit(event.OriginsNotSent, event.F("peer", batch.Holder), event.F("records", len(batch.Records)), event.Err(err))
		return
	}
	origins.metrics.OriginsSent.Add(int64(len(batch.Records)))
}

// recordNotSent has the own records sent again if the VM that writes did not confirm
// some.
func (origins *origins) recordNotSent(holder string) {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	if holder == origins.writer {
		origins.notStored++
	}
}

// hold keeps records for another VM, and stores them if this VM writes.
func (origins *origins) hold(records []origin.Record) {
	now := time.Now()
	origins.metrics.OriginsReceived.Add(int64(len(records)))
	for _, record := range records {
		origins.held.Put(record, now)
		if origins.durable.several(record.Origin.Service) {
			origins.durable.writer.put(record, now)
		}
	}
}

// RecordOrigins implements peer.Handler.
func (gateway *Gateway) RecordOrigins(records []origin.Record) {
	gateway.origins.hold(records)
}

// FindOrigin implements peer.Handler.
func (gateway *Gateway) FindOrigin(ctx context.Context, query origin.Query) origin.Answer {
	return gateway.origins.answer(ctx, query)
}
