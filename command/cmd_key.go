package command

import (
	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/operator"
)

// withdrawReply is the answer to a withdrawal.
type withdrawReply struct {
	Name     string `json:"name"`
	Recorded bool   `json:"recorded"`
}

// rotateRequest is the body of a request to issue another key for the same account.
type rotateRequest struct {
	Name string `json:"name"`
}

var cmdKey = &cli.Command{
	Name:  "key",
	Usage: "keys of client accounts",
	Commands: []*cli.Command{
		{
			Name: "list", Usage: "list all, without the keys themselves", Flags: withOperatorFlags(),
			Action: withClient(func(client *operator.Client, _ *cli.Command, wantJSON bool) error {
				return listItems(client, "keys", wantJSON)
			}),
		},
		{
			Name: "issue", Usage: "issue a key; it is shown only once", ArgsUsage: "NAME",
			Flags: withOperatorFlags(&cli.StringFlag{Name: "account", Usage: "client `ACCOUNT` that the key belongs to", Required: true}),
			Action: withName("key", func(client *operator.Client, command *cli.Command, name string, wantJSON bool) error {
				issued, err := client.IssueKey(name, command.String("account"))
				if err != nil {
					return err
				}
				return printIssued(issued, wantJSON)
			}),
		},
		{
			Name: "rotate", Usage: "issue another key for the same account", ArgsUsage: "NAME",
			Flags: withOperatorFlags(&cli.StringFlag{Name: "to", Usage: "`NAME` of the new key", Required: true}),
			Action: withName("key", func(client *operator.Client, command *cli.Command, name string, wantJSON bool) error {
				var issued operator.IssuedKey
				if err := client.Do("POST", "keys/"+name+"/rotate", rotateRequest{Name: command.String("to")}, &issued); err != nil {
					return err
				}
				return printIssued(issued, wantJSON)
			}),
		},
		{
			Name: "withdraw", Usage: "withdraw a key immediately", ArgsUsage: "NAME", Flags: withOperatorFlags(),
			Action: withName("key", func(client *operator.Client, command *cli.Command, name string, wantJSON bool) error {
				var answer withdrawReply
				if err := client.Do("POST", "keys/"+name+"/withdraw", nil, &answer); err != nil {
					return err
				}
				if wantJSON {
					return printJSON(answer)
				}
				printLine("%s is withdrawn; recorded in the platform: %t", answer.Name, answer.Recorded)
				return nil
			}),
		},
	},
}

func printIssued(issued operator.IssuedKey, wantJSON bool) error {
	if wantJSON {
		return printJSON(issued)
	}
	printLine("key %s of %s, shown this once:\n%s", issued.Name, issued.Account, issued.Key)
	return nil
}
