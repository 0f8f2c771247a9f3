package quota

import "sync"

// waitQueues holds, for each account, the requests of this VM that wait for
// tokens, in order of arrival.
type waitQueues struct {
	mu      sync.Mutex // guards waiters
	waiters map[string][]*waiter
}

// waiter is one waiting request.
type waiter struct {
	tokens float64
	atHead chan struct{} // closed when the request is at the head of the queue
}

// empty reports whether no request of the account is waiting.
func (waitQueues *waitQueues) empty(account string) bool {
	waitQueues.mu.Lock()
	defer waitQueues.mu.Unlock()
	return len(waitQueues.waiters[account]) == 0
}

// enqueue adds a request. It returns the sum of the tokens requested by those
// ahead, a channel that is closed when the request is at the head of the queue,
// and a function that removes it.
func (waitQueues *waitQueues) enqueue(account string, tokens float64) (ahead float64, atHead <-chan struct{}, dequeue func()) {
	waitQueues.mu.Lock()
	defer waitQueues.mu.Unlock()
	if waitQueues.waiters == nil {
		waitQueues.waiters = map[string][]*waiter{}
	}
	for _, waiter := range waitQueues.waiters[account] {
		ahead += waiter.tokens
	}
	added := &waiter{tokens: tokens, atHead: make(chan struct{})}
	waitQueues.waiters[account] = append(waitQueues.waiters[account], added)
	if len(waitQueues.waiters[account]) == 1 {
		close(added.atHead)
	}
	return ahead, added.atHead, func() { waitQueues.dequeue(account, added) }
}

func (waitQueues *waitQueues) dequeue(account string, removed *waiter) {
	waitQueues.mu.Lock()
	defer waitQueues.mu.Unlock()
	queue := waitQueues.waiters[account]
	for i, waiter := range queue {
		if waiter != removed {
			continue
		}
		queue = append(queue[:i:i], queue[i+1:]...)
		if i == 0 && len(queue) > 0 {
			close(queue[0].atHead)
		}
		break
	}
	if len(queue) == 0 {
		delete(waitQueues.waiters, account)
		return
	}
	waitQueues.waiters[account] = queue
}
