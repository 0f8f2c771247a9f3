// Package queue shares busy targets fairly between client accounts.
//
// Requests wait in start-time fair queueing order (Goyal, Vin and Cheng 1996):
// each account is served in proportion to its weight, counted in tokens, and an
// account that was idle gets no credit for it. Interactive requests go before
// others; one grant in eight goes to the others all the same.
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

// othersTurn is how many grants pass until a request that is not interactive
// is granted although interactive ones wait.
const othersTurn = 8

// Request is what the queue needs to know.
type Request struct {
	Account string
	// Weight is the account's share; 0 counts as 1.
	Weight float64
	// Tokens is the size of the request.
	Tokens      float64
	Interactive bool
}

// Waiter is a request in the queue.
type Waiter struct {
	request Request
	start   float64 // virtual time
	order   uint64  // arrival, to break ties
	index   int     // in its heap, or -1
	granted chan struct{}
}

// Granted returns a channel that is closed when the request may go on.
func (waiter *Waiter) Granted() <-chan struct{} {
	return waiter.granted
}

// Fair is a fair queue before a number of slots. It is safe for concurrent use.
type Fair struct {
	mu          sync.Mutex // guards all fields
	slots       int
	busy        int
	virtual     float64
	finish      map[string]float64 // virtual finish time of each account's last request
	interactive waiters
	others      waiters
	arrivals    uint64
	sinceOthers int
}

// New returns a queue without slots.
func New() *Fair {
	return &Fair{finish: map[string]float64{}}
}

// SetSlots sets how many requests may be past the queue at once.
func (fair *Fair) SetSlots(slots int) {
	fair.mu.Lock()
	defer fair.mu.Unlock()
	fair.slots = slots
	fair.grant()
}

// Join queues a request; it is granted at once when a slot is free.
func (fair *Fair) Join(request Request) *Waiter {
	if request.Weight <= 0 {
		request.Weight = 1
	}
	fair.mu.Lock()
	defer fair.mu.Unlock()
	fair.arrivals++
	waiter := &Waiter{request: request, order: fair.arrivals, granted: make(chan struct{})}
	waiter.start = max(fair.virtual, fair.finish[request.Account])
	fair.finish[request.Account] = waiter.start + request.Tokens/request.Weight
	if request.Interactive {
		heap.Push(&fair.interactive, waiter)
	} else {
		heap.Push(&fair.others, waiter)
	}
	fair.grant()
	return waiter
}

// Withdraw takes a request out of the queue. It returns false when the request
// was granted already: then its slot must be given back by Leave.
func (fair *Fair) Withdraw(waiter *Waiter) bool {
	fair.mu.Lock()
	defer fair.mu.Unlock()
	if waiter.index < 0 {
		return false
	}
	if waiter.request.Interactive {
		heap.Remove(&fair.interactive, waiter.index)
	} else {
		heap.Remove(&fair.others, waiter.index)
	}
	return true
}

// Leave gives a slot back.
func (fair *Fair) Leave() {
	fair.mu.Lock()
	defer fair.mu.Unlock()
	fair.busy--
	fair.grant()
}

// Waiting returns the number of requests in the queue.
func (fair *Fair) Waiting() int {
	fair.mu.Lock()
	defer fair.mu.Unlock()
	return len(fair.interactive) + len(fair.others)
}

// grant lets requests pass while slots are free. The caller holds mu.
func (fair *Fair) grant() {
	for fair.busy < fair.slots {
		waiter := fair.next()
		if waiter == nil {
			return
		}
		fair.busy++
		fair.virtual = max(fair.virtual, waiter.start)
		close(waiter.granted)
	}
	fair.forgetIdle()
}

func (fair *Fair) next() *Waiter {
	othersFirst := fair.sinceOthers >= othersTurn-1 && len(fair.others) > 0
	if len(fair.interactive) > 0 && !othersFirst {
		fair.sinceOthers++
		return heap.Pop(&fair.interactive).(*Waiter)
	}
	if len(fair.others) > 0 {
		fair.sinceOthers = 0
		return heap.Pop(&fair.others).(*Waiter)
	}
	return nil
}

// maxIdle bounds the accounts that are remembered while they have no request.
const maxIdle = 4096

// forgetIdle drops accounts whose last request lies in the virtual past. The
// caller holds mu.
func (fair *Fair) forgetIdle() {
	if len(fair.finish) <= maxIdle {
		return
	}
	for account, finish := range fair.finish {
		if finish <= fair.virtual {
			delete(fair.finish, account)
		}
	}
}

// waiters is a heap ordered by virtual start, then arrival.
type waiters []*Waiter

// Len implements heap.Interface.
func (waiters waiters) Len() int { return len(waiters) }

// Less implements heap.Interface.
func (waiters waiters) Less(i, j int) bool {
	if waiters[i].start != waiters[j].start {
		return waiters[i].start < waiters[j].start
	}
	return waiters[i].order < waiters[j].order
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
