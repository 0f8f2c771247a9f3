package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// ErrTooLong marks an answer that is longer than this VM keeps at once.
var ErrTooLong = errors.New("the target's answer is too long")

// Receiver takes an answer piece by piece, as bytes.
type Receiver interface {
	// Head is told of the answer's head. An error ends the call.
	Head(head Head) error
	// Event takes one whole event of a stream, with the blank line that ends it.
	// An error ends the call.
	Event(event []byte) error
}

const (
	// maxWholeAnswer bounds an answer that is kept whole.
	maxWholeAnswer = 8 << 20 // bytes
	readSize       = 4 << 10 // bytes
)

// Forward sends a request and passes its answer on unchanged: a stream event by
// event to the receiver, any other answer as the returned body once it is whole.
// A partial event at the end of a broken stream is dropped.
func (client *Client) Forward(ctx context.Context, call Call, receiver Receiver) (Head, []byte, error) {
	var whole []byte
	head, err := client.exchangeHead(ctx, call, func(head Head, response *fasthttp.Response, body io.Reader) error {
		if err := receiver.Head(head); err != nil {
			return err
		}
		if head.Stream && body == nil {
			body = bytes.NewReader(response.Body()) // a short stream with a length
		}
		if head.Stream {
			return passEvents(body, receiver)
		}
		text, err := keepWhole(response, body)
		whole = text
		return err
	})
	return head, whole, err
}

func keepWhole(response *fasthttp.Response, body io.Reader) ([]byte, error) {
	if body == nil {
		return append([]byte(nil), response.Body()...), nil
	}
	text, err := io.ReadAll(io.LimitReader(body, maxWholeAnswer+1))
	if err == nil && len(text) > maxWholeAnswer {
		err = ErrTooLong
	}
	return text, err
}

// passEvents cuts a stream into events.
func passEvents(body io.Reader, receiver Receiver) error {
	var pending []byte
	buffer := make([]byte, readSize)
	for {
		count, err := body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		for end := eventEnd(pending); end > 0; end = eventEnd(pending) {
			if handled := receiver.Event(pending[:end]); handled != nil {
				return handled
			}
			pending = pending[end:]
		}
		switch {
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) > 0:
			return errors.Mark(errors.New("the stream ended within an event"), ErrIncomplete)
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case len(pending) > maxEvent:
			return ErrTooLong
		}
	}
}

// eventEnd returns the length of the first whole event, or -1.
func eventEnd(text []byte) int {
	best := -1
	for _, blank := range [...]string{"\n\n", "\r\n\r\n", "\r\r"} {
		if at := bytes.Index(text, []byte(blank)); at >= 0 && (best < 0 || at+len(blank) < best) {
			best = at + len(blank)
		}
	}
	return best
}

// Reachable reports whether something accepts connections at the target's
// address.
func (client *Client) Reachable(ctx context.Context, deadline time.Time) bool {
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp", client.address.String())
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}
