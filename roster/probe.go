package roster

import (
	"net/netip"
	"time"
)

// Probe is a target that should be asked whether it accepts connections.
type Probe struct {
	ID      string
	Address netip.AddrPort
}

// Probes returns the targets to be probed now: those that are unreachable, and
// those that have work and have sent nothing for a while.
func (roster *Roster) Probes(now time.Time) []Probe {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var probes []Probe
	for id, target := range roster.targets {
		if now.Before(target.probeAt) {
			continue
		}
		quiet := target.inFlight > 0 && now.Sub(target.heard) > quietTime
		if !quiet && !target.unreachable {
			continue
		}
		target.probeAt = now.Add(quietPause)
		probes = append(probes, Probe{ID: id, Address: target.entry.Address})
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

// lose takes a target for unreachable and has it probed at once.
func (target *Target) lose(now time.Time) {
	if !target.unreachable {
		target.unreachable, target.misses, target.probeAt = true, 0, now
	}
}
