package gateway

import (
	"bytes"
	"strings"
	"testing"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/metric"
	"github.com/bramleygw/bramleygw/roster"
)

// The loss of all targets of a service is logged once, and only for targets that are to
// be used.
func TestLostServiceIsReportedOnce(t *testing.T) {
	var lines bytes.Buffer
	gateway := &Gateway{Log: event.New(&lines, "vm-1", event.LevelInfo), metrics: metric.New(t.Name())}
	lost := lostServices{}
	up, down, leaving := roster.Entry{Service: "app"}, roster.Entry{Service: "app", Unreachable: true}, roster.Entry{Service: "app", Draining: true}
	for i, step := range []struct {
		entries []roster.Entry
		want    string // the event logged, if any
		lost    int64
	}{
		{[]roster.Entry{up, down}, "", 0},
		{[]roster.Entry{down, down, leaving}, "service_lost", 1},
		{[]roster.Entry{down, down}, "", 1},
		{[]roster.Entry{up, down}, "service_reached", 0},
		{[]roster.Entry{leaving}, "", 0},
	} {
		lines.Reset()
		gateway.reportServices(lost, step.entries, start)
		if got := lines.String(); step.want == "" && got != "" || !strings.Contains(got, step.want) {
			t.Errorf("step %d: got log %q, want %q", i, got, step.want)
		}
		if got := gateway.metrics.LostServices.Value(); got != step.lost {
			t.Errorf("step %d: got %d lost services, want %d", i, got, step.lost)
		}
	}
}
