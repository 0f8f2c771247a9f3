package roster

import "time"

// Capacity is what the usable targets of a service take together.
type Capacity struct {
	// PromptTokensPerSecond is the rate at which the targets prefill prompts.
	PromptTokensPerSecond float64
	// Slots is the number of requests that run at the same time; 0 if unknown.
	Slots   int
	Targets int
	// FreeTokens is the memory for prompts and answers that is neither in use nor
	// promised to requests; 0 if unknown.
	FreeTokens int
}

// Adaptive reports whether requests for the service are placed by what its targets are
// found to take: its targets crash when they are over their memory, or report how long
// work takes.
func (roster *Roster) Adaptive(service string) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	return roster.adaptive(service)
}

// adaptive implements Adaptive. The caller holds mu.
func (roster *Roster) adaptive(service string) bool {
	return roster.memoryPressure || roster.reportWorkTime[service]
}

// SetMemoryPressure records that targets crash when the requests that they hold exceed
// their memory. It is called before the first request.
func (roster *Roster) SetMemoryPressure(pressure bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.memoryPressure = pressure
}

// Capacity returns what the usable targets of a service take together.
func (roster *Roster) Capacity(service string, now time.Time) Capacity {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	return roster.capacity(service, now)
}

// capacity implements Capacity. The caller holds mu.
func (roster *Roster) capacity(service string, now time.Time) Capacity {
	var capacity Capacity
	for _, target := range roster.services[service] {
		if !target.usable(now) || target.ejected() {
			continue
		}
		capacity.Targets++
		capacity.Slots += target.load.Slots
		capacity.PromptTokensPerSecond += 1e6 / prefillTokenCost
	}
	return capacity
}
