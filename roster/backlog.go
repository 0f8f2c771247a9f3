package roster

import "time"

// backlog is the number of unprocessed prompt tokens at a point in time.
type backlog struct {
	tokens     int
	measuredAt time.Time
}

// remaining returns the estimated rest of a backlog, given that the target
// processes one token per prefillTokenCost.
func (backlog backlog) remaining(now time.Time) int {
	processed := int(now.Sub(backlog.measuredAt).Microseconds()) / prefillTokenCost
	return max(0, backlog.tokens-processed)
}

// Backlog is the number of unprocessed prompt tokens at a target.
type Backlog struct {
	Target string
	Tokens int
}

// Backlogs returns this VM's unprocessed prompt tokens at each target, to be sent
// to other VMs; targets without any are left out.
func (roster *Roster) Backlogs() []Backlog {
	return roster.SummedBacklogs(nil, time.Time{})
}

// SummedBacklogs returns the unprocessed prompt tokens at each target, summed over
// this VM and the named ones.
func (roster *Roster) SummedBacklogs(vms map[string]bool, now time.Time) []Backlog {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var backlogs []Backlog
	for id, target := range roster.targets {
		tokens := target.pendingTokens
		for vm, peerBacklog := range target.peerBacklogs {
			if vms[vm] {
				tokens += peerBacklog.remaining(now)
			}
		}
		if tokens > 0 {
			backlogs = append(backlogs, Backlog{Target: id, Tokens: tokens})
		}
	}
	return backlogs
}

// SetBacklogs replaces the backlogs of another VM, or the sum of several VMs' backlogs
// under one name. Targets that are missing from backlogs have none. measuredAt is when
// the backlogs were measured.
func (roster *Roster) SetBacklogs(vm string, backlogs []Backlog, measuredAt time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for _, target := range roster.targets {
		delete(target.peerBacklogs, vm)
	}
	for _, reported := range backlogs {
		target, ok := roster.targets[reported.Target]
		if !ok {
			continue
		}
		if target.peerBacklogs == nil {
			target.peerBacklogs = map[string]backlog{}
		}
		target.peerBacklogs[vm] = backlog{tokens: reported.Tokens, measuredAt: measuredAt}
	}
}
