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
		roster := New("a")
		roster.SetMemoryPressure(test.adaptive)
		roster.Put(engineEntry("e1", "a", 1), start)
		answered := choose(t, roster, Criteria{Model: "m"}, start)
		choose(t, roster, Criteria{Model: "m", Tokens: test.tokens}, start)
		answered.Answered(test.load, true, start)
		probedAt := -1
		for ms := 0; ms <= test.probedBy && probedAt < 0; ms += 25 {
			for ; len(test.heardAt) > 0 && test.heardAt[0] <= ms; test.heardAt = test.heardAt[1:] {
				roster.MergeHeard([]Heard{{Hash: targetHash("e1"), At: afterMs(test.heardAt[0])}})
			}
			if len(roster.Probes(afterMs(ms))) > 0 {
				probedAt = ms
			}
		}
		if probedAt < test.quietUntil {
			t.Errorf("%s: got the first probe after %d ms (-1: none), want it after %d to %d ms", test.name, probedAt, test.quietUntil, test.probedBy)
		}
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
	const crashes = 30
	for _, test := range []struct {
		adaptive bool
		answers  bool // another target answers between two crashes
		most     int  // probes of sound targets
	}{{most: crashes * confirmationProbes}, {adaptive: true, most: crashes * 2}, {adaptive: true, answers: true, most: 0}} {
		roster := newRosterOf(90)
		roster.SetMemoryPressure(test.adaptive)
		sound := choose(t, roster, Criteria{Model: "m"}, start)
		probed := 0
		for crashed := range crashes {
			now, id := afterMs(1000*(crashed+1)), fmt.Sprint("e", crashed)
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
			t.Errorf("%+v: got %d probes of sound targets", test, probed)
		}
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
	for ms, want := range map[int]int{20: 1, 590: 1, 700: 0} {
		got := roster.Heard(afterMs(ms))
		if len(got) != want || want == 1 && got[0] != (Heard{Hash: targetHash(heard.ID), At: afterMs(10)}) {
			t.Errorf("got %v after %d ms, want %d entries, of %s", got, ms, want, heard.ID)
		}
	}
}
