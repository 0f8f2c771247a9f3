package queue

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func isGranted(waiter *Waiter) bool {
	select {
	case <-waiter.Granted():
		return true
	default:
		return false
	}
}

// servedTokens runs a queue in which every account always has requests waiting.
// It returns the number of tokens granted to each account.
func servedTokens(weights map[string]float64, tokens map[string]float64, grants int) map[string]float64 {
	queue := New()
	queue.SetSlots(1)
	first := queue.Enqueue(Request{Account: "hold", Tokens: 1})
	waiting := map[string][]*Waiter{}
	enqueue := func(name string) {
		waiting[name] = append(waiting[name], queue.Enqueue(Request{Account: name, Weight: weights[name], Tokens: tokens[name]}))
	}
	for name := range weights {
		for range 50 {
			enqueue(name)
		}
	}
	_ = first
	got := map[string]float64{}
	for range grants {
		queue.Release()
		for name, waiters := range waiting {
			if isGranted(waiters[0]) {
				got[name] += tokens[name]
				waiting[name] = waiters[1:]
				enqueue(name)
			}
		}
	}
	return got
}

func TestSharesAreProportionalToWeights(t *testing.T) {
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
			got := servedTokens(test.weights, test.tokens, 2000)
			total := got["a"] + got["b"]
			for name, want := range test.want {
				if share := got[name] / total; math.Abs(share-want) > 0.02 {
					t.Errorf("got %s a share of %.3f, want %.3f", name, share, want)
				}
			}
		})
	}
}

func TestFloodOfOneAccountDoesNotDelayOthers(t *testing.T) {
	queue := New()
	queue.SetSlots(1)
	queue.Enqueue(Request{Account: "flood", Tokens: 100})
	for range 1000 {
		queue.Enqueue(Request{Account: "flood", Tokens: 100})
	}
	waiter := queue.Enqueue(Request{Account: "school", Tokens: 100})
	for releases := 1; ; releases++ {
		queue.Release()
		if isGranted(waiter) {
			if releases > 2 {
				t.Errorf("got a grant after %d released slots, want 2 at most", releases)
			}
			return
		}
	}
}

func TestInteractiveGoesFirstWithoutStarvingOthers(t *testing.T) {
	queue := New()
	queue.SetSlots(1)
	queue.Enqueue(Request{Account: "hold", Tokens: 1})
	nonInteractive := queue.Enqueue(Request{Account: "a", Tokens: 1})
	for range 100 {
		queue.Enqueue(Request{Account: "b", Tokens: 1, Interactive: true})
	}
	for releases := 1; ; releases++ {
		queue.Release()
		if isGranted(nonInteractive) {
			if releases < nonInteractiveInterval-1 || releases > nonInteractiveInterval {
				t.Errorf("got the non-interactive request after %d released slots, want about %d", releases, nonInteractiveInterval)
			}
			return
		}
	}
}

func TestSlotsAreNeitherExceededNorLeftUnused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := New()
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		queue.SetSlots(slots)
		var waiting []*Waiter
		running := 0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				waiting = append(waiting, queue.Enqueue(Request{Account: fmt.Sprint(step % 3), Tokens: float64(step), Interactive: step%2 == 0}))
			case 1:
				if running > 0 {
					running--
					queue.Release()
				}
			case 2:
				if len(waiting) > 0 {
					if !queue.Withdraw(waiting[0]) {
						t.Fatalf("got a granted request among the waiting ones")
					}
					waiting = waiting[1:]
				}
			}
			var remaining []*Waiter
			for _, waiter := range waiting {
				if isGranted(waiter) {
					running++
				} else {
					remaining = append(remaining, waiter)
				}
			}
			waiting = remaining
			if running > slots || len(waiting) > 0 && running < slots {
				t.Fatalf("got %d running with %d waiting, want %d slots used", running, len(waiting), slots)
			}
		}
	})
}

func BenchmarkEnqueueRelease430Accounts(b *testing.B) {
	queue := New()
	queue.SetSlots(8)
	names := make([]string, 430)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		queue.Enqueue(Request{Account: names[i%len(names)], Tokens: 1000})
		if i >= 8 {
			queue.Release()
		}
	}
}
