package event

import (
	"sync"
	"time"
)

// Sampler lets a bounded number of lines of one kind pass each second, for
// events that come with each success. It is safe for concurrent use.
type Sampler struct {
	mu      sync.Mutex // guards the fields below
	second  int64
	passed  int
	skipped uint64
}

// Pass reports whether a line may be written now, when at most perSecond may be
// in one second, and how many were skipped since the last one that was.
func (sampler *Sampler) Pass(now time.Time, perSecond int) (skipped uint64, ok bool) {
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
