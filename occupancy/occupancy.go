// Package occupancy bounds what the connections to a listener hold together, and decides
// which of them to close when that is used up.
//
// A connection holds memory of its own, and that of its current request: the head, the
// body and the part of the answer that its peer has not read. When there is no room,
// the connections that wait for their peer are closed, the one that made progress last
// comes last. A connection whose request is running waits for nobody and is not closed, nor is
// one whose peer waits for this process: it has sent what was not read yet, or has not received
// what was written.
// The package does no I/O; the caller passes the time, looks at connections and closes them.
//
// # Usage
//
//	table := occupancy.NewTable(occupancy.Limits{Connections: 1000, Bytes: 32 << 20})
//	entry, ok := table.Open(time.Now(), conn)
//	if !ok { ... } // refuse the connection
//	defer entry.Close()
//	ok = entry.Grow(len(head), time.Now())
package occupancy

import (
	"container/list"
	"sync"
	"time"
)

// ConnectionBytes is the memory of a connection without a request: buffers, the stack of
// its goroutine and the HTTP library's state.
const ConnectionBytes = 20 << 10

const (
	// stoppedBody and stoppedAnswer are how long a body or an answer may make no progress
	// before it counts as stopped.
	stoppedBody = 500 * time.Millisecond
	// stoppedRefusal is how long the peer may take to receive a refusal.
	stoppedRefusal = 500 * time.Millisecond
	stoppedAnswer  = 2 * time.Second
	// progressBytes is what a peer has to send to make progress, so that it cannot hold
	// memory by a byte now and then.
	progressBytes = 1 << 10
	// requestShare is the part of both limits that connections with requests may use. The
	// rest is for connections that bring new ones, which get refusals.
	requestShare = 0.75
	// longestUnread bounds how long a peer may read nothing of an answer while there is room.
	longestUnread = 30 * time.Second
)

// Phase is what a connection waits for.
type Phase int

// The phases.
const (
	Waiting   Phase = iota // for a request, or for the rest of its head
	Receiving              // for the rest of a body
	Refusing               // for the rest of what is dropped, or of an answer's delivery
	Running                // for nothing that the peer does
	Writing                // for the peer to read
)

// Connection is what a table needs of a connection.
type Connection interface {
	// Unfinished reports whether data of the peer has arrived that was not read yet, or what was
	// written to it has not. It is called with the table locked, and must not use it.
	Unfinished() bool
	// End closes the connection, which is in the phase. It is called without locks.
	End(phase Phase)
}

// Limits bound all connections together; zero is no bound.
type Limits struct {
	Connections int
	Bytes       int64
}

// Usage is the use of a table.
type Usage struct {
	Connections int
	Requests    int // connections with a request whose head has been read
	Bytes       int64
	Closed      int64 // connections that were closed to make room, or that stopped for too long
	Refused     int64 // connections and requests for which there was no room
}

// Table holds the connections. It is safe for concurrent use.
type Table struct {
	limits Limits

	mu    sync.Mutex // guards the fields below, and those of the entries
	usage Usage
	// waiting holds the entries that wait for their peers, in order of their last progress.
	waiting list.List
}

// NewTable returns a table without connections.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits}
}

// Usage returns the use of the table.
func (table *Table) Usage() Usage {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.usage
}

// Open adds a connection. It returns false if there is no room even after others were
// closed.
func (table *Table) Open(now time.Time, connection Connection) (*Entry, bool) {
	entry := &Entry{table: table, connection: connection}
	table.mu.Lock()
	fits := func() bool { return table.fits(1, ConnectionBytes) }
	stopped := table.makeRoom(entry, now, fits)
	opened := fits()
	if opened {
		table.usage.Connections++
		entry.add(ConnectionBytes)
		entry.enter(Waiting, now)
	} else {
		table.usage.Refused++
	}
	table.mu.Unlock()
	closeAll(stopped)
	if !opened {
		return nil, false
	}
	return entry, true
}

// Sweep closes the connections that wait for longer than they may.
func (table *Table) Sweep(now time.Time) {
	table.mu.Lock()
	stopped := table.remove(func(entry *Entry) bool { return entry.expired(now) }, func() bool { return false })
	table.mu.Unlock()
	closeAll(stopped)
}

// Reclaim closes connections with stopped bodies or answers, until those held the number
// of bytes.
func (table *Table) Reclaim(bytes int64, now time.Time) {
	table.mu.Lock()
	var freed int64
	stopped := table.remove(
		func(entry *Entry) bool {
			stopped := entry.phase != Waiting && entry.stopped(now)
			if stopped {
				freed += entry.bytes - ConnectionBytes + entry.answer
			}
			return stopped
		},
		func() bool { return freed >= bytes },
	)
	table.mu.Unlock()
	closeAll(stopped)
}

// fits reports whether there is room for connections and memory. The caller holds mu.
func (table *Table) fits(connections int, bytes int64) bool {
	limits, usage := table.limits, table.usage
	return (limits.Connections == 0 || usage.Connections+connections <= limits.Connections) &&
		(limits.Bytes == 0 || usage.Bytes+bytes <= limits.Bytes)
}

// fitsRequest reports whether there is room for requests and their memory. The caller
// holds mu.
func (table *Table) fitsRequest(requests int, bytes int64) bool {
	limits, usage := table.limits, table.usage
	return (limits.Connections == 0 || float64(usage.Requests+requests) <= requestShare*float64(limits.Connections)) &&
		(limits.Bytes == 0 || float64(usage.Bytes+bytes) <= requestShare*float64(limits.Bytes))
}

// makeRoom removes and returns connections that stopped, except the one that needs the
// room. The caller holds mu, and closes them without it.
func (table *Table) makeRoom(needs *Entry, now time.Time, fits func() bool) []*Entry {
	return table.remove(func(entry *Entry) bool { return entry != needs && entry.stopped(now) }, fits)
}

// remove removes the entries that match, in order of their last progress, until enough
// are removed. The caller holds mu.
func (table *Table) remove(match func(*Entry) bool, enough func() bool) []*Entry {
	var removed []*Entry
	for element := table.waiting.Front(); element != nil && !enough(); {
		entry := element.Value.(*Entry)
		element = element.Next()
		if match(entry) {
			entry.remove()
			table.usage.Closed++
			removed = append(removed, entry)
		}
	}
	return removed
}

func closeAll(entries []*Entry) {
	for _, entry := range entries {
		entry.connection.End(entry.phase) // does not change any more
	}
}
