package command

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/router"
	"github.com/bramleygw/bramleygw/settings"
)

var cmdServe = &cli.Command{
	Name:        "serve",
	Usage:       "run the process of one VM",
	Description: "Serves callers, operators and other VMs until SIGTERM, then shuts down gracefully.",
	Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}},
	Action: func(ctx context.Context, command *cli.Command) error {
		vm, err := settings.Read(command.String("settings"))
		if err != nil {
			return err
		}
		level, err := event.ParseLevel(vm.Log.Level)
		if err != nil {
			return err
		}
		process := router.New(vm, event.New(os.Stderr, vm.Name, level))
		if err := process.Listen(); err != nil {
			return err
		}
		return process.Run(ctx)
	},
}
