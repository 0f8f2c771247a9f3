package command

import (
	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/operator"
)

var cmdAudit = &cli.Command{
	Name: "audit", Usage: "the newest audit records: who changed what", Flags: withOperator(),
	Action: asOperator(func(client *operator.Client, _ *cli.Command, wantJSON bool) error {
		var page operator.Page
		if err := client.Do("GET", "audits", nil, &page); err != nil {
			return err
		}
		return printItems(page.Items, wantJSON)
	}),
}
