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
	demandTime = 200 * time.Millisecond
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

// packedKey is a key as one number, by which sums of many VMs' counts are found faster.
type packedKey uint64

func pack(account uint32, level Level) packedKey {
	return packedKey(account)<<8 | packedKey(level)
}

func (packed packedKey) account() uint32 { return uint32(packed >> 8) }

func (packed packedKey) level() Level { return Level(packed) }

// Count is what the requests of an account with a level ask.
type Count struct {
	Account uint32 // hashed
	Level   Level
	Asked   float64 // prompt tokens a second
}

func (count Count) key() key {
	return key{account: count.Account, level: count.Level}
}

// rate is a decaying rate in tokens a second, as of countedAt.
type rate struct {
	value     float64
	countedAt time.Time
}

// count counts tokens.
func (rate *rate) count(tokens float64, now time.Time) {
	rate.value = rate.at(now) + tokens/demandTime.Seconds()
	rate.countedAt = now
}

// at returns the tokens a second, whole ones: their sums are the same in any order.
func (rate *rate) at(now time.Time) float64 {
	return math.Round(rate.value * math.Exp(-max(0, now.Sub(rate.countedAt).Seconds())/demandTime.Seconds()))
}

// cell is what this VM knows of the requests with a key.
type cell struct {
	asked rate
	// credit is the part of a request that was not admitted yet.
	credit float64
	line   line
}

// report is what another VM, or the VMs of an availability zone, said last.
type report struct {
	demand Demand
	madeAt time.Time
}

// Merge records what another VM, or several VMs together, are asked for. No counts mean
// that the VM does not say: requests do not wait, or it is of an earlier version.
func (controller *Controller) Merge(source string, demand Demand, madeAt time.Time) {
	if source == controller.self {
		return
	}
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if len(demand.Counts) == 0 {
		delete(controller.reports, source)
		return
	}
	if madeAt.Before(controller.reports[source].madeAt) {
		return
	}
	demand.VMs = max(1, demand.VMs)
	controller.reports[source] = report{demand: demand, madeAt: madeAt}
	if madeAt.After(controller.heardAt) {
		controller.heardAt = madeAt
	}
}

// Sum returns what this VM and the named ones that said so lately are asked for, to be
// sent to other VMs. There are no counts unless requests begin to wait.
func (controller *Controller) Sum(vms map[string]bool, now time.Time) Demand {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if !controller.reporting || now.Sub(controller.plannedAt) > reportMaxAge {
		return Demand{}
	}
	counts := controller.own(now)
	sum := Demand{VMs: 1, Placed: controller.placed.at(now), TurnedAway: controller.turnedAway.at(now)}
	for name, report := range controller.reports {
		if vms[name] && now.Sub(report.madeAt) <= reportMaxAge {
			sum.add(report.demand)
			add(counts, report.demand.Counts)
		}
	}
	sum.Counts = largest(counts)
	return sum
}

// add adds all but the counts.
func (demand *Demand) add(other Demand) {
	demand.VMs += other.VMs
	demand.Placed += math.Round(other.Placed)
	demand.TurnedAway += math.Round(other.TurnedAway)
}

// own returns what this VM is asked for.
func (controller *Controller) own(now time.Time) map[packedKey]float64 {
	own := make(map[packedKey]float64, len(controller.cells))
	for asked, cell := range controller.cells {
		own[pack(asked.account, asked.level)] = cell.asked.at(now)
	}
	return own
}

// total returns what the VMs together are asked for, with counts ordered by level. VMs
// that said nothing lately are taken to be asked for as much as the others.
func (controller *Controller) total(now time.Time) Demand {
	counts := controller.own(now)
	total := Demand{VMs: 1, Placed: controller.placed.at(now), TurnedAway: controller.turnedAway.at(now)}
	if now.Sub(controller.heardAt) <= silenceTime {
		for _, report := range controller.reports {
			total.add(report.demand)
			add(counts, report.demand.Counts)
		}
	}
	scale := max(1, float64(controller.vms)/float64(total.VMs))
	total.Placed, total.TurnedAway = total.Placed*scale, total.TurnedAway*scale
	for asked, rate := range counts {
		total.Counts = append(total.Counts, Count{Account: asked.account(), Level: asked.level(), Asked: rate * scale})
	}
	slices.SortFunc(total.Counts, func(first, second Count) int {
		return cmp.Or(cmp.Compare(first.Level, second.Level), cmp.Compare(first.Account, second.Account))
	})
	return total
}

// drop forgets old reports and accounts that ask for nothing.
func (controller *Controller) drop(now time.Time) {
	for name, report := range controller.reports {
		if now.Sub(report.madeAt) > reportMaxAge {
			delete(controller.reports, name)
		}
	}
	for asked, cell := range controller.cells {
		if now.Sub(cell.asked.countedAt) > cellMaxAge {
			delete(controller.cells, asked)
		}
	}
}

func add(sum map[packedKey]float64, counts []Count) {
	for _, count := range counts {
		sum[pack(count.Account, count.Level)] += math.Round(count.Asked)
	}
}

// largest returns the largest demands, and the rest of each level in one.
func largest(demands map[packedKey]float64) []Count {
	counts, rest := make([]Count, 0, maxReported+1), map[Level]float64{}
	for asked, rate := range demands {
		if rate < 1 {
			continue
		}
		count := Count{Account: asked.account(), Level: asked.level(), Asked: rate}
		if len(counts) == maxReported && count.compare(counts[maxReported-1]) > 0 {
			rest[count.Level] += count.Asked
			continue
		}
		at, _ := slices.BinarySearchFunc(counts, count, Count.compare)
		counts = slices.Insert(counts, at, count)
		if len(counts) > maxReported {
			rest[counts[maxReported].Level] += counts[maxReported].Asked
			counts = counts[:maxReported]
		}
	}
	for level, rate := range rest {
		counts = append(counts, Count{Account: restAccount, Level: level, Asked: rate})
	}
	return counts
}

// compare orders counts by what they ask, the most first.
func (count Count) compare(other Count) int {
	return cmp.Or(cmp.Compare(other.Asked, count.Asked), cmp.Compare(count.Account, other.Account), cmp.Compare(count.Level, other.Level))
}
