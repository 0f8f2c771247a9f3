package roster

import (
	"time"
)

// Where targets are adaptive, a target that is merely busy is not probed: a probe costs it
// a connection when it has the least to spare.

const (
	// heardTime is how long bytes that one VM received from a target show other VMs that
	// it works: two intervals of heartbeats, since one may be lost.
	heardTime = 600 * time.Millisecond
	// maxExpectedSilence bounds the silence that is expected of a target: callers abandon
	// a stream after a gap of 2 s or more.
	maxExpectedSilence = time.Second
	// maxHeardDelay bounds how much longer a target may be silent because other VMs hear
	// from it: this VM may be cut off from it.
	maxHeardDelay = time.Second
	// cautiousConfirmationProbes takes the place of confirmationProbes until this VM counts
	// as cut off from the service.
	cautiousConfirmationProbes = 2
)

// Heard states when a VM last received a byte from a target.
type Heard struct {
	Hash uint32 // of the target's ID
	At   time.Time
}

// targetHash returns the hash of a target's ID that VMs send each other. Two targets with
// the same hash only delay probes of each other.
func targetHash(id string) uint32 {
	return uint32(seed(id))
}

// Heard returns the targets of adaptive services that lately sent this VM bytes, to be
// sent to other VMs.
func (roster *Roster) Heard(now time.Time) []Heard {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var heard []Heard
	for _, target := range roster.targets {
		if now.Sub(target.heardAt) < heardTime && roster.adaptive(target.entry.Service) {
			heard = append(heard, Heard{Hash: uint32(target.seed), At: target.heardAt})
		}
	}
	return heard
}

// HeardByAny is like Heard for the bytes that any VM received which reports them to this one.
func (roster *Roster) HeardByAny(now time.Time) []Heard {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var heard []Heard
	for _, target := range roster.targets {
		at := target.heardAt
		if target.peerHeardAt.After(at) {
			at = target.peerHeardAt
		}
		if now.Sub(at) < heardTime && roster.adaptive(target.entry.Service) {
			heard = append(heard, Heard{Hash: uint32(target.seed), At: at})
		}
	}
	return heard
}

// MergeHeard records the targets that another VM received bytes from.
func (roster *Roster) MergeHeard(heard []Heard) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for _, heard := range heard {
		if target, ok := roster.byHash[heard.Hash]; ok && heard.At.After(target.peerHeardAt) {
			target.peerHeardAt = heard.At
		}
	}
}

// silent reports whether the target has requests in flight and sends nothing for longer
// than a working target would.
func (target *Target) silent(now time.Time) bool {
	silence := now.Sub(target.lastReceived)
	if target.inFlight == 0 || silence <= silenceLimit {
		return false
	}
	if !target.roster.adaptive(target.entry.Service) {
		return true
	}
	limit := silenceLimit + target.expectedSilence(now)
	if silence <= limit {
		return false
	}
	return now.Sub(target.peerHeardAt) >= heardTime || silence > limit+maxHeardDelay
}

// expectedSilence estimates how long the target may take until its next byte: it
// processes the prompts that it has, or answers a request at a plain service.
func (target *Target) expectedSilence(now time.Time) time.Duration {
	expected := target.wait(now)
	if len(target.entry.Models) == 0 {
		expected = target.roster.serviceTimes[target.entry.Service]
	}
	if now.Sub(target.reportedAt) < maxReportAge {
		expected = time.Duration(float64(expected) * max(1, target.load.WorkTime))
	}
	return min(expected, maxExpectedSilence)
}

// probePause returns how long after a probe the target is probed again. A target that
// accepts connections and stays silent is probed ever more rarely where it is adaptive.
func (target *Target) probePause(now time.Time) time.Duration {
	if target.inFlight == 0 || target.unreachable || !target.roster.adaptive(target.entry.Service) {
		return probeInterval
	}
	return max(probeInterval, now.Sub(target.lastReceived))
}

// confirmations returns the number of targets of the service that one call of Probes may
// add to find out whether this VM is cut off from it.
func (roster *Roster) confirmations(service string) int {
	if roster.adaptive(service) && !roster.isolated(service) {
		return cautiousConfirmationProbes
	}
	return confirmationProbes
}

// CallerRead records that the caller took what was written to it. Until then the target
// could not go on, so that it does not count as silent.
func (assignment *Assignment) CallerRead(now time.Time) {
	assignment.roster.mu.Lock()
	defer assignment.roster.mu.Unlock()
	assignment.target.lastReceived, assignment.lastReceived = now, now
}
