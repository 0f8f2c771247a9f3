package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/origin"
)

// durableOrigins keeps in the store what is needed to continue streams after the loss of
// all VMs. It does nothing for services without streams that can be resumed.
type durableOrigins struct {
	gateway *Gateway
	logs    *softwareLogs
	writer  *originWriter
	loader  *originLoader
}

func newDurableOrigins(gateway *Gateway) *durableOrigins {
	return &durableOrigins{gateway: gateway, logs: newSoftwareLogs(gateway), writer: newOriginWriter(gateway), loader: newOriginLoader(gateway)}
}

// writerName returns the VM that writes the records of this VM's availability zone, empty
// if none that may reaches the store. VMs that differ for a moment both write: the
// objects' versions keep their records.
func (durable *durableOrigins) writerName(now time.Time) string {
	gateway := durable.gateway
	self := gateway.Settings.Name
	mayWrite := durable.writerCandidates(now)
	var candidates []string
	for view := range gateway.members.All(now) {
		if view.Name != self && view.AvailabilityZone == gateway.members.Zone && reachesStore(view) && !view.Leaving && mayWrite(view.Name) {
			candidates = append(candidates, view.Name)
		}
	}
	if gateway.storeHealth.answerAge(now) == 0 && mayWrite(self) {
		candidates = append(candidates, self)
	}
	writers := origin.Holders(gateway.members.Zone, candidates, 1)
	if len(writers) == 0 {
		return ""
	}
	return writers[0]
}

// writerCandidates returns which VMs of this availability zone may write. In a large fleet
// they are its representatives: VMs of one zone receive heartbeats from each other too
// rarely to agree on others.
func (durable *durableOrigins) writerCandidates(now time.Time) func(name string) bool {
	members := durable.gateway.members
	if !members.Hierarchical(maxHeartbeatPeers, now) {
		return func(string) bool { return true }
	}
	representatives := names(members.Representatives(members.Zone, now))
	return func(name string) bool { return slices.Contains(representatives, name) }
}

// several reports whether records of the service's streams have to be in the store.
func (durable *durableOrigins) several(service string) bool {
	return durable != nil && durable.logs.several(service)
}

// destination is where the records of a service's streams are to be stored; the writer is
// empty if they need not be.
type destination struct {
	writer string
	// resend counts the batches that the writer did not confirm.
	resend int
}

// sweepDestinations has the own records of a service sent again when they have to be
// stored for the first time, or elsewhere. The caller holds the lock of origins.
func (origins *origins) sweepDestinations(writer string) {
	for _, service := range origins.durable.logs.names() {
		next := destination{}
		if origins.durable.several(service) {
			next = destination{writer, origins.notStored}
		}
		if next.writer != "" && next != origins.destinations[service] {
			origins.unstored = append(origins.unstored, service)
		}
		origins.destinations[service] = next
	}
	origins.writer = writer
}

// enqueueStored has a record stored. The caller holds the lock of origins. It reports
// whether a batch is due earlier than before.
func (origins *origins) enqueueStored(record origin.Record, now time.Time) bool {
	switch origins.writer {
	case "":
		return false // sweep sends all records once a VM writes
	case origins.self:
		origins.durable.writer.put(record, now)
		return false
	}
	origins.recordTold(origins.writer, record)
	return origins.outbox.Add(origins.writer, record, now.Add(originBatchTime))
}

// enqueueUnstored has the records of the services stored that sweep selected: the own
// ones and, at the VM that writes, those that it holds for others.
func (origins *origins) enqueueUnstored(services []string, now time.Time) {
	for _, service := range services {
		records := origins.own.Records(service, now)
		origins.mu.Lock()
		if origins.writer == origins.self {
			records = append(records, origins.held.Records(service, now)...)
		}
		for _, record := range records {
			origins.enqueueStored(record, now)
		}
		origins.mu.Unlock()
	}
}

// Await waits until the version of a recorded stream is in the log and, if the stream
// moved from another version, until all that may name the former one have the new record:
// the VMs that were told of it, and the store.
func (origins *origins) Await(ctx context.Context, record origin.Record, moved bool) bool {
	durable := origins.durable
	if durable != nil {
		durable.logs.await(ctx, record.Origin.Service, record.Origin.Software)
	}
	if moved && !origins.confirmMove(ctx, record) {
		return false
	}
	if !moved || !durable.several(record.Origin.Service) {
		return true
	}
	origins.mu.Lock()
	writer := origins.writer
	origins.mu.Unlock()
	if writer == origins.self {
		return durable.writer.awaitStored(ctx, []origin.Record{record})
	}
	if writer == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, originAwaitTimeout)
	defer cancel()
	stored, err := origins.peers.StoreOrigins(ctx, origins.members.Address(writer), []origin.Record{record})
	return stored && err == nil
}

// MayMove reports whether the VMs that were told of the stream are alive and, if the
// service's streams have to be stored, whether a VM that stores records is known.
func (origins *origins) MayMove(requestID, service string) bool {
	if !origins.reachesTold(origin.ID(requestID), time.Now()) {
		return false
	}
	if !origins.durable.several(service) {
		return true
	}
	origins.mu.Lock()
	defer origins.mu.Unlock()
	return origins.writer != "" && origins.durable.gateway.storeHealth.answerAge(time.Now()) == 0
}

// reload decides again with what the store has. The VMs that knew the stream may all be
// gone, whether this VM was lost with them or not. The log alone decides only at a VM that
// has run for less time than the record of a stream lasts: others have watched the list.
func (origins *origins) reload(ctx context.Context, query origin.Query, evidence origin.Evidence) origin.Evidence {
	durable := origins.durable
	if durable == nil || !durable.logs.has(query.Service) {
		return evidence
	}
	// Records of an earlier load may be of attempts before the one that began the stream.
	loaded := durable.loader.load(ctx, time.Now())
	if loaded == nil {
		return evidence
	}
	evidence.Own.Origin, evidence.Own.Known = durable.loader.records.Get(query.RequestID, time.Now())
	if !evidence.Own.Known && durable.gateway.started.After(query.Since) {
		evidence.Logged = durable.logs.single(query.Service, loaded.logs, time.Now())
	}
	return evidence
}

// StoreOrigins implements peer.Handler.
func (gateway *Gateway) StoreOrigins(ctx context.Context, records []origin.Record) bool {
	gateway.origins.hold(records)
	return gateway.origins.durable != nil && gateway.origins.durable.writer.awaitStored(ctx, records)
}
