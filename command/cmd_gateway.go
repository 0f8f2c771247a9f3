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
	"github.com/bramleygw/bramleygw/settings"
)

var metricsFlag = &cli.Uint16Flag{Name: "metrics-port", Usage: "serve /metrics at this `PORT` as well"}

var cmdGateway = &cli.Command{
	Name:        "gateway",
	Usage:       "run the process of one VM on the users' platform",
	Description: "Reads the settings file named by " + platform.SettingsVariable + ", serves until SIGTERM, then shuts down gracefully.",
	Flags:       []cli.Flag{&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"}, metricsFlag},
	Action: func(ctx context.Context, command *cli.Command) error {
		vm, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
		if err != nil || command.Bool("check") {
			return err
		}
		if port := command.Uint16(metricsFlag.Name); port != 0 {
			vm.Metrics = netip.AddrPortFrom(vm.Caller.Addr(), port)
		}
		return RunGateway(ctx, vm, platform.Decoder{})
	},
}

// RunGateway runs the process of one VM until ctx ends, and writes its log to standard
// output.
func RunGateway(ctx context.Context, vm settings.PlatformVM, decoder gateway.Decoder) error {
	buffer := event.NewBuffer(os.Stdout)
	log := event.New(buffer, vm.Name, event.LevelInfo)
	if len(vm.Ignored) > 0 {
		log.Emit(event.SettingsIgnored, event.F("fields", vm.Ignored))
	}
	process := &gateway.Gateway{
		Settings: vm, Store: platform.NewStore(vm.Store), Decoder: decoder, TargetDialect: platform.Dialect{},
		FrontDialect: platform.Requests{}, Engines: platform.Engines{}, Log: log,
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	process.Reloads = hangups
	if err := process.Listen(); err != nil {
		return err
	}
	return runWithLog(ctx, buffer, log, process.Run)
}

// runWithLog calls run while a second goroutine writes the buffered log. It stops that
// goroutine only after run has returned, so that the last lines are not lost.
func runWithLog(ctx context.Context, buffer *event.Buffer, log *event.Log, run func(context.Context) error) error {
	logContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error { return buffer.Run(logContext, log) })
	err := run(ctx)
	stop()
	return errors.CombineErrors(err, group.Wait())
}
