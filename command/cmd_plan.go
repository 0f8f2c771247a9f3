package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/operator"
	"github.com/bramleygw/bramleygw/plan"
)

// planPollInterval is the interval at which --wait polls a plan.
const planPollInterval = 200 * time.Millisecond

var cmdPlan = &cli.Command{
	Name:  "plan",
	Usage: "plan a change: compute its steps, review them, confirm them",
	Commands: []*cli.Command{
		planIntent("retire-target", "take a target out of service", "TARGET", nil, func(command *cli.Command, named string) plan.Intent {
			return plan.Intent{Action: plan.RetireTarget, Target: named}
		}),
		planIntent("roll-weights", "load new weights on a model's engines", "MODEL", []cli.Flag{
			&cli.StringFlag{Name: "weights", Usage: "new `VERSION`", Required: true},
			&cli.IntFlag{Name: "at-once", Usage: "`COUNT` of engines that load at the same time, 1 or 2"},
		}, func(command *cli.Command, named string) plan.Intent {
			return plan.Intent{Action: plan.RollWeights, Model: named, Weights: command.String("weights"), AtOnce: command.Int("at-once")}
		}),
		planIntent("withdraw-key", "withdraw a key", "KEY", nil, func(command *cli.Command, named string) plan.Intent {
			return plan.Intent{Action: plan.WithdrawKey, Key: named}
		}),
		planRequest("show", "show a plan and its progress", "GET", ""),
		planRequest("confirm", "confirm a plan, which then runs", "POST", "/confirm"),
		planRequest("stop", "stop a plan after the current step", "POST", "/stop"),
		{
			Name: "list", Usage: "list all", Flags: withOperatorFlags(),
			Action: withClient(func(client *operator.Client, _ *cli.Command, wantJSON bool) error {
				return listItems(client, "plans", wantJSON)
			}),
		},
	},
}

// planIntent returns the command that computes a plan for an intent.
func planIntent(name, help, argumentName string, flags []cli.Flag, intent func(*cli.Command, string) plan.Intent) *cli.Command {
	return &cli.Command{
		Name: name, Usage: help, ArgsUsage: argumentName, Flags: withOperatorFlags(flags...),
		Action: withName(strings.ToLower(argumentName), func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error {
			var item operator.Item
			if err := client.Do("POST", "plans", intent(command, named), &item); err != nil {
				return err
			}
			return printPlan(item, wantJSON)
		}),
	}
}

// planRequest returns a command that sends one request about an existing plan.
func planRequest(name, help, method, suffix string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: help, ArgsUsage: "ID",
		Flags: withOperatorFlags(&cli.BoolFlag{Name: "wait", Usage: "wait until the plan has ended"}),
		Action: withName("plan id", func(client *operator.Client, command *cli.Command, id string, wantJSON bool) error {
			var item operator.Item
			if err := client.Do(method, "plans/"+id+suffix, nil, &item); err != nil {
				return err
			}
			if command.Bool("wait") {
				endedPlan, err := awaitPlan(client, id)
				if err != nil {
					return err
				}
				item = endedPlan
			}
			return printPlan(item, wantJSON)
		}),
	}
}

// awaitPlan polls a plan until it is no longer active and returns it.
func awaitPlan(client *operator.Client, id string) (operator.Item, error) {
	for {
		item, err := client.Get("plans", id)
		if err != nil {
			return item, err
		}
		var current plan.Plan
		if err := json.Unmarshal(item.Spec, &current); err != nil {
			return item, errors.Wrap(err, "decode the plan")
		}
		if !current.Active() {
			return item, nil
		}
		time.Sleep(planPollInterval)
	}
}

func printPlan(item operator.Item, wantJSON bool) error {
	if wantJSON {
		return printJSON(item)
	}
	var shown plan.Plan
	if err := json.Unmarshal(item.Spec, &shown); err != nil {
		return errors.Wrap(err, "decode the plan")
	}
	printLine("plan %s: %s", shown.ID, shown.State)
	printLine("expected to take %.1f s; requests in flight there now: %d; accounts: %s",
		shown.Seconds, shown.InFlight, strings.Join(shown.Accounts, ", "))
	for _, dependency := range shown.Dependencies {
		printLine("rests on %s at version %s", dependency.ID, dependency.Version)
	}
	var rows [][]string
	for i, step := range shown.Steps {
		touched := strings.Join(step.Targets, ", ") + step.Model + step.Key
		rows = append(rows, []string{fmt.Sprint(i + 1), string(step.Action), touched, step.Weights, string(step.State), step.VM, step.Detail})
	}
	printTable([]string{"step", "action", "touches", "weights", "state", "vm", "detail"}, rows)
	if shown.State == plan.Proposed {
		printLine("nothing has changed; to go ahead: bramleygw plan confirm %s", shown.ID)
	}
	if shown.State == plan.Failed {
		return errors.Newf("plan %s failed; read the detail and compute it again", shown.ID)
	}
	return nil
}
