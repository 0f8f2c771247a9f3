package command

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/standin"
)

var listenFlag = &cli.StringFlag{Name: "listen", Usage: "`IP:PORT` to serve at", Value: "127.0.0.1:0"}

var cmdStandin = &cli.Command{
	Name:  "standin",
	Usage: "run a stand-in for a system that bramleygw connects to",
	Commands: []*cli.Command{
		{
			Name:   "platform",
			Usage:  "a versioned object API",
			Flags:  []cli.Flag{listenFlag},
			Action: standinAction(startPlatform),
		},
		{
			Name:  "engine",
			Usage: "a model engine",
			Flags: []cli.Flag{
				listenFlag,
				&cli.StringFlag{Name: "model", Usage: "the model's `NAME`", Required: true},
				&cli.StringFlag{Name: "weights", Usage: "the weights `VERSION`", Value: "w1"},
				&cli.DurationFlag{Name: "prefill", Usage: "`TIME` to compute a prompt token"},
				&cli.DurationFlag{Name: "decode", Usage: "`TIME` to generate an output token"},
				&cli.IntFlag{Name: "running", Usage: "`COUNT` of requests decoded concurrently"},
				&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing token"},
			},
			Action: standinAction(startEngine),
		},
		{
			Name:   "service",
			Usage:  "a plain service that counts the calls that it ran",
			Flags:  []cli.Flag{listenFlag, &cli.StringFlag{Name: "name", Usage: "the service's `NAME`", Value: "signoffs"}},
			Action: standinAction(startService),
		},
	},
}

// runningStandin is a stand-in that has been started.
type runningStandin struct {
	address netip.AddrPort
	stop    func()
}

// standinAction returns a command action that starts a stand-in, prints its address
// and stops it when the command is interrupted.
func standinAction(start func(netip.AddrPort, *cli.Command) (runningStandin, error)) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		address, err := netip.ParseAddrPort(command.String("listen"))
		if err != nil {
			return newUsageError("--listen must be IP:PORT")
		}
		running, err := start(address, command)
		if err != nil {
			return err
		}
		defer running.stop()
		fmt.Fprintln(output, running.address)
		<-ctx.Done()
		return nil
	}
}

func startPlatform(address netip.AddrPort, _ *cli.Command) (runningStandin, error) {
	platform := &standin.Platform{}
	server, err := platform.Start(address)
	if err != nil {
		return runningStandin{}, err
	}
	return runningStandin{address: server.Addr(), stop: platform.Stop}, nil
}

func startEngine(address netip.AddrPort, command *cli.Command) (runningStandin, error) {
	engine := &standin.Engine{
		Name: command.String("model"), Model: command.String("model"), Weights: command.String("weights"),
		PrefillPerToken: command.Duration("prefill"), DecodePerToken: command.Duration("decode"),
		Running: command.Int("running"), ChecksFencing: command.Bool("checks-fencing"),
	}
	if err := engine.Start(address); err != nil {
		return runningStandin{}, err
	}
	return runningStandin{address: engine.Addr(), stop: engine.Stop}, nil
}

func startService(address netip.AddrPort, command *cli.Command) (runningStandin, error) {
	service := &standin.Service{Name: command.String("name")}
	if err := service.Start(address); err != nil {
		return runningStandin{}, err
	}
	return runningStandin{address: service.Addr(), stop: service.Stop}, nil
}
