package gateway

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/origin"
)

// recordTold records that a VM may hold the record from now on. The caller holds mu.
func (origins *origins) recordTold(vm string, record origin.Record) {
	told, ok := origins.told[record.RequestID]
	if !ok {
		told = &toldVMs{}
		origins.told[strings.Clone(record.RequestID)] = told // the ID may be part of a longer text
	}
	if !slices.Contains(told.names, vm) {
		told.names = append(told.names, vm)
	}
	if record.Until.After(told.until) {
		told.until = record.Until
	}
}

// toldOf returns the VMs that may hold a record of the request.
func (origins *origins) toldOf(requestID string) []string {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	told, ok := origins.told[requestID]
	if !ok {
		return nil
	}
	return slices.Clone(told.names)
}

// reachesTold reports whether all VMs that may hold a record of the request are alive, as
// far as this VM knows.
func (origins *origins) reachesTold(requestID string, now time.Time) bool {
	alive := names(origins.members.LivePeers(now))
	return !slices.ContainsFunc(origins.toldOf(requestID), func(vm string) bool { return !slices.Contains(alive, vm) })
}

// confirmMove sends the record to all VMs that may hold one of an earlier attempt, and
// reports whether all have confirmed it. One that has not would let a caller that takes the
// stream up there go on at the version of the earlier attempt.
func (origins *origins) confirmMove(ctx context.Context, record origin.Record) bool {
	record.RequestID = origin.ID(record.RequestID)
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, vm := range origins.toldOf(record.RequestID) {
		group.Go(func() error {
			err := origins.peers.RecordOrigins(ctx, origins.members.Address(vm), []origin.Record{record})
			if err != nil {
				origins.metrics.OriginsNotSent.Add(1)
				origins.log.Emit(event.OriginsNotSent, event.F("peer", vm), event.F("records", 1), event.F("moves", true), event.Err(err))
			}
			return err
		})
	}
	return group.Wait() == nil
}
