package release

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

const (
	// sourceAge is how long the counts that another VM told are used.
	sourceAge = 1500 * time.Millisecond
	// barredTime is how long a version gets nothing after an order for it that was not
	// completed was replaced or deleted: its targets drain for some seconds.
	barredTime = 30 * time.Second
	// completedTime is how long after an order completed requests avoid other versions,
	// whose targets stop at once and may still be listed.
	completedTime = 10 * time.Second
	// endedWordTime is how long VMs tell each other that an order ended.
	endedWordTime = 10 * time.Second
)

// Issue is what a leader says of an order.
type Issue struct {
	Stage Stage
	// Share is the share of the requests that the new version gets.
	Share float64
	// Token is the fencing token of the leader's lease.
	Token uint64
	At    time.Time
}

// after reports whether the issue replaces another one.
func (issue Issue) after(other Issue) bool {
	return issue.Token > other.Token || issue.Token == other.Token && issue.At.After(other.At)
}

// Word is what VMs tell each other of an order.
type Word struct {
	Order   Order
	Ordered time.Time // when a VM first knew the order
	Issue   Issue
	// Bad is why the version is bad; empty unless a VM found that out.
	Bad string
	// Counts are those of the sender, or of its availability zone, and OldInFlight is its
	// number of requests at other versions.
	Counts      Table
	OldInFlight int
	// Counted is set if the word has counts.
	Counted bool

	ended time.Time // when this VM knew that the order had ended; zero before
}

// Tracker is what one VM knows of the orders. It is safe for concurrent use.
type Tracker struct {
	bounds settings.Bounds
	random func() float64 // in [0, 1)

	mu       sync.Mutex             // guards the fields below
	services map[string]*serviceLog // by service
}

// serviceLog is what is known of the newest order for a service.
type serviceLog struct {
	order    Order
	ordered  time.Time
	endedAt  time.Time
	issue    Issue
	bad      string
	recorder *recorder
	credits  credits
	sources  map[string]source
	// barred holds the versions of former orders that were not completed, and until when
	// they get nothing.
	barred map[string]time.Time
	// gone is set once the order was deleted.
	gone bool
}

// source is what another VM, or an availability zone, told last.
type source struct {
	counts      Table
	oldInFlight int
	at          time.Time
}

// NewTracker returns a Tracker that knows no orders. The random numbers, in [0, 1), keep
// VMs from sending their first requests to a new version at the same time.
func NewTracker(bounds settings.Bounds, random func() float64) *Tracker {
	return &Tracker{bounds: bounds, random: random, services: map[string]*serviceLog{}}
}

// Put records an order as the store or another VM shows it. It returns whether the order
// or its state is new.
func (tracker *Tracker) Put(order Order, now time.Time) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.put(order, now, now)
}

// put records an order that was known at the given time. The caller holds mu.
func (tracker *Tracker) put(order Order, ordered, now time.Time) bool {
	log, ok := tracker.services[order.Service]
	if !ok {
		log = &serviceLog{barred: map[string]time.Time{}}
		tracker.services[order.Service] = log
	}
	if ok && order.ID() == log.order.ID() {
		return log.update(order, ordered, now)
	}
	if ok && order.Revision <= log.order.Revision {
		return false
	}
	log.bar(now)
	delete(log.barred, order.To)
	log.order, log.ordered, log.endedAt, log.issue, log.bad, log.gone = order, ordered, time.Time{}, Issue{}, "", false
	log.recorder, log.credits, log.sources = newRecorder(order.To, now), newCredits(tracker.random()), map[string]source{}
	if order.State.Ended() {
		log.endedAt = now
	}
	return true
}

// update records a newer state of the known order. A final state does not change.
func (log *serviceLog) update(order Order, ordered, now time.Time) bool {
	if ordered.Before(log.ordered) {
		log.ordered = ordered
	}
	log.order.Revision = max(log.order.Revision, order.Revision)
	if log.order.State.Ended() || order.State == "" || order.State == log.order.State {
		return false
	}
	log.order.State = order.State
	if order.State.Ended() {
		log.endedAt = now
	}
	return true
}

// bar keeps requests away from the version of an order that was not completed and is
// replaced or deleted.
func (log *serviceLog) bar(now time.Time) {
	if log.order.To != "" && log.order.State != Completed {
		log.barred[log.order.To] = now.Add(barredTime)
	}
}

// Remove records that the operator deleted an order. Its version gets nothing for a while
// unless the order was completed.
func (tracker *Tracker) Remove(name string, now time.Time) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, log := range tracker.services {
		if log.order.Name == name && !log.gone {
			log.bar(now)
			log.gone = true
		}
	}
}

// Begin counts an attempt that is about to be sent. It returns nil unless an order for
// the service runs.
func (tracker *Tracker) Begin(service, route, software string, now time.Time) *Sample {
	tracker.mu.Lock()
	log, ok := tracker.services[service]
	var recorder *recorder
	if ok && log.running() {
		recorder = log.recorder
	}
	tracker.mu.Unlock()
	if recorder == nil {
		return nil
	}
	return recorder.begin(route, software, now)
}

// running reports whether the order has not ended.
func (log *serviceLog) running() bool {
	return !log.gone && !log.order.State.Ended()
}

// Running returns the words on the orders that have not ended, ordered by service and
// without counts.
func (tracker *Tracker) Running() []Word {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var words []Word
	for _, service := range slices.Sorted(maps.Keys(tracker.services)) {
		if log := tracker.services[service]; log.running() {
			words = append(words, log.word())
		}
	}
	return words
}

// Words returns what to tell other VMs of the orders that run or ended lately, without
// counts. VMs that start later read the others from the store.
func (tracker *Tracker) Words(now time.Time) []Word {
	return slices.DeleteFunc(tracker.All(), func(word Word) bool { return !word.ended.IsZero() && now.Sub(word.ended) > endedWordTime })
}

// All returns the words on all orders that were not deleted, ordered by service and
// without counts.
func (tracker *Tracker) All() []Word {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var words []Word
	for _, service := range slices.Sorted(maps.Keys(tracker.services)) {
		if log := tracker.services[service]; !log.gone {
			words = append(words, log.word())
		}
	}
	return words
}

func (log *serviceLog) word() Word {
	return Word{Order: log.order, Ordered: log.ordered, Issue: log.issue, Bad: log.bad, ended: log.endedAt}
}

// Issue records the stage that this VM, as the leader, holds in force.
func (tracker *Tracker) Issue(id string, issue Issue) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, log := range tracker.services {
		if log.order.ID() == id && issue.after(log.issue) {
			log.issue = issue
		}
	}
}

// FindBad records that this VM found the version of an order to be bad. It returns
// whether that is new.
func (tracker *Tracker) FindBad(id, reason string) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, log := range tracker.services {
		if log.order.ID() == id && log.bad == "" && log.running() {
			log.bad = reason
			return true
		}
	}
	return false
}

// Merge records a word of a source: a VM, or an availability zone. It returns whether the
// order, its state or the finding that its version is bad is new.
func (tracker *Tracker) Merge(name string, word Word, now time.Time) bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	changed := tracker.put(word.Order, word.Ordered, now)
	log := tracker.services[word.Order.Service]
	if log.order.ID() != word.Order.ID() {
		return changed
	}
	if word.Issue.after(log.issue) {
		log.issue = word.Issue
	}
	if log.bad == "" && word.Bad != "" {
		log.bad, changed = word.Bad, true
	}
	if word.Counted && log.running() {
		log.sources[name] = source{counts: word.Counts, oldInFlight: word.OldInFlight, at: now}
	}
	return changed
}

// MoveBack makes all times earlier, after the clock stood still for the given length.
func (tracker *Tracker) MoveBack(length time.Duration) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for _, log := range tracker.services {
		log.ordered, log.issue.At = log.ordered.Add(-length), log.issue.At.Add(-length)
		for name, source := range log.sources {
			source.at = source.at.Add(-length)
			log.sources[name] = source
		}
	}
}
