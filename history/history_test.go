package history

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// arrivals returns requests that arrive at the times and are answered at once.
func arrivals(vm string, change func(*Arrival), seconds ...float64) []Arrival {
	var all []Arrival
	for i, second := range seconds {
		arrival := Arrival{Request: fmt.Sprint(vm, i), Target: "t", VM: vm, Sent: at(second), At: at(second), Answered: at(second)}
		if change != nil {
			change(&arrival)
		}
		all = append(all, arrival)
	}
	return all
}

func every(interval, from, to float64) []float64 {
	var seconds []float64
	for second := from; second < to; second += interval {
		seconds = append(seconds, second)
	}
	return seconds
}

func limited(arrival *Arrival) { arrival.Limit = 2 }

func crashing(arrival *Arrival) {
	arrival.Parts, arrival.Crashed = []string{"p"}, true
}

// Each check must find a history that breaks its promise, and pass one that just does
// not.
func TestCheck(t *testing.T) {
	leaving := arrivals("a", func(arrival *Arrival) { arrival.Leaving = true }, 1)
	resting := arrivals("a", func(arrival *Arrival) { arrival.RestUntil = at(5) }, 1)
	for _, test := range []struct {
		name     string
		arrivals []Arrival
		excused  bool
		want     string
	}{
		{"sent in time to a target that leaves", append(leaving, arrivals("a", nil, 3)...), false, ""},
		{"sent late to a target that leaves", append(leaving, arrivals("a", nil, 3.1)...), false, "DRAIN"},
		{"sent late by a VM that was not told", append(leaving, arrivals("b", nil, 3.1)...), false, ""},
		{"sent late by a VM that restarted", append(leaving, arrivals("a", nil, 3.1)...), true, ""},
		{"two in a rest", append(resting, arrivals("a", nil, 1.4, 2, 3, 5)...), false, ""},
		{"three in a rest", append(resting, arrivals("a", nil, 2, 3, 4.9)...), false, "BUDGET"},
		{"three of another VM in a rest", append(resting, arrivals("b", nil, 2, 3, 4.9)...), false, ""},
		{"three in a rest of a VM that was paused", append(resting, arrivals("a", nil, 2, 3, 4.9)...), true, ""},
		{"as many as the limit allows", arrivals("a", limited, every(0.25, 0, 20)...), false, ""},
		{"more than the limit allows", arrivals("a", limited, every(0.2, 0, 20)...), false, "LIMIT"},
		{"many before the VMs must know", arrivals("a", limited, every(0.1, 0, 3)...), false, ""},
		{"many before the limit", append(arrivals("a", nil, every(0.1, 0, 20)...), arrivals("a", limited, 20)...), false, ""},
		{"many by a VM that was restarted", arrivals("a", limited, every(0.1, 0, 20)...), true, ""},
		{"five crashes and three later", arrivals("a", crashing, 1, 2, 3, 4, 5, 8.1, 9, 10), false, ""},
		{"five crashes and four later", arrivals("a", crashing, 1, 2, 3, 4, 5, 8.1, 9, 10, 11), false, "BUDGET"},
		{"many before the VMs must know of five crashes", arrivals("a", crashing, every(0.1, 0, 3)...), false, ""},
		{"a part that was answered", append(arrivals("a", crashing, 1, 2, 3, 4, 5, 8.1, 9, 10, 11),
			arrivals("a", func(arrival *Arrival) { arrival.Parts = []string{"p"} }, 12)...), false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := &History{
				Arrivals: test.arrivals, Bounds: Bounds{Contact: settings.Span(3 * time.Second), Drain: settings.Span(2 * time.Second)},
				Excused: func(string, time.Time, time.Time) bool { return test.excused },
			}
			violations := history.Check()
			got := ""
			if len(violations) > 0 {
				got = violations[0].Rule
			}
			if got != test.want {
				t.Errorf("got %v, want %q", violations, test.want)
			}
		})
	}
}
