package command

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/bramleygw/bramleygw/event"
	"github.com/bramleygw/bramleygw/gateway"
	"github.com/bramleygw/bramleygw/platform"
)

var metricsFlag = &cli.Uint16Flag{Name: "metrics-port", Usage: "serve /metrics at this `PORT` too"}

var cmdGateway = &cli.Command{
	Name:        "gateway",
	Usage:       "run one VM's process on the users' platform",
	Description: "Reads the settings file that " + platform.SettingsVariable + " names, serves until SIGTERM, then stops gracefully.",
	Flags:       []cli.Flag{&cli.BoolFlag{Name: "check", Usage: "check the settings and start nothing"}, metricsFlag},
	Action: func(ctx context.Context, command *cli.Command) error {
		vm, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil || command.Bool("check") {
			return err
		}
		if port := command.Uint16(metricsFlag.Name); port != 0 {
			vm.Metrics = netip.AddrPortFrom(vm.Caller.Addr(), port)
		}
		buffer := event.NewBuffer(os.Stdout)
		log := event.New(buffer, vm.Name, event.LevelInfo)
		if len(vm.Ignored) > 0 {
			log.Emit(event.SettingsIgnored, event.F("fields", vm.Ignored))
		}
		served := &gateway.Gateway{
			Settings: vm, Store: platform.NewStore(vm.Store), Decoder: platform.Decoder{}, TargetDialect: platform.Dialect{},
			FrontDialect: platform.Requests{}, Engines: platform.Engines{}, Log: log,
		}
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		served.Reloads = hangups
		if err := served.Listen(); err != nil {
			return err
		}
		return logged(ctx, buffer, log, served.Run)
	},
}

// logged runs a process while its log is written beside it.
func logged(ctx context.Context, buffer *event.Buffer, log *event.Log, run func(context.Context) error) error {
	writing, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return buffer.Run(writing, log) })
	err := run(ctx)
	stop()
	return errors.CombineErrors(err, group.Wait())
}
