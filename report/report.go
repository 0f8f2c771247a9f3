// Package report counts good and bad requests and computes the burn rates of
// service-level objectives.
//
// Each VM counts in memory, in slots of five minutes; slots older than two hours
// are merged into slots of one hour. It writes its finished slots into one object
// of its own in the platform, and a report adds up the objects of all VMs. When a
// VM fails, the counts since its last write are lost, at most one slot. The burn
// rate is the share of bad requests divided by the share that the objective allows
// (Site Reliability Workbook, chapter 5).
//
// # Usage
//
//	recorder := report.NewRecorder()
//	recorder.RecordAnswer("school-7", 120*time.Millisecond)
//	slots := recorder.Slots()
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
	slotLength = 5 * time.Minute
	// mergeAge is the age from which slots are merged into slots of mergedLength.
	mergeAge     = 2 * time.Hour
	mergedLength = time.Hour
	retention    = 72 * time.Hour
)

// Bounds are the upper bounds of the time-to-first-token buckets, in
// milliseconds. One more bucket holds all longer times.
var Bounds = []float64{25, 50, 100, 200, 400, 800, 1600, 5000}

// Count holds the counts of one account's requests in one slot.
type Count struct {
	Account string `json:"account"`
	// FirstToken counts answered requests by bucket of Bounds, so it has
	// len(Bounds)+1 elements.
	FirstToken []int `json:"first_token"`
	// Failed counts requests that were refused or ended because the system failed.
	Failed int `json:"failed,omitempty"`
	// Limited counts requests that were refused because of the account's rate limit.
	Limited int `json:"limited,omitempty"`
}

func (count *Count) answered() int {
	total := 0
	for _, number := range count.FirstToken {
		total += number
	}
	return total
}

// add adds the counts of other, which belong to the same account, to count.
func (count *Count) add(other *Count) {
	for i, number := range other.FirstToken {
		count.FirstToken[i] += number
	}
	count.Failed += other.Failed
	count.Limited += other.Limited
}

// Slot holds the counts of five minutes, or of one hour if it is older than two
// hours.
type Slot struct {
	Start  time.Time `json:"start"`
	End    time.Time `json:"end"`
	Counts []Count   `json:"counts"`
}

// Recorder counts the requests of one VM. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex // guards slots
	slots []*recorderSlot
}

// recorderSlot is a Slot with its counts by account.
type recorderSlot struct {
	start  time.Time
	end    time.Time
	counts map[string]*Count
}

// mergeByHour merges slots that started before the given time into slots of one
// hour, to bound the memory that three days of many accounts use.
func mergeByHour(slots []*recorderSlot, before time.Time) []*recorderSlot {
	var merged []*recorderSlot
	for _, slot := range slots {
		hour := slot.start.Truncate(mergedLength)
		last := len(merged) - 1
		if !slot.start.Before(before) || last < 0 || merged[last].start.Truncate(mergedLength) != hour {
			merged = append(merged, slot)
			continue
		}
		merged[last].end = slot.end
		for name, count := range slot.counts {
			if known, ok := merged[last].counts[name]; ok {
				known.add(count)
			} else {
				merged[last].counts[name] = count
			}
		}
	}
	return merged
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{}
}

// RecordAnswer counts a request that was answered completely, by its time to first
// token.
func (recorder *Recorder) RecordAnswer(account string, firstToken time.Duration) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	count := recorder.count(account, time.Now())
	count.FirstToken[bucketOf(firstToken)]++
}

func bucketOf(firstToken time.Duration) int {
	ms := float64(firstToken) / float64(time.Millisecond)
	return sort.SearchFloat64s(Bounds, ms)
}

// RecordRefusal counts a request that was refused. It ignores refusals that the
// caller caused, because these must not count against an objective.
func (recorder *Recorder) RecordRefusal(account string, code refusal.Code) {
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

// count returns the account's count in the slot of now. It starts a new slot when
// needed, merges old slots and drops those older than the retention. The caller
// holds mu.
func (recorder *Recorder) count(account string, now time.Time) *Count {
	start := now.UTC().Truncate(slotLength)
	last := len(recorder.slots) - 1
	if last < 0 || recorder.slots[last].start.Before(start) {
		recorder.slots = mergeByHour(recorder.slots, now.Add(-mergeAge))
		recorder.slots = append(recorder.slots, &recorderSlot{start: start, end: start.Add(slotLength), counts: map[string]*Count{}})
	}
	for len(recorder.slots) > 1 && now.Sub(recorder.slots[0].start) > retention {
		recorder.slots = recorder.slots[1:]
	}
	last = len(recorder.slots) - 1
	counts := recorder.slots[last].counts
	if counts[account] == nil {
		counts[account] = &Count{Account: account, FirstToken: make([]int, len(Bounds)+1)}
	}
	return counts[account]
}

// Slots returns a copy of all slots, oldest first.
func (recorder *Recorder) Slots() []Slot {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	slots := make([]Slot, 0, len(recorder.slots))
	for _, current := range recorder.slots {
		slot := Slot{Start: current.start, End: current.end}
		for _, count := range current.counts {
			copied := *count
			copied.FirstToken = append([]int(nil), count.FirstToken...)
			slot.Counts = append(slot.Counts, copied)
		}
		slots = append(slots, slot)
	}
	return slots
}

// Window is a period, up to now, over which burn rates are computed.
type Window struct {
	Name string
	Time time.Duration
}

// Windows are the reported windows, shortest first.
var Windows = []Window{{"1h", time.Hour}, {"6h", 6 * time.Hour}, {"3d", retention}}

// Burn holds the burn rates of one objective and its remaining error budget.
type Burn struct {
	Objective string  `json:"objective"`
	Account   string  `json:"account,omitempty"`
	Measure   string  `json:"measure"`
	Goal      float64 `json:"goal"`
	// Rates are the burn rates, in the order of Windows. At a rate of 1 the error
	// budget is used up exactly at the end of the window.
	Rates []WindowBurn `json:"windows"`
	// BudgetLeft is the share of the longest window's error budget that is left. It
	// is negative if more than the budget was used.
	BudgetLeft float64 `json:"budget_left"`
}

// WindowBurn holds the good and bad requests of an objective in one window and
// their burn rate.
type WindowBurn struct {
	Window string  `json:"window"`
	Good   int     `json:"good"`
	Bad    int     `json:"bad"`
	Rate   float64 `json:"burn_rate"`
}

// Burns computes the burn rates of each objective from the slots of all VMs.
func Burns(objectives []*catalog.Objective, slots []Slot, now time.Time) []Burn {
	burns := make([]Burn, 0, len(objectives))
	for _, objective := range objectives {
		burn := Burn{Objective: objective.Name, Account: objective.Account, Measure: objective.Measure, Goal: objective.Goal, BudgetLeft: 1}
		for _, window := range Windows {
			rate := burnSince(objective, slots, now.Add(-window.Time))
			rate.Window = window.Name
			burn.Rates = append(burn.Rates, rate)
			burn.BudgetLeft = 1 - rate.Rate
		}
		burns = append(burns, burn)
	}
	return burns
}

// burnSince computes the burn rate from the slots that end at since or later.
func burnSince(objective *catalog.Objective, slots []Slot, since time.Time) WindowBurn {
	var burn WindowBurn
	for _, slot := range slots {
		if slot.End.Before(since) {
			continue
		}
		for _, count := range slot.Counts {
			if objective.Account != "" && objective.Account != count.Account {
				continue
			}
			good, bad := classify(objective, &count)
			burn.Good += good
			burn.Bad += bad
		}
	}
	if total := burn.Good + burn.Bad; total > 0 {
		burn.Rate = float64(burn.Bad) / float64(total) / (1 - objective.Goal)
	}
	return burn
}

// classify returns how many of the counted requests are good and how many are bad
// by the objective's measure.
func classify(objective *catalog.Objective, count *Count) (good, bad int) {
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
