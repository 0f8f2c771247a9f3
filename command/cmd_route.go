package command

import "github.com/urfave/cli/v3"

var cmdRoute = plainResource("route", "routes", "routes to plain services",
	&cli.StringFlag{Name: "path", Usage: "path `PREFIX`, such as /signoffs/"},
	&cli.StringFlag{Name: "service", Usage: "`NAME` of the service, as in --serves of its targets"},
	&cli.BoolFlag{Name: "open", Usage: "accept requests without a key"},
	&cli.BoolFlag{Name: "idempotent", Usage: "calls may be retried"},
	&cli.StringSliceFlag{Name: "accounts", Usage: "client `ACCOUNTS` that may use it; all if not set"},
	&cli.FloatFlag{Name: "tokens", Usage: "`TOKENS` charged for each call"},
)
