package relay

import (
	"testing"
	"time"
)

// Guards against streams that never end because a target sends a byte now and then, and
// against slow but sound streams that are cut.
func TestStalledStreamIsToldFromSlowOne(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	tests := []struct {
		name string
		// completeEvery is the time between complete events; 0 for none.
		completeEvery time.Duration
		dataEvery     time.Duration
		want          bool
	}{
		{"a byte now and then", 0, 300 * time.Millisecond, true},
		{"slow events, each complete", 1900 * time.Millisecond, 1900 * time.Millisecond, false},
		{"slow events in many parts", 1400 * time.Millisecond, 100 * time.Millisecond, false},
		{"silent", 0, time.Hour, false},
	}
	for _, test := range tests {
		progress := &eventProgress{}
		got := false
		for elapsed := 100 * time.Millisecond; elapsed < 10*time.Second; elapsed += 100 * time.Millisecond {
			now := begin.Add(elapsed)
			if elapsed%test.dataEvery == 0 {
				progress.recordData(now)
			}
			if test.completeEvery > 0 && elapsed%test.completeEvery == 0 {
				progress.recordComplete()
			}
			got = got || progress.stalled(now)
		}
		if got != test.want {
			t.Errorf("%s: got stalled %v within 10 s, want %v", test.name, got, test.want)
		}
	}
}
