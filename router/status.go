package router

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/objects"
	"github.com/bramleygw/bramleygw/operator"
	"github.com/bramleygw/bramleygw/peer"
	"github.com/bramleygw/bramleygw/quota"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/report"
	"github.com/bramleygw/bramleygw/retry"
)

// FleetStatus implements operator.Fleet.
func (router *Router) FleetStatus() operator.Status {
	now := time.Now()
	snapshot := router.store.Snapshot()
	status := operator.Status{
		VM:       router.Settings.Name,
		Version:  snapshot.Version,
		VMs:      router.members.Views(now),
		Targets:  []operator.TargetStatus{},
		Rights:   rightHolders(snapshot),
		Requests: router.dispatcher.InFlight(),
		Degraded: router.degraded(now),
		UptimeMS: now.Sub(router.started).Milliseconds(),
	}
	for i := range status.VMs {
		if status.VMs[i].Name == router.Settings.Name {
			status.VMs[i].Version = snapshot.Version
			status.VMs[i].HeartbeatAgeMS = 0
		}
	}
	for _, target := range snapshot.Targets() {
		state := router.dispatcher.Targets.Table().State(target.Name, target.AvailabilityZone)
		status.Targets = append(status.Targets, operator.TargetStatus{
			Name: target.Name, Serves: target.Serves, Weights: target.Weights,
			Healthy: state.Healthy(), Draining: state.Draining(), InFlight: state.InFlight(),
		})
	}
	return status
}

func rightHolders(snapshot *catalog.Snapshot) []operator.RightStatus {
	counts := map[string]int{}
	for index := range quota.Rights {
		held := snapshot.Right(index).Right
		if held == nil || held.Released {
			counts[""]++
			continue
		}
		counts[held.Holder]++
	}
	holders := make([]operator.RightStatus, 0, len(counts))
	for holder, count := range counts {
		holders = append(holders, operator.RightStatus{Holder: holder, Count: count})
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i].Holder < holders[j].Holder })
	return holders
}

func (router *Router) degraded(now time.Time) []operator.Degradation {
	degradations := []operator.Degradation{}
	if age := router.members.PlatformAge(now); age > platformDownAfter {
		degradations = append(degradations, operator.Degradation{
			Name: "platform_down", SinceMS: age.Milliseconds(),
			Meaning: "requests are served with the last configuration; calls that may run once and changes are refused",
		})
	}
	if router.members.Isolated(now) {
		degradations = append(degradations, operator.Degradation{
			Name: "isolated", SinceMS: router.members.PlatformAge(now).Milliseconds(),
			Meaning: "keyed requests are refused here; the balancer should use other VMs",
		})
	}
	return degradations
}

// Withdraw implements operator.Fleet. While the platform is down, a withdrawal
// is in force once a majority of the VMs have received it, and is recorded in the
// platform later. Without a majority, Withdraw returns a refusal. It reports whether
// the platform has recorded the withdrawal.
func (router *Router) Withdraw(ctx context.Context, name string) (bool, error) {
	object, ok := router.store.Object(catalog.KindKey, name)
	if !ok {
		return false, objects.ErrNotFound
	}
	var key catalog.Key
	if err := json.Unmarshal(object.Spec, &key); err != nil {
		return false, errors.Wrap(err, "key is not readable; write it again")
	}
	key.Withdrawn = true
	for {
		_, err := router.Write(ctx, catalog.KindKey, name, object.Version, key)
		if err == nil {
			return true, nil
		}
		if !errors.Is(err, objects.ErrConflict) {
			return false, router.withdrawWithoutPlatform(ctx, object, key)
		}
		stored, err := router.platform.Get(ctx, objects.Configs, object.ID)
		if err != nil {
			return false, router.withdrawWithoutPlatform(ctx, object, key)
		}
		object.Version = stored.Metadata.ResourceVersion
	}
}

func (router *Router) withdrawWithoutPlatform(ctx context.Context, object catalog.Object, key catalog.Key) error {
	spec, err := json.Marshal(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	storedVersion := object.Version
	object.Spec = spec
	object.Version++ // the platform's next version of this key is at least this
	router.store.ApplyUnordered(object)
	notified := router.notify(ctx, peer.Notice{Objects: []catalog.Object{object}})
	router.enqueueTask(func(ctx context.Context) { router.recordWithdrawal(ctx, key, storedVersion) })
	if others := len(router.members.Peers(time.Now())); others > 0 && 2*(notified+1) <= others+1 {
		return refusal.New(refusal.PlatformUnavailable, "the platform and most other VMs do not answer; the key is withdrawn on this VM alone, repeat at another VM").WithOutcome(refusal.Unknown)
	}
	return nil
}

// recordWithdrawal writes a withdrawal that was made while the platform was down
// to the platform. It queues itself again until the write succeeds or the platform's
// version of the key is withdrawn.
func (router *Router) recordWithdrawal(ctx context.Context, key catalog.Key, version objects.Version) {
	_, err := router.Write(ctx, catalog.KindKey, key.Name, version, key)
	if err == nil {
		return
	}
	if errors.Is(err, objects.ErrConflict) {
		stored, err := router.platform.Get(ctx, objects.Configs, catalog.ID(catalog.KindKey, key.Name))
		if err == nil {
			var storedKey catalog.Key
			if json.Unmarshal(stored.Spec, &storedKey) == nil && storedKey.Withdrawn {
				return
			}
			version = stored.Metadata.ResourceVersion
		}
	}
	if retry.Wait(ctx, time.Now().Add(time.Second)) {
		router.enqueueTask(func(ctx context.Context) { router.recordWithdrawal(ctx, key, version) })
	}
}

// adoptWithdrawal queues a write of a withdrawal received from another VM while
// the platform is down, in case that VM fails before it can record the withdrawal.
func (router *Router) adoptWithdrawal(object catalog.Object) {
	var key catalog.Key
	if object.Kind() != catalog.KindKey || json.Unmarshal(object.Spec, &key) != nil || !key.Withdrawn {
		return
	}
	if router.members.PlatformAge(time.Now()) > platformDownAfter {
		router.enqueueTask(func(ctx context.Context) { router.recordWithdrawal(ctx, key, object.Version-1) })
	}
}

// burnObject holds the counts of one VM for the burn report, as stored in the
// platform.
type burnObject struct {
	VM    string        `json:"vm"`
	Slots []report.Slot `json:"slots"`
}

func (router *Router) burnName() string {
	return "burn." + router.Settings.Name + "." + router.bootID
}

// writeBurn writes this VM's counts for the burn report to the platform.
func (router *Router) writeBurn(ctx context.Context) {
	slots := router.burn.Slots()
	if len(slots) == 0 {
		return
	}
	counts := burnObject{VM: router.Settings.Name, Slots: slots}
	router.metrics.PlatformCalls.Add(1)
	stored, err := router.platform.Get(ctx, objects.Status, router.burnName())
	if errors.Is(err, objects.ErrNotFound) {
		_, _ = router.platform.Create(ctx, objects.Status, router.burnName(), counts) // the next write includes the counts of a failed one
		return
	}
	if err == nil {
		_, _ = router.platform.Update(ctx, objects.Status, router.burnName(), stored.Metadata.ResourceVersion, counts)
	}
}

// Slots implements operator.Fleet. It returns this VM's current counts and the
// counts that the other VMs last wrote to the platform.
func (router *Router) Slots(ctx context.Context) ([]report.Slot, error) {
	slots := router.burn.Slots()
	list, err := router.platform.List(ctx, objects.Status)
	if err != nil {
		return nil, err
	}
	for _, item := range list.Items {
		var counts burnObject
		if item.Metadata.Name == router.burnName() || json.Unmarshal(item.Spec, &counts) != nil {
			continue
		}
		slots = append(slots, counts.Slots...)
	}
	return slots, nil
}
