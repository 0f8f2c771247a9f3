package occupancy

import (
	"container/list"
	"time"
)

// Entry is one connection. It is safe for concurrent use. A nil entry is not bounded.
type Entry struct {
	table      *Table
	connection Connection

	// The fields below are guarded by the table's mutex.
	phase    Phase
	before   Phase     // the phase that Writing interrupted
	progress time.Time // the last time at which the peer got on
	received int       // bytes of the phase since then, from 1 once there were some
	deadline time.Time // of the body; zero if none
	bytes    int64     // with ConnectionBytes
	answer   int64     // bytes of the answer that is being written
	request  bool      // whether it counts as a request
	refused  bool      // whether the refusal was written, while Refusing
	// held is set while this process is at work with what it has read of a head, or with a
	// complete one that is not a request yet: the peer is not what is waited for.
	held    bool
	element *list.Element // nil while running
	closed  bool
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

// Enter begins a phase. Waiting and Refusing end the request, and return its memory.
func (entry *Entry) Enter(phase Phase, now time.Time) {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	if entry.closed {
		return
	}
	if phase == Waiting || phase == Refusing {
		entry.add(ConnectionBytes - entry.bytes)
		entry.setRequest(false)
	}
	entry.enter(phase, now)
}

// BeginHead records that data of a head has arrived and is read next.
func (entry *Entry) BeginHead() {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	entry.held = true
}

// EndHead records that a part of a head was read, and whether the head is complete. It is held then
// until the request begins.
func (entry *Entry) EndHead(complete bool, now time.Time) {
	if entry == nil {
		return
	}
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	if entry.held = complete; complete {
		entry.deadline = time.Time{} // that of the request before
		entry.enter(Receiving, now)
		entry.held = true
	}
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
	entry.held = false
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
	entry.refused = entry.phase == Refusing
}

// Linger records that everything was written, and that the connection is open only until the peer
// has received it, until the deadline.
func (entry *Entry) Linger(deadline, now time.Time) {
	if entry == nil {
		return
	}
	entry.SetDeadline(deadline)
	entry.Enter(Refusing, now)
	entry.table.mu.Lock()
	defer entry.table.mu.Unlock()
	entry.refused = true
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
	entry.phase, entry.progress, entry.received, entry.refused, entry.held = phase, now, 0, false, entry.held && phase == entry.phase
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
	if entry.held {
		return false
	}
	switch entry.phase {
	case Waiting:
		return !entry.connection.Unfinished()
	case Refusing:
		return !now.Before(entry.progress.Add(stoppedRefusal)) || entry.refused && !entry.connection.Unfinished()
	case Receiving:
		return !now.Before(entry.progress.Add(stoppedBody)) && !entry.connection.Unfinished()
	case Writing:
		return !now.Before(entry.progress.Add(stoppedAnswer))
	}
	return false
}

// expired reports whether the connection has to be closed although there is room.
func (entry *Entry) expired(now time.Time) bool {
	switch entry.phase {
	case Receiving, Refusing:
		return !entry.deadline.IsZero() && !now.Before(entry.deadline)
	case Writing:
		return !now.Before(entry.progress.Add(longestUnread))
	}
	return false
}
