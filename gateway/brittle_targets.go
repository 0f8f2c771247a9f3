package gateway

import (
	"time"

	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/roster"
)

// toBrittleTargets returns the brittle targets to be sent to other VMs.
func (gateway *Gateway) toBrittleTargets(now time.Time) []peer.BrittleTarget {
	var targets []peer.BrittleTarget
	for _, word := range gateway.roster.BrittleTargets(now) {
		targets = append(targets, peer.BrittleTarget{
			Target: word.Target, StartTime: word.StartTime, Tolerance: word.Tolerance, Age: now.Sub(word.Learned),
			Running: word.Load.Running, Waiting: word.Load.Waiting, Slots: word.Load.Slots,
			HasLoad: !word.LoadAt.IsZero(), LoadAge: now.Sub(word.LoadAt),
			Room: word.Room, HasRejected: !word.RejectedAt.IsZero(), RejectedAge: now.Sub(word.RejectedAt), Admitted: word.Admitted,
		})
	}
	return targets
}

// mergeBrittleTargets records the brittle targets that another VM reported at sentAt.
func (gateway *Gateway) mergeBrittleTargets(targets []peer.BrittleTarget, sentAt, now time.Time) {
	for _, target := range targets {
		word := roster.Brittle{
			Target: target.Target, StartTime: target.StartTime, Tolerance: target.Tolerance, Learned: sentAt.Add(-target.Age),
			Room: target.Room, Admitted: target.Admitted,
		}
		if target.HasLoad {
			word.Load = roster.Load{Running: target.Running, Waiting: target.Waiting, Slots: target.Slots}
			word.LoadAt = sentAt.Add(-target.LoadAge)
		}
		if target.HasRejected {
			word.RejectedAt = sentAt.Add(-target.RejectedAge)
		}
		if change, changed := gateway.roster.MergeBrittle(word, now); changed {
			gateway.relay.RecordTolerance(change)
		}
	}
}
