// Package configuration tests configuration changes by operators.
package configuration

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/bench"
	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/operator"
	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/test/harness"
)

const account = "school"

// rateAt returns the rate of the account in a VM's catalog, or 0 if the VM does not
// know the account.
func rateAt(vm *bench.VM) float64 {
	known := vm.Router.Catalog().Snapshot().Account(account)
	if known == nil {
		return 0
	}
	return known.Rate
}

func setRate(client *operator.Client, rate float64) error {
	item, err := client.Get("client_accounts", account)
	if err != nil {
		return err
	}
	item.Spec, err = json.Marshal(catalog.Account{Name: account, Rate: rate, Burst: 4 * rate})
	if err != nil {
		return err
	}
	_, err = client.Update("client_accounts", item)
	return err
}

// Guarantee: an accepted configuration is in force on all VMs within seconds and
// never reverts.
func TestAcceptedChangeReachesAllVMsAndNeverReverts(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*testing.T, *bench.Fleet)
	}{
		{"no fault", func(*testing.T, *bench.Fleet) {}},
		{"watches fell too far behind", func(_ *testing.T, fleet *bench.Fleet) { fleet.Platform.CompactHistory() }},
		{"platform down for the others", func(_ *testing.T, fleet *bench.Fleet) {
			fleet.VMs[1].Endpoint.Disconnect()
			fleet.VMs[2].Endpoint.Disconnect()
		}},
		{"answers lost", func(_ *testing.T, fleet *bench.Fleet) { fleet.VMs[0].Endpoint.LoseAnswers.Store(2) }},
		{"a VM restarts", func(t *testing.T, fleet *bench.Fleet) {
			if err := fleet.Shutdown(fleet.VMs[1]); err != nil {
				t.Fatal(err)
			}
			if err := fleet.Boot(fleet.VMs[1]); err != nil {
				t.Fatal(err)
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fleet, _ := harness.Start(t, bench.Small(1))
			client := fleet.Operator(fleet.VMs[0])
			highest := make([]float64, len(fleet.VMs))
			for round := range 5 {
				rate := 2_000_000 + float64(round)
				if round == 2 {
					test.fault(t, fleet)
				}
				harness.Await(t, "the change to be accepted", func() bool { return setRate(client, rate) == nil || rateAt(fleet.VMs[0]) == rate })
				harness.Await(t, "the change to be in force on all VMs", func() bool {
					for i, vm := range fleet.VMs {
						got := rateAt(vm)
						if got < highest[i] && got != 0 { // 0: the process has just started
							t.Errorf("got rate %v at VM %d after %v, want no older configuration", got, i, highest[i])
						}
						highest[i] = max(highest[i], got)
						if got != rate {
							return false
						}
					}
					return true
				})
			}
		})
	}
}

// Of two conflicting changes one is accepted; the refusal of the other says what
// changed.
func TestConflictingChanges(t *testing.T) {
	fleet, _ := harness.Start(t, bench.Small(1))
	first, second := fleet.Operator(fleet.VMs[0]), fleet.Operator(fleet.VMs[1])
	item, err := second.Get("client_accounts", account)
	if err != nil {
		t.Fatal(err)
	}
	if err := setRate(first, 3_000_000); err != nil {
		t.Fatal(err)
	}
	item.Spec, _ = json.Marshal(catalog.Account{Name: account, Rate: 5, Burst: 50})
	_, err = second.Update("client_accounts", item)
	var refused *refusal.Refusal
	if !errors.As(err, &refused) || refused.Code != refusal.Conflict {
		t.Fatalf("got %v, want %s", err, refusal.Conflict)
	}
	if want := "rate is 3000000"; !strings.Contains(refused.Message, want) {
		t.Errorf("got %q, want it to say %q", refused.Message, want)
	}
}

// Guards against lost updates: operators change the same object concurrently through
// all VMs, and each accepted change must be applied exactly once.
func TestConcurrentChangesAreNotLost(t *testing.T) {
	fleet, _ := harness.Start(t, bench.Small(1))
	if err := setRate(fleet.Operator(fleet.VMs[0]), 1_000_000); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	accepted := 0
	var group sync.WaitGroup
	for i := range 9 {
		group.Go(func() {
			client := fleet.Operator(fleet.VMs[i%3])
			for range 10 {
				item, err := client.Get("client_accounts", account)
				if err != nil {
					continue
				}
				var spec catalog.Account
				if json.Unmarshal(item.Spec, &spec) != nil {
					continue
				}
				spec.Rate++
				item.Spec, _ = json.Marshal(spec)
				if _, err := client.Update("client_accounts", item); err == nil {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	want := 1_000_000 + float64(accepted)
	harness.Await(t, fmt.Sprintf("the rate %v on all VMs", want), func() bool {
		for _, vm := range fleet.VMs {
			if rateAt(vm) != want {
				return false
			}
		}
		return true
	})
	if accepted == 0 {
		t.Error("got no change accepted, want some")
	}
}

func TestInvalidChangesAreRefusedWithRemedy(t *testing.T) {
	fleet, _ := harness.Start(t, bench.Small(1))
	client := fleet.Operator(fleet.VMs[0])
	cases := []struct {
		name, method, path, want string
		body                     any
		code                     refusal.Code
	}{
		{"no burst", "POST", "client_accounts", "burst", map[string]any{"name": "a", "spec": map[string]any{"rate": 5}}, refusal.BadRequest},
		{"bad name", "POST", "client_accounts", "name", map[string]any{"name": "a b", "spec": map[string]any{"rate": 5, "burst": 50}}, refusal.BadRequest},
		{"name exists", "POST", "client_accounts", "exists", map[string]any{"name": account, "spec": map[string]any{"rate": 5, "burst": 50}}, refusal.Conflict},
		{"no version", "PUT", "client_accounts/" + account, "version", map[string]any{"spec": map[string]any{"rate": 5, "burst": 50}}, refusal.BadRequest},
		{"unknown member of the body", "POST", "models", "spec", map[string]any{"nam": "x"}, refusal.BadRequest},
		{"target without port", "POST", "targets", "address", map[string]any{"name": "t", "spec": map[string]any{"kind": "engine", "address": "1.2.3.4", "serves": "m", "weights": "w"}}, refusal.BadRequest},
		{"route under /v1/", "POST", "routes", "path", map[string]any{"name": "r", "spec": map[string]any{"path": "/v1/x/", "service": "s"}}, refusal.BadRequest},
		{"no such object", "GET", "targets/none", "list them", nil, refusal.NotFound},
		{"no such collection", "GET", "nonsense", "docs", nil, refusal.NotFound},
		{"key for nobody", "POST", "keys", "account", map[string]any{"name": "k", "account": "nobody"}, refusal.NotFound},
		{"plan for nothing", "POST", "plans", "action", map[string]any{"action": "dance"}, refusal.BadRequest},
	}
	for _, test := range cases {
		err := client.Do(test.method, test.path, test.body, nil)
		var refused *refusal.Refusal
		if !errors.As(err, &refused) || refused.Code != test.code || !strings.Contains(refused.Message, test.want) {
			t.Errorf("%s: got %v, want %s that names %q", test.name, err, test.code, test.want)
		}
	}
	unauthorized, err := operator.NewClient(client.URL, "wrong")
	if err != nil {
		t.Fatal(err)
	}
	if err := unauthorized.Do("GET", "status", nil, nil); err == nil {
		t.Error("got an answer without an operator key, want a refusal")
	}
}
