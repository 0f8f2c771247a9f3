package roster

import (
	"fmt"
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
