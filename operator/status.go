package operator

import (
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
)

// Status is an overview of the fleet from the view of one VM.
type Status struct {
	VM string `json:"vm"`
	// Version is the version of the configuration in use on this VM.
	Version  objects.Version   `json:"config_version"`
	VMs      []membership.View `json:"vms"`
	Targets  []TargetStatus    `json:"targets"`
	Rights   []RightStatus     `json:"rights"`
	Requests int               `json:"requests_in_flight"`
	Degraded []Degradation     `json:"degraded"`
	UptimeMS int64             `json:"up_ms"`
}

// TargetStatus is the state of a target from the view of this VM.
type TargetStatus struct {
	Name     string `json:"name"`
	Serves   string `json:"serves"`
	Weights  string `json:"weights,omitempty"`
	Healthy  bool   `json:"healthy"`
	Draining bool   `json:"draining"`
	InFlight int    `json:"in_flight"`
}

// RightStatus is the number of rights, shares of the accounts' rates, that a VM
// holds. An empty Holder counts the rights that no VM holds.
type RightStatus struct {
	Holder string `json:"holder"`
	Count  int    `json:"count"`
}

// Degradation is a fault during which the fleet continues to serve with
// restrictions, which Meaning describes.
type Degradation struct {
	Name    string `json:"name"`
	SinceMS int64  `json:"since_ms"`
	Meaning string `json:"meaning"`
}
