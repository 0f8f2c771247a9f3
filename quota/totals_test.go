package quota

import (
	"testing"
	"time"
)

// Guards against a VM that receives its own tokens as spent by other VMs of its
// availability zone, once or again: vm-1 takes the sums of vm-0 without its own counts.
func TestTotalsWithoutSource(t *testing.T) {
	type report struct {
		name, boot string
		age        time.Duration // of the process
		spent      float64
		removed    bool // by RemoveSource before the report
	}
	const old = time.Hour
	for _, test := range []struct {
		name    string
		reports []report
		want    float64 // without vm-1
		total   float64
	}{
		{"other VMs only", []report{{"vm-2", "a", 0, 300, false}, {"vm-3", "a", 0, 40, false}}, 340, 340},
		{"both", []report{{"vm-1", "a", 0, 500, false}, {"vm-2", "a", 0, 300, false}, {"vm-1", "a", 0, 700, false}}, 300, 1000},
		{"counted before this VM", []report{{"vm-1", "a", old, 500, false}, {"vm-2", "a", 0, 300, false}, {"vm-1", "a", old, 700, false}}, 300, 500},
		{"refund", []report{{"vm-1", "a", 0, 500, false}, {"vm-2", "a", 0, 300, false}, {"vm-1", "a", 0, 450, false}}, 300, 750},
		{"restart", []report{{"vm-1", "a", 0, 500, false}, {"vm-2", "a", 0, 300, false}, {"vm-1", "b", 0, 80, false}, {"vm-1", "b", 0, 90, false}}, 300, 890},
		{"restart noticed late", []report{{"vm-1", "a", 0, 500, false}, {"vm-2", "a", 0, 300, false}, {"vm-1", "b", old, 80, false}, {"vm-1", "b", old, 90, false}}, 300, 810},
		{"removed", []report{{"vm-1", "a", old, 500, false}, {"vm-1", "a", old, 600, false}, {"vm-2", "a", 0, 300, false}, {"vm-1", "a", old, 800, true}, {"vm-1", "a", old, 850, false}}, 300, 450},
	} {
		t.Run(test.name, func(t *testing.T) {
			limit := Account{Name: "school", Burst: 100_000}
			now := time.Unix(1_700_000_000, 0)
			limiter := newSizedLimiter("vm-0", 4)
			limiter.SetLimits([]Account{limit}, now)
			for _, report := range test.reports {
				if report.removed {
					limiter.RemoveSource(report.name)
				}
				now = now.Add(100 * time.Millisecond)
				source := Source{Name: report.name, Boot: report.boot, VMs: 1, Began: now.Add(-report.age), SameZone: true}
				limiter.UpdateCounts(source, []Count{{Account: limit.Name, Spent: report.spent, Wanted: report.spent}}, now, now)
			}
			want, total := []Count{{Account: limit.Name, Spent: test.want, Wanted: test.want}}, []Count{{Account: limit.Name, Spent: test.total, Wanted: test.total}}
			if got := limiter.TotalsWithout("vm-1"); got[0] != want[0] {
				t.Errorf("got %+v without vm-1, want %+v", got, want)
			}
			if got := limiter.Totals(); got[0] != total[0] {
				t.Errorf("got totals of %+v, want %+v", got, total)
			}
		})
	}
}
