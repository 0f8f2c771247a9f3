package settings

import "net/netip"

// PlatformVM contains the settings of one VM on a platform that assigns each
// process its addresses, its limits and the bounds that it must observe.
type PlatformVM struct {
	Name             string
	AvailabilityZone string
	// Caller, Ready and Peer are the addresses on which the VM serves callers, the
	// load balancer's readiness checks and other VMs.
	Caller netip.AddrPort
	Ready  netip.AddrPort
	Peer   netip.AddrPort
	// Metrics is an address on which metrics are served in addition to Ready. If it
	// is invalid, there is none.
	Metrics netip.AddrPort
	// Seeds are the addresses of some VMs, used to find the others; they may be stale.
	Seeds []netip.AddrPort
	// Store is the address of the platform's object store.
	Store netip.AddrPort
	// MemoryBytes is the memory use at which the platform kills the process; 0 means
	// no limit.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may open; 0 means no
	// limit.
	MaxDescriptors int
	// FirstStart is set when this process starts together with the whole system, which
	// has not run before.
	FirstStart bool
	Bounds     Bounds
	// MemoryPressure is set when targets crash if the requests that they hold exceed
	// their memory.
	MemoryPressure bool
	// Releases is set when operators ask for releases of new software versions.
	Releases bool
	// Ignored lists the fields that this version does not read.
	Ignored []string
}

// fileDescriptors is the number of descriptors that the platform reserves for files.
const fileDescriptors = 200

// Sockets returns how many sockets the process may open; 0 means no limit.
func (vm PlatformVM) Sockets() int {
	return max(0, vm.MaxDescriptors-fileDescriptors)
}

// Bounds contains the limits that the platform sets and the fleet must observe.
type Bounds struct {
	// Grace is the time from SIGTERM to SIGKILL.
	Grace Span
	// ConfigDelay is how long after its confirmation a version of the configuration may not
	// be in force yet.
	ConfigDelay Span
	// TakeoverDelay is the minimum time between the orders of two successive lease
	// holders.
	TakeoverDelay Span
	// WeightsGrace is how long after a replacement of the weights a target may still
	// start requests with the old ones.
	WeightsGrace Span
	// RetryShare is the share of a service's requests that may be retried in any
	// window of length RetryWindow, in addition to RetryReserve retries.
	RetryShare   float64
	RetryReserve float64
	RetryWindow  Span
	// LimitOverage is the share of an account's entitlement in any window of length
	// LimitWindow that the fleet may admit in addition to it and to LimitReserve tokens.
	LimitOverage float64
	LimitReserve float64
	LimitWindow  Span
	// ExposureShare is the share of a service's requests that a bad software version
	// may get during its release, in addition to ExposureReserve requests.
	// RollbackDelay is how long after the 50th bad answer requests may still be sent to
	// it.
	ExposureShare   float64
	ExposureReserve float64
	RollbackDelay   Span
}
