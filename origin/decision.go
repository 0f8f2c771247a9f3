package origin

import (
	"slices"
	"time"
)

// Knowledge is what is known of where a stream began.
type Knowledge int

// The stream may go on unless the knowledge is Unknown.
const (
	// Unknown means that the stream must not go on.
	Unknown Knowledge = iota
	// Single means that nobody knows the request, but that one software version alone
	// served the service while the stream can have begun.
	Single
	// Known means that the service and the software version are known.
	Known
)

// String returns the name used in logs and metrics.
func (knowledge Knowledge) String() string {
	switch knowledge {
	case Known:
		return "known"
	case Single:
		return "single"
	default:
		return "unknown"
	}
}

// Answer is what one VM knows of where a stream began.
type Answer struct {
	// Known is set when the VM has a record of the request.
	Known  bool
	Origin Origin
	// Several is set when the VM saw more than one software version of the service since
	// the stream can have begun.
	Several bool
	// Versions are software versions that the VM saw since then, maxVersions at most: VMs
	// that saw one each may have seen different ones. VMs of older builds send none.
	Versions []string
	// WatchedSince is since when the VM has watched the list of targets; zero if it has
	// none.
	WatchedSince time.Time
}

// vouches reports whether the VM has watched the list of targets since the given time.
func (answer Answer) vouches(since time.Time) bool {
	return !answer.WatchedSince.IsZero() && !answer.WatchedSince.After(since)
}

// maxVersions is the number of software versions that show that there are several.
const maxVersions = 2

// SetVersions sets the software versions that the VM saw. Those that are too long to be
// sent, or that the wire cannot carry, are replaced by their digests.
func (answer *Answer) SetVersions(versions []string) {
	answer.Versions = nil
	for _, version := range versions[:min(len(versions), maxVersions)] {
		answer.Versions = append(answer.Versions, ID(version))
	}
}

// Combine returns the answer of several VMs as one: the first origin that is known,
// whether they saw several versions, and the longest watch.
func Combine(answers ...Answer) Answer {
	var combined Answer
	for _, answer := range answers {
		if answer.Known && !combined.Known {
			combined.Known, combined.Origin = true, answer.Origin
		}
		for _, version := range answer.Versions {
			if !slices.Contains(combined.Versions, version) && len(combined.Versions) < maxVersions {
				combined.Versions = append(combined.Versions, version)
			}
		}
		combined.Several = combined.Several || answer.Several || len(combined.Versions) == maxVersions
		if !answer.WatchedSince.IsZero() && (combined.WatchedSince.IsZero() || answer.WatchedSince.Before(combined.WatchedSince)) {
			combined.WatchedSince = answer.WatchedSince
		}
	}
	return combined
}

// Evidence is what a VM has to decide whether a stream may go on.
type Evidence struct {
	// Since is the earliest time at which the stream can have begun.
	Since time.Time
	// Own is what this VM itself knows.
	Own Answer
	// OtherVMs is set when other VMs exist, whether they answered or not.
	OtherVMs bool
	// Answers are those of other VMs.
	Answers []Answer
	// Logged is set if the log of software versions, as the store has it now, and the
	// registered targets have one version together. Then the stream cannot have begun at
	// another one, also if no VM has run for long enough to know.
	Logged bool
}

// Decide returns where the stream began. If the knowledge is Single, the origin has the
// given service and no software version.
func (evidence Evidence) Decide(service string) (Origin, Knowledge) {
	combined := Combine(append([]Answer{evidence.Own}, evidence.Answers...)...)
	switch {
	case combined.Known:
		return combined.Origin, Known
	case combined.Several:
		return Origin{}, Unknown
	case evidence.Logged:
		return Origin{Service: service}, Single
	case !combined.vouches(evidence.Since):
		return Origin{}, Unknown
	case evidence.OtherVMs && len(evidence.Answers) == 0:
		// A VM that is cut off may have an old list of targets.
		return Origin{}, Unknown
	default:
		return Origin{Service: service}, Single
	}
}
