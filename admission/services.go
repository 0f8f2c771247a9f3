package admission

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Services holds a controller for each service. The exported fields are set before use.
// It is safe for concurrent use.
type Services struct {
	// Self is the name of this VM. It began to serve at Started.
	Self    string
	Started time.Time
	// Room returns what the targets of a service take.
	Room func(service string, now time.Time) Room

	mu          sync.Mutex // guards the fields below
	controllers map[string]*Controller
	vms         int
	weights     map[string]float64
}

// Demand is what accounts ask of a service.
type Demand struct {
	Service string
	VMs     int // that are asked for it
	Counts  []Count
	// Placed are the admitted prompt tokens a second that targets took, TurnedAway those
	// that they rejected or that found no target.
	Placed     float64
	TurnedAway float64
}

// Get returns the controller of a service.
func (services *Services) Get(service string) *Controller {
	services.mu.Lock()
	defer services.mu.Unlock()
	controller, ok := services.controllers[service]
	if ok {
		return controller
	}
	controller = New(services.Self, func(now time.Time) Room { return services.Room(service, now) }, services.Started)
	controller.SetFleetSize(services.vms)
	controller.SetWeights(services.weights)
	if services.controllers == nil {
		services.controllers = map[string]*Controller{}
	}
	services.controllers[service] = controller
	return controller
}

// SetFleetSize sets the number of VMs, including this one.
func (services *Services) SetFleetSize(vms int) {
	services.mu.Lock()
	defer services.mu.Unlock()
	services.vms = vms
	for _, controller := range services.controllers {
		controller.SetFleetSize(vms)
	}
}

// SetWeights sets by how much accounts share room. Accounts without a weight have the
// mean.
func (services *Services) SetWeights(weights map[string]float64) {
	services.mu.Lock()
	defer services.mu.Unlock()
	services.weights = weights
	for _, controller := range services.controllers {
		controller.SetWeights(weights)
	}
}

// Demands returns what this VM is asked for, to be sent to other VMs: of services where
// requests wait.
func (services *Services) Demands(now time.Time) []Demand {
	return services.SummedDemands(nil, now)
}

// SummedDemands returns what this VM and the named ones are asked for.
func (services *Services) SummedDemands(vms map[string]bool, now time.Time) []Demand {
	services.mu.Lock()
	defer services.mu.Unlock()
	var demands []Demand
	for service, controller := range services.controllers {
		if demand := controller.Sum(vms, now); len(demand.Counts) > 0 {
			demand.Service = service
			demands = append(demands, demand)
		}
	}
	slices.SortFunc(demands, func(first, second Demand) int { return strings.Compare(first.Service, second.Service) })
	return demands
}

// Merge replaces what another VM, or the sum of several VMs under one name, is asked for.
// Services that are missing are those of which it does not say.
func (services *Services) Merge(source string, demands []Demand, madeAt time.Time) {
	services.mu.Lock()
	defer services.mu.Unlock()
	for service, controller := range services.controllers {
		i := slices.IndexFunc(demands, func(demand Demand) bool { return demand.Service == service })
		if i < 0 {
			controller.Merge(source, Demand{}, madeAt)
			continue
		}
		controller.Merge(source, demands[i], madeAt)
	}
}
