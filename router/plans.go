package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/lease"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/plan"
	"github.com/bramleygw/bramleygw/target"
)

const statusTimeout = 500 * time.Millisecond

// planIndex is the rendezvous hashing key that selects the VM that runs plans.
const planIndex = 1 << 20

// runPlans runs confirmed plans while this VM holds the plans lease.
func (router *Router) runPlans(ctx context.Context) error {
	runner := &plan.Runner{
		VM:    router.Settings.Name,
		Fleet: router,
		Lease: lease.New(router.platform, "plans", router.Settings.Name+"/"+router.bootID),
		Log:   router.Log,
	}
	return runner.Run(ctx)
}

// Catalog implements plan.Fleet and operator.Fleet.
func (router *Router) Catalog() *catalog.Store {
	return router.store
}

// Preferred implements plan.Fleet.
func (router *Router) Preferred() bool {
	return router.members.Preferred(planIndex, time.Now()) == router.Settings.Name
}

// Change implements plan.Fleet and operator.Fleet.
func (router *Router) Change(ctx context.Context, kind catalog.Kind, name string, version objects.Version, spec any) error {
	_, err := router.Write(ctx, kind, name, version, spec)
	return err
}

// Write implements operator.Fleet. It creates the object if version is 0, and
// otherwise updates it on condition that it still has that version; then it
// publishes the object. A write whose answer was lost is read back.
func (router *Router) Write(ctx context.Context, kind catalog.Kind, name string, version objects.Version, spec any) (catalog.Object, error) {
	router.metrics.PlatformCalls.Add(1)
	var written objects.Object
	var err error
	if version == 0 {
		written, err = router.platform.Create(ctx, objects.Configs, catalog.ID(kind, name), spec)
	} else {
		written, err = router.platform.Update(ctx, objects.Configs, catalog.ID(kind, name), version, spec)
	}
	if errors.Is(err, objects.ErrUnknown) {
		written, err = router.resolveUnknownWrite(ctx, kind, name, version, spec, err)
	}
	if err != nil {
		return catalog.Object{}, err
	}
	object := catalog.FromPlatform(written)
	router.Publish(ctx, object)
	return object, nil
}

// resolveUnknownWrite determines whether a write whose answer was lost took
// effect, which is the case if the object has the new content at a later version.
// It returns writeErr if the object is unchanged or the outcome stays unknown, and
// objects.ErrConflict if another write changed the object.
func (router *Router) resolveUnknownWrite(ctx context.Context, kind catalog.Kind, name string, version objects.Version, spec any, writeErr error) (objects.Object, error) {
	router.metrics.PlatformCalls.Add(1)
	object, err := router.platform.Get(ctx, objects.Configs, catalog.ID(kind, name))
	if err != nil {
		return objects.Object{}, writeErr
	}
	want, err := json.Marshal(spec)
	if err != nil {
		return objects.Object{}, writeErr
	}
	if object.Metadata.ResourceVersion > version && string(object.Spec) == string(want) {
		return object, nil
	}
	if object.Metadata.ResourceVersion == version {
		return objects.Object{}, writeErr
	}
	return objects.Object{}, objects.ErrConflict
}

// Delete implements plan.Fleet and operator.Fleet.
func (router *Router) Delete(ctx context.Context, kind catalog.Kind, name string, version objects.Version) error {
	router.metrics.PlatformCalls.Add(1)
	return router.platform.Delete(ctx, objects.Configs, catalog.ID(kind, name), version)
}

// order is the JSON body of an order to a target's engine.
type order struct {
	Type         string `json:"type"`
	Weights      string `json:"weights,omitempty"`
	FencingToken uint64 `json:"fencing_token"`
}

// LoadWeights implements plan.Fleet.
func (router *Router) LoadWeights(ctx context.Context, name, weights string, token uint64, deadline time.Time) error {
	client := router.dispatcher.Targets.Client(name)
	if client == nil {
		return errors.Newf("target %s is not configured", name)
	}
	body, err := json.Marshal(order{Type: "load_weights", Weights: weights, FencingToken: token})
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	return client.Order(ctx, body, deadline)
}

// Status implements plan.Fleet.
func (router *Router) Status(ctx context.Context, name string) (plan.TargetStatus, error) {
	client := router.dispatcher.Targets.Client(name)
	if client == nil {
		return plan.TargetStatus{}, errors.Newf("target %s is not configured", name)
	}
	head, _, err := client.Do(ctx, target.Call{
		Method:    fasthttp.MethodGet,
		Path:      "/health",
		RequestID: router.dispatcher.NewID(),
		Deadline:  time.Now().Add(statusTimeout),
	}, nil)
	if err != nil {
		return plan.TargetStatus{}, err
	}
	status := plan.TargetStatus{Weights: head.Weights, Running: router.dispatcher.Targets.Table().State(name, "").InFlight()}
	if head.HasLoad {
		status.Running = max(status.Running, head.Load.Running)
	}
	return status, nil
}
