package roster

import (
	"time"
)

const (
	// aimedOccupancy is the part of the room of a service's brittle targets that the
	// VMs together aim at when there are more requests than room.
	aimedOccupancy = 0.6
	// admissionRise and admissionFall are by how much the admitted part changes in a
	// second for each unit by which the occupancy is below or above the aimed one. Loads
	// are known late, so it rises slowly.
	admissionRise = 0.15
	admissionFall = 1.0
	// calmRise takes the place of admissionRise when calmTime has passed without a
	// rejection.
	calmRise = 0.5
	calmTime = 2 * time.Second
	// minAdmitted is the least part of the requests that is admitted: the occupancy must
	// stay known.
	minAdmitted = 0.05
	// rejectionFactor is by how much a rejection reduces the admitted part, once in
	// rejectionInterval.
	rejectionFactor   = 0.8
	rejectionInterval = 300 * time.Millisecond
	// maxAdmissionStep bounds the time for which one occupancy counts.
	maxAdmissionStep = 300 * time.Millisecond
	// serviceTimeWeight is the weight of one answer in the moving average of the service
	// time.
	serviceTimeWeight = 0.05
)

// admission is the part of the requests for a service with brittle targets that this VM
// admits. All VMs control it by the same loads, so that they admit about the same part.
type admission struct {
	// tolerance is the least number of rejections a second that a target bears.
	tolerance float64
	part      float64
	// occupancy is that of the brittle targets, as a part of their room.
	occupancy  float64
	updatedAt  time.Time
	rejectedAt time.Time
}

// reject reduces the admitted part after a rejection.
func (admission *admission) reject(now time.Time) {
	if now.Sub(admission.rejectedAt) < rejectionInterval {
		return
	}
	admission.part, admission.rejectedAt = max(minAdmitted, admission.part*rejectionFactor), now
}

// updateAdmission begins or ends the admission of a service after a target became
// brittle or ceased to be so. The caller holds mu.
func (roster *Roster) updateAdmission(service string, now time.Time) {
	least := 0.0
	for _, target := range roster.services[service] {
		if tolerance := target.brittle.value; tolerance > 0 && (least == 0 || tolerance < least) {
			least = tolerance
		}
	}
	if least == 0 {
		delete(roster.admissions, service)
		return
	}
	if roster.admissions[service] == nil {
		roster.admissions[service] = &admission{part: 1, updatedAt: now}
	}
	roster.admissions[service].tolerance = least
}

// Admit reports whether a new request for the service is to be sent. While the targets
// of the service are brittle and nearly full, all VMs admit the same part of their
// requests and refuse the others, which targets would reject.
func (roster *Roster) Admit(service string, now time.Time) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	admission := roster.admissions[service]
	if admission == nil {
		return true
	}
	roster.control(service, admission, now)
	part := admission.part
	if over := admission.occupancy - aimedOccupancy; over > 0 {
		part *= max(minAdmitted, 1-over/(1-aimedOccupancy))
	}
	return part >= 1 || roster.random.Float64() < part
}

// control adapts the admitted part to the occupancy of the service's targets.
func (roster *Roster) control(service string, admission *admission, now time.Time) {
	occupied, room := 0.0, 0.0
	for _, target := range roster.services[service] {
		if !target.isBrittle() {
			admission.part, admission.occupancy, admission.updatedAt = 1, 0, now // takes what the others do not
			return
		}
		if known, ok := target.brittle.roomNow(now); ok && target.usable(now) {
			occupied, room = occupied+min(target.occupancy(now), known), room+known
		}
	}
	step := min(maxAdmissionStep, now.Sub(admission.updatedAt)).Seconds()
	admission.updatedAt = now
	if room == 0 || step <= 0 {
		return
	}
	admission.occupancy = occupied / room
	gain := admissionFall
	if admission.occupancy < aimedOccupancy {
		gain = admissionRise
		if now.Sub(admission.rejectedAt) > calmTime {
			gain = calmRise
		}
	}
	part := admission.part + gain*(aimedOccupancy-admission.occupancy)*step
	admission.part = max(minAdmitted, min(1, part))
}

// recordServiceTime records how long a target took to answer a request. The caller holds
// mu.
func (roster *Roster) recordServiceTime(service string, took time.Duration) {
	known, ok := roster.serviceTimes[service]
	if !ok {
		known = took
	}
	roster.serviceTimes[service] = known + time.Duration(serviceTimeWeight*float64(took-known))
}
