package event

import (
	"bytes"
	"context"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalledWriter is an output whose writes block until release is closed.
type stalledWriter struct {
	release chan struct{}

	mu   sync.Mutex // guards text
	text bytes.Buffer
}

func (writer *stalledWriter) Write(line []byte) (int, error) {
	<-writer.release
	writer.mu.Lock()
	defer writer.mu.Unlock()
	return writer.text.Write(line)
}

func (writer *stalledWriter) String() string {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	return writer.text.String()
}

// Guards against requests that block on logging because nobody reads standard
// output.
func TestStalledOutputDoesNotBlockAndDropsAreLogged(t *testing.T) {
	output := &stalledWriter{release: make(chan struct{})}
	buffer := NewBuffer(output)
	log := New(buffer, "vm-1", LevelInfo)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- buffer.Run(ctx, log) }()
	const lines = 3 * bufferLines
	for range lines {
		log.Emit(PlatformUp) // returns although the output is blocked
	}
	if got := buffer.Dropped(); got < lines-bufferLines-1 {
		t.Errorf("got %d lines dropped, want those beyond the buffer's capacity", got)
	}
	close(output.release)
	for !strings.Contains(output.String(), `"event_name":"lines_dropped"`) {
		runtime.Gosched()
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("got %v, want none", err)
	}
	if got := strings.Count(output.String(), "platform_up"); got < bufferLines || got > bufferLines+2 {
		t.Errorf("got %d lines written, want the %d that were buffered", got, bufferLines)
	}
}

func TestRunWritesBufferedLinesAfterCancel(t *testing.T) {
	var output bytes.Buffer
	buffer := NewBuffer(&output)
	log := New(buffer, "vm-1", LevelInfo)
	log.Emit(PlatformUp)
	log.Emit(PlatformDown)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := buffer.Run(ctx, log); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(output.String(), "\n"); got != 2 {
		t.Errorf("got %d lines, want 2", got)
	}
}

func TestSamplerLimitsLinesAndCountsSkipped(t *testing.T) {
	sampler := &Sampler{}
	now := time.Unix(100, 0)
	passed := 0
	for range 10 {
		if _, ok := sampler.Allow(now, 3); ok {
			passed++
		}
	}
	if passed != 3 {
		t.Errorf("got %d lines in a second, want 3", passed)
	}
	skipped, ok := sampler.Allow(now.Add(time.Second), 3)
	if !ok || skipped != 7 {
		t.Errorf("got %d skipped, %v, want 7 reported with the next line", skipped, ok)
	}
}
