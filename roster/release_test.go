package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/release"
	"github.com/bramleygw/bramleygw/settings"
)

// Guards against requests to a version for which an order may exist that this VM does not
// know, or whose stage it does not know for sure, and against a trial on targets that are
// nearly idle.
func TestTargetsOfVersionGetWhatItsReleaseAllows(t *testing.T) {
	start := time.Unix(1000, 0)
	bounds := settings.Bounds{ExposureShare: 0.1, ExposureReserve: 50}
	order := release.Order{Name: "o1", Created: 20, Revision: 20, Service: "notes", To: "v2", Duration: settings.Span(12 * time.Second)}
	issue := func(share float64) release.Issue {
		return release.Issue{Stage: release.Trial, Share: share, Token: 1, At: start}
	}
	for _, test := range []struct {
		name       string
		ordersRead uint64
		ordered    bool
		issue      release.Issue
		bad        bool
		after      time.Duration // since the issue
		state      release.State
		fixed      bool // a stream of the new version
		// The least and the greatest number of 1,000 requests to the new version, and of its 50 targets.
		least, most, targets int
	}{
		{name: "orders unknown", ordersRead: 25},
		{name: "no order", ordersRead: 40, least: 400, most: 600, targets: 50},
		{name: "ordered, no stage", ordersRead: 40, ordered: true},
		{name: "on trial", ordersRead: 40, ordered: true, issue: issue(0.06), least: 59, most: 61, targets: 6},
		{name: "stage too old", ordersRead: 40, ordered: true, issue: issue(0.06), after: release.MaxAge + 1},
		{name: "found bad", ordersRead: 40, ordered: true, issue: issue(1), bad: true},
		{name: "cutover", ordersRead: 40, ordered: true, issue: issue(1), least: 1000, most: 1000, targets: 50},
		{name: "completed", ordersRead: 40, ordered: true, state: release.Completed, least: 1000, most: 1000, targets: 50},
		{name: "rolled back", ordersRead: 40, ordered: true, issue: issue(1), state: release.RolledBack},
		{name: "stream on trial", ordersRead: 40, ordered: true, issue: issue(0.06), fixed: true, least: 1000, most: 1000, targets: 50},
		{name: "stream of a bad version", ordersRead: 40, ordered: true, issue: issue(1), bad: true, fixed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			roster, tracker := New("z1"), release.NewTracker(bounds, func() float64 { return 0.5 })
			roster.SetReleases(tracker)
			for i := range 50 {
				roster.Put(Entry{ID: fmt.Sprint("old-", i), Service: "notes", Software: "v1", Revision: 10}, start)
				roster.Put(Entry{ID: fmt.Sprint("new-", i), Service: "notes", Software: "v2", Revision: 30}, start)
			}
			roster.RecordOrders(test.ordersRead)
			if test.ordered {
				order := order
				order.State = test.state
				tracker.Put(order, start)
				tracker.Issue(order.ID(), test.issue)
			}
			if test.bad {
				tracker.FindBad(order.ID(), "failures")
			}
			got, targets := 0, map[string]bool{}
			for range 1000 {
				criteria := Criteria{Service: "notes", Route: "sum", FixedSoftware: test.fixed, Software: "v2"}
				assignment, ok := roster.Choose(criteria, start.Add(test.after))
				if ok && assignment.Software == "v2" {
					got++
					targets[assignment.ID] = true
				}
			}
			if got < test.least || got > test.most || len(targets) > test.targets {
				t.Errorf("got %d requests at %d targets of the version, want %d to %d at %d at most", got, len(targets), test.least, test.most, test.targets)
			}
		})
	}
}
