package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// otherRow is the row shared by all names that are first counted after the maximum
	// number of rows was reached.
	otherRow = "other"
	// maxDuration is the largest duration that a histogram records, and the longest
	// that a request can take.
	maxDuration = 10 * time.Minute
	// significantFigures is the precision of a histogram.
	significantFigures = 2
)

// Rows holds counters and histograms of durations by name and reason, for instance
// by route and refusal code. It implements expvar.Var; the text is computed when it
// is read. Rows is safe for concurrent use.
type Rows struct {
	maxRows int

	mu   sync.Mutex // guards rows
	rows map[string]*row
}

// row holds the counters and histograms of one name, by reason.
type row struct {
	counts    map[string]int64
	durations map[string]*hdrhistogram.Histogram // in milliseconds
}

// NewRows returns empty rows. At most maxRows names get a row of their own, because
// each histogram uses about 20 KB; all other names share the row "other".
func NewRows(maxRows int) *Rows {
	return &Rows{maxRows: maxRows, rows: map[string]*row{}}
}

// Count increments the counter of the name and reason.
func (rows *Rows) Count(name, reason string) {
	rows.mu.Lock()
	defer rows.mu.Unlock()
	rows.row(name).counts[reason]++
}

// RecordDuration records a duration in the histogram of the name and reason. It
// clamps durations to the range from 0 to 10 minutes.
func (rows *Rows) RecordDuration(name, reason string, duration time.Duration) {
	rows.mu.Lock()
	defer rows.mu.Unlock()
	row := rows.row(name)
	histogram, ok := row.durations[reason]
	if !ok {
		histogram = hdrhistogram.New(1, maxDuration.Milliseconds(), significantFigures)
		row.durations[reason] = histogram
	}
	bounded := min(max(duration.Milliseconds(), 0), maxDuration.Milliseconds())
	_ = histogram.RecordValue(bounded) // cannot fail: the value is within the bounds
}

// row returns the row of the name, or the row "other" if the name has none and the
// maximum number of rows is reached. The caller holds mu.
func (rows *Rows) row(name string) *row {
	if found, ok := rows.rows[name]; ok {
		return found
	}
	if len(rows.rows) >= rows.maxRows {
		name = otherRow
	}
	found, ok := rows.rows[name]
	if !ok {
		found = &row{counts: map[string]int64{}, durations: map[string]*hdrhistogram.Histogram{}}
		rows.rows[name] = found
	}
	return found
}

// Retain removes the rows of names for which keep returns false, except the row
// "other".
func (rows *Rows) Retain(keep func(name string) bool) {
	rows.mu.Lock()
	defer rows.mu.Unlock()
	for name := range rows.rows {
		if name != otherRow && !keep(name) {
			delete(rows.rows, name)
		}
	}
}

// rowJSON is the JSON form of a row.
type rowJSON struct {
	Counts    map[string]int64         `json:"counts"`
	Durations map[string]durationsJSON `json:"took_ms,omitempty"`
}

// durationsJSON is the JSON form of a histogram, in milliseconds.
type durationsJSON struct {
	Count   int64 `json:"count"`
	P50     int64 `json:"p50"`
	P95     int64 `json:"p95"`
	P99     int64 `json:"p99"`
	Longest int64 `json:"most"`
}

// String implements expvar.Var.
func (rows *Rows) String() string {
	rows.mu.Lock()
	defer rows.mu.Unlock()
	encoded := map[string]rowJSON{}
	for name, row := range rows.rows {
		durations := map[string]durationsJSON{}
		for reason, histogram := range row.durations {
			durations[reason] = durationsJSON{
				Count: histogram.TotalCount(), P50: histogram.ValueAtQuantile(50), P95: histogram.ValueAtQuantile(95),
				P99: histogram.ValueAtQuantile(99), Longest: histogram.Max(),
			}
		}
		encoded[name] = rowJSON{Counts: row.counts, Durations: durations}
	}
	text, _ := json.Marshal(encoded) // cannot fail: numbers and strings only
	return string(text)
}
