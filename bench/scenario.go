package bench

import (
	"context"
	"net/netip"
	"time"

	"github.com/bramleygw/bramleygw/placement"
)

// Fault is a fault, or another operation, that is injected during a run.
type Fault struct {
	// After is the time from the start of the run to the fault.
	After time.Duration
	Do    func(*run)
}

// Scenario is a load with a list of faults and their times.
type Scenario struct {
	Name string
	// Rate is in requests per second; 0 means defaultRate.
	Rate float64
	// ExcessRate is the rate of additional requests per second of one account.
	ExcessRate float64
	// Shift makes other contexts popular halfway through the run.
	Shift  bool
	Faults []Fault
	// Handover changes the texts of all contexts halfway through the run.
	Handover bool
}

const defaultRate = 50 // requests per second

// Scenarios lists the scenarios.
var Scenarios = []Scenario{
	{Name: "steady"},
	{Name: "hot_shift", Shift: true},
	{Name: "handover", Handover: true},
	{Name: "burst", ExcessRate: 120},
	{Name: "engine_crash", Faults: []Fault{
		{After: 3 * time.Second, Do: crashEngine(0)},
		{After: 4 * time.Second, Do: restartEngine(0)},
		{After: 5 * time.Second, Do: crashEngine(4)},
		{After: 6 * time.Second, Do: restartEngine(4)},
	}},
	{Name: "event_loss", Faults: []Fault{
		{After: 2 * time.Second, Do: crashEngine(1)},
		{After: 2100 * time.Millisecond, Do: restartEngine(1)}, // restarted before a VM can detect the crash: only the cache is lost
		{After: 5 * time.Second, Do: crashEngine(2)},
		{After: 5100 * time.Millisecond, Do: restartEngine(2)},
	}},
	{Name: "platform_outage", Faults: []Fault{
		{After: 2 * time.Second, Do: platformDown},
		{After: 8 * time.Second, Do: platformUp},
	}},
	{Name: "roll", Faults: []Fault{{After: time.Second, Do: rollByPlan}}},
	{Name: "roll_at_once", Faults: []Fault{{After: time.Second, Do: rollAtOnce}}},
	{Name: "restart_herd", Faults: []Fault{
		{After: 2 * time.Second, Do: restartHalf},
	}},
	{Name: "restart_herd_in_outage", Faults: []Fault{
		{After: 1 * time.Second, Do: platformDown},
		{After: 3 * time.Second, Do: restartHalf},
		{After: 8 * time.Second, Do: platformUp},
	}},
}

// ScenarioNamed returns the scenario with the name, or nil.
func ScenarioNamed(name string) *Scenario {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i]
		}
	}
	return nil
}

// NamedPolicy is a placement policy with the name used in results.
type NamedPolicy struct {
	Name string
	New  func(*Fleet) placement.Policy
}

const oracleName = "oracle"

// Policies lists the policies. The oracle, which reads the state of the engines
// directly, is the upper bound.
var Policies = []NamedPolicy{
	{"round_robin", func(*Fleet) placement.Policy { return &placement.RoundRobin{} }},
	{"least_loaded", func(*Fleet) placement.Policy { return &placement.LeastLoaded{} }},
	{"hash_only", func(*Fleet) placement.Policy { return &placement.HashOnly{} }},
	{"ours", nil},
	{oracleName, func(fleet *Fleet) placement.Policy { return &placement.Oracle{Caches: fleet} }},
}

func crashEngine(engine int) func(*run) {
	return func(run *run) { run.fleet.Engines[engine].Crash() }
}

func restartEngine(engine int) func(*run) {
	return func(run *run) { _ = run.fleet.Engines[engine].Start(netip.AddrPort{}) } // the port is still free; see ephemeralAddress
}

func platformDown(run *run) {
	for _, vm := range run.fleet.VMs {
		vm.Endpoint.Disconnect()
	}
}

func platformUp(run *run) {
	for _, vm := range run.fleet.VMs {
		_ = vm.Endpoint.Reconnect() // the port is still free; see ephemeralAddress
	}
}

// restartHalf gracefully restarts every second VM at the same time.
func restartHalf(run *run) {
	for i, vm := range run.fleet.VMs {
		if i%2 == 1 {
			run.group.Go(func() { run.restartVM(vm) })
		}
	}
}

func (run *run) restartVM(vm *VM) {
	run.setOutOfService(vm, true) // the balancer follows the health check
	if err := run.fleet.Shutdown(vm); err != nil {
		return
	}
	if err := run.fleet.Boot(vm); err != nil {
		return
	}
	if Await(vm.Router.Ready) == nil {
		run.setOutOfService(vm, false)
	}
}

func (run *run) runFaults(ctx context.Context, faults []Fault, started time.Time) {
	for _, fault := range faults {
		time.Sleep(time.Until(started.Add(fault.After)))
		if ctx.Err() != nil {
			return
		}
		fault.Do(run)
	}
}

// Options are the parameters of Measure.
type Options struct {
	Scenario *Scenario
	Policy   NamedPolicy
	Seed     uint64
	Length   time.Duration
}

// Measure starts a fleet, warms it up and runs a scenario.
func Measure(ctx context.Context, options Options) (Result, error) {
	fleet, err := Start(Trentside(), options.Policy.New)
	if err != nil {
		return Result{}, err
	}
	defer fleet.Stop()
	rate := options.Scenario.Rate
	if rate == 0 {
		rate = defaultRate
	}
	warm := Load{Rate: rate, Until: time.Now().Add(warmUp), Seed: options.Seed + 1000}
	fleet.Run(ctx, warm, nil)
	now := time.Now()
	load := Load{Rate: rate, Until: now.Add(options.Length), Seed: options.Seed, SignOffs: 4}
	if options.Scenario.ExcessRate > 0 {
		load.Excess = fleet.Layout.Accounts[4].Name
		load.ExcessRate = options.Scenario.ExcessRate
		load.ExcessFrom = now.Add(2 * time.Second)
		load.ExcessUntil = now.Add(options.Length)
	}
	if options.Scenario.Shift {
		load.ShiftAt = now.Add(options.Length / 2)
	}
	if options.Scenario.Handover {
		load.NewContextsAt = now.Add(options.Length / 2)
	}
	result := fleet.Run(ctx, load, options.Scenario.Faults)
	result.Scenario, result.Policy = options.Scenario.Name, options.Policy.Name
	return result, nil
}

// warmUp is the length of the load that fills the caches before a run.
const warmUp = 3 * time.Second
