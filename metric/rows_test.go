package metric

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

func decode(t *testing.T, rows *Rows) map[string]rowJSON {
	t.Helper()
	var decoded map[string]rowJSON
	if err := json.Unmarshal([]byte(rows.String()), &decoded); err != nil {
		t.Fatalf("got text that is not JSON: %v", err)
	}
	return decoded
}

func TestRowsCountByNameAndReason(t *testing.T) {
	rows := NewRows(10)
	rows.Count("sum", "answered")
	rows.Count("sum", "answered")
	rows.Count("sum", "overloaded")
	rows.Count("sign", "answered")
	for i := range 100 {
		rows.RecordDuration("sum", "first", time.Duration(i+1)*time.Millisecond)
	}
	rows.RecordDuration("sum", "first", time.Hour) // recorded as maxDuration
	got := decode(t, rows)
	if got["sum"].Counts["answered"] != 2 || got["sum"].Counts["overloaded"] != 1 || got["sign"].Counts["answered"] != 1 {
		t.Errorf("got %+v, want 2 and 1 for sum, 1 for sign", got)
	}
	first := got["sum"].Durations["first"]
	if first.Count != 101 || first.P50 < 50 || first.P50 > 52 || first.P99 < 98 || first.P99 > 101 || first.Longest < maxDuration.Milliseconds() {
		t.Errorf("got %+v, want 101 times with half below 51 ms", first)
	}
}

// Names change over time and callers may create many: memory must stay bounded and
// every request must be counted.
func TestRowsAreLimitedAndCountEverything(t *testing.T) {
	const maxRows = 5
	rows := NewRows(maxRows)
	for i := range 100 {
		rows.Count(fmt.Sprint("target-", i), "answered")
	}
	got := decode(t, rows)
	if len(got) != maxRows+1 || got[otherRow].Counts["answered"] != 100-maxRows {
		t.Errorf("got %d rows and %d others, want %d and %d", len(got), got[otherRow].Counts["answered"], maxRows+1, 100-maxRows)
	}
	rows.Retain(func(name string) bool { return name == "target-1" })
	rows.Count("target-99", "answered")
	got = decode(t, rows)
	if len(got) != 3 || got["target-99"].Counts["answered"] != 1 || got["target-1"].Counts["answered"] != 1 {
		t.Errorf("got %+v, want target-1, target-99 and the others", got)
	}
}
