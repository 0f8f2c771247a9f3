package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/gateway"
	"github.com/bramleygw/bramleygw/platform"
)

var cmdGateway = &cli.Command{
	Name:        "gateway",
	Usage:       "run one VM's process on the users' platform",
	Description: "Reads the settings file that " + platform.SettingsVariable + " names, serves until SIGTERM, then stops gracefully.",
	Action: func(ctx context.Context, _ *cli.Command) error {
		vm, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil {
			return err
		}
		served := &gateway.Gateway{
			Settings: vm, Store: platform.NewStore(vm.Store), Decoder: platform.Decoder{}, Dialect: platform.Dialect{},
			Front: platform.Requests{}, Engines: platform.Engines{}, Log: event.New(os.Stdout, vm.Name, event.LevelInfo),
		}
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		served.Reloads = hangups
		if err := served.Listen(); err != nil {
			return err
		}
		return served.Run(ctx)
	},
}
