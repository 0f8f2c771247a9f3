package command

import "github.com/urfave/cli/v3"

var cmdObjective = plainResource("objective", "objectives", "service-level objectives",
	&cli.StringFlag{Name: "measure", Usage: "ttft, completion or refusals"},
	&cli.FloatFlag{Name: "goal", Usage: "`SHARE` of good requests, such as 0.99"},
	&cli.FloatFlag{Name: "threshold-ms", Usage: "longest time to first token that counts as good, in `MILLISECONDS`"},
	&cli.StringFlag{Name: "account", Usage: "client `ACCOUNT`; all if not set"},
)
