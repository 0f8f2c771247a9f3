package dispatch

import (
	"context"
	"sync"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/refusal"
)

// running is the requests that run, so that a withdrawn key can end them.
type running struct {
	mu   sync.Mutex // guards runs
	runs map[*run]bool
}

// run is one request that runs.
type run struct {
	key    string // digest; empty on open routes
	cancel context.CancelCauseFunc
}

// begin registers a request and returns its context.
func (running *running) begin(ctx context.Context, key string) (context.Context, *run) {
	ctx, cancel := context.WithCancelCause(ctx)
	begun := &run{key: key, cancel: cancel}
	running.mu.Lock()
	defer running.mu.Unlock()
	if running.runs == nil {
		running.runs = map[*run]bool{}
	}
	running.runs[begun] = true
	return ctx, begun
}

func (running *running) end(ended *run) {
	ended.cancel(nil)
	running.mu.Lock()
	defer running.mu.Unlock()
	delete(running.runs, ended)
}

func (running *running) count() int {
	running.mu.Lock()
	defer running.mu.Unlock()
	return len(running.runs)
}

// endWithdrawn ends the requests whose keys no longer work and returns their
// number. The configuration is read while no request can join: an older one may
// lack the key with which a request has just come in.
func (running *running) endWithdrawn(current func() *catalog.Snapshot) (ended int) {
	running.mu.Lock()
	defer running.mu.Unlock()
	snapshot := current()
	for run := range running.runs {
		if run.key == "" {
			continue
		}
		if key := snapshot.Key(run.key); key == nil || key.Withdrawn {
			run.cancel(refusal.New(refusal.KeyWithdrawn, "the key was withdrawn; ask the operator for a new one").With(refusal.Unknown))
			ended++
		}
	}
	return ended
}
