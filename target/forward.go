package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/buffer"
)

// Receiver receives the head of an answer and the events of a streamed one.
type Receiver interface {
	// Head is called with the answer's head before the body is read. An error
	// ends the call.
	Head(head Head) error
	// Event is called with each complete event of a stream, including the blank
	// line that ends it. An error ends the call.
	Event(event []byte) error
}

const (
	// maxBufferedAnswer bounds an answer that is not streamed and is therefore
	// buffered completely.
	maxBufferedAnswer = 8 << 20 // bytes
	readSize          = 4 << 10 // bytes
)

// Forward sends a request and returns its answer unchanged: the events of a
// stream go to the receiver one by one, any other answer is returned as the body
// once it is complete. A partial event at the end of a broken stream is dropped.
func (client *Client) Forward(ctx context.Context, call Call, receiver Receiver) (Head, []byte, error) {
	var answer []byte
	head, err := client.exchangeWithHead(ctx, call, func(head Head, response *fasthttp.Response, body io.Reader) error {
		if err := receiver.Head(head); err != nil {
			return err
		}
		if head.Stream && body == nil {
			body = bytes.NewReader(response.Body()) // a short stream with a Content-Length
		}
		if head.Stream {
			return endedBy(response, forwardEvents(body, receiver, call.Share))
		}
		text, err := readBuffered(response, body, call)
		answer = text
		return err
	})
	return head, answer, err
}

// unframed is fasthttp's content length of an answer with neither a length nor chunks,
// which ends with its connection.
const unframed = -2

// endedBy marks the error of a stream that ended early as a broken connection if its end
// was that of the connection.
func endedBy(response *fasthttp.Response, err error) error {
	if errors.Is(err, ErrIncomplete) && response.Header.ContentLength() == unframed {
		return errors.Mark(err, ErrConnectionLost)
	}
	return err
}

// readBuffered reads the body of an answer that is not streamed.
func readBuffered(response *fasthttp.Response, body io.Reader, call Call) ([]byte, error) {
	if body == nil {
		return append([]byte(nil), response.Body()...), nil
	}
	longest := maxBufferedAnswer
	if call.MaxAnswer > 0 {
		longest = call.MaxAnswer
	}
	return call.Share.ReadAll(body, longest)
}

// forwardEvents splits a stream into events and passes each to the receiver. The share is
// that of the incomplete event.
func forwardEvents(body io.Reader, receiver Receiver, share *buffer.Share) error {
	var pending []byte
	searched := 0 // number of pending bytes that hold no end of an event
	part := make([]byte, readSize)
	for {
		count, err := body.Read(part)
		pending = append(pending, part[:count]...)
		passed := 0
		for end := eventEnd(pending, searched); end > 0; end = eventEnd(pending[passed:], searched) {
			if handleErr := receiver.Event(pending[passed : passed+end]); handleErr != nil {
				return handleErr
			}
			passed, searched = passed+end, 0
		}
		if passed > 0 { // reuses the memory, as callers may read slowly
			pending = pending[:copy(pending, pending[passed:])]
		}
		searched = max(0, len(pending)-maxBlank+1) // a blank line may arrive in two parts
		switch {
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) > 0:
			return errors.Mark(errors.New("the stream ended within an event"), ErrIncomplete)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case len(pending) > maxEvent:
			return buffer.ErrTooLong
		case !share.Resize(cap(pending)):
			return buffer.ErrFull
		}
	}
}

// maxBlank is the length of the longest end of an event.
const maxBlank = len("\r\n\r\n")

// eventEnd returns the length of the first complete event, or -1. No event ends within
// the first searched bytes.
func eventEnd(text []byte, searched int) int {
	shortest := -1
	for _, blank := range [...]string{"\n\n", "\r\n\r\n", "\r\r"} {
		if at := bytes.Index(text[searched:], []byte(blank)); at >= 0 && (shortest < 0 || searched+at+len(blank) < shortest) {
			shortest = searched + at + len(blank)
		}
	}
	return shortest
}

// Reach makes a TCP connection to the target's address before the deadline. A nil error
// means that it succeeded. The cause is reported to OnOpen.
func (client *Client) Reach(ctx context.Context, deadline time.Time, cause Cause) error {
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp", client.address.String())
	if err != nil {
		return err
	}
	client.opened(cause)
	_ = conn.Close() // no data was sent
	return nil
}
