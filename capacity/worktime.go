package capacity

import (
	"math"
	"time"
)

const (
	// workTimeAverage is the time constant over which reported work times are averaged:
	// they change many times a second.
	workTimeAverage = 250 * time.Millisecond
	// workTimeAge is the age up to which an average counts in full. Then it returns to
	// the usual with workTimeDecay as time constant, so that the target gets requests
	// whose answers report a new one.
	workTimeAge   = time.Second
	workTimeDecay = time.Second
)

// workTime is the average of the work times that a target reports.
type workTime struct {
	average    float64 // 0 if it never reported one
	reportedAt time.Time
}

// observe adds a report. One that is older than the last is ignored.
func (workTime *workTime) observe(factor float64, at time.Time) {
	if !(factor > 0) || math.IsInf(factor, 0) {
		return
	}
	factor = max(minSlowness, min(maxSlowness, factor))
	elapsed := at.Sub(workTime.reportedAt)
	switch {
	case workTime.average == 0 || elapsed > workTimeAge:
		workTime.average, workTime.reportedAt = factor, at
	case elapsed > 0:
		workTime.average += (factor - workTime.average) * (1 - math.Exp(-elapsed.Seconds()/workTimeAverage.Seconds()))
		workTime.reportedAt = at
	}
}

// at returns the factor at a time.
func (workTime *workTime) at(now time.Time) float64 {
	if workTime.average == 0 {
		return 1
	}
	age := now.Sub(workTime.reportedAt) - workTimeAge
	if age <= 0 {
		return workTime.average
	}
	return 1 + (workTime.average-1)*math.Exp(-age.Seconds()/workTimeDecay.Seconds())
}
