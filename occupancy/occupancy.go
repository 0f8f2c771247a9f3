// Package occupancy bounds what the connections to a listener hold together, and decides
// which of them to close when that is used up.
//
// A connection holds memory of its own, and that of its current request: the head, the
// body and the part of the answer that its peer has not read. When there is no room,
// the connections that wait for their peer are closed, the one that made progress last
// comes last. A connection whose request is running waits for nobody and is not closed.
// The package does no I/O; the caller passes the time and closes the connections.
//
// # Usage
//
//	table := occupancy.NewTable(occupancy.Limits{Connections: 1000, Bytes: 32 << 20})
//	entry, ok := table.Open(time.Now(), conn.Close)
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
	stoppedBody   = 500 * time.Millisecond
	stoppedAnswer = 2 * time.Second
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
	Running                // for nothing that the peer does
	Writing                // for the peer to read
)

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

// Entry is one connection. It is safe for concurrent use. A nil entry is not bounded.
type Entry struct {
	table *Table
	close func(Phase)

	// The fields below are guarded by the table's mutex.
	phase    Phase
	before   Phase         // the phase that Writing interrupted
	progress time.Time     // the last time at which the peer got on
	received int           // bytes of the phase since then, from 1 once there were some
	deadline time.Time     // of the body; zero if none
	bytes    int64         // with ConnectionBytes
	answer   int64         // bytes of the answer that is being written
	request  bool          // whether it counts as a request
	element  *list.Element // nil while running
	closed   bool
}

// Usage returns the use of the table.
func (table *Table) Usage() Usage {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.usage
}

// Open adds a connection. It returns false if there is no room even after others were
// closed. close is called, without locks, when the connection has to be closed in the
// phase.
func (table *Table) Open(now time.Time, close func(Phase)) (*Entry, bool) {
	entry := &Entry{table: table, close: close}
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

// Reclaim closes connections with stopped bodies or answers, until they held the number
// of bytes.
func (table *Table) Reclaim(bytes int64, now time.Time) {
	table.mu.Lock()
	var freed int64
	stopped := table.remove(
		func(entry *Entry) bool {
			stopped := entry.phase != Waiting && entry.stopped(now)
			if stopped {
				freed += entry.bytes + entry.answer
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
		entry.close(entry.phase) // does not change any more
	}
}

// Grow adds memory of the current request. It returns false, and adds nothing, if there
// is no room even after others were closed.
func (entry *Entry) Grow(bytes int64, now time.Time) bool {
	if entry == nil {
		return true
	}
	table := entry.table
	table.mu.Lock()
	if entry.closed {
		table.mu.Unlock()
		return false
	}
	fits := func() bool { return table.fits(0, bytes) }
	if entry.request {
		fits = func() bool { return table.fitsRequest(0, bytes) }
	}
	stopped := table.makeRoom(entry, now, fits)
	grown := fits()
	if grown {
		entry.add(bytes)
	} else {
		table.usage.Refused++
	}
	table.mu.Unlock()
	closeAll(stopped)
	return grown
}

// SetAnswer sets the size of the answer that is being written. Its memory is counted
// elsewhere; Reclaim frees it.
func (entry *Entry) SetAnswer(bytes int64) {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	entry.answer = bytes
}

// Received records that the peer sent bytes. The first ones of a phase are progress, later
// ones are each progressBytes.
func (entry *Entry) Received(bytes int, now time.Time) {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	if entry.received > 0 && entry.received+bytes < progressBytes {
		entry.received += bytes
		return
	}
	entry.enter(entry.phase, now)
	entry.received = 1
}

// Phase returns the current phase.
func (entry *Entry) Phase() Phase {
	if entry == nil {
		return Running
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	return entry.phase
}

// Enter begins a phase. Waiting ends the request, and returns its memory.
func (entry *Entry) Enter(phase Phase, now time.Time) {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	if entry.closed {
		return
	}
	if phase == Waiting {
		entry.add(ConnectionBytes - entry.bytes)
		entry.setRequest(false)
	}
	entry.enter(phase, now)
}

// Receive begins a request whose head has been read, and waits for its body until the
// deadline. It returns false if there is no room for the request even after other
// connections were closed; it has to be refused then.
func (entry *Entry) Receive(deadline, now time.Time) bool {
	if entry == nil {
		return true
	}
	table := entry.table
	table.mu.Lock()
	if entry.closed {
		table.mu.Unlock()
		return false
	}
	fits := func() bool { return table.fitsRequest(1, 0) }
	stopped := table.makeRoom(entry, now, fits)
	received := fits()
	if received {
		entry.setRequest(true)
	} else {
		table.usage.Refused++
	}
	entry.deadline = deadline
	entry.enter(Receiving, now)
	table.mu.Unlock()
	closeAll(stopped)
	return received
}

// SetDeadline sets the time until which the body may take.
func (entry *Entry) SetDeadline(deadline time.Time) {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	entry.deadline = deadline
}

// Write begins to wait for the peer to read. Written ends it.
func (entry *Entry) Write(now time.Time) {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	if entry.phase != Writing {
		entry.before = entry.phase
	}
	entry.enter(Writing, now)
}

// Written returns to the phase before Write.
func (entry *Entry) Written() {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	entry.enter(entry.before, entry.progress)
}

// Close removes the connection. It may be called more than once.
func (entry *Entry) Close() {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	entry.remove()
}

// enter sets the phase and puts the entry behind those that made progress before. The
// caller holds mu.
func (entry *Entry) enter(phase Phase, now time.Time) {
	if entry.closed {
		return
	}
	entry.phase, entry.progress, entry.received = phase, now, 0
	waiting := &entry.table.waiting
	switch {
	case phase == Running && entry.element != nil:
		waiting.Remove(entry.element)
		entry.element = nil
	case phase == Running:
	case entry.element != nil:
		waiting.MoveToBack(entry.element)
	default:
		entry.element = waiting.PushBack(entry)
	}
}

// add changes the memory that the connection holds. The caller holds mu.
func (entry *Entry) add(bytes int64) {
	entry.bytes += bytes
	entry.table.usage.Bytes += bytes
}

// setRequest sets whether the connection counts as a request. The caller holds mu.
func (entry *Entry) setRequest(request bool) {
	if entry.request == request {
		return
	}
	entry.request = request
	if request {
		entry.table.usage.Requests++
	} else {
		entry.table.usage.Requests--
	}
}

// remove takes the connection out of the table. The caller holds mu.
func (entry *Entry) remove() {
	if entry.closed {
		return
	}
	entry.closed = true
	entry.add(-entry.bytes)
	entry.setRequest(false)
	entry.table.usage.Connections--
	if entry.element != nil {
		entry.table.waiting.Remove(entry.element)
		entry.element = nil
	}
}

// stopped reports whether the connection may be closed to make room.
func (entry *Entry) stopped(now time.Time) bool {
	switch entry.phase {
	case Waiting:
		return true
	case Receiving:
		return !now.Before(entry.progress.Add(stoppedBody))
	case Writing:
		return !now.Before(entry.progress.Add(stoppedAnswer))
	}
	return false
}

// expired reports whether the connection has to be closed although there is room.
func (entry *Entry) expired(now time.Time) bool {
	switch entry.phase {
	case Receiving:
		return !entry.deadline.IsZero() && !now.Before(entry.deadline)
	case Writing:
		return !now.Before(entry.progress.Add(longestUnread))
	}
	return false
}
