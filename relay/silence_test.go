package relay

import (
	"testing"
	"time"
)

// Guards against moving requests from a target that still sends data, because a new
// connection to it failed.
func TestTargetThatSendsDataIsNotLeftWhenUnreachable(t *testing.T) {
	const allowed = 900 * time.Millisecond
	tests := []struct {
		silence     time.Duration
		unreachable bool
		want        bool
	}{
		{0, false, false},
		{0, true, false},
		{100 * time.Millisecond, true, false},
		{300 * time.Millisecond, false, false},
		{300 * time.Millisecond, true, true},
		{allowed, false, false},
		{allowed + time.Millisecond, false, true},
	}
	for _, test := range tests {
		if got := overdue(test.silence, allowed, test.unreachable); got != test.want {
			t.Errorf("silent for %s, unreachable %t: got %t, want %t", test.silence, test.unreachable, got, test.want)
		}
	}
}
