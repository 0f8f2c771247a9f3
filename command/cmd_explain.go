package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/explain"
)

var cmdExplain = &cli.Command{
	Name:        "explain",
	Usage:       "print the timeline of one request from logs on standard input",
	ArgsUsage:   "ID",
	Description: "Reads the logs of all VMs from standard input and prints, in order, the lines that name the request and the earlier state of each VM that handled it.",
	Action: func(_ context.Context, command *cli.Command) error {
		if command.Args().Len() != 1 {
			return newUsageError("explain needs the id of one request: bramleygw explain ID < logs")
		}
		timeline, err := explain.Read(os.Stdin, command.Args().First())
		if err != nil {
			return err
		}
		_, err = fmt.Fprint(output, timeline)
		return err
	},
}
