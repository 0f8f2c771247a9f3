package standin

import (
	"context"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/prefix"
)

// job is one request inside the engine.
type job struct {
	id       string
	form     completion.Form
	model    string
	chain    []prefix.Hash
	tokens   []string
	prompt   int // tokens
	priority int
	weights  string
	life     context.Context

	mu       sync.Mutex // guards the fields below
	cached   int
	produced int
	finished bool
	readers  int
	left     time.Time // when the last reader went
	changed  chan struct{}
}

// enqueue inserts the job by priority and starts the prefill loop when it is
// idle. The caller holds mu.
func (engine *Engine) enqueue(created *job) {
	at := len(engine.waiting)
	for at > 0 && engine.waiting[at-1].priority > created.priority {
		at--
	}
	engine.waiting = append(engine.waiting, nil)
	copy(engine.waiting[at+1:], engine.waiting[at:])
	engine.waiting[at] = created
	if !engine.busy {
		engine.busy = true
		go engine.runPrefills(engine.life)
	}
}

func (engine *Engine) runPrefills(life context.Context) {
	for {
		engine.mu.Lock()
		if life.Err() != nil || len(engine.waiting) == 0 || engine.running >= engine.Running {
			if life.Err() == nil {
				engine.busy = false
			}
			engine.mu.Unlock()
			return
		}
		next := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		engine.running++
		engine.mu.Unlock()
		engine.prefill(next)
		go engine.runDecode(next)
	}
}

func (engine *Engine) prefillTime(job *job) time.Duration {
	cached := engine.cache.match(job.chain) * prefix.BlockTokens
	return time.Duration(job.prompt-cached)*engine.PrefillPerToken + time.Duration(cached)*engine.PrefillPerToken/cachedShare
}

func (engine *Engine) prefill(job *job) {
	if job.abandoned() {
		return
	}
	engine.mu.Lock()
	cache, cost := engine.cache, engine.prefillTime(job)
	cached := cache.match(job.chain) * prefix.BlockTokens
	engine.mu.Unlock()
	engine.Hit.Add(int64(cached))
	engine.Prefilled.Add(int64(job.prompt - cached))
	sleep(job.life, cost)
	cache.use(job.chain)
	job.mu.Lock()
	job.cached = cached
	job.mu.Unlock()
}

func (engine *Engine) runDecode(job *job) {
	for range job.tokens {
		if job.abandoned() || job.life.Err() != nil {
			engine.Cancelled.Add(1)
			break
		}
		job.produce()
		sleep(job.life, engine.DecodePerToken)
	}
	job.finish()
	engine.retire(job)
}

// retire frees the job's slot and forgets old streams.
func (engine *Engine) retire(done *job) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.life != done.life {
		return
	}
	engine.running--
	if !engine.busy && len(engine.waiting) > 0 {
		engine.busy = true
		go engine.runPrefills(engine.life)
	}
	now := time.Now()
	engine.finished = append(engine.finished, finishedStream{id: done.id, at: now})
	for len(engine.finished) > 0 && now.Sub(engine.finished[0].at) > keepStreams {
		delete(engine.streams, engine.finished[0].id)
		engine.finished = engine.finished[1:]
	}
}

// finishedStream may be resumed for a while.
type finishedStream struct {
	id string
	at time.Time
}

// minSleep is the shortest time that is worth a timer.
const minSleep = 20 * time.Microsecond

func sleep(life context.Context, duration time.Duration) {
	if duration < minSleep {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-life.Done():
	}
}
