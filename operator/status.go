package operator

import (
	"github.com/bramleygw/bramleygw/membership"
	"github.com/bramleygw/bramleygw/objects"
)

// Status is the fleet at a glance, as one VM sees it.
type Status struct {
	VM string `json:"vm"`
	// Version is the configuration version in force.
	Version   objects.Version   `json:"config_version"`
	VMs       []membership.View `json:"vms"`
	Targets   []TargetStatus    `json:"targets"`
	Rights    []RightStatus     `json:"rights"`
	Requests  int               `json:"requests_in_flight"`
	Degraded  []Degradation     `json:"degraded"`
	StartedMS int64             `json:"up_ms"`
}

// TargetStatus is a target as this VM sees it.
type TargetStatus struct {
	Name     string `json:"name"`
	Serves   string `json:"serves"`
	Weights  string `json:"weights,omitempty"`
	Healthy  bool   `json:"healthy"`
	Draining bool   `json:"draining"`
	InFlight int    `json:"in_flight"`
}

// RightStatus tells how many shares of the rates a VM holds.
type RightStatus struct {
	Holder string `json:"holder"`
	Count  int    `json:"count"`
}

// Degradation is a fault that the fleet lives with.
type Degradation struct {
	Name    string `json:"name"`
	SinceMS int64  `json:"since_ms"`
	Meaning string `json:"meaning"`
}
