package target

import (
	"strconv"
	"strings"
)

// Load is a target's load report. The product's own dialect reads it from the
// text form of Open Request Cost Aggregation.
type Load struct {
	// QueuedTokens is the prompt tokens that wait for computation.
	QueuedTokens int
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests before the batch, and Slots the size of
	// the batch; 0 when the target does not say.
	Waiting int
	Slots   int
}

const (
	loadPrefix  = "TEXT "
	queuedName  = "named_metrics.queued_tokens"
	runningName = "named_metrics.running"
)

// parseLoad reads a load report header; false when it holds none.
func parseLoad(header string) (Load, bool) {
	text, ok := strings.CutPrefix(header, loadPrefix)
	if !ok {
		return Load{}, false
	}
	var load Load
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return Load{}, false
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || number < 0 || number > 1e12 {
			return Load{}, false
		}
		switch strings.TrimSpace(name) {
		case queuedName:
			load.QueuedTokens = int(number)
		case runningName:
			load.Running = int(number)
		}
	}
	return load, true
}
