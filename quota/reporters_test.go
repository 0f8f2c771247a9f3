package quota

import (
	"testing"
	"time"
)

// Two processes report the sums of one availability zone. Each token must be debited
// once, whichever of them reports it, and whenever they began to count.
func TestSumsOfSeveralReportersAreDebitedOnce(t *testing.T) {
	const burst = 100_000
	type report struct {
		boot  string
		began time.Duration // before this VM began to count
		after time.Duration // since the previous report
		spent float64
	}
	const hour = time.Hour
	for _, test := range []struct {
		name    string
		reports []report
		want    float64 // tokens debited
	}{
		{"all started together", []report{{"a", 0, 0, 300}, {"b", 0, 0, 300}, {"a", 0, 0, 500}, {"b", 0, 0, 700}}, 700},
		{"one knows less of the zone", []report{{"a", 0, 0, 300}, {"b", 0, 0, 10}, {"a", 0, 0, 400}, {"b", 0, 0, 20}}, 400},
		{"the one that knew less goes on alone", []report{{"a", 0, 0, 300}, {"b", 0, 0, 10}, {"b", 0, 0, 900}}, 900},
		{"both counted long before this VM", []report{{"a", hour, 0, 9000}, {"b", hour, 0, 5000}, {"a", hour, 0, 9200}, {"b", hour, 0, 5200}, {"b", hour, 0, 5300}}, 300},
		{"one started later", []report{{"a", hour, 0, 9000}, {"a", hour, 0, 9500}, {"b", -10 * time.Second, 10 * time.Second, 40}, {"b", -10 * time.Second, 0, 140}}, 600},
		{"a summary of before the restart arrives first", []report{{"old", hour, 0, 9000}, {"a", 0, 0, 300}, {"b", 0, 0, 350}}, 350},
		{"tokens returned by a request that did not run", []report{{"a", 0, 0, 300}, {"a", 0, 0, 250}, {"a", 0, 0, 400}}, 400},
		{"a reporter returns after a long silence", []report{{"a", 0, 0, 300}, {"b", 0, 20 * time.Second, 500}, {"a", 0, 0, 600}}, 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			began := time.Unix(1_700_000_000, 0)
			limit := Account{Name: "school", Rate: 0, Burst: burst}
			limiter := NewLimiter("vm-0", 8)
			limiter.SetLimits([]Account{limit}, began)
			before, now := limiter.Estimate(limit.Name, began).Spare, began
			for _, report := range test.reports {
				now = now.Add(report.after + 100*time.Millisecond)
				source := Source{Name: "zone 1", Boot: report.boot, VMs: 4, Began: began.Add(-report.began), Summed: true}
				limiter.UpdateCounts(source, []Count{{Account: limit.Name, Spent: report.spent, Wanted: report.spent}}, now, now)
			}
			if got := before - limiter.accounts[limit.Name].level; got != test.want {
				t.Errorf("got %.0f tokens debited, want %.0f", got, test.want)
			}
		})
	}
}

// A VM receives the configuration before it knows how many VMs there are. What it may
// spend at its start must then shrink to its share.
func TestStartupShareFollowsFleetSize(t *testing.T) {
	limit := Account{Name: "school", Rate: 1, Burst: 100_000}
	now := time.Unix(1_700_000_000, 0)
	limiter := NewLimiter("vm-0", 8)
	limiter.SetLimits([]Account{limit}, now)
	limiter.SetFleetSize(78, true)
	admitted := 0.0
	for range 1000 {
		if _, ok := limiter.Admit(limit, Request{Tokens: 100}, now); ok {
			admitted += 100
		}
	}
	if want := startupShareOfBurst*limit.Burst/78 + 100; admitted > want {
		t.Errorf("got %.0f tokens admitted at the start, want %.0f at most", admitted, want)
	}
}
