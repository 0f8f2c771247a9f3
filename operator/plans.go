package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/plan"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/report"
)

func (call *call) plans(id, verb string) (any, error) {
	switch {
	case call.IsGet() && id == "":
		return call.list(catalog.KindPlan)
	case call.IsGet():
		return call.get(catalog.KindPlan, id)
	case call.IsPost() && id == "":
		return call.computePlan()
	case call.IsPost() && verb == "confirm":
		return call.confirmPlan(id)
	case call.IsPost() && verb == "stop":
		return call.changePlan(id, "stop", stopPlan)
	}
	return nil, refusal.New(refusal.MethodNotAllowed, "use GET or POST on plans, or POST plans/ID/confirm or plans/ID/stop")
}

func (call *call) computePlan() (any, error) {
	var intent plan.Intent
	if err := json.Unmarshal(call.PostBody(), &intent); err != nil {
		return nil, refusal.New(refusal.BadRequest, "the body must be an intent: {action, target | model, weights | key}")
	}
	now := time.Now()
	computed, err := plan.Compute(intent, call.server.Fleet.Catalog(), now)
	if err != nil {
		return nil, err
	}
	computed.ID = fmt.Sprintf("%s-%s-%d", now.UTC().Format("20060102-150405"), strings.ReplaceAll(string(intent.Action), "_", "-"), now.Nanosecond()/1000)
	computed.Operator = call.operator
	computed.InFlight = call.inFlight(computed)
	text, err := json.Marshal(computed)
	if err != nil {
		return nil, err
	}
	item, err := call.write(catalog.KindPlan, computed.ID, 0, text)
	if err != nil {
		return nil, err
	}
	call.SetStatusCode(fasthttp.StatusCreated)
	return item, nil
}

// inFlight returns the number of requests in flight at the targets of a plan's
// steps.
func (call *call) inFlight(computed plan.Plan) int {
	affected := map[string]bool{}
	for _, step := range computed.Steps {
		for _, name := range step.Targets {
			affected[name] = true
		}
	}
	count := 0
	for _, target := range call.server.Fleet.FleetStatus().Targets {
		if affected[target.Name] {
			count += target.InFlight
		}
	}
	return count
}

func (call *call) confirmPlan(id string) (any, error) {
	return call.changePlan(id, "confirm", func(stored *plan.Plan) error {
		if stored.State != plan.Proposed {
			return refusal.New(refusal.Conflict, "only a proposed plan can be confirmed; this one is "+string(stored.State))
		}
		if changed := stored.StaleDependencies(call.server.Fleet.Catalog()); len(changed) > 0 {
			return refusal.New(refusal.StalePlan, "the plan is stale: "+strings.Join(changed, ", ")+"; compute it again")
		}
		stored.State = plan.Confirmed
		return nil
	})
}

func stopPlan(stored *plan.Plan) error {
	if !stored.Active() {
		return refusal.New(refusal.Conflict, "only a confirmed plan can be stopped; this one is "+string(stored.State))
	}
	stored.State = plan.Stopping
	stored.Note = "stopped between steps; what was done stays done"
	return nil
}

// changePlan reads a plan from the platform, applies edit and writes the plan back
// on condition that it is unchanged there.
func (call *call) changePlan(id, verb string, edit func(*plan.Plan) error) (any, error) {
	object, err := call.server.Platform.Get(call.context, objects.Configs, catalog.ID(catalog.KindPlan, id))
	if err != nil {
		return nil, err
	}
	stored, err := plan.Decode(catalog.FromPlatform(object))
	if err != nil {
		return nil, err
	}
	if err := edit(&stored); err != nil {
		return nil, err
	}
	if err := call.audit(verb, catalog.KindPlan, id, object.Metadata.ResourceVersion); err != nil {
		return nil, err
	}
	written, err := call.server.Fleet.Write(call.context, catalog.KindPlan, id, object.Metadata.ResourceVersion, stored)
	if err != nil {
		return nil, err
	}
	return itemOf(written), nil
}

// sloReport is the response to GET /v1/report/slo.
type sloReport struct {
	Objectives []report.Burn `json:"objectives"`
}

func (call *call) report(name string) (any, error) {
	if name != "slo" {
		return nil, unknownPath()
	}
	slots, err := call.server.Fleet.Slots(call.context)
	if err != nil {
		return nil, err
	}
	objectives := call.server.Fleet.Catalog().Snapshot().Objectives()
	return sloReport{Objectives: report.Burns(objectives, slots, time.Now())}, nil
}
