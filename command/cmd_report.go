package command

import (
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/operator"
	"github.com/bramleygw/bramleygw/report"
)

// burnReport is the answer of the operator API to GET report/slo.
type burnReport struct {
	Objectives []report.Burn `json:"objectives"`
}

var cmdReport = &cli.Command{
	Name:  "report",
	Usage: "print reports",
	Commands: []*cli.Command{{
		Name: "slo", Usage: "burn rate of each service-level objective", Flags: withOperatorFlags(),
		Action: withClient(func(client *operator.Client, _ *cli.Command, wantJSON bool) error {
			var burns burnReport
			if err := client.Do("GET", "report/slo", nil, &burns); err != nil {
				return err
			}
			if wantJSON {
				return printJSON(burns)
			}
			printBurns(burns.Objectives)
			return nil
		}),
	}},
}

func printBurns(burns []report.Burn) {
	heading := []string{"objective", "account", "measure", "goal"}
	for _, window := range report.Windows {
		heading = append(heading, "burn_"+window.Name)
	}
	heading = append(heading, "good", "bad", "budget_left")
	var rows [][]string
	for _, burn := range burns {
		row := []string{burn.Objective, burn.Account, burn.Measure, fmt.Sprint(burn.Goal)}
		for _, rate := range burn.Rates {
			row = append(row, fmt.Sprintf("%.2f", rate.Rate))
		}
		longest := burn.Rates[len(burn.Rates)-1]
		row = append(row, fmt.Sprint(longest.Good), fmt.Sprint(longest.Bad), fmt.Sprintf("%.3f", burn.BudgetLeft))
		rows = append(rows, row)
	}
	printTable(heading, rows)
}
