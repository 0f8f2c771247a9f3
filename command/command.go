// Package command implements the command line.
//
// Each subcommand is a variable in a file of its own, cmd_NAME.go, and is listed in
// the function commands.
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

// Version is the release version. The main package sets it.
var Version = "development"

// The exit statuses, documented in docs/COMMANDS.md.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// output is where commands print their results.
var output io.Writer = os.Stdout

func commands() []*cli.Command {
	return []*cli.Command{
		cmdServe, cmdGateway, cmdSettings, cmdDemo, cmdStandin, cmdBench, cmdLoad,
		cmdAccount, cmdKey, cmdModel, cmdRoute, cmdTarget, cmdObjective,
		cmdPlan, cmdStatus, cmdReport, cmdAudit, cmdEvents, cmdExplain,
	}
}

// Main runs the command that the arguments name and returns the exit status. The
// first argument is the name of the program.
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

// usageError reports wrong arguments or flags.
type usageError struct{ error }

func newUsageError(text string) error {
	return usageError{errors.New(text)}
}

func exitStatus(err error) int {
	var wrongUsage usageError
	var faults settings.Faults
	var refused *refusal.Refusal
	switch {
	case errors.As(err, &wrongUsage), errors.As(err, &faults):
		return exitUsage
	case errors.As(err, &refused) && (refused.Code == refusal.Conflict || refused.Code == refusal.StalePlan):
		return exitConflict
	}
	return exitFailed
}
