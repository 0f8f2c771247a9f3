package queue

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func granted(waiter *Waiter) bool {
	select {
	case <-waiter.Granted():
		return true
	default:
		return false
	}
}

// served runs a queue whose accounts always have requests waiting and returns
// the tokens that each was served.
func served(weights map[string]float64, tokens map[string]float64, grants int) map[string]float64 {
	fair := New()
	fair.SetSlots(1)
	hold := fair.Join(Request{Account: "hold", Tokens: 1})
	waiting := map[string][]*Waiter{}
	join := func(name string) {
		waiting[name] = append(waiting[name], fair.Join(Request{Account: name, Weight: weights[name], Tokens: tokens[name]}))
	}
	for name := range weights {
		for range 50 {
			join(name)
		}
	}
	_ = hold
	got := map[string]float64{}
	for range grants {
		fair.Leave()
		for name, line := range waiting {
			if granted(line[0]) {
				got[name] += tokens[name]
				waiting[name] = line[1:]
				join(name)
			}
		}
	}
	return got
}

func TestSharesFollowWeights(t *testing.T) {
	cases := []struct {
		name    string
		weights map[string]float64
		tokens  map[string]float64
		want    map[string]float64 // shares
	}{
		{"equal", map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 100, "b": 100}, map[string]float64{"a": .5, "b": .5}},
		{"large and small requests", map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 1000, "b": 100}, map[string]float64{"a": .5, "b": .5}},
		{"weights", map[string]float64{"a": 3, "b": 1}, map[string]float64{"a": 100, "b": 100}, map[string]float64{"a": .75, "b": .25}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := served(test.weights, test.tokens, 2000)
			total := got["a"] + got["b"]
			for name, want := range test.want {
				if share := got[name] / total; math.Abs(share-want) > 0.02 {
					t.Errorf("got %s a share of %.3f, want %.3f", name, share, want)
				}
			}
		})
	}
}

func TestFloodDoesNotDelayOthers(t *testing.T) {
	fair := New()
	fair.SetSlots(1)
	fair.Join(Request{Account: "flood", Tokens: 100})
	for range 1000 {
		fair.Join(Request{Account: "flood", Tokens: 100})
	}
	late := fair.Join(Request{Account: "school", Tokens: 100})
	for turns := 1; ; turns++ {
		fair.Leave()
		if granted(late) {
			if turns > 2 {
				t.Errorf("got served after %d turns, want 2 at most", turns)
			}
			return
		}
	}
}

func TestInteractiveGoesFirstWithoutStarving(t *testing.T) {
	fair := New()
	fair.SetSlots(1)
	fair.Join(Request{Account: "hold", Tokens: 1})
	summary := fair.Join(Request{Account: "a", Tokens: 1})
	for range 100 {
		fair.Join(Request{Account: "b", Tokens: 1, Interactive: true})
	}
	for turns := 1; ; turns++ {
		fair.Leave()
		if granted(summary) {
			if turns < othersTurn-1 || turns > othersTurn {
				t.Errorf("got the summary after %d turns, want about %d", turns, othersTurn)
			}
			return
		}
	}
}

func TestSlotsAreNeverExceededNorLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fair := New()
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		fair.SetSlots(slots)
		var line []*Waiter
		running := 0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				line = append(line, fair.Join(Request{Account: fmt.Sprint(step % 3), Tokens: float64(step), Interactive: step%2 == 0}))
			case 1:
				if running > 0 {
					running--
					fair.Leave()
				}
			case 2:
				if len(line) > 0 {
					if !fair.Withdraw(line[0]) {
						t.Fatalf("got a granted request in the line")
					}
					line = line[1:]
				}
			}
			var still []*Waiter
			for _, waiter := range line {
				if granted(waiter) {
					running++
				} else {
					still = append(still, waiter)
				}
			}
			line = still
			if running > slots || len(line) > 0 && running < slots {
				t.Fatalf("got %d running with %d waiting, want %d slots used", running, len(line), slots)
			}
		}
	})
}

func BenchmarkJoinLeave430Accounts(b *testing.B) {
	fair := New()
	fair.SetSlots(8)
	names := make([]string, 430)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		fair.Join(Request{Account: names[i%len(names)], Tokens: 1000})
		if i >= 8 {
			fair.Leave()
		}
	}
}
