package roster

import (
	"net/netip"
	"time"
)

// Probe identifies a target to be probed. The probe checks whether the target accepts
// connections or, when Report is set, requests a report of the weights it has loaded.
type Probe struct {
	ID      string
	Address netip.AddrPort
	Report  bool
}

// Probes returns the targets to be probed now: those that are unreachable, those
// that have requests in flight and are silent, those
// whose instance or weights were not the expected ones, and some that show whether this
// VM is cut off from their service.
func (roster *Roster) Probes(now time.Time) []Probe {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var probes []Probe
	confirmations := 0
	for id, target := range roster.targets {
		if now.Before(target.probeAt) {
			continue
		}
		due, report := target.probeDue(now)
		if !due && (confirmations >= roster.confirmations(target.entry.Service) || !roster.confirmationDue(target, now)) {
			continue
		}
		if !due {
			confirmations++
		}
		target.probeAt = now.Add(target.probePause(now))
		probes = append(probes, Probe{ID: id, Address: target.entry.Address, Report: report})
		target.mismatched = false
	}
	return probes
}

// NextProbe returns the earliest time at which Probes may return a target, if DueProbes signals
// nothing before.
func (roster *Roster) NextProbe(now time.Time) time.Time {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	next := now.Add(silenceLimit) // a request that begins now makes its target silent then
	for _, target := range roster.targets {
		due := target.probeAt
		switch {
		case target.unreachable || target.mismatched || roster.lost[target.entry.Service] > 0:
		case target.inFlight == 0:
			continue
		default:
			if silentAt := target.lastReceived.Add(silenceLimit); silentAt.After(due) {
				due = silentAt
			}
		}
		if due.Before(next) {
			next = due
		}
	}
	return next
}

// DueProbes signals that a target is to be probed now, or earlier than it was to be before.
func (roster *Roster) DueProbes() <-chan struct{} {
	return roster.dueProbes
}

// signalProbe sends the signal of DueProbes.
func (roster *Roster) signalProbe() {
	select {
	case roster.dueProbes <- struct{}{}:
	default: // a signal is pending
	}
}

// probeDue reports whether the target should be probed, and whether by a report. A
// target that may get nothing is only checked for the sake of the requests in flight
// there: by a connection, on which nothing is sent.
func (target *Target) probeDue(now time.Time) (due, report bool) {
	running, silent := target.inFlight > 0, target.silent(now)
	if target.availability(now) != Available {
		return silent || running && target.unreachable, false
	}
	report = target.mismatched && !target.unreachable && len(target.entry.Models) > 0
	return silent || target.unreachable || target.mismatched, report
}

// RecordProbe records a probe's result. It reports whether the result changed the
// target from unreachable to reachable or the reverse.
func (roster *Roster) RecordProbe(id string, reached bool, now time.Time) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok {
		return false
	}
	wasUnreachable := target.unreachable
	if reached {
		roster.markReached(target)
		return wasUnreachable
	}
	roster.markUnreachable(target, now)
	target.failedProbes++
	backoff := minProbeBackoff << min(target.failedProbes-1, maxDoublings)
	target.probeAt = now.Add(min(backoff, maxProbeBackoff))
	roster.signalProbe()
	return !wasUnreachable
}

// RecordWeights records the weights that a target reports. A report that still shows weights
// that the target rejected is older than the rejection.
func (roster *Roster) RecordWeights(id string, models []Model, now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok {
		return
	}
	for _, model := range models {
		target.raiseWeights(model.Name, model.Weights)
	}
	switch {
	case target.rejected.Name == "":
		target.pausedUntil = now
	case target.paused(now):
		target.mismatched, target.probeAt = true, now.Add(reportInterval)
		roster.signalProbe()
	}
}
