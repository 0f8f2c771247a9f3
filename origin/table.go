package origin

import (
	"container/heap"
	"strings"
	"sync"
	"time"
	"unique"
)

// Table keeps records until they expire. It is safe for concurrent use.
//
// It holds at most the number of entries given to NewTable. When it is full, the entries
// that expire first are removed. An entry with the longest request ID takes about 190
// bytes, so that a table of 8192 entries takes 1.6 MB.
type Table struct {
	maxEntries int

	mu      sync.Mutex // guards the fields below
	entries map[string]*entry
	queue   expiryQueue
}

// entry is a record in the table.
type entry struct {
	requestID string
	attempt   int
	// origin is shared by all entries of the same service and software.
	origin unique.Handle[Origin]
	until  time.Time
	index  int // in the queue
}

// NewTable returns an empty table of at most maxEntries entries.
func NewTable(maxEntries int) *Table {
	return &Table{maxEntries: maxEntries, entries: map[string]*entry{}}
}

// Put adds a record. It replaces the record of an earlier attempt of the same request. A
// record of an earlier attempt that arrives late changes nothing, and a repeated one
// changes only when the entry expires. Expired and invalid records are ignored.
func (table *Table) Put(record Record, now time.Time) {
	if !record.Until.After(now) || !record.Valid() {
		return
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	table.expire(now)
	found, ok := table.entries[record.RequestID]
	if !ok {
		table.add(record)
		return
	}
	if record.Attempt < found.attempt || record.Attempt == found.attempt && !record.Until.After(found.until) {
		return
	}
	if record.Attempt > found.attempt {
		found.attempt, found.origin = record.Attempt, unique.Make(record.Origin)
	}
	found.until = record.Until
	heap.Fix(&table.queue, found.index)
}

// add adds an entry and removes the one that expires first if there are too many. The
// caller holds mu.
func (table *Table) add(record Record) {
	// The ID may be part of a longer text, which the table must not keep in memory.
	record.RequestID = strings.Clone(record.RequestID)
	added := &entry{requestID: record.RequestID, attempt: record.Attempt, origin: unique.Make(record.Origin), until: record.Until}
	table.entries[record.RequestID] = added
	heap.Push(&table.queue, added)
	if len(table.queue) > table.maxEntries {
		table.removeFirst()
	}
}

// Get returns where the stream of a request began, if a record of it has not expired.
func (table *Table) Get(requestID string, now time.Time) (Origin, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	found, ok := table.entries[requestID]
	if !ok || !found.until.After(now) {
		return Origin{}, false
	}
	return found.origin.Value(), true
}

// Records returns the records of a service that have not expired.
func (table *Table) Records(service string, now time.Time) []Record {
	table.mu.Lock()
	defer table.mu.Unlock()
	var records []Record
	for _, entry := range table.queue {
		if origin := entry.origin.Value(); origin.Service == service && entry.until.After(now) {
			records = append(records, Record{RequestID: entry.requestID, Attempt: entry.attempt, Origin: origin, Until: entry.until})
		}
	}
	return records
}

// Sweep removes the expired entries and returns how many are left.
func (table *Table) Sweep(now time.Time) int {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.expire(now)
	return len(table.queue)
}

// expire removes the expired entries. The caller holds mu.
func (table *Table) expire(now time.Time) {
	for len(table.queue) > 0 && !table.queue[0].until.After(now) {
		table.removeFirst()
	}
}

// removeFirst removes the entry that expires first. The caller holds mu.
func (table *Table) removeFirst() {
	removed := heap.Pop(&table.queue).(*entry)
	delete(table.entries, removed.requestID)
}

// expiryQueue is a heap of entries, the one that expires first on top.
type expiryQueue []*entry

// Len implements heap.Interface.
func (queue expiryQueue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue expiryQueue) Less(i, j int) bool { return queue[i].until.Before(queue[j].until) }

// Swap implements heap.Interface.
func (queue expiryQueue) Swap(i, j int) {
	queue[i], queue[j] = queue[j], queue[i]
	queue[i].index, queue[j].index = i, j
}

// Push implements heap.Interface.
func (queue *expiryQueue) Push(value any) {
	added := value.(*entry)
	added.index = len(*queue)
	*queue = append(*queue, added)
}

// Pop implements heap.Interface.
func (queue *expiryQueue) Pop() any {
	last := len(*queue) - 1
	removed := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	return removed
}
