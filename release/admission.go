package release

import "time"

// Admission says which software versions may get a request.
type Admission struct {
	// Barred are versions that may not get it.
	Barred []string
	// Prefer, if HasPreferred is set, is the version that gets it if a target of that
	// version can take it. If Trial is set, few targets of that version are used, so that
	// each is loaded as usual; Share is the share of the requests that they get.
	Prefer       string
	HasPreferred bool
	Trial        bool
	Share        float64
}

// Allows reports whether a target of a version may get the request. Only targets of the
// preferred version may if preferred is set, and none of it otherwise, unless no version
// is preferred.
func (admission *Admission) Allows(software string, preferred bool) bool {
	if admission.HasPreferred && (software == admission.Prefer) != preferred {
		return false
	}
	for _, barred := range admission.Barred {
		if software == barred {
			return false
		}
	}
	return true
}

// Admit returns which versions may get a request for a service on a route. Further
// attempts of a request do not count for the share of a new version and do not go there
// as long as it is on trial. It changes nothing; see Sent.
func (tracker *Tracker) Admit(service, route string, further bool, now time.Time) Admission {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	log, ok := tracker.services[service]
	if !ok {
		return Admission{}
	}
	admission := Admission{}
	for version, until := range log.barred {
		if now.Before(until) {
			admission.Barred = append(admission.Barred, version)
		}
	}
	if log.gone {
		return admission
	}
	switch {
	case log.order.State == Completed && now.Sub(log.endedAt) < completedTime:
		admission.Prefer, admission.HasPreferred = log.order.To, true
	case log.order.State == Completed:
	case !log.admits(now):
		admission.Barred = append(admission.Barred, log.order.To)
	case log.issue.Share >= 1:
		admission.Prefer, admission.HasPreferred = log.order.To, true
	case further || !log.credits.due(route, log.issue.Share):
		admission.Barred = append(admission.Barred, log.order.To)
	default:
		admission.Prefer, admission.HasPreferred, admission.Trial, admission.Share = log.order.To, true, true, log.issue.Share
	}
	return admission
}

// AdmitStream returns which versions may get a request that belongs to a stream of one
// version.
func (tracker *Tracker) AdmitStream(service string, now time.Time) Admission {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	log, ok := tracker.services[service]
	if !ok {
		return Admission{}
	}
	admission := Admission{}
	for version, until := range log.barred {
		if now.Before(until) {
			admission.Barred = append(admission.Barred, version)
		}
	}
	if !log.gone && log.order.State != Completed && !log.admits(now) {
		admission.Barred = append(admission.Barred, log.order.To)
	}
	return admission
}

// admits reports whether the new version of an order that is not completed may get
// requests: a leader lately said so, and nobody found it to be bad.
func (log *serviceLog) admits(now time.Time) bool {
	return log.order.State != RolledBack && log.bad == "" && log.issue.Share > 0 && now.Sub(log.issue.At) <= MaxAge
}

// Sent records that the first attempt of a request goes to a target of a version.
func (tracker *Tracker) Sent(service, route, software string, now time.Time) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	log, ok := tracker.services[service]
	if !ok || !log.running() {
		return
	}
	share := 0.0
	if log.admits(now) {
		share = log.issue.Share
	}
	log.credits.record(route, software == log.order.To, share)
}

// credits decides which requests of one VM go to the new version, so that its share of
// all requests is exact and routes with few requests get as many answers as others.
type credits struct {
	balance float64
	routes  map[string]*routeCredits
}

// routeCredits counts the requests on a route, and those of them that went to the new
// version. Both decay by halves.
type routeCredits struct {
	seen float64
	sent float64
}

const (
	// maxRoutePart is the largest part of a route's requests that the new version gets on
	// trial: the rest are needed for the comparison.
	maxRoutePart = 0.5
	// maxBalance bounds the requests that may go to the new version in a row.
	maxBalance = 2
	// halveAfter is the number of requests after which the counts of a VM's routes are
	// halved, so that routes that are no longer used do not hold others back.
	halveAfter = 200
)

func newCredits(phase float64) credits {
	return credits{balance: phase, routes: map[string]*routeCredits{}}
}

// due reports whether the next request goes to the new version if it is on the route.
func (credits *credits) due(route string, share float64) bool {
	balance := min(maxBalance, credits.balance+share)
	if balance < 1 {
		return false
	}
	own := credits.route(route)
	if own.sent > maxRoutePart*own.seen && share < maxRoutePart {
		return false
	}
	if balance >= maxBalance || share >= maxRoutePart {
		return true
	}
	for name, other := range credits.routes {
		if name != route && other.sent+1 < own.sent && other.sent < maxRoutePart*other.seen {
			return false // that route has had fewer
		}
	}
	return true
}

// record counts a request.
func (credits *credits) record(route string, sent bool, share float64) {
	own := credits.route(route)
	own.seen++
	credits.balance = min(maxBalance, credits.balance+share)
	if sent {
		own.sent++
		credits.balance--
	}
	if own.seen < halveAfter {
		return
	}
	for _, counts := range credits.routes {
		counts.seen, counts.sent = counts.seen/2, counts.sent/2
	}
}

func (credits *credits) route(name string) *routeCredits {
	if credits.routes[name] == nil {
		credits.routes[name] = &routeCredits{}
	}
	return credits.routes[name]
}
