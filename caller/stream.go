package caller

import (
	"bufio"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/dispatch"
	"github.com/bramleygw/bramleygw/refusal"
)

const (
	// streamBuffer is the number of chunks that are buffered for a slow caller.
	streamBuffer = 64
	// heartbeatInterval is the interval of the comments that are written to an idle
	// stream, so that a disconnected caller is detected.
	heartbeatInterval = 250 * time.Millisecond
)

var errCallerDisconnected = errors.New("the caller disconnected")

// stream passes the chunks of an answer from the dispatcher to the caller's
// connection.
type stream struct {
	server       *Server
	request      *dispatch.Completion
	ctx          context.Context
	cancel       context.CancelFunc
	stopWatching func() // cancels the request and removes its connection from the monitor
	chunks       chan string
	// done receives the result after the last chunk.
	done chan streamOutcome
}

// streamOutcome is the outcome of a stream's request.
type streamOutcome struct {
	result dispatch.Result
	err    error
}

// SendChunk implements dispatch.Sink.
func (stream *stream) SendChunk(data string) error {
	select {
	case stream.chunks <- data:
		return nil
	case <-stream.ctx.Done():
		return errCallerDisconnected
	}
}

// run runs the request and returns when it has ended.
func (stream *stream) run() {
	defer stream.stopWatching()
	result, err := stream.server.Dispatcher.Complete(stream.ctx, stream.request)
	stream.server.record(stream.request, result, err)
	close(stream.chunks)
	stream.done <- streamOutcome{result: result, err: err}
}

// serveStream serves a request with a streamed answer. It sends the status only
// after the first chunk has arrived, so that a request that fails earlier is
// answered with the status of its refusal.
func (server *Server) serveStream(ctx *fasthttp.RequestCtx, request *dispatch.Completion) {
	stream := &stream{
		server:  server,
		request: request,
		chunks:  make(chan string, streamBuffer),
		done:    make(chan streamOutcome, 1),
	}
	requestCtx, stopWatching := server.monitor.watch(server.requestsCtx, ctx.Conn())
	stream.ctx, stream.cancel = context.WithCancel(requestCtx)
	stream.stopWatching = stopWatching
	request.Sink = stream
	go stream.run()
	first, ok := <-stream.chunks
	if !ok {
		outcome := <-stream.done
		stream.cancel()
		if outcome.err != nil {
			refuse(ctx, refusal.From(outcome.err))
			if ctx.Response.StatusCode() == fasthttp.StatusTooManyRequests {
				setLimitHeaders(ctx, request.Account, outcome.result.RemainingTokens)
			}
			return
		}
		stream.done <- outcome // for writeEnd: the answer has no chunks
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.Response.Header.Set("X-Request-Id", request.ID)
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer stream.cancel()
		stream.write(writer, first)
	})
}

// write sends the chunks as they arrive, then the end marker or an error event. It
// sends a comment at each heartbeat interval.
func (stream *stream) write(writer *bufio.Writer, first string) {
	if first != "" {
		writeEvent(writer, first)
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if len(stream.chunks) == 0 && writer.Flush() != nil {
			return
		}
		select {
		case chunk, ok := <-stream.chunks:
			if !ok {
				stream.writeEnd(writer)
				return
			}
			writeEvent(writer, chunk)
		case <-ticker.C:
			_, _ = writer.WriteString(": wait\n\n") // an error is returned by the next Flush
		}
	}
}

// writeEvent writes a server-sent event.
func writeEvent(writer *bufio.Writer, data string) {
	_, _ = writer.WriteString("data: ")
	_, _ = writer.WriteString(data)
	_, _ = writer.WriteString("\n\n")
}

// writeEnd writes the end marker, or the error event if the request failed.
func (stream *stream) writeEnd(writer *bufio.Writer) {
	outcome := <-stream.done
	if outcome.err != nil {
		refused := refusal.From(outcome.err).WithOutcome(refusal.Unknown)
		_, _ = writer.WriteString("event: error\n")
		writeEvent(writer, string(refused.JSON()))
	} else {
		writeEvent(writer, "[DONE]")
	}
	_ = writer.Flush()
}
