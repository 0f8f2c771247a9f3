package membership

import "time"

// FailureDetector detects VMs whose heartbeats stop and those whose heartbeats resume.
// It must be used by one goroutine only.
type FailureDetector struct {
	unreachable map[string]bool // by name
}

// Update returns the names of the VMs that were lost and that recovered since the last
// call. A VM is lost when its last heartbeat was received before the cutoff, and recovers
// when a later one arrives. A VM that never sent one is not lost.
func (detector *FailureDetector) Update(views []View, cutoff, now time.Time) (lost, recovered []string) {
	if detector.unreachable == nil {
		detector.unreachable = map[string]bool{}
	}
	limit := now.Sub(cutoff).Milliseconds()
	for i := range views {
		view := &views[i]
		unreachable := view.HeartbeatAgeMS > limit
		if unreachable == detector.unreachable[view.Name] {
			continue
		}
		detector.unreachable[view.Name] = unreachable
		if unreachable {
			lost = append(lost, view.Name)
		} else {
			recovered = append(recovered, view.Name)
		}
	}
	return lost, recovered
}
