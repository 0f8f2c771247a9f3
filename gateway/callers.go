package gateway

import (
	"time"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/occupancy"
	"github.com/bramleygw/bramleygw/settings"
)

const (
	// callerMemory is the share of the VM's memory for the connections of callers with their
	// requests, callerSockets and peerSockets are the shares of its sockets for callers and
	// for other VMs. The rest is for targets, the store and checks.
	callerMemory  = 0.25
	callerSockets = 0.5
	peerSockets   = 0.25
)

// callerOccupancy returns what the connections of callers may hold together.
func callerOccupancy(vm settings.PlatformVM) occupancy.Limits {
	return occupancy.Limits{
		Connections: int(callerSockets * float64(vm.Sockets())), Bytes: int64(callerMemory * float64(vm.MemoryBytes)),
	}
}

// peerOccupancy returns what the connections of other VMs may hold together.
func peerOccupancy(vm settings.PlatformVM) occupancy.Limits {
	return occupancy.Limits{Connections: int(peerSockets * float64(vm.Sockets()))}
}

// sweepCallers closes connections that stopped for too long, and reports what was closed
// and refused.
func (sweeper *sweeper) sweepCallers(now time.Time) {
	sweeper.callers.Sweep(now)
	usage, metrics := sweeper.callers.Usage(), sweeper.metrics
	metrics.CallerConnections.Set(int64(usage.Connections))
	metrics.CallerBytes.Set(usage.Bytes)
	metrics.CallersClosed.Set(usage.Closed)
	metrics.CallersRefused.Set(usage.Refused)
	logged := &sweeper.callersLogged
	if usage.Closed == logged.Closed && usage.Refused == logged.Refused {
		return
	}
	if _, ok := sweeper.callerSampler.Allow(now, 1); !ok {
		return
	}
	sweeper.Log.Emit(event.CallersStopped,
		event.F("closed", usage.Closed-logged.Closed), event.F("refused", usage.Refused-logged.Refused),
		event.F("connections", usage.Connections), event.F("requests", usage.Requests), event.F("bytes", usage.Bytes))
	*logged = usage
}
