package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/completion"
)

const (
	// keepAliveInterval is the interval at which a comment is sent on an idle
	// stream, to detect a disconnected reader.
	keepAliveInterval = 100 * time.Millisecond
	// resumeGrace is the time after which a job without readers is abandoned and
	// can no longer be resumed.
	resumeGrace = 500 * time.Millisecond
)

func (job *job) produce() {
	job.mu.Lock()
	defer job.mu.Unlock()
	job.produced++
	job.notifyReaders()
}

func (job *job) finish() {
	job.mu.Lock()
	defer job.mu.Unlock()
	job.finished = true
	job.notifyReaders()
}

// notifyReaders notifies the readers of a change. The caller holds mu.
func (job *job) notifyReaders() {
	close(job.changed)
	job.changed = make(chan struct{})
}

// abandoned reports whether the job has had no readers for more than resumeGrace.
func (job *job) abandoned() bool {
	job.mu.Lock()
	defer job.mu.Unlock()
	return job.readers == 0 && time.Since(job.readersChangedAt) > resumeGrace
}

// addReaders adds delta to the number of readers; delta is negative when readers
// disconnect.
func (job *job) addReaders(delta int) {
	job.mu.Lock()
	defer job.mu.Unlock()
	job.readers += delta
	job.readersChangedAt = time.Now()
}

// progress is a snapshot of the state of a job.
type progress struct {
	produced     int
	finished     bool
	cachedTokens int
	changed      <-chan struct{}
}

func (job *job) progress() progress {
	job.mu.Lock()
	defer job.mu.Unlock()
	return progress{job.produced, job.finished, job.cachedTokens, job.changed}
}

// complete reports whether every token of the job was produced.
func (progress progress) complete(job *job) bool {
	return progress.finished && progress.produced == len(job.tokens)
}

func (job *job) usage(progress progress) completion.Usage {
	return completion.Usage{
		PromptTokens:     job.promptTokens,
		CompletionTokens: progress.produced,
		TotalTokens:      job.promptTokens + progress.produced,
		Details:          &completion.UsageDetails{CachedTokens: progress.cachedTokens},
	}
}

// answer waits until the answer is complete and sends it in one response.
func (engine *Engine) answer(ctx *fasthttp.RequestCtx, job *job) {
	job.addReaders(1)
	defer job.addReaders(-1)
	for {
		progress := job.progress()
		if progress.complete(job) {
			text := ""
			for _, token := range job.tokens {
				text += token
			}
			ctx.SetContentType("application/json")
			ctx.SetBody(completion.EncodeAnswer(job.form, job.id, job.model, time.Now().Unix(), text, "stop", job.usage(progress)))
			return
		}
		if progress.finished || job.runCtx.Err() != nil {
			drop(ctx)
			return
		}
		select {
		case <-progress.changed:
		case <-job.runCtx.Done():
		}
	}
}

// stream sends the events after the event ID last: the tokens, the finish reason,
// the usage if requested, and the end marker.
func (engine *Engine) stream(ctx *fasthttp.RequestCtx, job *job, last int, usage bool) {
	ctx.SetContentType("text/event-stream")
	job.addReaders(1)
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer job.addReaders(-1)
		opened := time.Now().UnixNano()
		next := last + 1
		ticker := time.NewTicker(keepAliveInterval)
		defer ticker.Stop()
		for job.runCtx.Err() == nil {
			if engine.StallStreamsBefore.Load() > opened {
				<-job.runCtx.Done() // this stream sends no more data; new connections work
				return
			}
			progress := job.progress()
			for ; next < progress.produced; next++ {
				writeEvent(writer, next, job.tokenChunk(next))
			}
			if progress.complete(job) {
				job.writeEnd(writer, next, usage, progress)
				return
			}
			if progress.finished || writer.Flush() != nil {
				return
			}
			select {
			case <-progress.changed:
			case <-ticker.C:
				_, _ = writer.WriteString(": wait\n\n")
			case <-job.runCtx.Done():
			}
		}
	})
}

// tokenChunk returns the chunk with one token.
func (job *job) tokenChunk(index int) completion.Answer {
	choice := completion.Choice{}
	if job.form == completion.Chat {
		choice.Delta = &completion.Message{Content: job.tokens[index]}
	} else {
		choice.Text = job.tokens[index]
	}
	return job.newChunk([]completion.Choice{choice})
}

func (job *job) newChunk(choices []completion.Choice) completion.Answer {
	object := "chat.completion.chunk"
	if job.form == completion.Text {
		object = "text_completion"
	}
	return completion.Answer{ID: job.id, Object: object, Created: 1, Model: job.model, Choices: choices}
}

func (job *job) writeEnd(writer *bufio.Writer, next int, usage bool, progress progress) {
	stop := "stop"
	closing := completion.Choice{FinishReason: &stop}
	if job.form == completion.Chat {
		closing.Delta = &completion.Message{}
	}
	base := len(job.tokens)
	if next <= base {
		writeEvent(writer, base, job.newChunk([]completion.Choice{closing}))
	}
	if usage && next <= base+1 {
		chunk := job.newChunk([]completion.Choice{})
		total := job.usage(progress)
		chunk.Usage = &total
		writeEvent(writer, base+1, chunk)
	}
	_, _ = writer.WriteString("data: [DONE]\n\n")
	_ = writer.Flush()
}

func writeEvent(writer *bufio.Writer, id int, chunk completion.Answer) {
	text, _ := json.Marshal(chunk) // plain values: cannot fail
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", id, text)
}
