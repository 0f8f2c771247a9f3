// Package room estimates how many tokens the requests at a target hold and will hold
// until they end, so that a request is placed only where it fits to its end.
//
// A VM knows its own requests. Of the others it knows how many there were when the
// target last reported its load, how many begin and end meanwhile, and how large
// requests of the service are; so nothing that a VM promised outlives it, and a target
// that starts again is empty. A margin covers the spread of what is not known.
//
// The package does no I/O and takes the time as an argument. Its types are not safe for
// concurrent use.
//
// # Usage
//
//	need := lengths.Need(room.Request{Prompt: 2400, MaxOutput: 64, Hint: 3})
//	if target.Load(traffic, now).Fits(need, capacity) {
//		target.Begin(need, now)
//	}
//	...
//	target.End(need, now)
//	lengths.Ended(request, output)
package room

import (
	"math"
	"time"
)

const (
	// marginDeviations is the number of standard deviations by which the estimate of
	// held tokens may be too low: fewer than one in a thousand exceed it.
	marginDeviations = 3.3
	// spreadSamples is the number of requests that count as one sample of the mean size.
	spreadSamples = 3
	// freshReport is the age up to which a load report counts in full; others were used up
	// by other VMs meanwhile.
	freshReport = 300 * time.Millisecond
	// maxChanges bounds the begins and ends that are remembered for a target without
	// load reports.
	maxChanges = 256
)

// Need is the number of tokens that requests hold at their ends: its mean and variance.
type Need struct {
	Mean     float64
	Variance float64
}

func (need Need) add(other Need, times float64) Need {
	return Need{Mean: need.Mean + times*other.Mean, Variance: need.Variance + times*other.Variance}
}

// Traffic is what is known of the requests that other VMs send to a target.
type Traffic struct {
	Size
	// Rate is the number of requests a second.
	Rate float64
	// Pending is the number of tokens that other VMs said the target has yet to process.
	Pending int
}

// Load is an estimate of the tokens that the requests at a target hold at their ends.
type Load struct {
	Mean     float64
	Variance float64
	requests float64
}

// Target is the room of one start of a target. The zero value is empty.
type Target struct {
	own   Need
	count int // requests of this VM
	// reported is the number of requests of all VMs at reportedAt.
	reported   int
	reportedAt time.Time
	// changes are the begins and ends of this VM's requests since then.
	changes []change
}

type change struct {
	at     time.Time
	count  int
	tokens float64
}

// Begin records that a request of this VM was sent.
func (target *Target) Begin(need Need, now time.Time) {
	target.own, target.count = target.own.add(need, 1), target.count+1
	target.record(change{now, 1, need.Mean})
}

// End records that a request of this VM has ended.
func (target *Target) End(need Need, now time.Time) {
	target.own, target.count = target.own.add(need, -1), target.count-1
	if target.count <= 0 {
		target.own, target.count = Need{}, 0 // without what rounding left
	}
	target.record(change{now, -1, -need.Mean})
}

func (target *Target) record(change change) {
	if len(target.changes) == maxChanges {
		target.changes = append(target.changes[:0], target.changes[maxChanges/2:]...)
	}
	target.changes = append(target.changes, change)
}

// Report records the number of requests of all VMs that the target reported at a time.
// One that is older than the last is ignored.
func (target *Target) Report(requests int, at time.Time) {
	if !at.After(target.reportedAt) {
		return
	}
	target.reported, target.reportedAt = requests, at
	kept := target.changes[:0]
	for _, change := range target.changes {
		if change.at.After(at) {
			kept = append(kept, change)
		}
	}
	target.changes = kept
}

// Load estimates what the requests at the target hold. Of the other VMs' requests that
// were there at the last report, a part has ended; others have begun, as many as Traffic
// says.
func (target *Target) Load(traffic Traffic, now time.Time) Load {
	stayed := 0.0
	if !target.reportedAt.IsZero() && traffic.Duration > 0 {
		stayed = math.Exp(-max(0, now.Sub(target.reportedAt)).Seconds() / traffic.Duration.Seconds())
	}
	known := target.others()
	begun := traffic.Rate * traffic.Duration.Seconds() * (1 - stayed)
	return target.load(traffic, known*stayed+begun, known*stayed*(1-stayed)+begun)
}

// others returns the number of requests of other VMs at the last report.
func (target *Target) others() float64 {
	ownAtReport := target.count
	for _, change := range target.changes {
		ownAtReport -= change.count
	}
	return float64(max(0, target.reported-ownAtReport))
}

// load returns the load with a number of requests of other VMs and its variance.
func (target *Target) load(traffic Traffic, count, variance float64) Load {
	spread := max(0, traffic.Square-traffic.Mean*traffic.Mean)
	others := max(count*traffic.Mean, float64(traffic.Pending))
	// The mean itself is known with an error, which the few samples of a wide spread
	// understate.
	known := max(1, traffic.Count/spreadSamples)
	return Load{
		Mean: target.own.Mean + others, requests: float64(target.count) + count,
		Variance: target.own.Variance + count*spread + count*count*spread/known + variance*traffic.Mean*traffic.Mean,
	}
}

// FitsShare reports whether a request fits into this VM's share of what was free at the
// last report, beside what the VM has sent since. VMs whose shares add up to one do not
// push a target over together, whatever they do not know of each other.
func (target *Target) FitsShare(need Need, share float64, capacity int, traffic Traffic, now time.Time) bool {
	if capacity <= 0 {
		return true
	}
	if share <= 0 {
		return false
	}
	if age := now.Sub(target.reportedAt); !target.reportedAt.IsZero() && age > freshReport {
		share *= freshReport.Seconds() / age.Seconds()
	}
	since := 0.0
	for _, change := range target.changes {
		since += change.tokens
	}
	since = max(0, since)
	load := target.load(traffic, target.others(), 0)
	if expected := target.Load(traffic, now); expected.bound() > load.bound() {
		load = expected
	}
	load.Mean -= since
	free := float64(load.Free(capacity))
	margin := marginDeviations * math.Sqrt(need.Variance)
	return since+need.Mean+margin <= share*free
}

// Free returns the tokens of the capacity that are neither held nor within the margin.
func (load Load) Free(capacity int) int {
	return max(0, int(float64(capacity)-load.bound()))
}

// bound returns the tokens that the requests hold at most, but for one case in a
// thousand.
func (load Load) bound() float64 {
	return load.Mean + marginDeviations*math.Sqrt(max(0, load.Variance))
}

// Fits reports whether a request fits to its end beside what is there, while targets are
// not Tight. At a target that is surely empty any request does: the target alone can say
// that it is too long.
func (load Load) Fits(need Need, capacity int) bool {
	if capacity <= 0 || load.requests == 0 {
		return true
	}
	load.Mean, load.Variance = load.Mean+need.Mean, load.Variance+need.Variance
	return load.bound() <= looseOccupancy*float64(capacity)
}

// BegunSinceReport returns the number of requests of this VM that were sent since the
// last report.
func (target *Target) BegunSinceReport() int {
	begun := 0
	for _, change := range target.changes {
		begun += max(0, change.count)
	}
	return begun
}
