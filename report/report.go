// Package report counts good and bad requests and works out service-level
// burn.
//
// Each VM counts in slots of five minutes (of an hour beyond two hours), in memory, and writes its finished
// slots into one object of its own in the platform; a report adds up the
// objects of all VMs. What a VM counted since its last write is lost when it
// fails, at most one slot. The burn rate is the share of bad requests over the
// share that the objective allows (Site Reliability Workbook, chapter 5).
//
// # Usage
//
//	recorder := report.NewRecorder()
//	recorder.Answered("school-7", 120*time.Millisecond)
//	slots := recorder.Slots(now)
//	burns := report.Burns(objectives, slots, now)
package report

import (
	"sort"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/refusal"
)

const (
	slotTime = 5 * time.Minute
	// fineTime is how long slots are kept apart; older ones are added up by the
	// hour.
	fineTime = 2 * time.Hour
	hourTime = time.Hour
	keepTime = 72 * time.Hour
)

// Bounds are the upper bounds of the time-to-first-token buckets, in
// milliseconds; one more bucket holds the rest.
var Bounds = []float64{25, 50, 100, 200, 400, 800, 1600, 5000}

// Count is what one account's requests came to in one slot.
type Count struct {
	Account string `json:"account"`
	// FirstToken counts answered requests by bucket of Bounds.
	FirstToken []int `json:"first_token"`
	// Failed counts requests that ran into a failure of the system.
	Failed int `json:"failed,omitempty"`
	// Limited counts refusals for the account's rate.
	Limited int `json:"limited,omitempty"`
}

func (count *Count) answered() int {
	total := 0
	for _, number := range count.FirstToken {
		total += number
	}
	return total
}

// add adds another count of the same account.
func (count *Count) add(other *Count) {
	for i, number := range other.FirstToken {
		count.FirstToken[i] += number
	}
	count.Failed += other.Failed
	count.Limited += other.Limited
}

// Slot is the counts of five minutes, or of an hour that is past.
type Slot struct {
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
	Counts []Count   `json:"counts"`
}

// Recorder counts one VM's requests. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex // guards slots
	slots []*openSlot
}

type openSlot struct {
	start  time.Time
	end    time.Time
	counts map[string]*Count
}

// addUp merges slots from before the time into slots of an hour, so that three
// days of many accounts stay small.
func addUp(slots []*openSlot, before time.Time) []*openSlot {
	var kept []*openSlot
	for _, slot := range slots {
		hour := slot.start.Truncate(hourTime)
		last := len(kept) - 1
		if !slot.start.Before(before) || last < 0 || kept[last].start.Truncate(hourTime) != hour {
			kept = append(kept, slot)
			continue
		}
		kept[last].end = slot.end
		for name, count := range slot.counts {
			if known, ok := kept[last].counts[name]; ok {
				known.add(count)
			} else {
				kept[last].counts[name] = count
			}
		}
	}
	return kept
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// Answered counts a request that was answered whole.
func (recorder *Recorder) Answered(account string, firstToken time.Duration) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	count := recorder.count(account, time.Now())
	count.FirstToken[bucketOf(firstToken)]++
}

func bucketOf(firstToken time.Duration) int {
	ms := float64(firstToken) / float64(time.Millisecond)
	return sort.SearchFloat64s(Bounds, ms)
}

// Refused counts a request that was refused. Callers' own faults count against
// no objective.
func (recorder *Recorder) Refused(account string, code refusal.Code) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	switch code {
	case refusal.RateLimited:
		recorder.count(account, time.Now()).Limited++
	case refusal.TargetFailed, refusal.StreamInterrupted, refusal.NoTarget, refusal.QueueDeadline, refusal.Overloaded,
		refusal.Isolated, refusal.NotReady, refusal.PlatformUnavailable, refusal.DeadlineExceeded, refusal.OutcomeUnknown:
		recorder.count(account, time.Now()).Failed++
	}
}

// count returns the account's count in the current slot. The caller holds mu.
func (recorder *Recorder) count(account string, now time.Time) *Count {
	start := now.UTC().Truncate(slotTime)
	last := len(recorder.slots) - 1
	if last < 0 || recorder.slots[last].start.Before(start) {
		recorder.slots = addUp(recorder.slots, now.Add(-fineTime))
		recorder.slots = append(recorder.slots, &openSlot{start: start, end: start.Add(slotTime), counts: map[string]*Count{}})
	}
	for len(recorder.slots) > 1 && now.Sub(recorder.slots[0].start) > keepTime {
		recorder.slots = recorder.slots[1:]
	}
	last = len(recorder.slots) - 1
	counts := recorder.slots[last].counts
	if counts[account] == nil {
		counts[account] = &Count{Account: account, FirstToken: make([]int, len(Bounds)+1)}
	}
	return counts[account]
}

// Slots returns a copy of all slots.
func (recorder *Recorder) Slots() []Slot {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	slots := make([]Slot, 0, len(recorder.slots))
	for _, open := range recorder.slots {
		slot := Slot{Start: open.start, End: open.end}
		for _, count := range open.counts {
			copied := *count
			copied.FirstToken = append([]int(nil), count.FirstToken...)
			slot.Counts = append(slot.Counts, copied)
		}
		slots = append(slots, slot)
	}
	return slots
}

// Window is one of the windows over which burn is reported.
type Window struct {
	Name string
	Time time.Duration
}

// Windows are the reported windows.
var Windows = []Window{{"1h", time.Hour}, {"6h", 6 * time.Hour}, {"3d", keepTime}}

// Burn is one objective's state.
type Burn struct {
	Objective string  `json:"objective"`
	Account   string  `json:"account,omitempty"`
	Measure   string  `json:"measure"`
	Goal      float64 `json:"goal"`
	// Rates are by window: 1 uses up the budget exactly.
	Rates []WindowBurn `json:"windows"`
	// BudgetLeft is the share of the longest window's budget left.
	BudgetLeft float64 `json:"budget_left"`
}

// WindowBurn is an objective's burn over one window.
type WindowBurn struct {
	Window string  `json:"window"`
	Good   int     `json:"good"`
	Bad    int     `json:"bad"`
	Rate   float64 `json:"burn_rate"`
}

// Burns works out the burn of each objective from all VMs' slots.
func Burns(objectives []*catalog.Objective, slots []Slot, now time.Time) []Burn {
	burns := make([]Burn, 0, len(objectives))
	for _, objective := range objectives {
		burn := Burn{Objective: objective.Name, Account: objective.Account, Measure: objective.Measure, Goal: objective.Goal, BudgetLeft: 1}
		for _, window := range Windows {
			rate := burnOver(objective, slots, now.Add(-window.Time))
			rate.Window = window.Name
			burn.Rates = append(burn.Rates, rate)
			burn.BudgetLeft = 1 - rate.Rate
		}
		burns = append(burns, burn)
	}
	return burns
}

func burnOver(objective *catalog.Objective, slots []Slot, since time.Time) WindowBurn {
	var burn WindowBurn
	for _, slot := range slots {
		if slot.End.Before(since) {
			continue
		}
		for _, count := range slot.Counts {
			if objective.Account != "" && objective.Account != count.Account {
				continue
			}
			good, bad := judge(objective, &count)
			burn.Good += good
			burn.Bad += bad
		}
	}
	if total := burn.Good + burn.Bad; total > 0 {
		burn.Rate = float64(burn.Bad) / float64(total) / (1 - objective.Goal)
	}
	return burn
}

// judge splits a count into good and bad requests.
func judge(objective *catalog.Objective, count *Count) (good, bad int) {
	answered := count.answered()
	switch objective.Measure {
	case "ttft":
		for i, number := range count.FirstToken {
			if i < len(Bounds) && Bounds[i] <= objective.ThresholdMS {
				good += number
			}
		}
		return good, answered - good
	case "completion":
		return answered, count.Failed
	default:
		return answered, count.Limited
	}
}
