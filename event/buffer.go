package event

import (
	"context"
	"io"
	"sync/atomic"
)

const (
	// bufferLines is the maximum number of lines that wait for a slow reader, a
	// few hundred bytes each.
	bufferLines = 4096
)

// Buffer writes lines to an output that may be slow or not read at all. Write
// never blocks: when the buffer is full, lines are dropped and counted, and the
// count is logged once there is room again. It is safe for concurrent use.
type Buffer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
}

// NewBuffer returns a buffer for the output. Lines reach the output only while
// Run runs.
func NewBuffer(output io.Writer) *Buffer {
	return &Buffer{output: output, lines: make(chan []byte, bufferLines)}
}

// Write implements io.Writer. It copies the line and never returns an error.
func (buffer *Buffer) Write(line []byte) (int, error) {
	select {
	case buffer.lines <- append([]byte(nil), line...):
	default:
		buffer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (buffer *Buffer) Dropped() uint64 {
	return buffer.dropped.Load()
}

// Run writes lines to the output until the context is cancelled, then writes
// the lines that are still buffered. It reports dropped lines to log.
func (buffer *Buffer) Run(ctx context.Context, log *Log) error {
	for {
		select {
		case line := <-buffer.lines:
			buffer.writeLine(line, log)
		case <-ctx.Done():
			return buffer.flush()
		}
	}
}

func (buffer *Buffer) writeLine(line []byte, log *Log) {
	_, _ = buffer.output.Write(line) // an error cannot be reported: this output is the log
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
				return nil // the output has no reader any more
			}
		default:
			return nil
		}
	}
}
