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

// stalled is an output that nobody reads until it is released.
type stalled struct {
	release chan struct{}

	mu   sync.Mutex // guards text
	text bytes.Buffer
}

func (stalled *stalled) Write(line []byte) (int, error) {
	<-stalled.release
	stalled.mu.Lock()
	defer stalled.mu.Unlock()
	return stalled.text.Write(line)
}

func (stalled *stalled) String() string {
	stalled.mu.Lock()
	defer stalled.mu.Unlock()
	return stalled.text.String()
}

// A standard output that is not read must slow no request.
func TestStalledOutputStopsNobodyAndDropsAreTold(t *testing.T) {
	output := &stalled{release: make(chan struct{})}
	buffer := NewBuffer(output)
	log := New(buffer, "vm-1", LevelInfo)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- buffer.Run(ctx, log) }()
	const lines = 3 * bufferLines
	for range lines {
		log.Emit(PlatformUp) // returns although nothing is written
	}
	if got := buffer.Dropped(); got < lines-bufferLines-1 {
		t.Errorf("got %d lines dropped, want those above the buffer", got)
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
		t.Errorf("got %d lines written, want the %d that were kept", got, bufferLines)
	}
}

func TestBufferWritesWhatWaitsAtTheEnd(t *testing.T) {
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

func TestSamplerBoundsLinesAndCountsTheOthers(t *testing.T) {
	sampler := &Sampler{}
	now := time.Unix(100, 0)
	passed := 0
	for range 10 {
		if _, ok := sampler.Pass(now, 3); ok {
			passed++
		}
	}
	if passed != 3 {
		t.Errorf("got %d lines in a second, want 3", passed)
	}
	skipped, ok := sampler.Pass(now.Add(time.Second), 3)
	if !ok || skipped != 7 {
		t.Errorf("got %d skipped, %v, want 7 told with the next line", skipped, ok)
	}
}
