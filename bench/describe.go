package bench

import "github.com/bramleygw/bramleygw/catalog"

// Description lists what other programs need to use a running fleet: addresses,
// accounts and keys, models, routes and targets.
type Description struct {
	VMs         []DescribedVM      `json:"vms"`
	Accounts    []DescribedAccount `json:"client_accounts"`
	OperatorKey string             `json:"operator_key"`
	Models      []string           `json:"models"`
	Routes      []catalog.Route    `json:"routes"`
	Targets     []DescribedTarget  `json:"targets"`
	Platform    string             `json:"platform"`
}

// DescribedVM holds a VM's addresses as URLs.
type DescribedVM struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Caller           string `json:"caller"`
	Operator         string `json:"operator"`
}

// DescribedAccount is an account with its key. Rate is in tokens per second, Burst
// in tokens.
type DescribedAccount struct {
	Name  string  `json:"name"`
	Key   string  `json:"key"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// DescribedTarget holds a target's address as a URL.
type DescribedTarget struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Describe returns the description of the fleet.
func (fleet *Fleet) Describe() Description {
	description := Description{OperatorKey: fleet.OperatorKey, Routes: fleet.Layout.Routes}
	for _, vm := range fleet.VMs {
		description.VMs = append(description.VMs, DescribedVM{
			Name: vm.Settings.Name, AvailabilityZone: vm.Settings.AvailabilityZone,
			Caller:   "http://" + vm.Settings.Caller.Address.String(),
			Operator: "http://" + vm.Settings.Operator.Address.String(),
		})
	}
	for _, account := range fleet.Layout.Accounts {
		description.Accounts = append(description.Accounts, DescribedAccount{
			Name: account.Name, Key: account.Key, Rate: account.Rate, Burst: account.Burst,
		})
	}
	for _, model := range fleet.Layout.Models {
		description.Models = append(description.Models, model.Name)
	}
	for _, engine := range fleet.Engines {
		description.Targets = append(description.Targets, DescribedTarget{engine.Name, "http://" + engine.Addr().String()})
	}
	for _, service := range fleet.Services {
		description.Targets = append(description.Targets, DescribedTarget{service.Name, "http://" + service.Addr().String()})
	}
	description.Platform = "http://" + fleet.VMs[0].Endpoint.Addr().String()
	return description
}
