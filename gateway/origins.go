package gateway

import (
	"context"

	"github.com/bramleygw/bramleygw/origin"
)

// RecordOrigins implements peer.Handler.
func (gateway *Gateway) RecordOrigins([]origin.Record) {}

// FindOrigin implements peer.Handler.
func (gateway *Gateway) FindOrigin(context.Context, origin.Query) origin.Answer {
	return origin.Answer{}
}
