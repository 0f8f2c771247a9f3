// Package operator serves the administration API: HTTP with JSON in snake case
// under /v1. Operators authenticate with a key.
//
// Collections are listed in pages, and updates are conditional on the resource
// version. An audit record is written before each change. Plans are computed,
// confirmed, shown and stopped through this API; package plan runs them.
// docs/OPERATORS.md documents the calls.
//
// # Usage
//
//	server := &operator.Server{Listener: listener, Keys: keys, Fleet: fleet, ...}
//	err := server.Run(ctx)
package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/report"
	"github.com/bramleygw/bramleygw/settings"
)

const (
	// APIPath is the path prefix of the API.
	APIPath     = "/v1/"
	stopTimeout = 2 * time.Second
	callTimeout = 10 * time.Second
)

// Fleet is the view of the fleet that the API reads and changes.
type Fleet interface {
	Catalog() *catalog.Store
	// Write creates (version 0) or updates an object and publishes it to all VMs.
	Write(ctx context.Context, kind catalog.Kind, name string, version objects.Version, spec any) (catalog.Object, error)
	Delete(ctx context.Context, kind catalog.Kind, name string, version objects.Version) error
	// Withdraw makes a key invalid, even while the platform is down. recorded
	// reports whether the platform has the withdrawal.
	Withdraw(ctx context.Context, name string) (recorded bool, err error)
	FleetStatus() Status
	// Slots returns the counts of all VMs for the burn report (GET report/slo).
	Slots(ctx context.Context) ([]report.Slot, error)
}

// Server serves the API. Set the exported fields before calling Run.
type Server struct {
	Listener net.Listener
	TLS      *tls.Config
	Limits   settings.Limits
	Keys     []settings.OperatorKey
	Platform *objects.Client
	Fleet    Fleet
	VM       string
}

// Run serves until ctx is canceled, then shuts down within stopTimeout.
func (server *Server) Run(ctx context.Context) error {
	http := &fasthttp.Server{
		Handler:               server.serve,
		MaxRequestBodySize:    server.Limits.MaxBodyBytes,
		ReadTimeout:           callTimeout,
		WriteTimeout:          callTimeout,
		IdleTimeout:           callTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                connection.DiscardLogger{},
	}
	listener := server.Listener
	if server.TLS != nil {
		listener = tls.NewListener(listener, server.TLS)
	}
	stop := context.AfterFunc(ctx, func() {
		stopContext, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = http.ShutdownWithContext(stopContext) // connections still open are closed when the process exits
	})
	defer stop()
	err := http.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// call is one request from an authenticated operator.
type call struct {
	*fasthttp.RequestCtx
	server   *Server
	operator string
	context  context.Context
}

func (server *Server) serve(ctx *fasthttp.RequestCtx) {
	operator, ok := server.authenticate(ctx)
	if !ok {
		refuse(ctx, refusal.New(refusal.InvalidKey, "send an operator key as Authorization: Bearer KEY"))
		return
	}
	callContext, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call := &call{RequestCtx: ctx, server: server, operator: operator, context: callContext}
	result, err := call.dispatch(strings.Trim(string(ctx.Path()), "/"))
	if err != nil {
		refuse(ctx, asRefusal(err))
		return
	}
	if result != nil {
		writeJSON(ctx, result)
	}
}

// authenticate returns the name of the operator whose key the request carries. It
// compares the request's key with all operator keys, each in constant time.
func (server *Server) authenticate(ctx *fasthttp.RequestCtx) (string, bool) {
	key, _ := bytes.CutPrefix(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization), []byte("Bearer "))
	sum := sha256.Sum256(key)
	digest := []byte(hex.EncodeToString(sum[:]))
	name, found := "", false
	for _, operatorKey := range server.Keys {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(operatorKey.Digest)), digest) == 1 {
			name, found = operatorKey.Name, true
		}
	}
	return name, found
}

// dispatch runs the action for a path. If it returns neither a result nor an error,
// the response has been written already.
func (call *call) dispatch(path string) (any, error) {
	parts := strings.Split(path, "/")
	if path == "debug/vars" && call.IsGet() {
		expvarhandler.ExpvarHandler(call.RequestCtx)
		return nil, nil
	}
	if parts[0] != "v1" || len(parts) < 2 {
		return nil, unknownPath()
	}
	name, verb := "", ""
	if len(parts) > 2 {
		name = parts[2]
	}
	if len(parts) > 3 {
		verb = parts[3]
	}
	switch parts[1] {
	case "status":
		return call.server.Fleet.FleetStatus(), nil
	case "report":
		return call.report(name)
	case "plans":
		return call.plans(name, verb)
	case "audits":
		return call.audits()
	case "keys":
		return call.keys(name, verb)
	}
	for _, resource := range resources {
		if resource.path == parts[1] {
			return call.resource(resource, name)
		}
	}
	return nil, unknownPath()
}

func unknownPath() error {
	return refusal.New(refusal.NotFound, "no such path; docs/OPERATORS.md lists them")
}

func asRefusal(err error) *refusal.Refusal {
	var refused *refusal.Refusal
	switch {
	case errors.As(err, &refused):
		return refused
	case errors.Is(err, objects.ErrNotFound):
		return refusal.New(refusal.NotFound, "there is no such object; list them to see the names")
	case errors.Is(err, objects.ErrExists):
		return refusal.New(refusal.Conflict, "an object of that name exists; choose another name or update it")
	case errors.Is(err, objects.ErrConflict):
		return refusal.New(refusal.Conflict, "the object was changed meanwhile; read it again and repeat your change")
	case errors.Is(err, objects.ErrUnknown):
		return refusal.New(refusal.OutcomeUnknown, "the platform's answer was lost; read the object to see whether the change took effect")
	}
	return refusal.New(refusal.PlatformUnavailable, "the platform does not answer; retry later").WithRetryAt(time.Now().Add(time.Second))
}

func refuse(ctx *fasthttp.RequestCtx, refused *refusal.Refusal) {
	ctx.SetStatusCode(refused.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(refusal.OutcomeHeader, string(refused.Outcome))
	ctx.SetBody(refused.JSON())
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		refuse(ctx, refusal.New(refusal.BadRequest, "the answer cannot be encoded; report this"))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
