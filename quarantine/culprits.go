package quarantine

import (
	"slices"
	"time"
)

// settle blocks parts if deaths can be counted that could not before. The caller holds
// mu.
func (parts *Parts) settle(now time.Time) {
	if parts.settlesAt.IsZero() || now.Before(parts.settlesAt) {
		return
	}
	parts.settlesAt = time.Time{}
	for _, death := range parts.deaths {
		if settles := death.at.Add(settleTime); settles.After(now) {
			parts.settleAt(settles)
		}
		for _, settles := range death.local {
			if settles.After(now) {
				parts.settleAt(settles)
			}
		}
	}
	for {
		found := parts.culprits(now)
		if len(found) == 0 {
			return
		}
		for _, id := range found {
			blocked := BlockedPart{Part: id, Until: now.Add(BlockTime)}
			parts.parts[id].blockedUntil = blocked.Until
			parts.blockedIDs[id] = true
			parts.blocked = append(parts.blocked, blocked)
		}
		for _, id := range found {
			parts.explain(id)
		}
	}
}

// settleAt sets settlesAt to the time if that is earlier. The caller holds mu.
func (parts *Parts) settleAt(at time.Time) {
	if parts.settlesAt.IsZero() || at.Before(parts.settlesAt) {
		parts.settlesAt = at
	}
}

// culprits returns the parts to block. Only a VM that had a prompt with the part in flight
// decides, once the others have told it when they saw that part answered. The caller holds
// mu.
func (parts *Parts) culprits(now time.Time) []string {
	var found []string
	others := parts.explainingAlone(now)
	for id, entry := range parts.parts {
		local := slices.ContainsFunc(entry.deaths, func(death *partDeath) bool {
			settles, ok := death.local[id]
			return ok && !now.Before(settles)
		})
		if local && parts.suspicious(id, entry, others, now) {
			found = append(found, id)
		}
	}
	return found
}

// explainingAlone returns the parts that explain minFaultsAlone without the help of others.
// The caller holds mu.
func (parts *Parts) explainingAlone(now time.Time) map[string]bool {
	found := map[string]bool{}
	for id, entry := range parts.parts {
		if len(entry.deaths) < minFaultsAlone {
			continue
		}
		slices.SortFunc(entry.deaths, byTime)
		if with, _ := parts.faults(id, entry, nil, now); with >= minFaultsAlone {
			found[id] = true
		}
	}
	return found
}

// containsAny reports whether the set contains one of the IDs.
func containsAny(set, ids map[string]bool) bool {
	for id := range ids {
		if set[id] {
			return true
		}
	}
	return false
}

// neededDeaths returns the number of separate deaths from which the part is blocked.
func (part *part) neededDeaths() int {
	if part.answered.IsZero() {
		return blockingPartDeaths
	}
	return blockingAnsweredDeaths
}

// strongerAt reports whether another part was in flight at a death of the part that
// explains more deaths, or as many as long as the next death may tell them apart, in
// proportion to the deaths that each of them needs. The caller holds mu.
func (parts *Parts) strongerAt(death *partDeath, id string, entry *part) bool {
	for otherID := range death.parts {
		other := parts.parts[otherID]
		if otherID == id || other == nil || !slices.Contains(other.deaths, death) {
			continue
		}
		others, own := len(other.deaths)*entry.neededDeaths(), len(entry.deaths)*other.neededDeaths()
		if others > own || others == own && len(entry.deaths) < blockingTiedDeaths {
			return true
		}
	}
	return false
}

// suspicious reports whether the part explains enough deaths to block it. The caller
// holds mu.
func (parts *Parts) suspicious(id string, entry *part, others map[string]bool, now time.Time) bool {
	needed := entry.neededDeaths()
	if len(entry.deaths) < needed || now.Before(entry.blockedUntil) {
		return false
	}
	slices.SortFunc(entry.deaths, byTime)
	if parts.answers-entry.deaths[0].answersBefore < minOtherAnswers {
		return false
	}
	with, without := parts.faults(id, entry, others, now)
	return with >= needed && without < maxOtherFaults*with
}

// faults returns how many faults since the part's first death the part explains, and how
// many it does not. It explains a fault if it was in flight at each of the deaths but for
// those that the other parts explain. Not counted are faults without it that the others
// explain, those that follow another one within faultSpacing, those with requests that were
// in flight at an earlier death, and those that a stronger part explains. The caller holds
// mu.
func (parts *Parts) faults(id string, entry *part, others map[string]bool, now time.Time) (with, without int) {
	from := entry.deaths[0].at.Add(-togetherTime)
	var deaths []*partDeath
	for _, death := range parts.deaths {
		if !death.explained && death.at.After(from) && !death.at.Add(settleTime).After(now) {
			deaths = append(deaths, death)
		}
	}
	slices.SortFunc(deaths, byTime)
	var counted time.Time
	for first := 0; first < len(deaths); {
		at, end := deaths[first].at, first
		explained, own := true, false
		for ; end < len(deaths) && deaths[end].at.Sub(at) < togetherTime; end++ {
			explained = explained && (deaths[end].parts[id] || containsAny(deaths[end].parts, others))
			own = own || entry.fresh[deaths[end]] && !parts.strongerAt(deaths[end], id, entry)
		}
		switch {
		case !explained:
			without++
		case own && at.Sub(counted) >= faultSpacing:
			with, counted = with+1, at
		}
		first = end
	}
	return with, without
}

func byTime(first, second *partDeath) int {
	return first.at.Compare(second.at)
}

// explain drops the deaths at which the blocked part was in flight from all parts. The
// caller holds mu.
func (parts *Parts) explain(blocked string) {
	for _, death := range parts.deaths {
		death.explained = death.explained || death.parts[blocked]
	}
	for _, entry := range parts.parts {
		entry.deaths = slices.DeleteFunc(entry.deaths, func(death *partDeath) bool { return death.explained })
	}
}
