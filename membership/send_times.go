package membership

import (
	"sync"
	"time"
)

// MaxSendError is the greatest uncertainty of a send time that counts as exact, and the
// greatest delay of a message after which the sender's clock is not checked. VMs await
// replies to heartbeats for as long.
const MaxSendError = 300 * time.Millisecond

// SendTimes computes when messages of other VMs were sent, from the sender's uptime in each:
// a message may be read long after that, because this process was frozen or the network is
// slow. A call was not sent before this process started, and a reply not before its call,
// which bounds the time at which the sender's process began to count. SendTimes is safe for
// concurrent use.
type SendTimes struct {
	mu      sync.Mutex // guards senders
	senders map[string]*sender
}

// sender is what is known of the clock of a VM's process.
type sender struct {
	boot string // of the process
	// The process began to count between earliest and latest, by this VM's clock.
	earliest, latest time.Time
	// checkDue is set if only a reply can tell whether the last message came late or the
	// clock of one of the two VMs stood still.
	checkDue bool
}

// NewSendTimes returns a SendTimes that knows no VM.
func NewSendTimes() *SendTimes {
	return &SendTimes{senders: map[string]*sender{}}
}

// Record records a message of a process that is read now and was not sent before a given
// time. It returns the earliest time at which it can have been sent, and whether that is
// exact.
func (sendTimes *SendTimes) Record(name, boot string, uptime time.Duration, notBefore, now time.Time) (sentAt time.Time, exact bool) {
	sendTimes.mu.Lock()
	defer sendTimes.mu.Unlock()
	earliest, latest := notBefore.Add(-uptime), now.Add(-uptime)
	known, ok := sendTimes.senders[name]
	if !ok || known.boot != boot || earliest.After(known.latest) || latest.Before(known.earliest) {
		known = &sender{boot: boot, earliest: earliest, latest: latest}
		sendTimes.senders[name] = known
	}
	if earliest.After(known.earliest) {
		known.earliest = earliest
	}
	if latest.Before(known.latest) {
		known.latest = latest
	}
	exact = known.latest.Sub(known.earliest) <= MaxSendError
	known.checkDue = !exact || latest.Sub(known.latest) > MaxSendError
	return known.earliest.Add(uptime), exact
}

// MoveBack takes into account that this VM's clock stood still for the given length.
func (sendTimes *SendTimes) MoveBack(length time.Duration) {
	sendTimes.mu.Lock()
	defer sendTimes.mu.Unlock()
	for _, known := range sendTimes.senders {
		known.earliest, known.latest = known.earliest.Add(-length), known.latest.Add(-length)
	}
}

// CheckDue reports whether this VM should call another one, whose reply tells more about
// its clock.
func (sendTimes *SendTimes) CheckDue(name string) bool {
	sendTimes.mu.Lock()
	defer sendTimes.mu.Unlock()
	known, ok := sendTimes.senders[name]
	return ok && known.checkDue
}
