package roster

import "slices"

// hasSoftware reports whether the target has the software version that the criteria
// require.
func (target *Target) hasSoftware(criteria Criteria) bool {
	return !criteria.FixedSoftware || target.entry.Software == criteria.Software
}

// Registered reports whether a target of the service is registered that is not
// draining, has the required software version and was not tried. Unlike Choose it
// counts targets that can take no request at the moment.
func (roster *Roster) Registered(criteria Criteria) bool {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	return slices.ContainsFunc(roster.services[criteria.Service], func(target *Target) bool {
		return !target.removed && !target.entry.Draining && target.hasSoftware(criteria) && !slices.Contains(criteria.Tried, target.entry.ID)
	})
}
