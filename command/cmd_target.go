package command

import "github.com/urfave/cli/v3"

var cmdTarget = plainResource("target", "targets", "engines and plain services",
	&cli.StringFlag{Name: "kind", Usage: "engine or service"},
	&cli.StringFlag{Name: "address", Usage: "`IP:PORT`"},
	&cli.StringFlag{Name: "availability-zone", Usage: "availability `ZONE` of the target"},
	&cli.StringFlag{Name: "serves", Usage: "`NAME` of the model or service"},
	&cli.StringFlag{Name: "weights", Usage: "`VERSION` that an engine has loaded"},
	&cli.BoolFlag{Name: "draining", Usage: "receives no new requests"},
	&cli.BoolFlag{Name: "checks-fencing", Usage: "refuses orders with an old fencing token"},
	&cli.BoolFlag{Name: "tls", Usage: "connect to the target by TLS"},
)
