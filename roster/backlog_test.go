package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against waits that seem short because the target is taken to process the prompts
// of each VM at its full rate, and against other waits where nothing new is asked for.
func TestBacklogsOfSeveralVMsTakeTurns(t *testing.T) {
	for _, test := range []struct {
		adaptive bool
		want     time.Duration // 10 VMs with 10,000 tokens each, 0.1 s ago
	}{
		{true, 1700 * time.Millisecond},
		{false, 800 * time.Millisecond},
	} {
		roster := New("z")
		roster.SetMemoryPressure(test.adaptive)
		roster.Put(Entry{ID: "i-1", Service: "s"}, start)
		vms := map[string]bool{}
		for i := range 10 {
			vms[fmt.Sprint(i)] = true
			roster.SetBacklogs(fmt.Sprint(i), []Backlog{{Target: "i-1", Tokens: 10_000}}, start)
		}
		now := start.Add(100 * time.Millisecond)
		if got := roster.MeanWait("s", now).Round(time.Millisecond); got != test.want {
			t.Errorf("adaptive %v: got wait %v, want %v", test.adaptive, got, test.want)
		}
		summed := time.Duration(roster.SummedBacklogs(vms, now)[0].Tokens*prefillTokenCost) * time.Microsecond
		if got := summed.Round(time.Millisecond); got != test.want {
			t.Errorf("adaptive %v: got %v in the sum of the zone, want %v", test.adaptive, got, test.want)
		}
	}
}

// Guards against sums that miss a report, or keep one that was replaced or of a target that
// started anew, and against VMs that share a place when others come and go.
func TestBacklogsAreThoseLastReported(t *testing.T) {
	type report struct{ tokens, step int }
	named := map[string]bool{"3": true, "7": true, "9": false}
	for _, adaptive := range []bool{true, false} {
		random := rand.New(rand.NewPCG(1, 2))
		roster := New("z")
		roster.SetMemoryPressure(adaptive)
		reports := map[string]map[string]report{}
		for step := range 2000 {
			if random.IntN(20) == 0 || step < 10 {
				id := fmt.Sprint("i-", random.IntN(10))
				roster.Put(Entry{ID: id, Service: "s", StartTime: int64(step)}, start)
				for _, reported := range reports {
					delete(reported, id)
				}
			}
			vm, backlogs := fmt.Sprint(random.IntN(20)), []Backlog(nil)
			reports[vm] = map[string]report{}
			for range random.IntN(5) {
				backlog := Backlog{Target: fmt.Sprint("i-", random.IntN(12)), Tokens: random.IntN(1000)}
				backlogs = append(backlogs, backlog)
				if _, ok := roster.targets[backlog.Target]; ok {
					reports[vm][backlog.Target] = report{tokens: backlog.Tokens, step: step}
				}
			}
			now := start.Add(time.Duration(step) * time.Millisecond)
			roster.SetBacklogs(vm, backlogs, now)
			summed := map[string]int{}
			for _, backlog := range roster.SummedBacklogs(named, now) {
				summed[backlog.Target] = backlog.Tokens
			}
			for id, target := range roster.targets {
				tokens, age, left, namedTokens, namedLeft := 0, 0, 0, 0, 0
				for vm, reported := range reports {
					elapsed := (step - reported[id].step) * 1000 // microseconds
					rest := max(0, reported[id].tokens-elapsed/prefillTokenCost)
					tokens, age, left = tokens+reported[id].tokens, age+reported[id].tokens*elapsed, left+rest
					if named[vm] {
						namedTokens, namedLeft = namedTokens+reported[id].tokens, namedLeft+rest
					}
				}
				if adaptive && tokens > 0 {
					part := max(0, 1-float64(age)/float64(tokens)/prefillTokenCost/float64(tokens))
					left, namedLeft = int(float64(tokens)*part), int(float64(namedTokens)*part)
				}
				if got := target.peerTokens(now); got != left || summed[id] != namedLeft {
					t.Fatalf("adaptive %v, step %d: got %d tokens at %s, %d of them from two VMs, want %d and %d", adaptive, step, got, id, summed[id], left, namedLeft)
				}
			}
		}
	}
}
