package quota

import "sync"

// lines holds, for each account, the requests of this VM that wait for tokens,
// in the order of their arrival.
type lines struct {
	mu    sync.Mutex // guards lines
	lines map[string][]*waiter
}

// waiter is one request in a line.
type waiter struct {
	tokens float64
	turn   chan struct{} // closed when it is the first
}

// empty reports whether nobody waits.
func (lines *lines) empty(account string) bool {
	lines.mu.Lock()
	defer lines.mu.Unlock()
	return len(lines.lines[account]) == 0
}

// join adds a request. It returns the tokens that those ahead want, a channel
// that is closed when the request is the first, and how to leave.
func (lines *lines) join(account string, tokens float64) (ahead float64, turn <-chan struct{}, leave func()) {
	lines.mu.Lock()
	defer lines.mu.Unlock()
	if lines.lines == nil {
		lines.lines = map[string][]*waiter{}
	}
	for _, waiter := range lines.lines[account] {
		ahead += waiter.tokens
	}
	joined := &waiter{tokens: tokens, turn: make(chan struct{})}
	lines.lines[account] = append(lines.lines[account], joined)
	if len(lines.lines[account]) == 1 {
		close(joined.turn)
	}
	return ahead, joined.turn, func() { lines.leave(account, joined) }
}

func (lines *lines) leave(account string, left *waiter) {
	lines.mu.Lock()
	defer lines.mu.Unlock()
	line := lines.lines[account]
	for i, waiter := range line {
		if waiter != left {
			continue
		}
		line = append(line[:i:i], line[i+1:]...)
		if i == 0 && len(line) > 0 {
			close(line[0].turn)
		}
		break
	}
	if len(line) == 0 {
		delete(lines.lines, account)
		return
	}
	lines.lines[account] = line
}
