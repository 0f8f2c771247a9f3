package roster

import (
	"slices"
	"time"
)

const (
	// maxFormerVersions is the number of software versions of a service that are
	// remembered after their last target was removed. Those removed last are kept: an
	// older one matters to no time at which the newer ones were not listed either.
	maxFormerVersions = 8
	// formerServiceMemory is how long a service without targets is remembered, longer
	// than any request lasts.
	formerServiceMemory = time.Hour
)

// softwareVersions holds the software versions of one service, by version.
type softwareVersions map[string]listing

// listing is the time during which a software version was listed.
type listing struct {
	since time.Time
	// until is when the last target of the version was removed, if listed is not set.
	until  time.Time
	listed bool
	// revision is the earliest one of a registration of the version since it is listed:
	// an order for its release was written before.
	revision uint64
}

// hasSoftware reports whether the target has the software version that the criteria
// require.
func (target *Target) hasSoftware(criteria Criteria) bool {
	return !criteria.FixedSoftware || target.entry.Software == criteria.Software
}

// Registered reports whether a target of the service is registered that is not
// draining, does not rest at the given time, has the required software version and was
// not tried. Unlike Choose it counts targets that can take no request at the moment.
func (roster *Roster) Registered(criteria Criteria, at time.Time) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	return slices.ContainsFunc(roster.services[criteria.Service], func(target *Target) bool {
		return !target.removed && !target.entry.Draining && !target.rest.until.After(at) && target.hasSoftware(criteria) && target.isAmong(criteria) && !slices.Contains(criteria.Tried, target.entry.ID)
	})
}

// RecordList records that all registrations were listed. From now on each change is
// known, unless the platform is down in between.
func (roster *Roster) RecordList(now time.Time) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.listedSince = now
}

// WatchedSince returns the time since which all registrations and their changes have
// been known. It returns false before the first list and while the platform is down.
func (roster *Roster) WatchedSince() (time.Time, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	return roster.listedSince, !roster.listedSince.IsZero() && !roster.platformDown
}

// Several reports whether more than one software version of a service was listed
// between the two times, at the same time or one after another. It is true only of
// what this VM knows; see WatchedSince.
func (roster *Roster) Several(service string, since, now time.Time) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	count := 0
	for _, listing := range roster.versions[service] {
		if !listing.since.After(now) && (listing.listed || !listing.until.Before(since)) {
			count++
		}
	}
	return count > 1
}

// Software returns the software versions of a service's registered targets, and those
// that had a registered target at the given time or later, which include the former.
func (roster *Roster) Software(service string, since time.Time) (listed, recent []string) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for version, listing := range roster.versions[service] {
		if listing.listed {
			listed = append(listed, version)
		}
		if listing.listed || !listing.until.Before(since) {
			recent = append(recent, version)
		}
	}
	slices.Sort(listed)
	slices.Sort(recent)
	return listed, recent
}

// SetLogged sets the software versions of a service that the log in the store has. While
// it lacks a version, streams that can be resumed prefer targets of the others.
func (roster *Roster) SetLogged(service string, versions []string) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.logged[service] = versions
}

// prefersLogged reports whether the request should go to a target of a logged version,
// because the service has targets of logged and of other versions. The caller holds mu.
func (roster *Roster) prefersLogged(criteria Criteria) bool {
	logged, ok := roster.logged[criteria.Service]
	if !criteria.PreferLogged || criteria.FixedSoftware || !ok {
		return false
	}
	inLog, others := false, false
	for version, listing := range roster.versions[criteria.Service] {
		if listing.listed {
			found := slices.Contains(logged, version)
			inLog, others = inLog || found, others || !found
		}
	}
	return inLog && others
}

// OnlySoftware returns the software version that all registered targets of a service
// have. It returns false if there are several versions or no targets.
func (roster *Roster) OnlySoftware(service string) (string, bool) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	targets := roster.services[service]
	if len(targets) == 0 {
		return "", false
	}
	version := targets[0].entry.Software
	for _, target := range targets {
		if target.entry.Software != version {
			return "", false
		}
	}
	return version, true
}

// recordVersions records which software versions are listed now. The caller holds mu.
func (roster *Roster) recordVersions(now time.Time) {
	for service, versions := range roster.versions {
		versions.closeUnlisted(roster.services[service], now)
		if len(roster.services[service]) == 0 && versions.endedBefore(now.Add(-formerServiceMemory)) {
			delete(roster.versions, service)
		}
	}
	for service, targets := range roster.services {
		if roster.versions[service] == nil {
			roster.versions[service] = softwareVersions{}
		}
		for _, target := range targets {
			roster.versions[service].open(target.entry.Software, target.entry.Revision, now)
		}
	}
}

// open records that a version is listed by a registration of the given revision.
func (versions softwareVersions) open(version string, revision uint64, now time.Time) {
	known, ok := versions[version]
	switch {
	case known.listed:
		known.revision = min(known.revision, revision)
		versions[version] = known
	case ok:
		versions[version] = listing{since: known.since, listed: true, revision: revision}
	default:
		versions[version] = listing{since: now, listed: true, revision: revision}
	}
}

// closeUnlisted records the end of the versions that none of the targets has. It
// removes the former versions that ended first if there are too many.
func (versions softwareVersions) closeUnlisted(targets []*Target, now time.Time) {
	var former []string
	for version, known := range versions {
		if known.listed && !slices.ContainsFunc(targets, func(target *Target) bool { return target.entry.Software == version }) {
			known.listed, known.until = false, now
			versions[version] = known
		}
		if !known.listed {
			former = append(former, version)
		}
	}
	if len(former) <= maxFormerVersions {
		return
	}
	slices.SortFunc(former, func(first, second string) int { return versions[second].until.Compare(versions[first].until) })
	for _, version := range former[maxFormerVersions:] {
		delete(versions, version)
	}
}

// endedBefore reports whether all versions ended before the given time.
func (versions softwareVersions) endedBefore(limit time.Time) bool {
	for _, known := range versions {
		if known.listed || !known.until.Before(limit) {
			return false
		}
	}
	return true
}
