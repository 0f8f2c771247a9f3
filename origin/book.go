package origin

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// recordBytes is the size of a stored record without its request ID, rounded up.
	recordBytes = 40
	// untilTolerance is by how much a repeated record may expire later without being
	// written again: the time that a message takes is added each time.
	untilTolerance = time.Second
)

// Book divides the records of one availability zone into the chunks that are stored,
// one object each, and states which chunk has to be written next. New records are added
// to one chunk until it is full, so that the other chunks need no writes. It is not safe
// for concurrent use.
type Book struct {
	maxBytes int
	chunks   []*chunk
	chunkOf  map[string]int // by request ID
	open     int            // the chunk to which records are added
	last     int            // the chunk that was written last
}

// chunk is the records of one object.
type chunk struct {
	records map[string]Record
	bytes   int
	// changes counts the changes, writing and written those in the write that is in
	// progress and in the last one that took effect.
	changes, writing, written uint64
}

// Change is one change of a book.
type Change struct {
	chunk  int
	number uint64
}

// NewBook returns an empty book whose chunks take maxBytes each in the store.
func NewBook(maxBytes int) *Book {
	return &Book{maxBytes: maxBytes, chunkOf: map[string]int{}, chunks: []*chunk{{records: map[string]Record{}}}}
}

// Put adds a record, or replaces that of an earlier attempt. The result is the change
// after whose write the record is stored.
func (book *Book) Put(record Record, now time.Time) Change {
	index, ok := book.chunkOf[record.RequestID]
	switch {
	case !record.Valid(), !record.Until.After(now):
		return Change{}
	case !ok:
		index = book.openChunk(record)
		return Change{index, book.set(index, record)}
	}
	found := book.chunks[index].records[record.RequestID]
	if record.Attempt < found.Attempt || record.Attempt == found.Attempt && !record.Until.After(found.Until.Add(untilTolerance)) {
		return Change{index, book.chunks[index].changes}
	}
	return Change{index, book.set(index, later(found, record))}
}

// later returns the record of the later attempt. It expires with the last of both: when
// it expires, no older record of the request may be left.
func later(first, second Record) Record {
	if first.Attempt > second.Attempt {
		first, second = second, first
	}
	if second.Until.Before(first.Until) {
		second.Until = first.Until
	}
	return second
}

func (book *Book) set(index int, record Record) uint64 {
	chunk := book.chunks[index]
	if _, ok := chunk.records[record.RequestID]; !ok {
		chunk.bytes += record.storedBytes()
	}
	chunk.records[record.RequestID] = record
	book.chunkOf[record.RequestID] = index
	chunk.changes++
	return chunk.changes
}

func (record Record) storedBytes() int {
	return len(record.RequestID) + recordBytes
}

// openChunk returns the chunk to which a record is added.
func (book *Book) openChunk(record Record) int {
	if book.chunks[book.open].bytes+record.storedBytes() <= book.maxBytes {
		return book.open
	}
	for index, chunk := range book.chunks {
		if chunk.bytes < book.maxBytes/2 { // most of its records have expired
			book.open = index
			return index
		}
	}
	book.extend(len(book.chunks))
	book.open = len(book.chunks) - 1
	return book.open
}

func (book *Book) extend(index int) {
	for len(book.chunks) <= index {
		book.chunks = append(book.chunks, &chunk{records: map[string]Record{}})
	}
}

// Merge adds the records that were read from the object of a chunk. Changes that were not
// written remain to be written.
func (book *Book) Merge(index int, records []Record, now time.Time) {
	book.extend(index)
	for _, record := range records {
		known, ok := book.chunkOf[record.RequestID]
		if ok {
			// A record in two objects is removed from neither: the later attempt counts.
			found := book.chunks[known].records[record.RequestID]
			if record.Attempt > found.Attempt {
				book.set(known, later(found, record))
			}
			continue
		}
		if record.Valid() && record.Until.After(now) {
			book.set(index, record)
			book.chunks[index].changes--
		}
	}
}

// Next returns the chunk that has to be written next and its records, and false if there
// is none. Expired records are removed first.
func (book *Book) Next(now time.Time) (int, []Record, bool) {
	book.sweep(now)
	for offset := range book.chunks {
		index := (book.last + 1 + offset) % len(book.chunks)
		chunk := book.chunks[index]
		if chunk.changes == chunk.written {
			continue
		}
		chunk.writing, book.last = chunk.changes, index
		records := make([]Record, 0, len(chunk.records))
		for _, record := range chunk.records {
			records = append(records, record)
		}
		return index, records, true
	}
	return 0, nil, false
}

// Pending reports whether a chunk has to be written.
func (book *Book) Pending() bool {
	for _, chunk := range book.chunks {
		if chunk.changes != chunk.written {
			return true
		}
	}
	return false
}

// RecordWrite records that the write of a chunk that Next returned took effect.
func (book *Book) RecordWrite(index int) {
	book.chunks[index].written = book.chunks[index].writing
}

// Stored reports whether a change is in the store.
func (book *Book) Stored(change Change) bool {
	return book.chunks[change.chunk].written >= change.number
}

func (book *Book) sweep(now time.Time) {
	for _, chunk := range book.chunks {
		for id, record := range chunk.records {
			if !record.Until.After(now) {
				delete(chunk.records, id)
				delete(book.chunkOf, id)
				chunk.bytes -= record.storedBytes()
			}
		}
	}
}

// storedRecords is the spec of a chunk's object.
type storedRecords struct {
	Origins []storedOrigin `json:"origins"`
	Records []storedRecord `json:"records"`
}

type storedOrigin struct {
	Service  string `json:"service"`
	Software string `json:"software"`
}

// storedRecord has short names because objects are limited in size.
type storedRecord struct {
	RequestID string `json:"id"`
	Attempt   int    `json:"n"`
	Origin    int    `json:"o"`  // index in the list of origins
	LeftMS    int64  `json:"ms"` // until the record expires
}

// Encode returns the spec of an object with the records.
func Encode(records []Record, now time.Time) ([]byte, error) {
	stored := storedRecords{Origins: []storedOrigin{}, Records: make([]storedRecord, len(records))}
	indices := map[Origin]int{}
	for i, record := range records {
		index, ok := indices[record.Origin]
		if !ok {
			index = len(stored.Origins)
			indices[record.Origin] = index
			stored.Origins = append(stored.Origins, storedOrigin(record.Origin))
		}
		stored.Records[i] = storedRecord{record.RequestID, record.Attempt, index, record.Until.Sub(now).Milliseconds()}
	}
	spec, err := json.Marshal(stored)
	return spec, errors.Wrap(err, "encode origins of streams")
}

// Decode returns the records of an object. They expire after the time that was left when
// the object was written.
func Decode(spec []byte, now time.Time) ([]Record, error) {
	var stored storedRecords
	if err := json.Unmarshal(spec, &stored); err != nil {
		return nil, errors.Wrap(err, "decode origins of streams; delete the object, this system writes it again")
	}
	var records []Record
	for _, record := range stored.Records {
		if record.Origin < 0 || record.Origin >= len(stored.Origins) {
			return nil, errors.Newf("record %q has no origin; delete the object, this system writes it again", record.RequestID)
		}
		records = append(records, Record{
			RequestID: record.RequestID, Attempt: record.Attempt, Origin: Origin(stored.Origins[record.Origin]),
			Until: now.Add(time.Duration(record.LeftMS) * time.Millisecond),
		})
	}
	return records, nil
}

// MergeRecords returns one record for each request, that of the last attempt. Objects of
// several availability zones, or of several chunks, may hold records of one request.
func MergeRecords(records []Record) []Record {
	merged := map[string]Record{}
	for _, record := range records {
		if found, ok := merged[record.RequestID]; ok {
			record = later(found, record)
		}
		merged[record.RequestID] = record
	}
	result := make([]Record, 0, len(merged))
	for _, record := range merged {
		result = append(result, record)
	}
	return result
}
