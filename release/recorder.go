package release

import (
	"sync"
	"time"
)

// recorder counts the answers that one VM receives while an order runs. It is safe for
// concurrent use.
type recorder struct {
	to string

	mu        sync.Mutex // guards the fields below and all pending samples
	table     Table
	decayedAt time.Time
	pending   map[*Sample]bool
}

func newRecorder(to string, now time.Time) *recorder {
	return &recorder{to: to, table: Table{}, decayedAt: now, pending: map[*Sample]bool{}}
}

// Sample is one attempt at a target. A nil Sample records nothing.
type Sample struct {
	recorder *recorder
	key      RouteSide
	begunAt  time.Time
	firstAt  time.Time // when the first part of the answer came; zero before
}

// begin counts an attempt that is about to be sent.
func (recorder *recorder) begin(route, software string, now time.Time) *Sample {
	sample := &Sample{recorder: recorder, key: RouteSide{Route: route, New: software == recorder.to}, begunAt: now}
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.pending[sample] = true
	return sample
}

// First records that the first part of the answer came.
func (sample *Sample) First(now time.Time) {
	if sample == nil {
		return
	}
	recorder := sample.recorder
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if !sample.firstAt.IsZero() {
		return
	}
	sample.firstAt = now
	recorder.change(sample.key, now, func(counts *Counts) { counts.First[bucketOf(now.Sub(sample.begunAt))]++ })
}

// End records that the attempt ended, and whether the answer was bad. An answer of which
// no part came took at least until now.
func (sample *Sample) End(bad bool, now time.Time) {
	if sample == nil {
		return
	}
	recorder := sample.recorder
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	delete(recorder.pending, sample)
	recorder.change(sample.key, now, func(counts *Counts) {
		counts.Answers++
		if bad {
			counts.Bad++
			return // a failure says nothing of the time that an answer takes
		}
		sample.countTime(counts, now)
	})
}

// Drop forgets an attempt that the target did not run, or that says nothing of its
// version.
func (sample *Sample) Drop() {
	if sample == nil {
		return
	}
	sample.recorder.mu.Lock()
	defer sample.recorder.mu.Unlock()
	delete(sample.recorder.pending, sample)
}

// countTime counts the time that a part of the answer has taken until now.
func (sample *Sample) countTime(counts *Counts, now time.Time) {
	if sample.firstAt.IsZero() {
		counts.First[bucketOf(now.Sub(sample.begunAt))]++
		return
	}
	counts.Rest[bucketOf(now.Sub(sample.firstAt))]++
}

// change applies a change to the counts of a side. The caller holds mu.
func (recorder *recorder) change(key RouteSide, now time.Time, apply func(*Counts)) {
	recorder.decay(now)
	counts := recorder.table[key]
	apply(&counts)
	recorder.table[key] = counts
}

// decayInterval is how often counts decay; each time costs a pass over the table.
const decayInterval = 50 * time.Millisecond

// decay brings the counts to the given time. The caller holds mu.
func (recorder *recorder) decay(now time.Time) {
	if now.Sub(recorder.decayedAt) < decayInterval {
		return
	}
	factor := decay(now.Sub(recorder.decayedAt))
	recorder.decayedAt = now
	decayed := Table{}
	decayed.addTable(recorder.table, factor)
	recorder.table = decayed
}

// snapshot returns the counts, with the attempts that take unusually long already as if
// they ended now: otherwise a slow version would be found only when its answers come.
func (recorder *recorder) snapshot(now time.Time) Table {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.decay(now)
	table := Table{}
	table.addTable(recorder.table, 1)
	for sample := range recorder.pending {
		usual := recorder.table[RouteSide{Route: sample.key.Route}]
		counts := table[sample.key]
		if sample.overdue(&usual, now) {
			sample.countTime(&counts, now)
			table[sample.key] = counts
		}
	}
	return table
}

// overdue reports whether an attempt takes longer than is usual at the other versions.
func (sample *Sample) overdue(usual *Counts, now time.Time) bool {
	histogram, since := &usual.First, sample.begunAt
	if !sample.firstAt.IsZero() {
		histogram, since = &usual.Rest, sample.firstAt
	}
	return histogram.total() > 0 && bucketOf(now.Sub(since)) > histogram.quantile(usualPart)+slowBuckets
}
