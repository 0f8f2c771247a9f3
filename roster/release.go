package roster

import (
	"math"
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/release"
)

// Releases decides which software versions requests go to while operators release new
// ones.
type Releases interface {
	// Admit returns which versions may get a request. Further attempts of a request do not
	// go to a version on trial.
	Admit(service, route string, further bool, now time.Time) release.Admission
	// AdmitStream returns which versions may get a request for a stream of one version.
	AdmitStream(service string, now time.Time) release.Admission
	// Sent records that the first attempt of a request goes to a version.
	Sent(service, route, software string, now time.Time)
}

// trialSpread is how many times as many targets a version on trial uses as its share
// requires: each gets about the usual number of requests, but of those there are more
// long ones, because routes with few requests get more than their part.
const trialSpread = 2

// SetReleases makes the roster ask which versions may get requests. It is called before
// the first request. From then on the targets of a version get nothing until the orders
// are known up to the revision of their registration.
func (roster *Roster) SetReleases(releases Releases) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.releases = releases
}

// RecordOrders records that all orders up to a revision of the store are known.
func (roster *Roster) RecordOrders(revision uint64) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	roster.ordersRead = max(roster.ordersRead, revision)
}

// AwaitsOrders returns whether a version gets nothing because orders may not be known.
func (roster *Roster) AwaitsOrders() bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	if roster.releases == nil {
		return false
	}
	for _, versions := range roster.versions {
		for _, listing := range versions {
			if listing.listed && listing.revision > roster.ordersRead {
				return true
			}
		}
	}
	return false
}

// CountSoftware returns the number of usable targets of a service that have a software
// version, and the number of this VM's requests at the targets that have another one.
func (roster *Roster) CountSoftware(service, version string, now time.Time) (targets, othersInFlight int) {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	for _, target := range roster.targets {
		switch {
		case target.entry.Service != service:
		case target.entry.Software != version:
			othersInFlight += target.inFlight // also at targets that were removed
		case target.usable(now):
			targets++
		}
	}
	return targets, othersInFlight
}

// versionFilter restricts the targets of a request by their software versions.
type versionFilter struct {
	admission release.Admission
	preferred bool // whether targets of the preferred version are searched
	// If trial is set, only targets with at most this seed are used.
	trial   bool
	maxSeed uint64
	// Orders may be unknown for versions whose targets registered after ordersRead.
	ordersRead uint64
	versions   softwareVersions
}

// allows reports whether the target may get the request. A nil filter allows all.
func (filter *versionFilter) allows(target *Target) bool {
	if filter == nil {
		return true
	}
	software := target.entry.Software
	if filter.versions[software].revision > filter.ordersRead || filter.trial && target.seed > filter.maxSeed {
		return false
	}
	return filter.admission.Allows(software, filter.preferred)
}

// released reports whether the target's version may get the request.
func (target *Target) released(search search) bool {
	return search.versions.allows(target)
}

// find returns the best target for the request, the home of its prefix that this VM uses
// and the first home, or nil. The caller holds mu.
func (roster *Roster) find(criteria Criteria, now time.Time) (best, home, firstHome *Target) {
	targets := roster.services[criteria.Service]
	filter := roster.filter(criteria, now)
	if filter != nil && filter.preferred {
		filter.limitTrial(targets, now)
		home, firstHome = roster.findHomes(targets, criteria, filter, now)
		if best = roster.best(targets, criteria, filter, home, now); best != nil {
			return best, home, firstHome
		}
		filter.preferred, filter.trial = false, false
	}
	home, firstHome = roster.findHomes(targets, criteria, filter, now)
	return roster.best(targets, criteria, filter, home, now), home, firstHome
}

// findHomes returns the home of the prefix that this VM uses and the first one, or nil.
func (roster *Roster) findHomes(targets []*Target, criteria Criteria, filter *versionFilter, now time.Time) (own, first *Target) {
	homes := roster.homes(targets, criteria, filter, now)
	if len(homes) == 0 {
		return nil, nil
	}
	return roster.ownHome(homes, criteria, now), homes[0]
}

// filter returns the filter of a request, nil if no releases are known. The caller holds
// mu.
func (roster *Roster) filter(criteria Criteria, now time.Time) *versionFilter {
	if roster.releases == nil {
		return nil
	}
	filter := &versionFilter{ordersRead: roster.ordersRead, versions: roster.versions[criteria.Service]}
	if criteria.FixedSoftware {
		filter.admission = roster.releases.AdmitStream(criteria.Service, now)
		return filter
	}
	filter.admission = roster.releases.Admit(criteria.Service, criteria.Route, len(criteria.Tried) > 0, now)
	filter.preferred = filter.admission.HasPreferred
	return filter
}

// limitTrial restricts a version on trial to as many targets as make each get about the
// usual number of requests. All VMs choose the same ones.
func (filter *versionFilter) limitTrial(targets []*Target, now time.Time) {
	if !filter.admission.Trial {
		return
	}
	var seeds []uint64
	for _, target := range targets {
		if target.entry.Software == filter.admission.Prefer && target.usable(now) {
			seeds = append(seeds, target.seed)
		}
	}
	count := max(1, int(math.Ceil(trialSpread*filter.admission.Share*float64(len(seeds)))))
	if count >= len(seeds) {
		return
	}
	slices.Sort(seeds)
	filter.trial, filter.maxSeed = true, seeds[count-1]
}

// recordSent tells the releases to which version a request goes. The caller holds mu.
func (roster *Roster) recordSent(criteria Criteria, target *Target, now time.Time) {
	if roster.releases != nil && len(criteria.Tried) == 0 && !criteria.FixedSoftware {
		roster.releases.Sent(criteria.Service, criteria.Route, target.entry.Software, now)
	}
}
