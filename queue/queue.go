// Package queue shares busy targets fairly between client accounts.
//
// Requests are granted in the order of start-time fair queueing (Goyal, Vin and
// Cheng 1996): each account is served in proportion to its weight, counted in
// tokens, and an account gets no credit for the time in which it was idle.
// Interactive requests go before non-interactive ones, but one grant in eight
// goes to a non-interactive request.
//
// # Usage
//
//	fair := queue.New()
//	fair.SetSlots(8)
//	waiter := fair.Join(queue.Request{Account: "school-7", Weight: 1, Tokens: 1200})
//	select {
//	case <-waiter.Granted():
//		defer fair.Leave()
//	case <-ctx.Done():
//		if !fair.Withdraw(waiter) { fair.Leave() }
//	}
package queue

import (
	"container/heap"
	"sync"
)

// nonInteractiveInterval is the number of grants of which one goes to a
// non-interactive request while interactive ones wait.
const nonInteractiveInterval = 8

// Request describes a request to the queue.
type Request struct {
	Account string
	// Weight is the account's weight relative to the other accounts; 0 or less
	// counts as 1.
	Weight float64
	// Tokens is the size of the request, in tokens.
	Tokens      float64
	Interactive bool // granted before non-interactive requests
}

// Waiter is a request in the queue.
type Waiter struct {
	request Request
	start   float64 // virtual time
	arrival uint64  // sequence number of the arrival; breaks ties
	index   int     // in its heap; -1 when granted or withdrawn
	granted chan struct{}
}

// Granted returns a channel that is closed when the request gets a slot.
func (waiter *Waiter) Granted() <-chan struct{} {
	return waiter.granted
}

// Queue is a fair queue for a limited number of slots. It is safe for concurrent
// use.
type Queue struct {
	mu                  sync.Mutex // guards all fields
	slots               int
	busy                int
	virtualTime         float64
	lastFinish          map[string]float64 // virtual finish time of each account's last request
	interactive         waiters
	nonInteractive      waiters
	arrivals            uint64
	sinceNonInteractive int // interactive grants since the last non-interactive one
}

// New returns a queue without slots.
func New() *Queue {
	return &Queue{lastFinish: map[string]float64{}}
}

// SetSlots sets the number of requests that may hold a slot at the same time.
func (fair *Queue) SetSlots(slots int) {
	fair.mu.Lock()
	defer fair.mu.Unlock()
	fair.slots = slots
	fair.grant()
}

// Enqueue adds a request to the queue. The request is granted immediately when a
// slot is free.
func (fair *Queue) Enqueue(request Request) *Waiter {
	if request.Weight <= 0 {
		request.Weight = 1
	}
	fair.mu.Lock()
	defer fair.mu.Unlock()
	fair.arrivals++
	waiter := &Waiter{request: request, arrival: fair.arrivals, granted: make(chan struct{})}
	waiter.start = max(fair.virtualTime, fair.lastFinish[request.Account])
	fair.lastFinish[request.Account] = waiter.start + request.Tokens/request.Weight
	if request.Interactive {
		heap.Push(&fair.interactive, waiter)
	} else {
		heap.Push(&fair.nonInteractive, waiter)
	}
	fair.grant()
	return waiter
}

// Withdraw removes a request from the queue. It returns false when the request
// was already granted: then its slot must be released by Leave.
func (fair *Queue) Withdraw(waiter *Waiter) bool {
	fair.mu.Lock()
	defer fair.mu.Unlock()
	if waiter.index < 0 {
		return false
	}
	if waiter.request.Interactive {
		heap.Remove(&fair.interactive, waiter.index)
	} else {
		heap.Remove(&fair.nonInteractive, waiter.index)
	}
	return true
}

// Release releases the slot of a granted request.
func (fair *Queue) Release() {
	fair.mu.Lock()
	defer fair.mu.Unlock()
	fair.busy--
	fair.grant()
}

// Waiting returns the number of requests in the queue.
func (fair *Queue) Waiting() int {
	fair.mu.Lock()
	defer fair.mu.Unlock()
	return len(fair.interactive) + len(fair.nonInteractive)
}

// grant grants waiting requests while slots are free. The caller holds mu.
func (fair *Queue) grant() {
	for fair.busy < fair.slots {
		waiter := fair.dequeue()
		if waiter == nil {
			return
		}
		fair.busy++
		fair.virtualTime = max(fair.virtualTime, waiter.start)
		close(waiter.granted)
	}
	fair.evictIdleAccounts()
}

// dequeue removes and returns the request to grant next, or nil. The caller holds
// mu.
func (fair *Queue) dequeue() *Waiter {
	nonInteractiveFirst := fair.sinceNonInteractive >= nonInteractiveInterval-1 && len(fair.nonInteractive) > 0
	if len(fair.interactive) > 0 && !nonInteractiveFirst {
		fair.sinceNonInteractive++
		return heap.Pop(&fair.interactive).(*Waiter)
	}
	if len(fair.nonInteractive) > 0 {
		fair.sinceNonInteractive = 0
		return heap.Pop(&fair.nonInteractive).(*Waiter)
	}
	return nil
}

// maxIdleAccounts is the number of entries in lastFinish above which those of
// idle accounts are evicted.
const maxIdleAccounts = 4096

// evictIdleAccounts removes the accounts whose last request finished at or before
// the current virtual time. The caller holds mu.
func (fair *Queue) evictIdleAccounts() {
	if len(fair.lastFinish) <= maxIdleAccounts {
		return
	}
	for account, finish := range fair.lastFinish {
		if finish <= fair.virtualTime {
			delete(fair.lastFinish, account)
		}
	}
}

// waiters is a heap ordered by virtual start time, then by arrival.
type waiters []*Waiter

// Len implements heap.Interface.
func (waiters waiters) Len() int { return len(waiters) }

// Less implements heap.Interface.
func (waiters waiters) Less(i, j int) bool {
	if waiters[i].start != waiters[j].start {
		return waiters[i].start < waiters[j].start
	}
	return waiters[i].arrival < waiters[j].arrival
}

// Swap implements heap.Interface.
func (waiters waiters) Swap(i, j int) {
	waiters[i], waiters[j] = waiters[j], waiters[i]
	waiters[i].index, waiters[j].index = i, j
}

// Push implements heap.Interface.
func (waiters *waiters) Push(item any) {
	waiter := item.(*Waiter)
	waiter.index = len(*waiters)
	*waiters = append(*waiters, waiter)
}

// Pop implements heap.Interface.
func (waiters *waiters) Pop() any {
	last := len(*waiters) - 1
	waiter := (*waiters)[last]
	(*waiters)[last] = nil
	*waiters = (*waiters)[:last]
	waiter.index = -1
	return waiter
}
