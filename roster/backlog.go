package roster

import "time"

// backlog is prompt tokens to be read, at a time.
type backlog struct {
	tokens int
	at     time.Time
}

// left returns what is left of a backlog, as the target reads on.
func (backlog backlog) left(now time.Time) int {
	read := int(now.Sub(backlog.at).Microseconds()) / readCost
	return max(0, backlog.tokens-read)
}

// Backlog is the prompt tokens of one VM that a target has to read.
type Backlog struct {
	Target string
	Tokens int
}

// Backlogs returns this VM's prompt tokens that targets have to read, for other
// VMs; targets without any are left out.
func (roster *Roster) Backlogs() []Backlog {
	return roster.SummedBacklogs(nil, time.Time{})
}

// SummedBacklogs returns the prompt tokens of this VM and of those named that
// targets have to read.
func (roster *Roster) SummedBacklogs(vms map[string]bool, now time.Time) []Backlog {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	var backlogs []Backlog
	for id, target := range roster.targets {
		tokens := target.prefill
		for vm, told := range target.told {
			if vms[vm] {
				tokens += told.left(now)
			}
		}
		if tokens > 0 {
			backlogs = append(backlogs, Backlog{Target: id, Tokens: tokens})
		}
	}
	return backlogs
}

// Told takes the backlogs of another VM, or of several that are summed up; targets that
// it leaves out have none. They are as old as made.
func (roster *Roster) Told(vm string, backlogs []Backlog, made time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for _, target := range roster.targets {
		delete(target.told, vm)
	}
	for _, told := range backlogs {
		target, ok := roster.targets[told.Target]
		if !ok {
			continue
		}
		if target.told == nil {
			target.told = map[string]backlog{}
		}
		target.told[vm] = backlog{tokens: told.Tokens, at: made}
	}
}
