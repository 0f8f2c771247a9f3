// Package routing is the operators' configuration in force: which route a
// request takes, which client account a key belongs to, and what the services
// are.
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

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests run at most once.
	Once
	// Stream answers are events; the request runs at most once.
	Stream
	// ResumableStream answers are events that another target may continue.
	ResumableStream
)

// String returns the kind's name for logs.
func (kind Kind) String() string {
	return [...]string{"idempotent", "once", "stream", "resumable_stream"}[kind]
}

// Repeatable reports whether the request may run again after it may have run.
func (kind Kind) Repeatable() bool {
	return kind == Idempotent || kind == ResumableStream
}

// Streams reports whether the answer is a series of events.
func (kind Kind) Streams() bool {
	return kind == Stream || kind == ResumableStream
}

// Split is a service's share of a route.
type Split struct {
	Service string
	Weight  int
}

// Route is where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Splits has at least one entry with a weight above zero.
	Splits []Split
	// Timeout is the longest that a caller is kept waiting; zero means no bound.
	Timeout settings.Span
	// Aim is the time to the whole answer, or to a stream's first event.
	Aim settings.Span
	// GapAim is the longest pause between two events of a stream.
	GapAim settings.Span
	// Attempts is the number of targets that may get one request; at least 1.
	Attempts int
	// Priority is 0 for the most urgent.
	Priority int
	// Open routes need no key.
	Open bool
	// Patience is the shortest aim of the routes to the same service that are as
	// urgent or more so; NewTable sets it. A request that waits longer than that
	// has requests behind it that cannot be in time any more.
	Patience settings.Span
}

// Service returns the service for the request with the given identity. The
// same identity always gets the same one.
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
	point := int(prefix.Mix(prefix.Digest(id)) % uint64(total))
	for _, split := range route.Splits {
		if point -= split.Weight; point < 0 {
			return split.Service
		}
	}
	return ""
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in tokens a second and Burst in tokens; 0 means no limit.
	Rate  float64
	Burst float64
	// ByTokens accounts are charged by tokens, others one for each request.
	ByTokens bool
	// PlainTokens is charged for a request that names no tokens.
	PlainTokens float64
	// Isolated accounts share no cache entries with others.
	Isolated bool
}

// Limited reports whether the account has a limit.
func (account *Account) Limited() bool {
	return account.Rate > 0 || account.Burst > 0
}

// Service is a group of targets that do the same.
type Service struct {
	Name string
	// Models is empty for plain services.
	Models []string
	// CacheStore is the address of a store of KV cache; invalid for targets.
	CacheStore netip.AddrPort
	Zone       string
}

// Config is a configuration as it was read.
type Config struct {
	Version  int64
	Routes   []Route
	Accounts []Account
	Services []Service
}

// Table is one version of the configuration.
type Table struct {
	// Version grows with each change by the operators.
	Version int64

	hosts    map[string][]*Route // longest prefix first
	accounts map[[sha256.Size]byte]*Account
	named    map[string]*Account
	services map[string]*Service
	stores   []*Service
}

// NewTable indexes a configuration.
func NewTable(config Config) *Table {
	table := &Table{
		Version:  config.Version,
		hosts:    map[string][]*Route{},
		accounts: map[[sha256.Size]byte]*Account{},
		named:    map[string]*Account{},
		services: map[string]*Service{},
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for i := range config.Routes {
		config.Routes[i].Patience = patience(&config.Routes[i], config.Routes)
	}
	for _, routes := range table.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Accounts {
		account := &config.Accounts[i]
		table.named[account.Name] = account
		for _, key := range account.Keys {
			table.accounts[sha256.Sum256([]byte(key))] = account
		}
	}
	for i := range config.Services {
		service := &config.Services[i]
		table.services[service.Name] = service
		if service.CacheStore.IsValid() {
			table.stores = append(table.stores, service)
		}
	}
	return table
}

// patience returns the shortest aim of the routes that share a service with the
// route and are as urgent or more so.
func patience(route *Route, routes []Route) settings.Span {
	shortest := route.Aim
	for i := range routes {
		other := &routes[i]
		if other.Aim > 0 && other.Aim < shortest && other.Priority <= route.Priority && sharesService(route, other) {
			shortest = other.Aim
		}
	}
	return shortest
}

func sharesService(first, second *Route) bool {
	for _, one := range first.Splits {
		for _, other := range second.Splits {
			if one.Service == other.Service {
				return true
			}
		}
	}
	return false
}

// Match returns the route of a host and path, or nil. A port in the host is
// ignored.
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

// Keyed reports whether requests need a key, but for open routes.
func (table *Table) Keyed() bool {
	return len(table.named) > 0
}

// Account returns the account that holds the key, or nil.
func (table *Table) Account(key string) *Account {
	return table.accounts[sha256.Sum256([]byte(key))]
}

// AccountNamed returns the account with the name, or nil.
func (table *Table) AccountNamed(name string) *Account {
	return table.named[name]
}

// Service returns the service with the name, or nil.
func (table *Table) Service(name string) *Service {
	return table.services[name]
}

// CacheStores returns the stores of KV cache.
func (table *Table) CacheStores() []*Service {
	return table.stores
}
