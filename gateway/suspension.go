package gateway

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleygw/bramleygw/event"
)

// minSuspension is the shortest time for which the machine was suspended that matters:
// shorter ones are within the margins of bounds.
const minSuspension = time.Second

// suspensions tells for how long the machine was suspended, while its clock stood still.
type suspensions struct {
	// read returns the length of all suspensions since the machine started.
	read func() time.Duration

	mu    sync.Mutex // guards the fields below, and is held until suspensions have taken effect
	known time.Duration
	// sinceStart is the length of those since this process started.
	sinceStart time.Duration
}

// readSuspensions returns the length of all suspensions since the machine started. It is too
// short if the process is interrupted between the two readings.
func readSuspensions() time.Duration {
	var boot, monotonic unix.Timespec
	// These clocks exist on all supported kernels, so that the calls do not fail.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot)
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic)
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// applySuspensions corrects what depends on the clock if the machine was suspended since the
// last call.
func (gateway *Gateway) applySuspensions() {
	suspensions := &gateway.suspensions
	suspensions.mu.Lock()
	defer suspensions.mu.Unlock()
	length := suspensions.read() - suspensions.known
	if length < minSuspension {
		return
	}
	suspensions.known += length
	suspensions.sinceStart += length
	gateway.Log.Emit(event.MachineSuspended, event.F("for_ms", length.Milliseconds()))
	gateway.weights.moveBack(length)
	gateway.sendTimes.MoveBack(length)
	gateway.releases.moveBack(length)
}

// suspendedSinceStart returns the length of the suspensions since this process started that
// have taken effect.
func (gateway *Gateway) suspendedSinceStart() time.Duration {
	gateway.suspensions.mu.Lock()
	defer gateway.suspensions.mu.Unlock()
	return gateway.suspensions.sinceStart
}

// earliestCall returns a time before which no call was sent that this process handles: its
// start.
func (gateway *Gateway) earliestCall() time.Time {
	return gateway.started.Add(-gateway.suspendedSinceStart())
}
