package command

import (
	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/operator"
)

var cmdAudit = &cli.Command{
	Name: "audit", Usage: "list the newest audit records", Flags: withOperatorFlags(),
	Action: withClient(func(client *operator.Client, _ *cli.Command, wantJSON bool) error {
		var page operator.Page
		if err := client.Do("GET", "audits", nil, &page); err != nil {
			return err
		}
		return printItems(page.Items, wantJSON)
	}),
}
