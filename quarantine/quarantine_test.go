package quarantine

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestState(t *testing.T) {
	cases := []struct {
		name   string
		deaths []string
		after  time.Duration
		want   State
	}{
		{"no death", nil, 0, Clear},
		{"one death", []string{"e1/1"}, 0, Suspect},
		{"one death reported twice", []string{"e1/1", "e1/1"}, 0, Suspect},
		{"two deaths", []string{"e1/1", "e2/1"}, 0, Blocked},
		{"two deaths of one target", []string{"e1/1", "e1/2"}, 0, Blocked},
		{"suspect state expires", []string{"e1/1"}, suspectTime, Clear},
		{"block outlasts suspect state", []string{"e1/1", "e2/1"}, suspectTime, Blocked},
		{"block expires", []string{"e1/1", "e2/1"}, BlockTime, Clear},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			tracker := NewTracker()
			digest := DigestOf("school", []byte("body"))
			for _, death := range test.deaths {
				tracker.RecordDeath(digest, death, epoch)
			}
			if got := tracker.State(digest, epoch.Add(test.after)); got != test.want {
				t.Errorf("got state %d, want %d", got, test.want)
			}
			if got := tracker.State(DigestOf("other", []byte("body")), epoch); got != Clear {
				t.Errorf("got state %d for another account, want Clear", got)
			}
		})
	}
}

func TestAnswerClearsSuspectButNotBlocked(t *testing.T) {
	tracker := NewTracker()
	digest := DigestOf("school", []byte("body"))
	tracker.RecordDeath(digest, "e1/1", epoch)
	tracker.ClearSuspect(digest)
	if got := tracker.State(digest, epoch); got != Clear {
		t.Errorf("got state %d after an answer, want Clear", got)
	}
	tracker.RecordDeath(digest, "e1/1", epoch)
	tracker.RecordDeath(digest, "e2/1", epoch)
	tracker.ClearSuspect(digest)
	if got := tracker.State(digest, epoch); got != Blocked {
		t.Errorf("got state %d after an answer, want Blocked", got)
	}
}

func TestTargetReservedForOneSuspect(t *testing.T) {
	tracker := NewTracker()
	if !tracker.ReserveTarget("e1", "a") || tracker.ReserveTarget("e1", "b") {
		t.Fatal("got two suspects at one target, want one")
	}
	tracker.ReleaseTarget("e1")
	if !tracker.ReserveTarget("e1", "b") {
		t.Error("got target still reserved after its release, want it free")
	}
}

func TestEntriesAreBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range maxEntries + 100 {
		tracker.RecordDeath(Digest(fmt.Sprint(i)), "e1/1", epoch.Add(time.Duration(i)))
	}
	if got := len(tracker.entries); got > maxEntries {
		t.Errorf("got %d entries, want at most %d", got, maxEntries)
	}
}

// Guards against counting two deaths for one fault: when several targets stop together,
// a request of the first target must not run on the second when that one dies too.
func TestRetryDelayCoversTargetsStoppingTogether(t *testing.T) {
	const faultTime = 250 * time.Millisecond
	tracker := NewTracker()
	digest := DigestOf("school", []byte("body"))
	if got := tracker.EarliestRetry(digest); !got.IsZero() {
		t.Errorf("got retry delayed until %v for a clear request, want no delay", got)
	}
	tracker.RecordDeath(digest, "e1/1", epoch)
	got := tracker.EarliestRetry(digest)
	if !got.After(epoch.Add(faultTime)) {
		t.Errorf("got retry delayed until %v, want later than the death of the other targets", got)
	}
	if want := epoch.Add(time.Second); got.After(want) {
		t.Errorf("got retry delayed until %v, want at most 1 s because the caller waits", got)
	}
	tracker.RecordDeath(digest, "e1/1", epoch.Add(faultTime)) // reported again by another VM
	if again := tracker.EarliestRetry(digest); !again.Equal(got) {
		t.Errorf("got retry delayed until %v after a repeated notice, want %v", again, got)
	}
}
