package metric

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

func shown(t *testing.T, rows *Rows) map[string]shownRow {
	t.Helper()
	var read map[string]shownRow
	if err := json.Unmarshal([]byte(rows.String()), &read); err != nil {
		t.Fatalf("got text that is not JSON: %v", err)
	}
	return read
}

func TestRowsCountByNameAndReason(t *testing.T) {
	rows := NewRows(10)
	rows.Count("sum", "answered")
	rows.Count("sum", "answered")
	rows.Count("sum", "overloaded")
	rows.Count("sign", "answered")
	for i := range 100 {
		rows.Took("sum", "first", time.Duration(i+1)*time.Millisecond)
	}
	rows.Took("sum", "first", time.Hour) // counted as the longest
	got := shown(t, rows)
	if got["sum"].Counts["answered"] != 2 || got["sum"].Counts["overloaded"] != 1 || got["sign"].Counts["answered"] != 1 {
		t.Errorf("got %+v, want 2 and 1 for sum, 1 for sign", got)
	}
	first := got["sum"].Took["first"]
	if first.Count != 101 || first.P50 < 50 || first.P50 > 52 || first.P99 < 98 || first.P99 > 101 || first.Most < longestTook.Milliseconds() {
		t.Errorf("got %+v, want 101 times with half below 51 ms", first)
	}
}

// Names come and go, and callers may make many: memory stays bounded and nothing
// goes uncounted.
func TestRowsAreBounded(t *testing.T) {
	const most = 5
	rows := NewRows(most)
	for i := range 100 {
		rows.Count(fmt.Sprint("target-", i), "answered")
	}
	got := shown(t, rows)
	if len(got) != most+1 || got[otherRow].Counts["answered"] != 100-most {
		t.Errorf("got %d rows and %d others, want %d and %d", len(got), got[otherRow].Counts["answered"], most+1, 100-most)
	}
	rows.Retain(func(name string) bool { return name == "target-1" })
	rows.Count("target-99", "answered")
	got = shown(t, rows)
	if len(got) != 3 || got["target-99"].Counts["answered"] != 1 || got["target-1"].Counts["answered"] != 1 {
		t.Errorf("got %+v, want target-1, target-99 and the others", got)
	}
}
