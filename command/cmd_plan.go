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

const planPoll = 200 * time.Millisecond

var cmdPlan = &cli.Command{
	Name:  "plan",
	Usage: "say what you want, see the steps, confirm them",
	Commands: []*cli.Command{
		planIntent("retire-target", "take a target out of service", "TARGET", nil, func(command *cli.Command, named string) plan.Intent {
			return plan.Intent{Action: plan.RetireTarget, Target: named}
		}),
		planIntent("roll-weights", "load new weights on a model's engines", "MODEL", []cli.Flag{
			&cli.StringFlag{Name: "weights", Usage: "new `VERSION`", Required: true},
			&cli.IntFlag{Name: "at-once", Usage: "`COUNT` of engines that load at a time, 1 or 2"},
		}, func(command *cli.Command, named string) plan.Intent {
			return plan.Intent{Action: plan.RollWeights, Model: named, Weights: command.String("weights"), AtOnce: command.Int("at-once")}
		}),
		planIntent("withdraw-key", "make a key stop working", "KEY", nil, func(command *cli.Command, named string) plan.Intent {
			return plan.Intent{Action: plan.WithdrawKey, Key: named}
		}),
		planVerb("show", "show a plan and how far it is", "GET", ""),
		planVerb("confirm", "carry a plan out", "POST", "/confirm"),
		planVerb("stop", "stop a plan after the step that runs", "POST", "/stop"),
		{
			Name: "list", Usage: "list all", Flags: withOperator(),
			Action: asOperator(func(client *operator.Client, _ *cli.Command, wantJSON bool) error {
				return listItems(client, "plans", wantJSON)
			}),
		},
	},
}

func planIntent(name, help, argumentName string, flags []cli.Flag, intent func(*cli.Command, string) plan.Intent) *cli.Command {
	return &cli.Command{
		Name: name, Usage: help, ArgsUsage: argumentName, Flags: withOperator(flags...),
		Action: withName(strings.ToLower(argumentName), func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error {
			var item operator.Item
			if err := client.Do("POST", "plans", intent(command, named), &item); err != nil {
				return err
			}
			return printPlan(item, wantJSON)
		}),
	}
}

func planVerb(name, help, method, suffix string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: help, ArgsUsage: "ID",
		Flags: withOperator(&cli.BoolFlag{Name: "wait", Usage: "wait until the plan has ended"}),
		Action: withName("plan id", func(client *operator.Client, command *cli.Command, id string, wantJSON bool) error {
			var item operator.Item
			if err := client.Do(method, "plans/"+id+suffix, nil, &item); err != nil {
				return err
			}
			if command.Bool("wait") {
				awaited, err := awaitPlan(client, id)
				if err != nil {
					return err
				}
				item = awaited
			}
			return printPlan(item, wantJSON)
		}),
	}
}

func awaitPlan(client *operator.Client, id string) (operator.Item, error) {
	for {
		item, err := client.Get("plans", id)
		if err != nil {
			return item, err
		}
		var current plan.Plan
		if err := json.Unmarshal(item.Spec, &current); err != nil {
			return item, errors.Wrap(err, "read the plan")
		}
		if !current.Active() {
			return item, nil
		}
		time.Sleep(planPoll)
	}
}

func printPlan(item operator.Item, wantJSON bool) error {
	if wantJSON {
		return printJSON(item)
	}
	var shown plan.Plan
	if err := json.Unmarshal(item.Spec, &shown); err != nil {
		return errors.Wrap(err, "read the plan")
	}
	printLine("plan %s: %s", shown.ID, shown.State)
	printLine("expected to take %.1f s; requests in flight there now: %d; accounts: %s",
		shown.Seconds, shown.InFlight, strings.Join(shown.Accounts, ", "))
	for _, ground := range shown.Dependencies {
		printLine("rests on %s at version %s", ground.ID, ground.Version)
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
