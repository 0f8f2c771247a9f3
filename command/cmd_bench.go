package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/bench"
)

var cmdBench = &cli.Command{
	Name:  "bench",
	Usage: "measure a fleet on loopback under load and faults",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "scenario", Usage: "`NAME` of the scenario, or all", Value: "steady"},
		&cli.StringFlag{Name: "policy", Usage: "`NAME` of the policy, or all", Value: "ours"},
		&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the load", Value: 1},
		&cli.DurationFlag{Name: "length", Usage: "`TIME` of each run", Value: 10 * time.Second},
		&cli.BoolFlag{Name: "slopes", Usage: "measure instead how the cost of control traffic grows with the size of the fleet"},
		formatFlag,
	},
	Action: benchAction,
}

func benchAction(ctx context.Context, command *cli.Command) error {
	wantJSON, err := parseFormat(command)
	if err != nil {
		return err
	}
	if command.Bool("slopes") {
		return benchSlopes(wantJSON)
	}
	scenarios, err := findScenarios(command.String("scenario"))
	if err != nil {
		return err
	}
	policies, err := findPolicies(command.String("policy"))
	if err != nil {
		return err
	}
	var results []bench.Result
	for _, scenario := range scenarios {
		for _, policy := range policies {
			fmt.Fprintf(os.Stderr, "%s with %s ...\n", scenario.Name, policy.Name)
			result, err := bench.Measure(ctx, bench.Options{
				Scenario: scenario, Policy: policy, Seed: command.Uint64("seed"), Length: command.Duration("length"),
			})
			if err != nil {
				return err
			}
			results = append(results, result)
		}
	}
	bench.Compare(results)
	if wantJSON {
		return printJSON(results)
	}
	printResults(results)
	return nil
}

func benchSlopes(wantJSON bool) error {
	var slopes []bench.Slope
	var rows [][]string
	err := bench.Slopes(func(slope bench.Slope) {
		slopes = append(slopes, slope)
		rows = append(rows, []string{
			slope.Dimension, fmt.Sprint(slope.Size), fmt.Sprintf("%.4f", slope.CoreShare), fmt.Sprintf("%.0f", slope.BytesPerSec),
			fmt.Sprint(slope.HeapBytes), fmt.Sprintf("%.2f", slope.PlatformCalls),
		})
	})
	if err != nil {
		return err
	}
	if wantJSON {
		return printJSON(slopes)
	}
	printTable([]string{"dimension", "size", "core_share_per_vm", "bytes_per_second_per_vm", "heap_bytes_per_vm", "platform_calls_per_second_per_vm"}, rows)
	return nil
}

func findScenarios(name string) ([]*bench.Scenario, error) {
	var all []*bench.Scenario
	var names []string
	for i := range bench.Scenarios {
		all = append(all, &bench.Scenarios[i])
		names = append(names, bench.Scenarios[i].Name)
	}
	if name == "all" {
		return all, nil
	}
	if found := bench.ScenarioNamed(name); found != nil {
		return []*bench.Scenario{found}, nil
	}
	return nil, newUsageError("--scenario must be all or one of " + strings.Join(names, ", "))
}

func findPolicies(name string) ([]bench.NamedPolicy, error) {
	var names []string
	for _, policy := range bench.Policies {
		if policy.Name == name {
			return []bench.NamedPolicy{policy}, nil
		}
		names = append(names, policy.Name)
	}
	if name == "all" {
		return bench.Policies, nil
	}
	return nil, newUsageError("--policy must be all or one of " + strings.Join(names, ", "))
}
