package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/settings"
)

var cmdSettings = &cli.Command{
	Name:  "settings",
	Usage: "check settings",
	Commands: []*cli.Command{{
		Name:      "check",
		Usage:     "check a settings file and exit",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() != 1 {
				return newUsageError("name exactly one settings file")
			}
			vm, err := settings.Read(command.Args().First())
			if err != nil {
				return err
			}
			fmt.Fprintf(output, "settings of %s are valid\n", vm.Name)
			return nil
		},
	}},
}
