package roster

import (
	"fmt"
	"testing"
)

// Guards against targets that are merely busy being probed, which costs them a connection
// each time when they have the least to spare, and against a target that no longer answers
// being found late.
func TestOnlyUnexpectedSilenceIsProbed(t *testing.T) {
	tests := []struct {
		name     string
		adaptive bool
		tokens   int // of the prompt, at 18 us each
		load     Load
		// heardAt holds the times, in milliseconds after the last byte, at which another VM
		// received bytes from the target.
		heardAt []int
		// quietUntil and probedBy are the times, in milliseconds after the last byte,
		// before which no probe may be made and at which one must have been made.
		quietUntil, probedBy int
	}{
		{name: "not adaptive", tokens: 20_000, heardAt: []int{200, 400}, quietUntil: 250, probedBy: 300},
		{name: "nothing expected to take long", adaptive: true, quietUntil: 250, probedBy: 300},
		{name: "long prompt", adaptive: true, tokens: 20_000, quietUntil: 250 + 360, probedBy: 700},
		{name: "requests wait there", adaptive: true, load: Load{Running: 8, Waiting: 6, Slots: 8}, quietUntil: 250 + 100, probedBy: 550},
		{name: "work takes twice as long", adaptive: true, tokens: 20_000, load: Load{Slots: 8, WorkTime: 2}, quietUntil: 250 + 720, probedBy: 1050},
		{name: "another VM receives bytes", adaptive: true, heardAt: []int{200, 400, 600, 800}, quietUntil: 1200, probedBy: 1300},
		{name: "another VM received bytes before the target fell silent", adaptive: true, heardAt: []int{-100}, quietUntil: 450, probedBy: 550},
		{name: "only this VM is cut off", adaptive: true, heardAt: every(100, 5000), quietUntil: 1200, probedBy: 1350},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roster := New("a")
			roster.SetMemoryPressure(test.adaptive)
			roster.Put(engineEntry("e1", "a", 1), start)
			answered := choose(t, roster, Criteria{Model: "m"}, start)
			choose(t, roster, Criteria{Model: "m", Tokens: test.tokens}, start)
			answered.Answered(test.load, true, start)
			heard := test.heardAt
			for ms := 0; ms <= test.probedBy; ms += 25 {
				for ; len(heard) > 0 && heard[0] <= ms; heard = heard[1:] {
					roster.MergeHeard([]Heard{{Hash: targetHash("e1"), At: afterMs(heard[0])}})
				}
				if probes := roster.Probes(afterMs(ms)); len(probes) == 0 {
					continue
				}
				if ms < test.quietUntil {
					t.Errorf("got a probe after %d ms, want none before %d ms", ms, test.quietUntil)
				}
				return
			}
			t.Errorf("got no probe, want one by %d ms", test.probedBy)
		})
	}
}

// every returns the multiples of step up to last.
func every(step, last int) []int {
	var times []int
	for time := step; time <= last; time += step {
		times = append(times, time)
	}
	return times
}

// Guards against VMs that open connections to all sound targets whenever one crashes: an
// answer of any target shows that the VM is not cut off from the service.
func TestCrashedTargetsCostFewProbesOfOthers(t *testing.T) {
	tests := []struct {
		name     string
		adaptive bool
		answers  bool // another target answers between two crashes
		most     int  // probes of sound targets
	}{
		{name: "not adaptive", most: 30 * confirmationProbes},
		{name: "adaptive", adaptive: true, most: 30 * 2},
		{name: "adaptive, with answers", adaptive: true, answers: true, most: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roster := newRosterOf(90)
			roster.SetMemoryPressure(test.adaptive)
			sound := choose(t, roster, Criteria{Model: "m"}, start)
			probed := 0
			for crashed := range 30 {
				now := afterMs(1000 * (crashed + 1))
				id := fmt.Sprint("e", crashed)
				if id != sound.ID {
					roster.RecordProbe(id, false, now)
				}
				if test.answers {
					sound.Answered(Load{}, false, now)
				}
				for _, probe := range roster.Probes(now) {
					if probe.ID != sound.ID && !roster.targets[probe.ID].unreachable {
						probed++
						roster.RecordProbe(probe.ID, true, now)
					}
				}
			}
			if probed > test.most {
				t.Errorf("got %d probes of sound targets, want at most %d", probed, test.most)
			}
		})
	}
}

// Guards against bytes that only the caller's side explains being told to other VMs: they
// would take a target that no longer answers for a working one.
func TestHeardTargetsAreThoseThatSentBytes(t *testing.T) {
	roster := newRosterOf(3)
	roster.SetMemoryPressure(true)
	heard := choose(t, roster, Criteria{Model: "m"}, start)
	written := choose(t, roster, Criteria{Model: "m", Tried: []string{heard.ID}}, start)
	heard.Received(afterMs(10))
	written.CallerRead(afterMs(10))
	for _, test := range []struct{ ms, want int }{{20, 1}, {590, 1}, {700, 0}} {
		got := roster.Heard(afterMs(test.ms))
		if len(got) != test.want || len(got) == 1 && (got[0].Hash != targetHash(heard.ID) || !got[0].At.Equal(afterMs(10))) {
			t.Errorf("got %v after %d ms, want %d entries, of %s", got, test.ms, test.want, heard.ID)
		}
	}
	roster.SetMemoryPressure(false)
	if got := roster.Heard(afterMs(20)); len(got) != 0 {
		t.Errorf("got %v of a service that is not adaptive, want none", got)
	}
}
