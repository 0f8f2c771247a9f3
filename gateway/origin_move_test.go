package gateway

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/origin"
)

// Guards against a stream that goes on at the version of an earlier attempt: a VM that holds
// the record of that attempt is out of step while the stream moves to another version.
func TestStreamMovesOnlyIfAllHoldersLearnOfIt(t *testing.T) {
	const streams = 100
	beganV2 := origin.Origin{Service: beganV1.Service, Software: "v2"}
	for _, missed := range []bool{false, true} { // whether its heartbeats have been missed
		t.Run(fmt.Sprint("heartbeats missed ", missed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newOriginFleet(t, 6, 1)
				fleet.setSeveral()
				first, cut := fleet.vms[fleet.addresses[0]], fleet.vms[fleet.addresses[1]]
				fleet.record(first, streams)
				sleep(originBatchTime)
				fleet.sent()
				held := cut.origins.held.Sweep(time.Now())
				fleet.setDown(cut.Settings.Peer, true)
				if missed {
					fleet.run(2 * membership.LivenessTimeout)
				}
				moved := make([]bool, streams)
				var moves sync.WaitGroup
				for i := range streams {
					record := origin.Record{RequestID: fmt.Sprint("request-", i), Attempt: 2, Origin: beganV2, Until: time.Now().Add(time.Minute)}
					moves.Go(func() {
						if first.origins.MayMove(record.RequestID, beganV2.Service) {
							first.origins.Record(record)
							moved[i] = first.origins.Await(t.Context(), record, true)
						}
					})
				}
				moves.Wait()
				began := 0
				for _, reachable := range []bool{false, true} {
					fleet.setDown(cut.Settings.Peer, !reachable)
					for i := range streams {
						id := fmt.Sprint("request-", i)
						got, knowledge := cut.origins.Find(t.Context(), id, beganV1.Service, time.Now().Add(-3*time.Second))
						if moved[i] && knowledge == origin.Known && got != beganV2 {
							t.Fatalf("%s: got %+v at the VM that was cut off, want %+v, where the stream began", id, got, beganV2)
						}
					}
				}
				for _, ok := range moved {
					if ok {
						began++
					}
				}
				if want := streams - held; began != want {
					t.Errorf("got %d streams moved, want the %d that the VM held no record of", began, want)
				}
			})
		})
	}
}

// Guards against a stream that goes on at the version of an earlier attempt: a VM that is cut
// off from the others has loaded the stored records before the stream moved.
func TestRecordsLoadedBeforeAMoveAreNotUsed(t *testing.T) {
	const streams = 60
	synctest.Test(t, func(t *testing.T) {
		fleet := newDurableFleet(t, 6, twoVersions)
		fleet.advance(time.Second)
		first, cut := fleet.vms[fleet.addresses[0]], fleet.vms[fleet.addresses[5]]
		record := func(i, attempt int, software string) origin.Record {
			return origin.Record{
				RequestID: fmt.Sprint("moving-", i), Attempt: attempt, Origin: origin.Origin{Service: durableService, Software: software},
				Until: time.Now().Add(durableTimeout),
			}
		}
		find := func(id string) (origin.Origin, origin.Knowledge) {
			return cut.origins.Find(t.Context(), id, durableService, time.Now().Add(-durableTimeout))
		}
		for i := range streams {
			first.origins.Record(record(i, 1, "v1"))
		}
		fleet.advance(600 * time.Millisecond)
		fleet.setDown(cut.Settings.Peer, true)
		if _, got := find("another"); got != origin.Unknown {
			t.Fatalf("got %v for a stream that nobody began, want unknown", got)
		}
		fleet.advance(2 * membership.LivenessTimeout)
		moved := make([]bool, streams)
		var moves sync.WaitGroup
		for i := range streams {
			moves.Go(func() {
				if next := record(i, 2, "v2"); first.origins.MayMove(next.RequestID, durableService) {
					first.origins.Record(next)
					moved[i] = first.origins.Await(t.Context(), next, true)
				}
			})
		}
		moves.Wait()
		found := 0
		for i := range streams {
			got, knowledge := find(fmt.Sprint("moving-", i))
			if !moved[i] || knowledge == origin.Unknown {
				continue
			}
			found++
			if got.Software != "v2" {
				t.Fatalf("got %+v (%v) for a stream that began at v2", got, knowledge)
			}
		}
		if found == 0 {
			t.Error("got no stream that moved and was found, want some")
		}
	})
}
