package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// scenario drives the Parts of one VM in virtual time.
type scenario struct {
	parts *Parts
	now   time.Time
	died  int
}

func newScenario() *scenario {
	return &scenario{parts: NewParts(), now: time.Unix(1000, 0)}
}

// answers records answered prompts with the parts.
func (scenario *scenario) answers(count int, ids ...string) {
	for range count {
		scenario.parts.RecordAnswer(ids, scenario.now)
	}
}

// die records the death of another target with a prompt of the parts in flight, and
// lets the time pass until the next one.
func (scenario *scenario) die(after time.Duration, ids ...string) {
	scenario.died++
	scenario.parts.RecordDeath(Death{Target: fmt.Sprint("target", scenario.died), Request: fmt.Sprint("request", scenario.died), Parts: ids}, true, scenario.now)
	scenario.now = scenario.now.Add(after)
}

func (scenario *scenario) isBlocked(id string) bool {
	_, blocked := scenario.parts.Blocked([]string{id}, scenario.now)
	return blocked
}

const apart = time.Second // time between two deaths

// Guards against the block of parts that do not crash targets.
func TestPartIsBlockedOnlyIfItExplainsTheDeaths(t *testing.T) {
	for _, test := range []struct {
		name    string
		play    func(scenario *scenario)
		blocked bool
	}{
		{"three deaths, others are answered", func(scenario *scenario) {
			for range 3 {
				scenario.die(apart, "p")
				scenario.answers(10, "other")
			}
		}, true},
		{"two deaths", func(scenario *scenario) {
			for range 2 {
				scenario.die(apart, "p")
				scenario.answers(10, "other")
			}
		}, false},
		{"answered in between", func(scenario *scenario) {
			for range 4 {
				scenario.die(apart, "p")
				scenario.answers(10, "other")
				scenario.answers(1, "p")
			}
		}, false},
		{"nothing else is answered", func(scenario *scenario) {
			for range 6 {
				scenario.die(apart, "p")
			}
		}, false},
		{"targets that stop together", func(scenario *scenario) {
			for range 6 {
				scenario.die(time.Millisecond, "p")
			}
			scenario.now = scenario.now.Add(apart)
			scenario.answers(10, "other")
		}, false},
		{"answered before: four deaths", func(scenario *scenario) {
			scenario.answers(1, "p")
			scenario.now = scenario.now.Add(apart)
			for range 4 {
				scenario.die(apart, "p")
				scenario.answers(10, "other")
			}
		}, false},
		{"answered before: five deaths", func(scenario *scenario) {
			scenario.answers(1, "p")
			scenario.now = scenario.now.Add(apart)
			for range 5 {
				scenario.die(apart, "p")
				scenario.answers(10, "other")
			}
		}, true},
		{"another part explains more deaths", func(scenario *scenario) {
			scenario.die(apart, "q")
			for range 3 {
				scenario.die(apart, "p", "q")
				scenario.answers(10, "other")
			}
		}, false},
		{"another part explains more deaths, but was answered before", func(scenario *scenario) {
			scenario.answers(1, "q")
			scenario.now = scenario.now.Add(apart)
			scenario.die(apart, "q")
			for range 3 {
				scenario.die(apart, "p", "q")
				scenario.answers(10, "other")
			}
		}, true},
		{"another part explains more deaths, this one was answered before", func(scenario *scenario) {
			scenario.answers(1, "p")
			scenario.now = scenario.now.Add(apart)
			for range 4 {
				scenario.die(apart, "q", "p")
				scenario.answers(10, "other")
			}
			scenario.die(apart, "p")
			scenario.die(apart, "p")
			scenario.answers(10, "other")
		}, false},
		{"another part explains as many deaths", func(scenario *scenario) {
			for range 4 {
				scenario.die(apart, "p", "q")
				scenario.answers(10, "other")
			}
		}, false},
		{"another part explains as many deaths, five times", func(scenario *scenario) {
			for range 5 {
				scenario.die(apart, "p", "q")
				scenario.answers(10, "other")
			}
		}, true},
		{"two parts with deaths of their own", func(scenario *scenario) {
			for range 4 {
				scenario.die(apart, "p")
				scenario.answers(10, "other")
			}
			for range 3 {
				scenario.die(apart, "q")
				scenario.answers(10, "other")
			}
		}, true},
		{"one request that is sent again", func(scenario *scenario) {
			for i := range 6 {
				scenario.parts.RecordDeath(Death{Target: fmt.Sprint("target", i), Request: "request", Parts: []string{"p"}}, true, scenario.now)
				scenario.now = scenario.now.Add(apart)
				scenario.answers(10, "other")
			}
		}, false},
		{"faults that stop several targets, of which some ran it", func(scenario *scenario) {
			for range 6 {
				scenario.die(time.Millisecond, "p")
				scenario.die(apart, "q")
				scenario.answers(10, "other")
			}
		}, false},
		{"many faults without it", func(scenario *scenario) {
			for range 6 {
				scenario.die(apart, "p")
				for range maxOtherFaults {
					scenario.die(apart, "q", "r")
					scenario.answers(1, "q")
					scenario.answers(1, "r")
				}
				scenario.answers(10, "other")
			}
		}, false},
		{"several parts crash targets by turns", func(scenario *scenario) {
			for range 3 {
				scenario.die(apart, "p")
				scenario.die(apart, "q")
				scenario.die(apart, "r")
				scenario.answers(10, "other")
			}
		}, true},
		{"another part that crashes targets alone does so within each of its faults", func(scenario *scenario) {
			for range 2 {
				scenario.die(apart, "q")
			}
			for range 3 {
				scenario.die(time.Millisecond, "p")
				scenario.die(apart, "q")
				scenario.answers(10, "other")
			}
		}, true},
		{"another part that crashed one target alone does so within each of its faults", func(scenario *scenario) {
			scenario.die(apart, "q")
			for range 6 {
				scenario.die(time.Millisecond, "p")
				scenario.die(apart, "q")
				scenario.answers(10, "other")
			}
		}, false},
		{"a death is reported by several prompts", func(scenario *scenario) {
			for range 3 {
				scenario.parts.RecordDeath(Death{Target: "target", Request: fmt.Sprint("request", scenario.now), Parts: []string{"p"}}, true, scenario.now)
				scenario.now = scenario.now.Add(apart)
				scenario.answers(10, "other")
			}
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			scenario := newScenario()
			test.play(scenario)
			if got := scenario.isBlocked("p"); got != test.blocked {
				t.Errorf("got blocked %t, want %t", got, test.blocked)
			}
		})
	}
}

// Guards against the block of a part because another VM reports later that the part
// which crashed the targets was in flight there too.
func TestDeathsAreCountedAfterOtherVMsReported(t *testing.T) {
	scenario := newScenario()
	for range 2 {
		scenario.die(apart, "p", "bystander")
		scenario.answers(10, "other")
	}
	scenario.die(apart, "p")
	scenario.answers(10, "other")
	if !scenario.isBlocked("p") {
		t.Fatal("got p not blocked, want it blocked")
	}
	scenario.parts.RecordDeath(Death{Target: "target4", Request: "request4", Parts: []string{"bystander"}}, true, scenario.now)
	scenario.parts.RecordDeath(Death{Target: "target4", Request: "request5", Parts: []string{"p"}}, false, scenario.now.Add(settleTime/2))
	scenario.now = scenario.now.Add(apart)
	scenario.answers(10, "other")
	if scenario.isBlocked("bystander") {
		t.Error("got the bystander blocked, want it clear: p explains its deaths")
	}
}

// Guards against the block of a part by a VM that had none of its prompts in flight, only
// others at the same targets: it was not told when the part was answered.
func TestOnlyVMWithPromptOfPartDecides(t *testing.T) {
	scenario := newScenario()
	for i := range 2 * blockingTiedDeaths {
		target := fmt.Sprint("shared", i)
		scenario.parts.RecordDeath(Death{Target: target, Request: fmt.Sprint("remote", i), Parts: []string{"p"}}, false, scenario.now)
		scenario.parts.RecordDeath(Death{Target: target, Request: fmt.Sprint("local", i), Parts: []string{fmt.Sprint("neighbour", i)}}, true, scenario.now)
		scenario.now = scenario.now.Add(apart)
		scenario.answers(10, "other")
	}
	if scenario.isBlocked("p") {
		t.Fatal("got p blocked by a VM without its prompts, want it clear")
	}
	scenario.die(apart, "p")
	if !scenario.isBlocked("p") {
		t.Error("got p clear after its prompt died at this VM, want it blocked")
	}
}

// Guards against the block of a part before the other VMs can have replied to this VM's
// first report of its death that they saw it answered.
func TestVMDecidesAfterRepliesToItsReport(t *testing.T) {
	scenario := newScenario()
	scenario.answers(10, "other")
	for i := range 4 {
		scenario.parts.RecordDeath(Death{Target: fmt.Sprint("target", i), Request: fmt.Sprint("remote", i), Parts: []string{"p"}}, false, scenario.now)
		scenario.now = scenario.now.Add(apart)
		scenario.answers(10, "other")
	}
	last := scenario.now
	scenario.parts.RecordDeath(Death{Target: "last", Request: "remote", Parts: []string{"p"}}, false, last)
	scenario.now = last.Add(settleTime / 2)
	scenario.die(0, "p")
	for _, test := range []struct {
		after time.Duration
		want  bool
	}{{settleTime / 2, false}, {settleTime, false}, {settleTime*3/2 - 1, false}, {settleTime * 3 / 2, true}} {
		scenario.now = last.Add(test.after)
		if got := scenario.isBlocked("p"); got != test.want {
			t.Errorf("%v after the last death: got blocked %t, want %t", test.after, got, test.want)
		}
	}
}

// An answered prompt shows that its parts crash nothing.
func TestAnswerUnblocksPart(t *testing.T) {
	scenario := newScenario()
	scenario.parts.Block(BlockedPart{Part: "p", Until: scenario.now.Add(time.Hour)}, scenario.now)
	if !scenario.isBlocked("p") {
		t.Fatal("got p clear, want it blocked")
	}
	scenario.parts.MergeAnswers([]Answer{{Part: "p", At: scenario.now.Add(-time.Second)}}, scenario.now)
	if !scenario.isBlocked("p") {
		t.Error("got p clear after an earlier answer, want it blocked")
	}
	scenario.now = scenario.now.Add(time.Second)
	scenario.answers(1, "p")
	if scenario.isBlocked("p") {
		t.Error("got p blocked, want it clear")
	}
	if _, cleared := scenario.parts.Changes(scenario.now); len(cleared) != 1 || cleared[0] != "p" {
		t.Errorf("got %v to be told, want p", cleared)
	}
}

// What callers send must not fill the memory, and a block must outlive it.
func TestPartsAreBounded(t *testing.T) {
	scenario := newScenario()
	scenario.parts.Block(BlockedPart{Part: "p", Until: scenario.now.Add(time.Hour)}, scenario.now)
	for i := range 2 * maxParts {
		scenario.answers(1, fmt.Sprint("part", i))
	}
	for i := range 2 * maxDeaths {
		scenario.die(apart, fmt.Sprint("victim", i))
	}
	if got := len(scenario.parts.parts); got > maxParts+maxDeaths {
		t.Errorf("got %d parts, want %d at most", got, maxParts)
	}
	if got := len(scenario.parts.deaths); got > maxDeaths {
		t.Errorf("got %d deaths, want %d at most", got, maxDeaths)
	}
	if !scenario.isBlocked("p") {
		t.Error("got p clear, want it blocked")
	}
}
