package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/bench"
)

var cmdLoad = &cli.Command{
	Name:  "load",
	Usage: "send short requests to one URL and print rate and latency",
	Description: "With --direct, the same requests are also sent directly to the engine, alternating with those\n" +
		"through the VM, and the difference is printed: the latency that the VM adds. The key is read from\n" +
		"BRAMLEYGW_KEY. Only loopback addresses are accepted.",
	Flags: []cli.Flag{
		&cli.StringFlag{Name: "url", Usage: "`URL` of a VM's caller address", Required: true},
		&cli.StringFlag{Name: "direct", Usage: "`URL` of the engine"},
		&cli.StringFlag{Name: "model", Usage: "the model's `NAME`", Required: true},
		&cli.IntFlag{Name: "callers", Usage: "`COUNT` of callers, each of which sends one request after another", Value: 16},
		&cli.FloatFlag{Name: "rate", Usage: "requests per second over all callers; 0 for no limit"},
		&cli.DurationFlag{Name: "length", Usage: "`TIME` for which requests are sent", Value: 5 * time.Second},
		&cli.IntFlag{Name: "max-tokens", Usage: "`COUNT` of output tokens", Value: 4},
		&cli.IntFlag{Name: "prompt-bytes", Usage: "`LENGTH` of the prompt", Value: 200},
	},
	Action: func(ctx context.Context, command *cli.Command) error {
		for _, url := range []string{command.String("url"), command.String("direct")} {
			if url != "" && !strings.HasPrefix(url, "http://127.") {
				return newUsageError("--url and --direct must be http://127.x.x.x:PORT")
			}
		}
		result := bench.Short(ctx, bench.ShortLoad{
			URL: command.String("url"), Direct: command.String("direct"), Key: os.Getenv("BRAMLEYGW_KEY"),
			Model: command.String("model"), Callers: command.Int("callers"), Rate: command.Float("rate"),
			Until: time.Now().Add(command.Duration("length")), MaxTokens: command.Int("max-tokens"), PromptBytes: command.Int("prompt-bytes"),
		})
		fmt.Fprint(output, result)
		return nil
	},
}
