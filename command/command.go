// Package command is the command line.
//
// Each subcommand stands in a file of its own, cmd_NAME.go, as a value that is
// listed in the table below.
//
// # Usage
//
//	os.Exit(command.Main(os.Args))
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/refusal"
	"github.com/bramleygw/bramleygw/settings"
)

// Version is the release; main sets it.
var Version = "development"

// The exit statuses, as docs/COMMANDS.md lists them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// output is where results go.
var output io.Writer = os.Stdout

func commands() []*cli.Command {
	return []*cli.Command{
		cmdServe, cmdGateway, cmdSettings, cmdDemo, cmdStandin, cmdBench, cmdLoad,
		cmdAccount, cmdKey, cmdModel, cmdRoute, cmdTarget, cmdObjective,
		cmdPlan, cmdStatus, cmdReport, cmdAudit, cmdEvents, cmdExplain,
	}
}

// Main runs the command line and returns the exit status.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:           "bramleygw",
		Usage:          "routes language-model traffic with long shared prompts",
		Version:        Version,
		Commands:       commands(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return usageError{err}
		},
	}
	err := root.Run(ctx, arguments)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "bramleygw:", err)
	return exitStatus(err)
}

// usageError is a mistake in how a command was called.
type usageError struct{ error }

func usage(text string) error {
	return usageError{errors.New(text)}
}

func exitStatus(err error) int {
	var wrong usageError
	var faults settings.Faults
	var refused *refusal.Refusal
	switch {
	case errors.As(err, &wrong), errors.As(err, &faults):
		return exitUsage
	case errors.As(err, &refused) && (refused.Code == refusal.Conflict || refused.Code == refusal.StalePlan):
		return exitConflict
	}
	return exitFailed
}
