package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant over which demand is averaged. A shorter one
	// follows single large prompts, a longer one lets queues grow when demand rises.
	demandTime = 300 * time.Millisecond
	// silenceTime is the time without a message from which a VM takes the others to be
	// asked for as much as itself.
	silenceTime = time.Second
	// reportMaxAge is the age up to which a report counts. In large zones a VM receives
	// one of each other VM within that time.
	reportMaxAge = 3 * time.Second
	// maxReported is the number of accounts in a message with counts of their own. They
	// fit into 500 bytes.
	maxReported = 40
	// restAccount stands for all others, which get what they ask for at their level.
	restAccount = 0
	restWeight  = 1e9
	// cellMaxAge is how long an account is remembered that asks for nothing.
	cellMaxAge = 10 * time.Second
)

// key identifies the requests of an account with a level. Accounts are hashed so that
// messages are short.
type key struct {
	account uint32
	level   Level
}

// Count is what the requests of an account with a level ask.
type Count struct {
	Account uint32 // hashed
	Level   Level
	Asked   float64 // prompt tokens a second
}

func (count Count) key() key {
	return key{account: count.Account, level: count.Level}
}

// cell is what this VM knows of the requests with a key.
type cell struct {
	asked   float64 // tokens a second, as of askedAt
	askedAt time.Time
	// credit is the part of a request that was not admitted yet.
	credit float64
	line   line
}

// ask counts tokens.
func (cell *cell) ask(tokens float64, now time.Time) {
	cell.asked = cell.rate(now) + tokens/demandTime.Seconds()
	cell.askedAt = now
}

// rate returns the tokens asked a second.
func (cell *cell) rate(now time.Time) float64 {
	return cell.asked * math.Exp(-max(0, now.Sub(cell.askedAt).Seconds())/demandTime.Seconds())
}

// report is what another VM, or the VMs of an availability zone, said last.
type report struct {
	vms    int
	counts []Count
	madeAt time.Time
}

// Merge records what another VM, or several VMs together, are asked for. No counts mean
// that the VM does not say: requests do not wait, or it is of an earlier version.
func (controller *Controller) Merge(source string, vms int, counts []Count, madeAt time.Time) {
	if source == controller.self {
		return
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if len(counts) == 0 {
		delete(controller.reports, source)
		return
	}
	if madeAt.Before(controller.reports[source].madeAt) {
		return
	}
	controller.reports[source] = report{vms: max(1, vms), counts: counts, madeAt: madeAt}
	if madeAt.After(controller.heardAt) {
		controller.heardAt = madeAt
	}
}

// Sum returns what this VM and the named ones are asked for, to be sent to other VMs, and
// how many of them said so lately. There are no counts unless requests begin to wait.
func (controller *Controller) Sum(vms map[string]bool, now time.Time) ([]Count, int) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if !controller.reporting || now.Sub(controller.plannedAt) > reportMaxAge {
		return nil, 0
	}
	sum, known := controller.own(now), 1
	for name, report := range controller.reports {
		if vms[name] && now.Sub(report.madeAt) <= reportMaxAge {
			known += report.vms
			add(sum, report.counts)
		}
	}
	return largest(sum), known
}

// own returns what this VM is asked for, in whole tokens: their sums are the same in any
// order.
func (controller *Controller) own(now time.Time) map[key]float64 {
	own := make(map[key]float64, len(controller.cells))
	for asked, cell := range controller.cells {
		own[asked] = math.Round(cell.rate(now))
	}
	return own
}

// demands returns what the VMs together are asked for, ordered by level. VMs that said
// nothing lately are taken to be asked for as much as the others.
func (controller *Controller) demands(now time.Time) []Count {
	sum, known := controller.own(now), 1
	if now.Sub(controller.heardAt) <= silenceTime {
		for _, report := range controller.reports {
			known += report.vms
			add(sum, report.counts)
		}
	}
	scale := max(1, float64(controller.vms)/float64(known))
	demands := make([]Count, 0, len(sum))
	for asked, rate := range sum {
		demands = append(demands, Count{Account: asked.account, Level: asked.level, Asked: rate * scale})
	}
	slices.SortFunc(demands, func(first, second Count) int {
		return cmp.Or(cmp.Compare(first.Level, second.Level), cmp.Compare(first.Account, second.Account))
	})
	return demands
}

// drop forgets old reports and accounts that ask for nothing.
func (controller *Controller) drop(now time.Time) {
	for name, report := range controller.reports {
		if now.Sub(report.madeAt) > reportMaxAge {
			delete(controller.reports, name)
		}
	}
	for asked, cell := range controller.cells {
		if now.Sub(cell.askedAt) > cellMaxAge {
			delete(controller.cells, asked)
		}
	}
}

func add(sum map[key]float64, counts []Count) {
	for _, count := range counts {
		sum[count.key()] += math.Round(count.Asked)
	}
}

// largest returns the largest demands, and the rest of each level in one.
func largest(demands map[key]float64) []Count {
	counts, rest := make([]Count, 0, len(demands)), map[key]float64{}
	for asked, rate := range demands {
		if rate >= 1 {
			counts = append(counts, Count{Account: asked.account, Level: asked.level, Asked: rate})
		}
	}
	slices.SortFunc(counts, func(first, second Count) int {
		return cmp.Or(cmp.Compare(second.Asked, first.Asked), cmp.Compare(first.Account, second.Account), cmp.Compare(first.Level, second.Level))
	})
	if len(counts) <= maxReported {
		return counts
	}
	for _, count := range counts[maxReported:] {
		rest[key{account: restAccount, level: count.Level}] += count.Asked
	}
	counts = counts[:maxReported]
	for asked, rate := range rest {
		counts = append(counts, Count{Account: restAccount, Level: asked.level, Asked: rate})
	}
	return counts
}
