package roster

import "time"

// The sources of what is known of a target's reachability, besides SourceAnswer.
const (
	SourceAttempt Source = "attempt"
	SourceProbe   Source = "probe"
)

// Activity is what a target does for this VM.
type Activity struct {
	Service  string
	InFlight int
	// Silence is the time since the target last sent a byte. While no requests are in
	// flight it says nothing about the target.
	Silence time.Duration
}

// Activity returns the activity of a target; the zero value if it is not known.
func (roster *Roster) Activity(id string, now time.Time) Activity {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok {
		return Activity{}
	}
	return Activity{Service: target.entry.Service, InFlight: target.inFlight, Silence: now.Sub(target.lastReceived)}
}
