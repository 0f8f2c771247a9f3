package command

import "github.com/urfave/cli/v3"

var cmdModel = plainResource("model", "models", "models and their weights versions",
	&cli.StringFlag{Name: "weights", Usage: "`VERSION` of the weights in use"},
	&cli.StringSliceFlag{Name: "accounts", Usage: "client `ACCOUNTS` that may use it; all if not set"},
	&cli.IntFlag{Name: "min-targets", Usage: "minimum `COUNT` of targets that plans keep in service"},
	&cli.BoolFlag{Name: "interactive", Usage: "takes precedence over other models on busy targets"},
)
