package command

import "github.com/urfave/cli/v3"

var cmdAccount = plainResource("account", "client_accounts", "client accounts with their rates and bursts",
	&cli.FloatFlag{Name: "rate", Usage: "`TOKENS` per second over the whole fleet"},
	&cli.FloatFlag{Name: "burst", Usage: "`TOKENS` at once over the whole fleet"},
	&cli.FloatFlag{Name: "weight", Usage: "relative `SHARE` of busy targets; 1 if not set"},
)
