package membership

import (
	"slices"
	"testing"
	"time"
)

func TestSilenceIsToldOnceAndSoIsItsEnd(t *testing.T) {
	var silence Silence
	now := time.Unix(1_700_000_000, 0)
	from := now.Add(-2 * time.Second)
	steps := []struct {
		heardMS     int64
		lost, heard []string
	}{
		{heardMS: -1}, // never heard: nothing is lost
		{heardMS: 100},
		{heardMS: 2500, lost: []string{"vm-2"}},
		{heardMS: 9000},
		{heardMS: 50, heard: []string{"vm-2"}},
	}
	for i, step := range steps {
		lost, heard := silence.Note([]View{{Name: "vm-2", HeardMS: step.heardMS}}, from, now)
		if !slices.Equal(lost, step.lost) || !slices.Equal(heard, step.heard) {
			t.Errorf("step %d: got lost %v, heard %v, want %v, %v", i, lost, heard, step.lost, step.heard)
		}
	}
}
