package membership

import (
	"slices"
	"testing"
	"time"
)

func TestLossAndRecoveryReportedOnce(t *testing.T) {
	var detector FailureDetector
	now := time.Unix(1_700_000_000, 0)
	since := now.Add(-2 * time.Second)
	steps := []struct {
		heartbeatAgeMS  int64
		lost, recovered []string
	}{
		{heartbeatAgeMS: -1}, // a VM that never sent a heartbeat is not lost
		{heartbeatAgeMS: 100},
		{heartbeatAgeMS: 2500, lost: []string{"vm-2"}},
		{heartbeatAgeMS: 9000},
		{heartbeatAgeMS: 50, recovered: []string{"vm-2"}},
	}
	for i, step := range steps {
		lost, recovered := detector.Update([]View{{Name: "vm-2", HeartbeatAgeMS: step.heartbeatAgeMS}}, since, now)
		if !slices.Equal(lost, step.lost) || !slices.Equal(recovered, step.recovered) {
			t.Errorf("step %d: got lost %v, recovered %v, want %v, %v", i, lost, recovered, step.lost, step.recovered)
		}
	}
}
