package roster

import (
	"slices"
	"time"
)

// Obstacle is why a target may not get a request. It is empty if it may.
type Obstacle string

// The obstacles, besides the names of the availabilities.
const (
	ObstacleRemoved      Obstacle = "removed"
	ObstacleUnreachable  Obstacle = "unreachable"
	ObstacleLoading      Obstacle = "loading_weights"
	ObstaclePaused       Obstacle = "mismatched"
	ObstacleSoftware     Obstacle = "other_software"
	ObstacleLimit        Obstacle = "at_limit"
	ObstacleNoRoom       Obstacle = "brittle_and_full"
	ObstacleEjected      Obstacle = "ejected"
	ObstacleOldWeights   Obstacle = "old_weights"
	ObstacleAlreadyTried Obstacle = "tried"
	ObstacleRelease      Obstacle = "not_released"
)

// Obstacles counts the targets of the service by why none of them may get the request;
// targets that may get it are not counted. Ejected targets may, if no other one does.
func (roster *Roster) Obstacles(criteria Criteria, now time.Time) map[Obstacle]int {
	roster.mu.Lock()
	defer roster.mu.Unlock()
	obstacles := map[Obstacle]int{}
	versions := roster.filter(criteria, now)
	if versions != nil {
		versions.preferred = false
	}
	for _, target := range roster.services[criteria.Service] {
		if obstacle := target.obstacle(search{criteria: criteria, versions: versions, now: now, includeEjected: true}); obstacle != "" {
			obstacles[obstacle]++
		}
	}
	return obstacles
}

// obstacle returns why the target may not get the request, or an empty obstacle.
func (target *Target) obstacle(search search) Obstacle {
	criteria, now := search.criteria, search.now
	if obstacle := target.generalObstacle(now); obstacle != "" {
		return obstacle
	}
	switch {
	case target.paused(now):
		return ObstaclePaused
	case !target.hasSoftware(criteria):
		return ObstacleSoftware
	case !target.released(search):
		return ObstacleRelease
	case !target.limit.allows(now):
		return ObstacleLimit
	case !target.hasRoom(criteria.Rejected, now):
		return ObstacleNoRoom
	case !search.includeEjected && target.ejected() && (!criteria.Repeatable || target.inFlight > 0 || now.Before(target.ejectedUntil)):
		return ObstacleEjected
	case criteria.RequiredWeights != nil && !target.hasRequiredWeights(criteria, target.wait(now)):
		return ObstacleOldWeights
	}
	if slices.Contains(criteria.Tried, target.entry.ID) || !target.isAmong(criteria) {
		return ObstacleAlreadyTried
	}
	return ""
}

// isAmong reports whether the target is one of those that alone may be used.
func (target *Target) isAmong(criteria Criteria) bool {
	return criteria.Among == nil || slices.Contains(criteria.Among, target.entry.ID)
}

// generalObstacle returns why the target may not get any new request, disregarding
// pauses, limits and ejection.
func (target *Target) generalObstacle(now time.Time) Obstacle {
	availability := target.availability(now)
	switch {
	case target.removed:
		return ObstacleRemoved
	case availability != Available:
		return Obstacle(availability.String())
	case !target.reachable():
		return ObstacleUnreachable
	case target.awaitsWeights(now):
		return ObstacleLoading
	}
	return ""
}
