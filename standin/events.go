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
	// eventLag is the delay until a cache event is published.
	eventLag = 300 * time.Millisecond
	// eventPollInterval is the interval at which due events are sent to a reader.
	eventPollInterval = 50 * time.Millisecond
	maxEvents         = 4096
)

// CacheEvent reports that a block was stored or evicted.
type CacheEvent struct {
	Kind string      `json:"kind"`
	Hash prefix.Hash `json:"hash"`
}

// numberedEvent is an event with its number in the stream.
type numberedEvent struct {
	number int
	due    time.Time
	event  CacheEvent
}

// eventLog is an engine's stream of cache events. The events are numbered and
// delayed by eventLag, and some can be dropped, which leaves gaps in the numbers.
type eventLog struct {
	mu         sync.Mutex // guards the fields below
	lastNumber int
	events     []numberedEvent
	dropCount  int // number of next events to drop
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

// dueAfter returns the due events whose number is greater than the given one.
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

// LoseEvents drops the given number of next cache events.
func (engine *Engine) LoseEvents(count int) {
	engine.mu.Lock()
	log := engine.cache.events
	engine.mu.Unlock()
	log.mu.Lock()
	defer log.mu.Unlock()
	log.dropCount = count
}

// cacheEvents streams the events after the number in the query parameter "after".
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
