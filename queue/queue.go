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
//	fairQueue := queue.New()
//	fairQueue.SetSlots(8)
//	waiter := fairQueue.Enqueue(queue.Request{Account: "school-7", Weight: 1, Tokens: 1200})
//	select {
//	case <-waiter.Granted():
//		defer fairQueue.Release()
//	case <-ctx.Done():
//		if !fairQueue.Withdraw(waiter) { fairQueue.Release() }
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
func (queue *Queue) SetSlots(slots int) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.slots = slots
	queue.grant()
}

// Enqueue adds a request to the queue. The request is granted immediately when a
// slot is free.
func (queue *Queue) Enqueue(request Request) *Waiter {
	if request.Weight <= 0 {
		request.Weight = 1
	}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.arrivals++
	waiter := &Waiter{request: request, arrival: queue.arrivals, granted: make(chan struct{})}
	waiter.start = max(queue.virtualTime, queue.lastFinish[request.Account])
	queue.lastFinish[request.Account] = waiter.start + request.Tokens/request.Weight
	if request.Interactive {
		heap.Push(&queue.interactive, waiter)
	} else {
		heap.Push(&queue.nonInteractive, waiter)
	}
	queue.grant()
	return waiter
}

// Withdraw removes a request from the queue. It returns false when the request
// was already granted: then the caller must release its slot with Release.
func (queue *Queue) Withdraw(waiter *Waiter) bool {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if waiter.index < 0 {
		return false
	}
	if waiter.request.Interactive {
		heap.Remove(&queue.interactive, waiter.index)
	} else {
		heap.Remove(&queue.nonInteractive, waiter.index)
	}
	return true
}

// Release releases the slot of a granted request.
func (queue *Queue) Release() {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.busy--
	queue.grant()
}

// Waiting returns the number of requests in the queue.
func (queue *Queue) Waiting() int {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return len(queue.interactive) + len(queue.nonInteractive)
}

// grant grants waiting requests while slots are free. The caller holds mu.
func (queue *Queue) grant() {
	for queue.busy < queue.slots {
		waiter := queue.dequeue()
		if waiter == nil {
			return
		}
		queue.busy++
		queue.virtualTime = max(queue.virtualTime, waiter.start)
		close(waiter.granted)
	}
	queue.evictIdleAccounts()
}

// dequeue removes and returns the request to grant next, or nil. The caller holds
// mu.
func (queue *Queue) dequeue() *Waiter {
	nonInteractiveFirst := queue.sinceNonInteractive >= nonInteractiveInterval-1 && len(queue.nonInteractive) > 0
	if len(queue.interactive) > 0 && !nonInteractiveFirst {
		queue.sinceNonInteractive++
		return heap.Pop(&queue.interactive).(*Waiter)
	}
	if len(queue.nonInteractive) > 0 {
		queue.sinceNonInteractive = 0
		return heap.Pop(&queue.nonInteractive).(*Waiter)
	}
	return nil
}

// maxIdleAccounts is the number of entries in lastFinish above which those of
// idle accounts are evicted.
const maxIdleAccounts = 4096

// evictIdleAccounts removes the accounts whose last request finished at or before
// the current virtual time. The caller holds mu.
func (queue *Queue) evictIdleAccounts() {
	if len(queue.lastFinish) <= maxIdleAccounts {
		return
	}
	for account, finish := range queue.lastFinish {
		if finish <= queue.virtualTime {
			delete(queue.lastFinish, account)
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
