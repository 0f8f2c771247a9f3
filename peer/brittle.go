package peer

import (
	"math"
	"time"

	"github.com/bramleygw/bramleygw/peer/peerpb"
)

func encodeBrittle(targets []BrittleTarget) []*peerpb.BrittleTarget {
	encoded := make([]*peerpb.BrittleTarget, len(targets))
	for i, target := range targets {
		encoded[i] = &peerpb.BrittleTarget{
			Target: target.Target, StartTime: target.StartTime, Tolerance: target.Tolerance, AgeMs: milliseconds(target.Age),
			Room: target.Room, Admitted: target.Admitted,
		}
		if target.HasLoad {
			encoded[i].Running, encoded[i].Waiting, encoded[i].Slots = count(target.Running), count(target.Waiting), count(target.Slots)
			encoded[i].LoadAgeMs = 1 + milliseconds(target.LoadAge)
		}
		if target.HasRejected {
			encoded[i].RejectedAgeMs = 1 + milliseconds(target.RejectedAge)
		}
	}
	return encoded
}

// count returns a number that is encoded without a sign.
func count(number int) uint32 {
	return uint32(max(0, min(number, math.MaxInt32)))
}

func decodeBrittle(encoded []*peerpb.BrittleTarget) []BrittleTarget {
	var targets []BrittleTarget
	for _, target := range encoded {
		decoded := BrittleTarget{
			Target: target.GetTarget(), StartTime: target.GetStartTime(), Tolerance: target.GetTolerance(),
			Age: time.Duration(target.GetAgeMs()) * time.Millisecond, Room: target.GetRoom(), Admitted: target.GetAdmitted(),
			Running: int(target.GetRunning()), Waiting: int(target.GetWaiting()), Slots: int(target.GetSlots()),
			HasLoad: target.GetLoadAgeMs() > 0, HasRejected: target.GetRejectedAgeMs() > 0,
		}
		decoded.LoadAge = time.Duration(max(1, target.GetLoadAgeMs())-1) * time.Millisecond
		decoded.RejectedAge = time.Duration(max(1, target.GetRejectedAgeMs())-1) * time.Millisecond
		targets = append(targets, decoded)
	}
	return targets
}
