package routing

import (
	"slices"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

// formerTimeout is the timeout that an earlier version of the configuration had for a
// route's requests.
type formerTimeout struct {
	timeout settings.Span
	until   time.Time // when this VM put a later version in force
}

// Succeed makes the table the version that follows the given one, which is nil for the first,
// on this VM from the given time on. It is called before the table is used. Longer timeouts of
// the former version, and those that it had from earlier ones, go on to bind requests for the
// overlap.
func (table *Table) Succeed(former *Table, at time.Time, overlap settings.Span) {
	if former == nil {
		return
	}
	oldest := at.Add(-time.Duration(overlap))
	for host, routes := range table.hosts {
		formerRoutes := make(map[string]*Route, len(former.hosts[host]))
		for _, route := range former.hosts[host] {
			formerRoutes[route.Prefix] = route
		}
		for _, route := range routes {
			formerRoute := formerRoutes[route.Prefix]
			if formerRoute == nil {
				formerRoute = former.Match(host, route.Prefix) // of which the route is a part now
			}
			if formerRoute != nil {
				route.succeed(formerRoute, at, oldest)
			}
		}
	}
}

// succeed takes over the timeouts of the route's former version that are longer than its own,
// if they ended after the given time.
func (route *Route) succeed(former *Route, at, oldest time.Time) {
	route.formerTimeouts = nil
	for _, timeout := range slices.Concat(former.formerTimeouts, []formerTimeout{{former.Timeout, at}}) {
		if timeout.until.After(oldest) && longer(timeout.timeout, route.Timeout) {
			route.formerTimeouts = append(route.formerTimeouts, timeout)
		}
	}
}

// TimeoutFor returns the timeout of a request that arrived at the given time. Requests that
// arrive around a change may have been sent under either version, and either may be in force
// on other VMs: the longest timeout that was in force until less than the overlap before
// the request arrived binds it.
func (route *Route) TimeoutFor(arrived time.Time, overlap settings.Span) settings.Span {
	longest := route.Timeout
	for _, former := range route.formerTimeouts {
		if overlap.After(former.until).After(arrived) && longer(former.timeout, longest) {
			longest = former.timeout
		}
	}
	return longest
}

// longer reports whether the first timeout ends later than the second; zero is no limit.
func longer(first, second settings.Span) bool {
	return second > 0 && (first == 0 || first > second)
}
