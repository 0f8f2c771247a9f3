package history

import (
	"fmt"
	"slices"
	"time"
)

// Accounts are the client accounts of one version of the configuration.
type Accounts struct {
	// Written is when the operator sent the version, Confirmed when the store confirmed it.
	Written, Confirmed time.Time
	Isolated           []string // names
	Keys               []string
}

// CacheUse is the use of a cache entry that another account made or used before.
type CacheUse struct {
	Request, Account, Maker string
	VM                      string // that sent the request; empty if it is not known
	At                      time.Time
}

// mayBeInForce returns the versions that may be in force on a VM in touch at some moment
// between two times.
func (history *History) mayBeInForce(from, to time.Time) []Accounts {
	var versions []Accounts
	for i, version := range history.Accounts {
		replaced := i+1 < len(history.Accounts) && history.Bounds.Configuration.After(history.Accounts[i+1].Confirmed).Before(from)
		if !replaced && !version.Written.After(to) {
			versions = append(versions, version)
		}
	}
	return versions
}

// requiresRefusal reports whether no version that may be in force between two times holds the key.
func (history *History) requiresRefusal(key string, from, to time.Time) bool {
	return !slices.ContainsFunc(history.mayBeInForce(from, to), func(version Accounts) bool { return slices.Contains(version.Keys, key) })
}

// AllowsRefusal reports whether a version that may be in force between two times lacks the key.
func (history *History) AllowsRefusal(key string, from, to time.Time) bool {
	return slices.ContainsFunc(history.mayBeInForce(from, to), func(version Accounts) bool { return !slices.Contains(version.Keys, key) })
}

// checkIsolation finds uses of cache entries by which isolated accounts share them.
func (history *History) checkIsolation() []Violation {
	var violations []Violation
	for _, use := range history.CacheUses {
		versions := history.mayBeInForce(use.At, use.At)
		shared := slices.ContainsFunc(versions, func(version Accounts) bool {
			return !slices.Contains(version.Isolated, use.Account) && !slices.Contains(version.Isolated, use.Maker)
		})
		if use.Account == use.Maker || shared || len(versions) == 0 || !history.InTouch(use.VM, use.At) {
			continue
		}
		violations = append(violations, Violation{"WALL", use.At, fmt.Sprintf("request %s of %s at %s used an entry of %s, one of which was isolated", use.Request, use.Account, use.VM, use.Maker)})
	}
	return violations
}

// checkKeys finds requests that reached targets with a key that no version ever held, from
// any VM, or that was taken away before they were sent, from VMs in touch.
func (history *History) checkKeys() []Violation {
	var violations []Violation
	for _, arrival := range history.Arrivals {
		if arrival.Key == "" || len(history.Accounts) == 0 {
			continue
		}
		everHeld := slices.ContainsFunc(history.Accounts, func(version Accounts) bool { return slices.Contains(version.Keys, arrival.Key) })
		switch {
		case !everHeld:
			violations = append(violations, Violation{"ROUTE", arrival.At, fmt.Sprintf("request %s reached %s with a key that no configuration held", arrival.Request, arrival.Target)})
		case history.requiresRefusal(arrival.Key, arrival.Sent, arrival.At) && history.InTouch(arrival.VM, arrival.At):
			violations = append(violations, Violation{"CONFIG", arrival.At, fmt.Sprintf("request %s reached %s from %s with a key that was taken away before it was sent", arrival.Request, arrival.Target, arrival.VM)})
		}
	}
	return violations
}
