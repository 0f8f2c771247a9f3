package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/event"
)

var cmdEvents = &cli.Command{
	Name:  "events",
	Usage: "print the catalogue of log events",
	Action: func(context.Context, *cli.Command) error {
		fmt.Fprint(output, event.Markdown())
		return nil
	},
}
