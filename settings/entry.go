package settings

import "net/netip"

// EntryVM is the settings of one VM on a platform that gives each process its
// addresses, its limits and the bounds that it must keep.
type EntryVM struct {
	Name             string
	AvailabilityZone string
	// Caller, Ready and Peer are where callers, the balancer's readiness checks
	// and other VMs are served.
	Caller netip.AddrPort
	Ready  netip.AddrPort
	Peer   netip.AddrPort
	// Metrics is where metrics are served beside Ready; invalid for nowhere.
	Metrics netip.AddrPort
	// Seeds are the addresses of some VMs for the others; they may be stale.
	Seeds []netip.AddrPort
	Store netip.AddrPort
	// MemoryBytes is where the platform ends the process; 0 means no bound.
	MemoryBytes int64
	Bounds      Bounds
	// Ignored are the fields that this version does not read.
	Ignored []string
}

// Bounds are the platform's figures for what the fleet must keep.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace Span
	// Lease is the least time between orders of two holders.
	Lease Span
	// Weights is how long a target may begin work on replaced weights.
	Weights Span
	// RetryShare is the part of a service's requests that may be sent again in
	// any window, beyond RetryReserve.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  Span
}
