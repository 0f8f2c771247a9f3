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
	// streamBuffer is the pieces that wait for a slow caller.
	streamBuffer = 64
	// heartbeatInterval is how often an idle stream gets a comment, so that a
	// caller that went away is noticed.
	heartbeatInterval = 250 * time.Millisecond
)

var errCallerGone = errors.New("the caller went away")

// stream carries an answer's pieces from the dispatcher to the caller's
// connection.
type stream struct {
	server  *Server
	request *dispatch.Completion
	ctx     context.Context
	cancel  context.CancelFunc
	end     func()
	pieces  chan string
	// done carries the result, after the last piece.
	done chan ended
}

// ended is how a stream's request ended.
type ended struct {
	result dispatch.Result
	err    error
}

// SendChunk implements dispatch.Sink.
func (stream *stream) SendChunk(data string) error {
	select {
	case stream.pieces <- data:
		return nil
	case <-stream.ctx.Done():
		return errCallerGone
	}
}

// run gets the answer; it ends when the request has.
func (stream *stream) run() {
	defer stream.end()
	result, err := stream.server.Dispatcher.Complete(stream.ctx, stream.request)
	stream.server.record(stream.request, result, err)
	close(stream.pieces)
	stream.done <- ended{result: result, err: err}
}

// stream serves a request that wants its answer in pieces. The status waits
// for the first piece, so that a request that fails before gets its own.
func (server *Server) stream(ctx *fasthttp.RequestCtx, request *dispatch.Completion) {
	stream := &stream{
		server:  server,
		request: request,
		pieces:  make(chan string, streamBuffer),
		done:    make(chan ended, 1),
	}
	watched, end := server.watches.begin(server.requests, ctx.Conn())
	stream.ctx, stream.cancel = context.WithCancel(watched)
	stream.end = end
	request.Sink = stream
	go stream.run()
	first, ok := <-stream.pieces
	if !ok {
		outcome := <-stream.done
		stream.cancel()
		if outcome.err != nil {
			refuse(ctx, refusal.From(outcome.err))
			if ctx.Response.StatusCode() == fasthttp.StatusTooManyRequests {
				limitHeaders(ctx, request.Account, outcome.result.RemainingTokens)
			}
			return
		}
		stream.done <- outcome // an answer without pieces
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	ctx.Response.Header.Set("X-Request-Id", request.ID)
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer stream.cancel()
		stream.write(writer, first)
	})
}

// write sends the pieces as they come and then the end mark, or an error event.
func (stream *stream) write(writer *bufio.Writer, first string) {
	if first != "" {
		writePiece(writer, first)
	}
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if len(stream.pieces) == 0 && writer.Flush() != nil {
			return
		}
		select {
		case piece, ok := <-stream.pieces:
			if !ok {
				stream.writeEnd(writer)
				return
			}
			writePiece(writer, piece)
		case <-ticker.C:
			_, _ = writer.WriteString(": wait\n\n") // shows at the flush
		}
	}
}

func writePiece(writer *bufio.Writer, data string) {
	_, _ = writer.WriteString("data: ")
	_, _ = writer.WriteString(data)
	_, _ = writer.WriteString("\n\n")
}

func (stream *stream) writeEnd(writer *bufio.Writer) {
	outcome := <-stream.done
	if outcome.err != nil {
		refused := refusal.From(outcome.err).WithOutcome(refusal.Unknown)
		_, _ = writer.WriteString("event: error\n")
		writePiece(writer, string(refused.JSON()))
	} else {
		writePiece(writer, "[DONE]")
	}
	_ = writer.Flush()
}
