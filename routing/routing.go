// Package routing holds the current configuration of the operators: routes,
// client accounts with their keys, and services.
//
// A Table is immutable; a new version of the configuration is a new Table. The
// package does no I/O.
//
// # Usage
//
//	table := routing.NewTable(routing.Config{...})
//	route := table.Match("notes.example", "/rounds/summary")
//	account := table.Account(key)
package routing

import (
	"crypto/sha256"
	"net"
	"net/netip"
	"sort"
	"strings"

	"github.com/bramleygw/bramleygw/prefix"
	"github.com/bramleygw/bramleygw/settings"
)

// Kind states whether the requests of a route may be retried and whether their
// answers are streams.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once.
	AtMostOnce
	// Stream requests are answered by a stream of events and run at most once.
	Stream
	// ResumableStream requests are answered by a stream of events that another
	// target may resume.
	ResumableStream
)

// String returns the kind's name for logs.
func (kind Kind) String() string {
	return [...]string{"idempotent", "once", "stream", "resumable_stream"}[kind]
}

// Repeatable reports whether a request may be retried when a target may already
// have run it.
func (kind Kind) Repeatable() bool {
	return kind == Idempotent || kind == ResumableStream
}

// Streams reports whether the answer is a stream of events.
func (kind Kind) Streams() bool {
	return kind == Stream || kind == ResumableStream
}

// Split is a service's share of the requests of a route.
type Split struct {
	Service string
	Weight  int // relative to the other splits of the route
}

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Splits holds at least one entry with a positive weight.
	Splits []Split
	// Timeout is the maximum duration of a request, counted from its arrival; zero
	// sets no limit.
	Timeout settings.Span
	// LatencyTarget is the target for the time until the complete answer, or until
	// the first event of a stream.
	LatencyTarget settings.Span
	// GapTarget is the target for the longest pause between two events of a stream.
	GapTarget settings.Span
	// Attempts is the maximum number of targets that may run one request. It is at
	// least 1.
	Attempts int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Open routes need no key.
	Open bool
	// MaxWait is the upper bound of the estimated wait with which a request is sent
	// to a target: the shortest LatencyTarget of the routes to the same service with
	// the same or a more urgent priority. NewTable sets it. If a request waits longer
	// than that, requests queued behind it can no longer meet their LatencyTarget.
	MaxWait settings.Span

	// formerTimeouts are longer timeouts of earlier versions, which may still bind requests.
	// Table.Succeed sets them.
	formerTimeouts []formerTimeout
}

// Service returns the service for the request with the given ID, chosen by the
// weights of the splits. It returns the same service for the same ID. A
// single split is returned whatever its weight; of several, at least one needs a
// positive weight, or the result is the empty string.
func (route *Route) Service(id string) string {
	if len(route.Splits) == 1 {
		return route.Splits[0].Service
	}
	total := 0
	for _, split := range route.Splits {
		total += split.Weight
	}
	if total <= 0 {
		return ""
	}
	remainder := int(prefix.Mix(prefix.Digest(id)) % uint64(total))
	for _, split := range route.Splits {
		if remainder -= split.Weight; remainder < 0 {
			return split.Service
		}
	}
	return ""
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in tokens per second and Burst in tokens; 0 means no limit.
	Rate  float64
	Burst float64
	// ChargeByTokens is set when a request is charged its number of tokens.
	// Otherwise each request is charged 1.
	ChargeByTokens bool
	// DefaultTokens is charged for a request that states no number of tokens.
	DefaultTokens float64
	// Isolated is set when the account shares no cache entries with other accounts.
	Isolated bool
}

// Limited reports whether the account has a rate limit.
func (account *Account) Limited() bool {
	return account.Rate > 0 || account.Burst > 0
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// Engines is set when the targets run models and keep KV caches.
	Engines bool
	// CacheStore is the address of a KV cache store; invalid for a service that
	// consists of targets.
	CacheStore netip.AddrPort
	Zone       string
}

// Config is a decoded configuration.
type Config struct {
	Version int64
	Routes  []Route
	// Unrestricted is set when the configuration says nothing of accounts: no request needs
	// a key. Otherwise only open routes serve requests without one, also when Accounts is
	// empty.
	Unrestricted bool
	Accounts     []Account
	Services     []Service
	// Limits holds 0 where the defaults apply.
	Limits Limits
}

// Table is one version of the configuration.
type Table struct {
	// Version increases with each change that the operators make.
	Version int64

	hosts          map[string][]*Route // longest prefix first
	unrestricted   bool
	accountsByKey  map[[sha256.Size]byte]*Account // by the SHA-256 of the key
	accountsByName map[string]*Account
	isolated       map[string]Scope // of the isolated accounts, by name
	commonScope    Scope            // of all other accounts
	services       map[string]*Service
	cacheStores    []*Service
	leastWaits     map[string]settings.Span // by service
	limits         Limits
}

// NewTable indexes a configuration and sets MaxWait of its routes. The table keeps
// references to the slices of the configuration.
func NewTable(config Config) *Table {
	table := &Table{
		Version:        config.Version,
		hosts:          map[string][]*Route{},
		unrestricted:   config.Unrestricted,
		accountsByKey:  map[[sha256.Size]byte]*Account{},
		accountsByName: map[string]*Account{},
		isolated:       map[string]Scope{},
		services:       map[string]*Service{},
		limits:         config.Limits.withDefaults(),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for i := range config.Routes {
		config.Routes[i].MaxWait = maxWait(&config.Routes[i], config.Routes)
	}
	table.leastWaits = leastWaits(config.Routes)
	for _, routes := range table.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Accounts {
		account := &config.Accounts[i]
		table.accountsByName[account.Name] = account
		if account.Isolated {
			table.isolated[account.Name] = accountScope(account.Name)
		}
		for _, key := range account.Keys {
			if key != "" { // requests without a key have none of these
				table.accountsByKey[sha256.Sum256([]byte(key))] = account
			}
		}
	}
	table.commonScope = commonScope(table.isolated)
	for i := range config.Services {
		service := &config.Services[i]
		table.services[service.Name] = service
		if service.CacheStore.IsValid() {
			table.cacheStores = append(table.cacheStores, service)
		}
	}
	return table
}

// maxWait returns the shortest LatencyTarget of the route itself and of the routes
// that share a service with it and have the same or a more urgent priority.
func maxWait(route *Route, routes []Route) settings.Span {
	shortest := route.LatencyTarget
	for i := range routes {
		other := &routes[i]
		if other.LatencyTarget > 0 && other.LatencyTarget < shortest && other.Priority <= route.Priority && sharesService(route, other) {
			shortest = other.LatencyTarget
		}
	}
	return shortest
}

func sharesService(first, second *Route) bool {
	for _, firstSplit := range first.Splits {
		for _, secondSplit := range second.Splits {
			if firstSplit.Service == secondSplit.Service {
				return true
			}
		}
	}
	return false
}

// Match returns the route with the longest matching prefix for a host and path,
// or nil. It ignores a port in the host.
func (table *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range table.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RequiresKey reports whether requests need a key, except on open routes.
func (table *Table) RequiresKey() bool {
	return !table.unrestricted
}

// Account returns the account to which the key belongs, or nil.
func (table *Table) Account(key string) *Account {
	return table.accountsByKey[sha256.Sum256([]byte(key))]
}

// AccountByName returns the account with the name, or nil.
func (table *Table) AccountByName(name string) *Account {
	return table.accountsByName[name]
}

// Service returns the service with the name, or nil.
func (table *Table) Service(name string) *Service {
	return table.services[name]
}

// CacheStores returns the services that are KV cache stores.
func (table *Table) CacheStores() []*Service {
	return table.cacheStores
}
