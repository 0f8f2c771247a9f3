package routing

import (
	"cmp"
	"time"

	"github.com/bramleygw/bramleygw/settings"
)

// Limits bounds what callers may send and how long they may take.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request's head.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int
	// HeaderTimeout is the maximum time in which a caller sends the head.
	HeaderTimeout settings.Span
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout settings.Span
}

// DefaultLimits returns the limits that apply where the configuration sets none.
func DefaultLimits() Limits {
	return Limits{
		MaxHeaderBytes: 16 << 10,
		MaxBodyBytes:   4 << 20,
		HeaderTimeout:  settings.Span(10 * time.Second),
		// Longer than callers keep idle connections, so that the server does not close a
		// connection on which a request is being sent.
		IdleTimeout: settings.Span(60 * time.Second),
	}
}

// withDefaults returns the limits, with the defaults in place of those that are 0 or less.
func (limits Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	return Limits{
		MaxHeaderBytes: cmp.Or(max(0, limits.MaxHeaderBytes), defaults.MaxHeaderBytes),
		MaxBodyBytes:   cmp.Or(max(0, limits.MaxBodyBytes), defaults.MaxBodyBytes),
		HeaderTimeout:  cmp.Or(max(0, limits.HeaderTimeout), defaults.HeaderTimeout),
		IdleTimeout:    cmp.Or(max(0, limits.IdleTimeout), defaults.IdleTimeout),
	}
}

// Limits returns the limits on what callers may send. Those of a nil table are the defaults.
func (table *Table) Limits() Limits {
	if table == nil {
		return DefaultLimits()
	}
	return table.limits
}
