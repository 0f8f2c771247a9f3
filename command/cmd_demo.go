package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/bench"
)

const (
	demoLength = 6 * time.Second
	demoRate   = 25 // requests per second
)

var cmdDemo = &cli.Command{
	Name:  "demo",
	Usage: "start a small fleet on loopback and send it a realistic mix of requests",
	Description: "Starts the stand-ins and three VMs in two availability zones, configures two deployments\n" +
		"through the operator API and prints the results that callers observed. Exits 0 only if every answer\n" +
		"was complete and belonged to its request. With --serve it keeps serving until SIGTERM.",
	Flags: []cli.Flag{
		&cli.BoolFlag{Name: "serve", Usage: "keep serving until SIGTERM"},
		&cli.StringFlag{Name: "ready-file", Usage: "write addresses and keys to `FILE` as JSON, with --serve"},
		&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the load", Value: 1},
	},
	Action: demo,
}

func demo(ctx context.Context, command *cli.Command) error {
	fmt.Fprintln(output, "starting the platform, engines, services and VMs ...")
	fleet, err := bench.Start(bench.Demonstration(), nil)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	if command.Bool("serve") {
		return demoServe(ctx, fleet, command.String("ready-file"))
	}
	fmt.Fprintf(output, "%d VMs, %d engines, %d accounts; sending %d requests a second for %s ...\n",
		len(fleet.VMs), len(fleet.Engines), len(fleet.Layout.Accounts), demoRate, demoLength)
	load := bench.Load{Rate: demoRate, Until: time.Now().Add(demoLength), Seed: command.Uint64("seed"), SignOffs: 4}
	result := fleet.Run(ctx, load, nil)
	result.Scenario, result.Policy = "demo", "ours"
	printResults([]bench.Result{result})
	if result.BrokenPromises > 0 {
		return errors.Newf("%d broken promises, the first: %s", result.BrokenPromises, result.Broken)
	}
	if result.Answered == 0 {
		return errors.New("no request was answered; check the log events")
	}
	fmt.Fprintln(output, "every answer was complete and belonged to its request")
	return nil
}

func demoServe(ctx context.Context, fleet *bench.Fleet, path string) error {
	ready, err := json.MarshalIndent(fleet.Describe(), "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the ready file")
	}
	if path == "" {
		fmt.Fprintln(output, string(ready))
	} else if err := writeAtomically(path, ready); err != nil {
		return err
	}
	fmt.Fprintln(output, "serving until SIGTERM")
	<-ctx.Done()
	return nil
}

// writeAtomically writes the file by renaming a temporary one, so that no reader sees
// an incomplete file.
func writeAtomically(path string, text []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), ".ready-*")
	if err != nil {
		return errors.Wrap(err, "write the ready file; choose a writable folder")
	}
	defer os.Remove(temporary.Name())
	if _, err := temporary.Write(text); err != nil {
		return errors.Wrap(err, "write the ready file")
	}
	if err := temporary.Close(); err != nil {
		return errors.Wrap(err, "write the ready file")
	}
	return errors.Wrap(os.Rename(temporary.Name(), path), "write the ready file")
}
