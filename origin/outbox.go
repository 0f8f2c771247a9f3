package origin

import "time"

// Outbox gathers records into one batch per holder. It is not safe for concurrent use.
type Outbox struct {
	maxBatch int
	open     map[string]*pendingBatch
	full     []Batch
}

// Batch is the records to be sent to one holder.
type Batch struct {
	Holder  string
	Records []Record
}

// pendingBatch is a batch to which records may still be added.
type pendingBatch struct {
	records []Record
	sendBy  time.Time
}

// NewOutbox returns an empty outbox whose batches have at most maxBatch records.
func NewOutbox(maxBatch int) *Outbox {
	return &Outbox{maxBatch: maxBatch, open: map[string]*pendingBatch{}}
}

// Add adds a record for a holder, to be sent by the given time or earlier. It reports
// whether a batch is due earlier than before.
func (outbox *Outbox) Add(holder string, record Record, sendBy time.Time) bool {
	next, pending := outbox.Next()
	batch, ok := outbox.open[holder]
	if !ok {
		batch = &pendingBatch{sendBy: sendBy}
		outbox.open[holder] = batch
	}
	batch.records = append(batch.records, record)
	if sendBy.Before(batch.sendBy) {
		batch.sendBy = sendBy
	}
	if len(batch.records) < outbox.maxBatch {
		return !pending || batch.sendBy.Before(next)
	}
	delete(outbox.open, holder)
	outbox.full = append(outbox.full, Batch{holder, batch.records})
	return len(outbox.full) == 1
}

// Next returns when the next batch is due, the zero time if one is full. It returns false
// if the outbox is empty.
func (outbox *Outbox) Next() (time.Time, bool) {
	if len(outbox.full) > 0 {
		return time.Time{}, true
	}
	var next time.Time
	for _, batch := range outbox.open {
		if next.IsZero() || batch.sendBy.Before(next) {
			next = batch.sendBy
		}
	}
	return next, len(outbox.open) > 0
}

// Take removes and returns the batches that are due.
func (outbox *Outbox) Take(now time.Time) []Batch {
	due := outbox.full
	outbox.full = nil
	for holder, batch := range outbox.open {
		if !batch.sendBy.After(now) {
			due = append(due, Batch{holder, batch.records})
			delete(outbox.open, holder)
		}
	}
	return due
}
