package metric

import (
	"expvar"
	"os"
	"strings"
	"testing"
	"time"
)

func TestEveryMetricIsDocumented(t *testing.T) {
	text, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	New("documented").vars().Do(func(entry expvar.KeyValue) {
		if !strings.Contains(string(text), "`"+entry.Key+"`") {
			t.Errorf("got %s missing from docs/METRICS.md, want every metric there", entry.Key)
		}
	})
}

func TestFirstTokenBuckets(t *testing.T) {
	set := New("buckets")
	for _, firstToken := range []time.Duration{time.Millisecond, 400 * time.Millisecond, time.Hour} {
		set.RecordFirstToken(firstToken)
	}
	for _, want := range []string{`"10": 1`, `"400": 1`, `"more": 1`} {
		if got := set.FirstTokenMS.String(); !strings.Contains(got, want) {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

func TestNewReplacesPublishedCountersAfterRestart(t *testing.T) {
	New("restarted").Requests.Add(5)
	New("restarted").Requests.Add(1)
	if got := expvar.Get("bramleygw.restarted").(*expvar.Map).Get("requests").String(); got != "1" {
		t.Errorf("got %s, want 1", got)
	}
}
