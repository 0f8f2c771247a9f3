package command

import "github.com/urfave/cli/v3"

var cmdRoute = plainResource("route", "routes", "routes to plain services",
	&cli.StringFlag{Name: "path", Usage: "path `PREFIX`, such as /signoffs/"},
	&cli.StringFlag{Name: "service", Usage: "`NAME` that the service's targets serve"},
	&cli.BoolFlag{Name: "open", Usage: "needs no key"},
	&cli.BoolFlag{Name: "idempotent", Usage: "calls may be repeated"},
	&cli.StringSliceFlag{Name: "accounts", Usage: "client `ACCOUNTS` that may use it; all when not given"},
	&cli.FloatFlag{Name: "tokens", Usage: "`TOKENS` that a call counts"},
)
