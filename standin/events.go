package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/prefix"
)

const (
	// eventLag is how late cache events are published.
	eventLag = 300 * time.Millisecond
	// eventPoll is how often a reader gets what has become due.
	eventPollInterval = 50 * time.Millisecond
	maxEvents         = 4096
)

// CacheEvent tells that a block was stored or evicted.
type CacheEvent struct {
	Kind string      `json:"kind"`
	Hash prefix.Hash `json:"hash"`
}

// numberedEvent is an event with its place in the stream.
type numberedEvent struct {
	number int
	due    time.Time
	event  CacheEvent
}

// eventLog is an engine's stream of cache events: numbered, late, and with gaps.
type eventLog struct {
	mu         sync.Mutex // guards the fields below
	lastNumber int
	events     []numberedEvent
	dropCount  int // events still to be lost
}

func (log *eventLog) add(kind string, hash prefix.Hash) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.lastNumber++
	if log.dropCount > 0 {
		log.dropCount--
		return
	}
	log.events = append(log.events, numberedEvent{number: log.lastNumber, due: time.Now().Add(eventLag), event: CacheEvent{Kind: kind, Hash: hash}})
	if len(log.events) > maxEvents {
		log.events = log.events[1:]
	}
}

// after returns the events after a number that are due.
func (log *eventLog) dueAfter(number int, now time.Time) []numberedEvent {
	log.mu.Lock()
	defer log.mu.Unlock()
	var due []numberedEvent
	for _, event := range log.events {
		if event.number > number && !now.Before(event.due) {
			due = append(due, event)
		}
	}
	return due
}

// LoseEvents makes the next events of the cache stream missing.
func (engine *Engine) LoseEvents(count int) {
	engine.mu.Lock()
	log := engine.cache.events
	engine.mu.Unlock()
	log.mu.Lock()
	defer log.mu.Unlock()
	log.dropCount = count
}

// cacheEvents streams the events after the one named by ?after=.
func (engine *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	last := ctx.QueryArgs().GetUintOrZero("after")
	engine.mu.Lock()
	log, runCtx := engine.cache.events, engine.runCtx
	engine.mu.Unlock()
	engine.headers(ctx, "")
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		ticker := time.NewTicker(eventPollInterval)
		defer ticker.Stop()
		for runCtx.Err() == nil {
			for _, event := range log.dueAfter(last, time.Now()) {
				last = event.number
				text, _ := json.Marshal(event.event) // plain values: cannot fail
				_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event.number, text)
			}
			_, _ = writer.WriteString(": wait\n\n")
			if writer.Flush() != nil {
				return
			}
			select {
			case <-ticker.C:
			case <-runCtx.Done():
			}
		}
	})
}
