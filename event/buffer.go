package event

import (
	"context"
	"io"
	"sync/atomic"
)

const (
	// bufferLines bounds the lines that wait for a slow reader: a few hundred
	// bytes each.
	bufferLines = 4096
)

// Buffer writes lines to an output that may be slow or not read at all. Write
// never waits: lines that find the buffer full are dropped and counted, and the
// count is told once there is room. It is safe for concurrent use.
type Buffer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewBuffer returns a buffer in front of the output; Run writes it.
func NewBuffer(output io.Writer) *Buffer {
	return &Buffer{output: output, lines: make(chan []byte, bufferLines)}
}

// Write implements io.Writer. The line is copied.
func (buffer *Buffer) Write(line []byte) (int, error) {
	select {
	case buffer.lines <- append([]byte(nil), line...):
	default:
		buffer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped and not told yet.
func (buffer *Buffer) Dropped() uint64 {
	return buffer.dropped.Load()
}

// Run writes the lines until the context ends, and then those that wait. log
// tells of dropped lines.
func (buffer *Buffer) Run(ctx context.Context, log *Log) error {
	for {
		select {
		case line := <-buffer.lines:
			buffer.put(line, log)
		case <-ctx.Done():
			return buffer.flush()
		}
	}
}

func (buffer *Buffer) put(line []byte, log *Log) {
	_, _ = buffer.output.Write(line) // there is nowhere to tell it
	if len(buffer.lines) > bufferLines/2 {
		return
	}
	if dropped := buffer.dropped.Swap(0); dropped > 0 {
		log.Emit(LinesDropped, F("lines", dropped))
	}
}

func (buffer *Buffer) flush() error {
	for {
		select {
		case line := <-buffer.lines:
			if _, err := buffer.output.Write(line); err != nil {
				return nil // nobody reads any more
			}
		default:
			return nil
		}
	}
}
