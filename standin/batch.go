package standin

import (
	"context"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/prefix"
)

// job is one request in the engine.
type job struct {
	id           string
	form         completion.Form
	model        string
	chain        []prefix.Hash
	tokens       []string
	promptTokens int // tokens
	priority     int
	weights      string
	runCtx       context.Context

	mu               sync.Mutex // guards the fields below
	cachedTokens     int
	produced         int
	finished         bool
	readers          int
	readersChangedAt time.Time // when a reader last connected or disconnected
	changed          chan struct{}
}

// enqueue inserts the job by priority and starts the prefill loop if it is
// idle. The caller holds mu.
func (engine *Engine) enqueue(job *job) {
	at := len(engine.waiting)
	for at > 0 && engine.waiting[at-1].priority > job.priority {
		at--
	}
	engine.waiting = append(engine.waiting, nil)
	copy(engine.waiting[at+1:], engine.waiting[at:])
	engine.waiting[at] = job
	if !engine.prefilling {
		engine.prefilling = true
		go engine.runPrefills(engine.runCtx)
	}
}

func (engine *Engine) runPrefills(runCtx context.Context) {
	for {
		engine.mu.Lock()
		if runCtx.Err() != nil || len(engine.waiting) == 0 || engine.running >= engine.Running {
			if runCtx.Err() == nil {
				engine.prefilling = false
			}
			engine.mu.Unlock()
			return
		}
		job := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		engine.running++
		engine.mu.Unlock()
		engine.prefill(job)
		go engine.runDecode(job)
	}
}

func (engine *Engine) prefillTime(job *job) time.Duration {
	cached := engine.cache.match(job.chain) * prefix.BlockTokens
	return time.Duration(job.promptTokens-cached)*engine.PrefillPerToken + time.Duration(cached)*engine.PrefillPerToken/cachedCostDivisor
}

func (engine *Engine) prefill(job *job) {
	if job.abandoned() {
		return
	}
	engine.mu.Lock()
	cache, cost := engine.cache, engine.prefillTime(job)
	cached := cache.match(job.chain) * prefix.BlockTokens
	engine.mu.Unlock()
	engine.CachedTokens.Add(int64(cached))
	engine.Prefilled.Add(int64(job.promptTokens - cached))
	sleep(job.runCtx, cost)
	cache.use(job.chain)
	job.mu.Lock()
	job.cachedTokens = cached
	job.mu.Unlock()
}

func (engine *Engine) runDecode(job *job) {
	for range job.tokens {
		if job.abandoned() || job.runCtx.Err() != nil {
			engine.Cancelled.Add(1)
			break
		}
		job.produce()
		sleep(job.runCtx, engine.DecodePerToken)
	}
	job.finish()
	engine.releaseSlot(job)
}

// releaseSlot frees the job's slot and removes streams that finished more than
// streamRetention ago.
func (engine *Engine) releaseSlot(job *job) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.runCtx != job.runCtx {
		return
	}
	engine.running--
	if !engine.prefilling && len(engine.waiting) > 0 {
		engine.prefilling = true
		go engine.runPrefills(engine.runCtx)
	}
	now := time.Now()
	engine.finished = append(engine.finished, finishedStream{id: job.id, at: now})
	for len(engine.finished) > 0 && now.Sub(engine.finished[0].at) > streamRetention {
		delete(engine.streams, engine.finished[0].id)
		engine.finished = engine.finished[1:]
	}
}

// finishedStream identifies a stream that can be resumed until streamRetention
// after its end.
type finishedStream struct {
	id string
	at time.Time
}

// minSleep is the shortest duration for which a timer is started; shorter ones
// are skipped.
const minSleep = 20 * time.Microsecond

func sleep(runCtx context.Context, duration time.Duration) {
	if duration < minSleep {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-runCtx.Done():
	}
}
