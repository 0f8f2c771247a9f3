package quota

import (
	"testing"
	"time"
)

// Guards against streams that end because the limit turns away the callers who take them
// up as often as all others, and against an account that exceeds its limit for them.
func TestRequestsThatContinueAreAdmittedMoreOften(t *testing.T) {
	const seconds, tokens = 12, 2000.0
	limit := Account{Name: "a", Rate: 400_000, Burst: 400_000}
	simulation := newFlatSimulation(8, limit)
	var asked, admitted [2]int
	for tick := range seconds * 1000 { // 1,000 requests a second ask for 5 times the rate
		simulation.now = simulation.now.Add(time.Millisecond)
		if tick%300 == 0 {
			simulation.exchangeCounts()
		}
		kind := 0
		if tick%7 == 0 {
			kind = 1 // continues
		}
		vm := simulation.vms[tick%len(simulation.vms)]
		_, ok := vm.Admit(limit, Request{Tokens: tokens, Kind: "r", Continues: kind == 1}, simulation.now)
		if tick < 2000 {
			continue // the burst is spent by then
		}
		asked[kind]++
		if ok {
			admitted[kind]++
		}
	}
	others, continuing := float64(admitted[0])/float64(asked[0]), float64(admitted[1])/float64(asked[1])
	if continuing < 2*others {
		t.Errorf("got %.2f of the requests that continue and %.2f of the others, want twice as many at least", continuing, others)
	}
	if got, most := float64(admitted[0]+admitted[1])*tokens, 1.1*(limit.Rate*(seconds-2)+limit.Burst); got > most {
		t.Errorf("got %.0f tokens, want %.0f at most", got, most)
	}
}
