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

// Sink takes the pieces of a streamed answer, in order. An error means that the
// caller is gone.
type Sink interface {
	Piece(data string) error
}

var (
	errGap     = errors.New("the stream skipped an event")
	errDiffers = errors.New("another run gave another answer")
	errSink    = errors.New("the caller went away")
)

// progress is how much of an answer has been received and delivered, over all
// attempts.
type progress struct {
	sink      Sink
	wantUsage bool
	onFirst   func(now time.Time)

	text      strings.Builder // delivered
	finish    string
	usage     *completion.Usage
	delivered bool

	// Of the current run:
	seen   int    // bytes of its text
	lastID string // id of its last event
	nextID int    // expected id, when ids are numbers
}

// restart begins another run of the request. What it repeats is compared with
// what was delivered.
func (progress *progress) restart() {
	progress.seen = 0
	progress.lastID = ""
	progress.nextID = 0
	progress.usage = nil
}

// take handles one event of the current run.
func (progress *progress) take(event target.Event) error {
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
		if chunk.Text == "" && chunk.Finish == "" {
			return progress.deliverUsage(event.Data)
		}
	}
	return progress.takeText(chunk, event.Data)
}

// checkOrder reports events that were received before and fails on a gap. Ids
// that are not numbers are not checked.
func (progress *progress) checkOrder(id string) (repeated bool, err error) {
	number, err := strconv.Atoi(id)
	if err != nil {
		return false, nil
	}
	switch {
	case number < progress.nextID:
		return true, nil
	case number > progress.nextID:
		return false, errors.Mark(errors.Newf("event %d came in place of %d", number, progress.nextID), errGap)
	}
	progress.nextID++
	progress.lastID = id
	return false, nil
}

// takeText delivers what is new of a piece and compares the rest with what was
// delivered by an earlier run.
func (progress *progress) takeText(chunk completion.Chunk, data string) error {
	if !progress.delivered {
		progress.delivered = true
		if progress.onFirst != nil {
			progress.onFirst(time.Now())
		}
	}
	start := progress.seen
	progress.seen += len(chunk.Text)
	known := progress.text.String()
	overlap := min(len(known)-start, len(chunk.Text))
	if overlap > 0 {
		if known[start:start+overlap] != chunk.Text[:overlap] {
			return errDiffers
		}
		if overlap == len(chunk.Text) && chunk.Finish == "" {
			return nil
		}
		data = trimPiece(data, overlap)
		chunk.Text = chunk.Text[overlap:]
	}
	progress.text.WriteString(chunk.Text)
	if chunk.Finish != "" {
		progress.finish = chunk.Finish
	}
	return progress.deliver(data)
}

// trimPiece cuts text that was delivered already from the front of a piece.
func trimPiece(data string, cut int) string {
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
	if !progress.wantUsage {
		return nil
	}
	return progress.deliver(data)
}

func (progress *progress) deliver(data string) error {
	if progress.sink == nil {
		return nil
	}
	if err := progress.sink.Piece(data); err != nil {
		return errors.Mark(err, errSink)
	}
	return nil
}

// outputTokens returns the size of the answer as far as it is known.
func (progress *progress) outputTokens() int {
	if progress.usage != nil {
		return progress.usage.CompletionTokens
	}
	return prefix.Tokens(progress.text.Len())
}
