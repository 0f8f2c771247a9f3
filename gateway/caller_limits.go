package gateway

import (
	"github.com/bramleygw/bramleygw/relay"
	"github.com/bramleygw/bramleygw/routing"
)

// callerLimits provides the limits of the active configuration, or the defaults if there
// is none yet. It implements front.Limits.
type callerLimits struct{ relay *relay.Relay }

// Limits implements front.Limits.
func (callerLimits callerLimits) Limits() routing.Limits {
	return callerLimits.relay.Table().Limits()
}
