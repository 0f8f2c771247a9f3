package event

import (
	"sync"
	"time"
)

// Sampler limits how many log lines of one kind are written each second, for
// events that occur with every successful request. It is safe for concurrent use.
type Sampler struct {
	mu      sync.Mutex // guards the fields below
	second  int64
	passed  int
	skipped uint64
}

// Allow reports whether a line may be written at now, given a limit of perSecond
// lines in each second. If it may, skipped is the number of lines that were
// suppressed since the last line that was allowed.
func (sampler *Sampler) Allow(now time.Time, perSecond int) (skipped uint64, ok bool) {
	sampler.mu.Lock()
	defer sampler.mu.Unlock()
	if second := now.Unix(); second != sampler.second {
		sampler.second, sampler.passed = second, 0
	}
	if sampler.passed >= perSecond {
		sampler.skipped++
		return 0, false
	}
	sampler.passed++
	skipped, sampler.skipped = sampler.skipped, 0
	return skipped, true
}
