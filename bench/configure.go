package bench

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/operator"
)

// Operator returns a client of a VM's operator API.
func (fleet *Fleet) Operator(vm *VM) *operator.Client {
	client, _ := operator.NewClient("http://"+vm.Settings.Operator.Address.String(), fleet.OperatorKey) // a valid URL
	return client
}

func (fleet *Fleet) configure() error {
	client := fleet.Operator(fleet.VMs[0])
	if err := Await(func() bool { return client.Do("GET", "status", nil, nil) == nil && fleet.VMs[0].Router.Ready() }); err != nil {
		return errors.Wrap(err, "waiting for the first VM")
	}
	if err := fleet.configureTargets(client); err != nil {
		return err
	}
	for i := range fleet.Layout.Accounts {
		account := &fleet.Layout.Accounts[i]
		if _, err := client.Create("client_accounts", account.Name, account.Account); err != nil {
			return err
		}
		issued, err := client.IssueKey(account.Name+"-key", account.Name)
		if err != nil {
			return err
		}
		account.Key = issued.Key
	}
	return nil
}

func (fleet *Fleet) configureTargets(client *operator.Client) error {
	for _, model := range fleet.Layout.Models {
		spec := catalog.Model{Name: model.Name, Weights: "w1", Interactive: model.Interactive, MinTargets: 1, Accounts: fleet.accountsUsing(model.Name)}
		if _, err := client.Create("models", model.Name, spec); err != nil {
			return err
		}
	}
	for i, engine := range fleet.Engines {
		spec := catalog.Target{
			Name: engine.Name, Kind: catalog.Engine, Address: engine.Addr(), Serves: engine.Model, Weights: "w1",
			AvailabilityZone: fleet.Layout.Zones[i%len(fleet.Layout.Zones)], ChecksFencing: engine.ChecksFencing,
		}
		if _, err := client.Create("targets", engine.Name, spec); err != nil {
			return err
		}
	}
	for _, service := range fleet.Services {
		spec := catalog.Target{Name: service.Name, Kind: catalog.Service, Address: service.Addr(), Serves: service.Name, AvailabilityZone: fleet.Layout.Zones[0]}
		if _, err := client.Create("targets", service.Name, spec); err != nil {
			return err
		}
	}
	for _, route := range fleet.Layout.Routes {
		if _, err := client.Create("routes", route.Name, route); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *Fleet) accountsUsing(model string) []string {
	var names []string
	for _, account := range fleet.Layout.Accounts {
		for _, used := range account.Models {
			if used == model {
				names = append(names, account.Name)
			}
		}
	}
	return names
}

// awaitConfigured waits until every VM has every account and target and every rate
// share has a holder.
func (fleet *Fleet) awaitConfigured() error {
	missing := ""
	err := Await(func() bool {
		missing = fleet.unmetCondition()
		return missing == ""
	})
	return errors.Wrap(err, missing)
}

// unmetCondition describes the first condition of awaitConfigured that does not
// hold, or returns an empty string.
func (fleet *Fleet) unmetCondition() string {
	for _, vm := range fleet.VMs {
		status := vm.Router.FleetStatus()
		accounts := len(vm.Router.Catalog().Snapshot().Accounts())
		if accounts < len(fleet.Layout.Accounts) || len(status.Targets) < len(fleet.Engines) {
			return fmt.Sprintf("%s has %d accounts and %d targets at version %s", status.VM, accounts, len(status.Targets), status.Version)
		}
		for _, right := range status.Rights {
			if right.Holder == "" {
				return fmt.Sprintf("%s reports %d rate shares without a holder: %+v", status.VM, right.Count, status)
			}
		}
	}
	return ""
}

// Await polls until the condition holds, and fails after readyTimeout.
func Await(condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.New("fleet not ready within the time-out; see the log events")
		}
		time.Sleep(readyPoll)
	}
	return nil
}
