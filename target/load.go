package target

import (
	"strconv"
	"strings"
)

// Load is a target's load report. The native dialect parses it from the text
// format of Open Request Cost Aggregation (ORCA).
type Load struct {
	// QueuedTokens is the number of prompt tokens that wait for computation.
	QueuedTokens int
	// Running is the number of requests in the running batch.
	Running int
	// Waiting is the number of requests that wait for the batch, and Slots the
	// size of the batch; 0 when the target does not report them.
	Waiting int
	Slots   int
	// WorkTime is how long work takes at the target now, as a factor of the usual time;
	// 0 when the target does not report it.
	WorkTime float64
}

const (
	loadPrefix  = "TEXT "
	queuedName  = "named_metrics.queued_tokens"
	runningName = "named_metrics.running"
)

// parseLoad parses a load report header. It returns false when the header holds
// no valid report.
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
