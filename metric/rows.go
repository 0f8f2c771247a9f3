package metric

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// otherRow takes what has no row of its own, once there are most rows.
	otherRow = "other"
	// longestTook bounds what a histogram tells apart; it is a request's longest.
	longestTook = 10 * time.Minute
	// figures is the number of significant figures of a histogram.
	figures = 2
)

// Rows counts by name and reason, for instance by route and refusal code. It is
// an expvar.Var, whose text is computed when it is read. Rows is safe for
// concurrent use.
type Rows struct {
	most int

	mu   sync.Mutex // guards rows
	rows map[string]*row
}

// row is the counters of one name.
type row struct {
	counts map[string]int64
	took   map[string]*hdrhistogram.Histogram // in milliseconds
}

// NewRows returns empty rows, of which there are at most a number: a histogram
// takes some 20 KB.
func NewRows(most int) *Rows {
	return &Rows{most: most, rows: map[string]*row{}}
}

// Count adds one to a reason of a name.
func (rows *Rows) Count(name, reason string) {
	rows.mu.Lock()
	defer rows.mu.Unlock()
	rows.row(name).counts[reason]++
}

// Took notes a time of a name under a reason.
func (rows *Rows) Took(name, reason string, took time.Duration) {
	rows.mu.Lock()
	defer rows.mu.Unlock()
	row := rows.row(name)
	histogram, ok := row.took[reason]
	if !ok {
		histogram = hdrhistogram.New(1, longestTook.Milliseconds(), figures)
		row.took[reason] = histogram
	}
	bounded := min(max(took.Milliseconds(), 0), longestTook.Milliseconds())
	_ = histogram.RecordValue(bounded) // within the bounds: cannot fail
}

// row returns a name's row. The caller holds mu.
func (rows *Rows) row(name string) *row {
	if found, ok := rows.rows[name]; ok {
		return found
	}
	if len(rows.rows) >= rows.most {
		name = otherRow
	}
	found, ok := rows.rows[name]
	if !ok {
		found = &row{counts: map[string]int64{}, took: map[string]*hdrhistogram.Histogram{}}
		rows.rows[name] = found
	}
	return found
}

// Retain drops the rows of names that keep does not want.
func (rows *Rows) Retain(keep func(name string) bool) {
	rows.mu.Lock()
	defer rows.mu.Unlock()
	for name := range rows.rows {
		if name != otherRow && !keep(name) {
			delete(rows.rows, name)
		}
	}
}

// shownRow is the JSON form of a row.
type shownRow struct {
	Counts map[string]int64     `json:"counts"`
	Took   map[string]shownTook `json:"took_ms,omitempty"`
}

// shownTook is the JSON form of a histogram, in milliseconds.
type shownTook struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Most  int64 `json:"most"`
}

// String implements expvar.Var.
func (rows *Rows) String() string {
	rows.mu.Lock()
	defer rows.mu.Unlock()
	shown := map[string]shownRow{}
	for name, row := range rows.rows {
		took := map[string]shownTook{}
		for reason, histogram := range row.took {
			took[reason] = shownTook{
				Count: histogram.TotalCount(), P50: histogram.ValueAtQuantile(50), P95: histogram.ValueAtQuantile(95),
				P99: histogram.ValueAtQuantile(99), Most: histogram.Max(),
			}
		}
		shown[name] = shownRow{Counts: row.counts, Took: took}
	}
	text, _ := json.Marshal(shown) // numbers and names: cannot fail
	return string(text)
}
