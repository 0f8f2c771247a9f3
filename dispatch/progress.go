package dispatch

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/target"
)

// Sink receives the chunks of a streamed answer, in order. An error means that the
// caller disconnected.
type Sink interface {
	SendChunk(data string) error
}

var (
	errGap          = errors.New("the stream skipped an event")
	errTextMismatch = errors.New("the text of this run differs from the text already delivered")
	errCallerGone   = errors.New("the caller disconnected")
)

// progress is how much of an answer has been received and delivered over all
// attempts.
type progress struct {
	sink         Sink
	includeUsage bool
	onFirstChunk func(now time.Time)

	text      strings.Builder // text delivered so far
	finish    string
	usage     *completion.Usage
	delivered bool

	// State of the current run:
	receivedBytes int    // bytes of text received
	lastID        string // ID of the last event
	expectedID    int    // next ID, if IDs are numbers
}

// restart begins another run of the request. Text that the run repeats is compared
// with the text already delivered.
func (progress *progress) restart() {
	progress.receivedBytes = 0
	progress.lastID = ""
	progress.expectedID = 0
	progress.usage = nil
}

// handle processes one event of the current run.
func (progress *progress) handle(event target.Event) error {
	repeated, err := progress.checkOrder(event.ID)
	if err != nil || repeated {
		return err
	}
	chunk, err := completion.ParseChunk([]byte(event.Data))
	if err != nil {
		return err
	}
	if chunk.Usage != nil {
		progress.usage = chunk.Usage
		if chunk.Text == "" && chunk.FinishReason == "" {
			return progress.deliverUsage(event.Data)
		}
	}
	return progress.handleText(chunk, event.Data)
}

// checkOrder reports whether an event was received before, and fails on a gap. IDs
// that are not numbers are not checked.
func (progress *progress) checkOrder(id string) (repeated bool, err error) {
	number, err := strconv.Atoi(id)
	if err != nil {
		return false, nil
	}
	switch {
	case number < progress.expectedID:
		return true, nil
	case number > progress.expectedID:
		return false, errors.Mark(errors.Newf("got event %d, want event %d", number, progress.expectedID), errGap)
	}
	progress.expectedID++
	progress.lastID = id
	return false, nil
}

// handleText delivers the new text of a chunk and compares the rest with the text
// delivered by an earlier run.
func (progress *progress) handleText(chunk completion.Chunk, data string) error {
	if !progress.delivered {
		progress.delivered = true
		if progress.onFirstChunk != nil {
			progress.onFirstChunk(time.Now())
		}
	}
	start := progress.receivedBytes
	progress.receivedBytes += len(chunk.Text)
	deliveredText := progress.text.String()
	overlap := min(len(deliveredText)-start, len(chunk.Text))
	if overlap > 0 {
		if deliveredText[start:start+overlap] != chunk.Text[:overlap] {
			return errTextMismatch
		}
		if overlap == len(chunk.Text) && chunk.FinishReason == "" {
			return nil
		}
		data = trimChunk(data, overlap)
		chunk.Text = chunk.Text[overlap:]
	}
	progress.text.WriteString(chunk.Text)
	if chunk.FinishReason != "" {
		progress.finish = chunk.FinishReason
	}
	return progress.deliver(data)
}

// trimChunk removes text that was already delivered from the front of a chunk.
func trimChunk(data string, cut int) string {
	var answer completion.Answer
	if json.Unmarshal([]byte(data), &answer) != nil || len(answer.Choices) == 0 {
		return data
	}
	choice := &answer.Choices[0]
	if choice.Delta != nil {
		choice.Delta.Content = choice.Delta.Content[min(cut, len(choice.Delta.Content)):]
	}
	choice.Text = choice.Text[min(cut, len(choice.Text)):]
	text, _ := json.Marshal(answer) // plain values: cannot fail
	return string(text)
}

func (progress *progress) deliverUsage(data string) error {
	if !progress.includeUsage {
		return nil
	}
	return progress.deliver(data)
}

func (progress *progress) deliver(data string) error {
	if progress.sink == nil {
		return nil
	}
	if err := progress.sink.SendChunk(data); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	return nil
}

// outputTokens returns the number of answer tokens: as reported by the target, or
// else estimated from the delivered text.
func (progress *progress) outputTokens() int {
	if progress.usage != nil {
		return progress.usage.CompletionTokens
	}
	return prefix.Tokens(progress.text.Len())
}
