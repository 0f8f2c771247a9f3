package report

import (
	"math"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/refusal"
)

var now = time.Date(2030, 1, 4, 0, 0, 0, 0, time.UTC)

// slot returns a slot that started the given time ago, with good and slow answers.
func slot(ago time.Duration, good, slow, failed, limited int) Slot {
	buckets := make([]int, len(Bounds)+1)
	buckets[0], buckets[len(Bounds)] = good, slow
	return Slot{Start: now.Add(-ago), End: now.Add(slotLength - ago), Counts: []Count{{Account: "school", FirstToken: buckets, Failed: failed, Limited: limited}}}
}

func TestBurns(t *testing.T) {
	ttft := &catalog.Objective{Name: "fast", Measure: "ttft", Goal: 0.99, ThresholdMS: 400}
	cases := []struct {
		name      string
		objective *catalog.Objective
		slots     []Slot
		want      [3]float64 // 1 h, 6 h, 3 d
	}{
		{"nothing", ttft, nil, [3]float64{0, 0, 0}},
		{"all good", ttft, []Slot{slot(time.Minute, 100, 0, 0, 0)}, [3]float64{0, 0, 0}},
		{"budget used exactly", ttft, []Slot{slot(time.Minute, 99, 1, 0, 0)}, [3]float64{1, 1, 1}},
		{"bad hours ago", ttft, []Slot{slot(time.Minute, 100, 0, 0, 0), slot(3*time.Hour, 0, 100, 0, 0)}, [3]float64{0, 50, 50}},
		{"older than all windows", ttft, []Slot{slot(100*time.Hour, 0, 100, 0, 0)}, [3]float64{0, 0, 0}},
		{"failures", &catalog.Objective{Measure: "completion", Goal: 0.9}, []Slot{slot(time.Minute, 90, 0, 10, 5)}, [3]float64{1, 1, 1}},
		{"refusals", &catalog.Objective{Measure: "refusals", Goal: 0.9}, []Slot{slot(time.Minute, 80, 0, 3, 20)}, [3]float64{2, 2, 2}},
		{"another account", &catalog.Objective{Account: "other", Measure: "completion", Goal: 0.9}, []Slot{slot(time.Minute, 0, 0, 10, 0)}, [3]float64{0, 0, 0}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			burns := Burns([]*catalog.Objective{test.objective}, test.slots, now)
			for i, want := range test.want {
				if got := burns[0].Rates[i].Rate; math.Abs(got-want) > 1e-9 {
					t.Errorf("got %v over %s, want %v", got, burns[0].Rates[i].Window, want)
				}
			}
			if got, want := burns[0].BudgetLeft, 1-test.want[2]; math.Abs(got-want) > 1e-9 {
				t.Errorf("got %v of the budget left, want %v", got, want)
			}
		})
	}
}

func TestRecorderCountsAnswersAndRefusals(t *testing.T) {
	recorder := NewRecorder()
	recorder.RecordAnswer("school", 30*time.Millisecond)
	recorder.RecordAnswer("school", time.Minute)
	recorder.RecordRefusal("school", refusal.RateLimited)
	recorder.RecordRefusal("school", refusal.TargetFailed)
	recorder.RecordRefusal("school", refusal.InvalidKey) // caused by the caller, not counted
	got := recorder.Slots()[0].Counts[0]
	if got.answered() != 2 || got.FirstToken[1] != 1 || got.FirstToken[len(Bounds)] != 1 || got.Limited != 1 || got.Failed != 1 {
		t.Errorf("got %+v, want two answers, one limited, one failed", got)
	}
}

func TestRecorderMergesOldSlots(t *testing.T) {
	recorder := NewRecorder()
	const slots = 3 * 24 * 12
	recorder.mu.Lock()
	for i := range slots {
		recorder.count("school", now.Add(time.Duration(i)*slotLength)).Failed++
	}
	recorder.mu.Unlock()
	got := recorder.Slots()
	if maxSlots := 72 + 24 + 2; len(got) > maxSlots {
		t.Errorf("got %d slots after three days, want at most %d", len(got), maxSlots)
	}
	total := 0
	for i, slot := range got {
		total += slot.Counts[0].Failed
		if i > 0 && slot.Start.Before(got[i-1].End) {
			t.Errorf("got slot %d from %v before %v, want no overlap", i, slot.Start, got[i-1].End)
		}
	}
	if total != slots {
		t.Errorf("got %d counted, want %d", total, slots)
	}
}
