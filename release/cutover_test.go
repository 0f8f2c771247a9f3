package release

import (
	"testing"
	"time"
)

// Guards against the exposure of callers to a version that turns bad once it gets all
// requests. The bounds are those of TestReleaseEndsInTimeWithinExposure.
func TestVersionThatTurnsBadInCutover(t *testing.T) {
	for name, play := range map[string]play{
		"failures": {badPart: 0.3, badFrom: 8 * time.Second, want: RolledBack},
		"slow":     {badPart: 0.6, slow: 5, badFrom: 8 * time.Second, want: RolledBack},
	} {
		play.vms, play.rate = 62, 506
		t.Run(name, func(t *testing.T) { checkPlay(t, play) })
	}
}
