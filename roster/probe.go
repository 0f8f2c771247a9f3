package roster

import (
	"net/netip"
	"time"
)

// Probe is a target that should be asked whether it accepts connections or, when
// Report is set, which weights it has.
type Probe struct {
	ID      string
	Address netip.AddrPort
	Report  bool
}

// Probes returns the targets to be probed now: those that are unreachable, those
// that have work and have sent nothing for a while, and those that were not what
// was expected.
func (roster *Roster) Probes(now time.Time) []Probe {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var probes []Probe
	for id, target := range roster.targets {
		if now.Before(target.probeAt) {
			continue
		}
		quiet := target.inFlight > 0 && now.Sub(target.heard) > quietTime
		if !quiet && !target.unreachable && !target.doubtful {
			continue
		}
		target.probeAt = now.Add(quietPause)
		report := target.doubtful && !target.unreachable && len(target.entry.Models) > 0
		probes = append(probes, Probe{ID: id, Address: target.entry.Address, Report: report})
		target.doubtful = false
	}
	return probes
}

// Probed takes a probe's outcome. It returns whether the target's state changed.
func (roster *Roster) Probed(id string, reached bool, now time.Time) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok {
		return false
	}
	was := target.unreachable
	if reached {
		target.unreachable, target.misses = false, 0
		return was
	}
	target.lose(now)
	target.misses++
	pause := firstProbe << min(target.misses-1, maxDoublings)
	target.probeAt = now.Add(min(pause, lastProbe))
	return !was
}

// Reported takes the weights that a target says that it has.
func (roster *Roster) Reported(id string, models []Model, now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	target, ok := roster.targets[id]
	if !ok {
		return
	}
	for _, model := range models {
		target.learn(model.Name, model.Weights)
	}
	target.restUntil = now
}

// lose takes a target for unreachable and has it probed at once.
func (target *Target) lose(now time.Time) {
	if !target.unreachable {
		target.unreachable, target.misses, target.probeAt = true, 0, now
	}
}
