package quota

import (
	"testing"
	"time"
)

// An account at twice its rate sends short calls of 200 tokens, checks of 2400 and
// summaries of 12,000. The calls and checks need a small part of the tokens: nearly all
// of the calls and most checks must be admitted, but still some of the summaries, and the
// account must receive its rate.
func TestSmallKindsAreAdmittedFirst(t *testing.T) {
	kinds := []struct {
		name    string
		tokens  float64
		share   float64 // of the requests
		minimum float64 // of its requests to be admitted
	}{
		{"sign-off", 200, 0.28, 0.9},
		{"check", 2400, 0.6, 0.55},
		{"summary", 12_000, 0.12, 0.25},
	}
	limit := Account{Name: "school", Rate: 110_000, Burst: 110_000}
	simulation := newZonedSimulation(limit)
	asked, admitted := map[string]int{}, map[string]int{}
	tokens := 0.0
	const length, mean = 30 * time.Second, 0.28*200 + 0.6*2400 + 0.12*12_000
	for elapsed := time.Duration(0); elapsed < length; elapsed += 10 * time.Millisecond {
		if elapsed%heartbeatInterval == 0 {
			simulation.exchangeCounts()
		}
		for pending := 2 * limit.Rate / mean * 0.01; pending > 0; pending-- {
			if simulation.random.Float64() >= pending {
				continue
			}
			kind, draw := kinds[0], simulation.random.Float64()
			for _, next := range kinds {
				if kind = next; draw < next.share {
					break
				}
				draw -= next.share
			}
			asked[kind.name]++
			vm := simulation.vms[simulation.random.IntN(len(simulation.vms))]
			if _, ok := vm.Admit(limit, Request{Tokens: kind.tokens, Kind: kind.name}, simulation.now); ok {
				admitted[kind.name]++
				tokens += kind.tokens
			}
		}
		simulation.now = simulation.now.Add(10 * time.Millisecond)
	}
	for _, kind := range kinds {
		got := float64(admitted[kind.name]) / float64(asked[kind.name])
		if got < kind.minimum {
			t.Errorf("%s: got a fraction of %.2f admitted, want %.2f at least", kind.name, got, kind.minimum)
		}
		t.Logf("%s: %.2f admitted", kind.name, got)
	}
	if got, want := tokens, 0.85*length.Seconds()*limit.Rate; got < want {
		t.Errorf("got %.0f tokens, want %.0f at least", got, want)
	}
}
