package release

import "time"

// Own returns this VM's counts for the running order of a service.
func (tracker *Tracker) Own(service string, now time.Time) (Table, bool) {
	tracker.mu.Lock()
	log, ok := tracker.services[service]
	var recorder *recorder
	if ok && log.running() {
		recorder = log.recorder
	}
	tracker.mu.Unlock()
	if recorder == nil {
		return nil, false
	}
	return recorder.snapshot(now), true
}

// Sum is what is known of the answers and requests of several VMs.
type Sum struct {
	Counts Table
	// OldInFlight is the number of requests at other versions, without those of this VM.
	OldInFlight int
	// Sources are the names of the VMs and availability zones that the sum contains,
	// besides this VM.
	Sources map[string]bool
}

// Rate returns the requests a second of all VMs for a service, estimated from the decayed
// counts, or 0 if they were counted for too short a time.
func (sum Sum) Rate(ordered, now time.Time) float64 {
	counted := now.Sub(ordered)
	if counted < rateKnownAfter {
		return 0
	}
	answers := 0.0
	for _, counts := range sum.Counts {
		answers += counts.Answers
	}
	return answers / (decayTime.Seconds() * (1 - decay(counted)))
}

// Total returns the sum of this VM's counts and of those that the sources told which the
// filter includes.
func (tracker *Tracker) Total(service string, includes func(source string) bool, now time.Time) Sum {
	own, ok := tracker.Own(service, now)
	sum := Sum{Counts: Table{}, Sources: map[string]bool{}}
	if !ok {
		return sum
	}
	sum.Counts.addTable(own, 1)
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	for name, source := range tracker.services[service].sources {
		if age := now.Sub(source.at); age <= sourceAge && includes(name) {
			sum.Counts.addTable(source.counts, decay(age))
			sum.OldInFlight += source.oldInFlight
			sum.Sources[name] = true
		}
	}
	return sum
}
