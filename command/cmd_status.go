package command

import (
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/operator"
)

var cmdStatus = &cli.Command{
	Name: "status", Usage: "show the state of the fleet", Flags: withOperatorFlags(),
	Action: withClient(func(client *operator.Client, _ *cli.Command, wantJSON bool) error {
		var status operator.Status
		if err := client.Do("GET", "status", nil, &status); err != nil {
			return err
		}
		if wantJSON {
			return printJSON(status)
		}
		printStatus(status)
		return nil
	}),
}

func printStatus(status operator.Status) {
	printLine("as seen by %s; configuration version %s; requests in flight %d", status.VM, status.Version, status.Requests)
	for _, degradation := range status.Degraded {
		printLine("DEGRADED %s for %d ms: %s", degradation.Name, degradation.SinceMS, degradation.Meaning)
	}
	rights := map[string]int{}
	for _, right := range status.Rights {
		rights[right.Holder] = right.Count
	}
	var rows [][]string
	for _, vm := range status.VMs {
		state := "live"
		switch {
		case vm.Leaving:
			state = "leaving"
		case !vm.Listed:
			state = "not listed"
		}
		rows = append(rows, []string{vm.Name, vm.AvailabilityZone, state, fmt.Sprint(vm.HeartbeatAgeMS), vm.Version.String(), fmt.Sprint(rights[vm.Name])})
	}
	printTable([]string{"vm", "availability_zone", "state", "heard_ms_ago", "config_version", "rate_shares"}, rows)
	rows = nil
	for _, target := range status.Targets {
		rows = append(rows, []string{target.Name, target.Serves, target.Weights, fmt.Sprint(target.Healthy), fmt.Sprint(target.Draining), fmt.Sprint(target.InFlight)})
	}
	printTable([]string{"target", "serves", "weights", "healthy", "draining", "in_flight"}, rows)
}
