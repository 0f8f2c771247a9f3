package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/target"
)

// Guards against the block of parts whose prompts have long answers.
func TestStreamThatGoesOnCountsAsAnswered(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		events []time.Duration // after the start
		want   bool
	}{
		{"first event", http.StatusOK, []time.Duration{5 * time.Second}, false},
		{"events for less than the time", http.StatusOK, []time.Duration{0, quarantine.RunningTime - 1}, false},
		{"events for the time", http.StatusOK, []time.Duration{0, quarantine.RunningTime / 2, quarantine.RunningTime}, true},
		{"failed answer", http.StatusInternalServerError, []time.Duration{0, quarantine.RunningTime}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			parts := quarantine.NewParts()
			job := &job{relay: &Relay{Parts: parts}, parts: []string{"p"}}
			job.attempt.head = target.Head{Status: test.status, Stream: true}
			start := time.Unix(1000, 0)
			for _, after := range test.events {
				job.recordEvent(start.Add(after))
			}
			if got := len(parts.Answers([]string{"p"})) > 0; got != test.want {
				t.Errorf("got answered %t, want %t", got, test.want)
			}
		})
	}
}
