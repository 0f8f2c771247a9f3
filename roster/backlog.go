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

// peerTokens estimates the unprocessed prompt tokens of the other VMs.
func (target *Target) peerTokens(now time.Time) int {
	if !target.roster.adaptive(target.entry.Service) {
		tokens := 0
		for _, peerBacklog := range target.peerBacklogs {
			tokens += peerBacklog.remaining(now)
		}
		return tokens
	}
	reported, part := target.unprocessed(now)
	return int(float64(reported) * part)
}

// peerTokensOf is like peerTokens for the named VMs.
func (target *Target) peerTokensOf(vms map[string]bool, now time.Time) int {
	if len(vms) == 0 {
		return 0
	}
	tokens, adaptive := 0, target.roster.adaptive(target.entry.Service)
	for vm, peerBacklog := range target.peerBacklogs {
		switch {
		case !vms[vm]:
		case adaptive:
			tokens += peerBacklog.tokens
		default:
			tokens += peerBacklog.remaining(now)
		}
	}
	if !adaptive {
		return tokens
	}
	_, part := target.unprocessed(now)
	return int(float64(tokens) * part)
}

// unprocessed returns the prompt tokens that the other VMs reported and estimates the part
// of them that the target has not processed since. The target processes one prompt at a
// time, so what it processed counts once for all VMs, and not once for each.
func (target *Target) unprocessed(now time.Time) (tokens int, part float64) {
	age := 0 // in microseconds, summed by tokens
	for _, peerBacklog := range target.peerBacklogs {
		tokens += peerBacklog.tokens
		age += peerBacklog.tokens * int(now.Sub(peerBacklog.measuredAt).Microseconds())
	}
	if tokens == 0 {
		return 0, 1
	}
	processed := float64(age) / float64(tokens) / prefillTokenCost
	return tokens, max(0, 1-processed/float64(tokens+target.pendingTokens))
}

// MeanWait estimates how long a new prompt waits at the usable targets of a service, in
// the mean over them.
func (roster *Roster) MeanWait(service string, now time.Time) time.Duration {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	sum, count := time.Duration(0), 0
	for _, target := range roster.services[service] {
		if target.usable(now) && !target.ejected() {
			sum, count = sum+target.wait(now), count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
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
		tokens := target.pendingTokens + target.peerTokensOf(vms, now)
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
