package admission

import "time"

const (
	// Callers are told to retry after minDelay to maxDelay in the mean, spread from half
	// of that to one and a half times. The longest is 3 s: then room that comes back is
	// used within 3 s.
	minDelay = 300 * time.Millisecond
	maxDelay = 2 * time.Second
)

// line is the tokens that this VM refused to the requests with a key, less what was
// admitted since: what would be ahead of the next caller if those that were refused had
// waited.
type line struct {
	tokens    float64
	updatedAt time.Time
}

// join adds tokens to the line, which moves at a rate in tokens a second. It returns the
// time until they are at its end.
func (line *line) join(tokens, rate float64, now time.Time) time.Duration {
	moved := rate * max(0, now.Sub(line.updatedAt).Seconds())
	line.tokens, line.updatedAt = max(0, line.tokens-moved)+tokens, now
	limit := rate * maxDelay.Seconds()
	if line.tokens >= limit {
		line.tokens = limit + tokens
		return maxDelay
	}
	return max(minDelay, time.Duration(line.tokens/rate*float64(time.Second)))
}

// retryAt returns when the caller of a refused request may retry: when there will be
// room for it, spread so that callers do not come back together.
func (controller *Controller) retryAt(cell *cell, part, tokens float64, now time.Time) time.Time {
	delay := cell.line.join(tokens, part*cell.asked.at(now), now)
	return now.Add(delay/2 + time.Duration(controller.random.Int64N(int64(delay))))
}
