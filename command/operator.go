package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleygw/bramleygw/operator"
)

// OperatorKeyEnv holds the operator key for the command line.
const OperatorKeyEnv = "BRAMLEYGW_OPERATOR_KEY"

// OperatorURLEnv holds a VM's operator URL for the command line.
const OperatorURLEnv = "BRAMLEYGW_OPERATOR_URL"

var operatorFlags = []cli.Flag{
	&cli.StringFlag{Name: "operator-url", Usage: "`URL` at which a VM serves operators", Sources: cli.EnvVars(OperatorURLEnv)},
	formatFlag,
}

// withOperator adds the flags that all operator commands have.
func withOperator(flags ...cli.Flag) []cli.Flag {
	return append(flags, operatorFlags...)
}

// operatorAction is what an operator command does.
type operatorAction func(client *operator.Client, command *cli.Command, wantJSON bool) error

// asOperator makes the client and runs the action. The key comes from the
// environment, so that it shows neither in a process list nor in a history.
func asOperator(action operatorAction) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		wantJSON, err := asJSON(command)
		if err != nil {
			return err
		}
		key := os.Getenv(OperatorKeyEnv)
		if key == "" {
			return usage("set " + OperatorKeyEnv + " to an operator key")
		}
		url := command.String("operator-url")
		if url == "" {
			return usage("give --operator-url or set " + OperatorURLEnv)
		}
		client, err := operator.NewClient(url, key)
		if err != nil {
			return usageError{err}
		}
		return action(client, command, wantJSON)
	}
}

// namedAction is what an operator command does with the object that its one
// argument names.
type namedAction func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error

// withName runs the action with the argument, which must be there.
func withName(what string, action namedAction) cli.ActionFunc {
	return asOperator(func(client *operator.Client, command *cli.Command, wantJSON bool) error {
		named, err := argument(command, what)
		if err != nil {
			return err
		}
		return action(client, command, named, wantJSON)
	})
}

// argument returns the one argument of a command.
func argument(command *cli.Command, what string) (string, error) {
	if command.Args().Len() != 1 {
		return "", usage("name one " + what)
	}
	return command.Args().First(), nil
}

// resourceCommand is the list, show, create, update and delete commands of a
// collection. spec returns the members that the flags set.
func resourceCommand(name, collection, help string, flags []cli.Flag, spec func(*cli.Command) map[string]any) *cli.Command {
	what := strings.ReplaceAll(name, "-", " ")
	return &cli.Command{
		Name:  name,
		Usage: help,
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list all", Flags: withOperator(),
				Action: asOperator(func(client *operator.Client, _ *cli.Command, wantJSON bool) error {
					return listItems(client, collection, wantJSON)
				}),
			},
			{
				Name: "show", Usage: "show one", ArgsUsage: "NAME", Flags: withOperator(),
				Action: withName(what, func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error {
					item, err := client.Get(collection, named)
					if err != nil {
						return err
					}
					return printItems([]operator.Item{item}, wantJSON)
				}),
			},
			{
				Name: "create", Usage: "make a new one", ArgsUsage: "NAME", Flags: withOperator(flags...),
				Action: withName(what, func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error {
					item, err := client.Create(collection, named, spec(command))
					if err != nil {
						return err
					}
					return printItems([]operator.Item{item}, wantJSON)
				}),
			},
			{
				Name: "update", Usage: "change the members that flags name", ArgsUsage: "NAME", Flags: withOperator(flags...),
				Action: withName(what, func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error {
					return updateItem(client, collection, named, spec(command), wantJSON)
				}),
			},
			{
				Name: "delete", Usage: "delete one", ArgsUsage: "NAME", Flags: withOperator(),
				Action: withName(what, func(client *operator.Client, _ *cli.Command, named string, _ bool) error {
					return deleteItem(client, collection, named)
				}),
			},
		},
	}
}

// updateItem reads an object, sets members and writes it on condition that it
// is unchanged.
func updateItem(client *operator.Client, collection, named string, changes map[string]any, wantJSON bool) error {
	item, err := client.Get(collection, named)
	if err != nil {
		return err
	}
	members := map[string]any{}
	if err := json.Unmarshal(item.Spec, &members); err != nil {
		return errors.Wrap(err, "read the object")
	}
	for member, value := range changes {
		members[member] = value
	}
	if item.Spec, err = json.Marshal(members); err != nil {
		return errors.Wrap(err, "encode the object")
	}
	updated, err := client.Update(collection, item)
	if err != nil {
		return err
	}
	return printItems([]operator.Item{updated}, wantJSON)
}

func deleteItem(client *operator.Client, collection, named string) error {
	item, err := client.Get(collection, named)
	if err != nil {
		return err
	}
	return client.Do("DELETE", collection+"/"+named+"?version="+item.Version.String(), nil, nil)
}

func listItems(client *operator.Client, collection string, wantJSON bool) error {
	var items []operator.Item
	after := ""
	for {
		var page operator.Page
		if err := client.Do("GET", collection+"?limit=500&after="+after, nil, &page); err != nil {
			return err
		}
		items = append(items, page.Items...)
		if page.Next == "" {
			return printItems(items, wantJSON)
		}
		after = page.Next
	}
}

func printItems(items []operator.Item, wantJSON bool) error {
	if wantJSON {
		return printJSON(items)
	}
	var rows [][]string
	for _, item := range items {
		members := map[string]json.RawMessage{}
		if err := json.Unmarshal(item.Spec, &members); err != nil {
			return errors.Wrap(err, "read the object")
		}
		var parts []string
		for name, value := range members {
			if name != "name" {
				parts = append(parts, name+"="+strings.Trim(string(value), `"`))
			}
		}
		sort.Strings(parts)
		rows = append(rows, []string{item.Name, item.Version.String(), strings.Join(parts, " ")})
	}
	printTable([]string{"name", "version", "spec"}, rows)
	return nil
}

// setFlags returns the values of the flags that were given, by member name.
func setFlags(command *cli.Command, names ...string) map[string]any {
	members := map[string]any{}
	for _, name := range names {
		if command.IsSet(name) {
			members[strings.ReplaceAll(name, "-", "_")] = command.Value(name)
		}
	}
	return members
}

func flagNames(flags []cli.Flag) []string {
	var names []string
	for _, flag := range flags {
		names = append(names, flag.Names()[0])
	}
	return names
}

// plainResource is a resource whose flags are its members.
func plainResource(name, collection, help string, flags ...cli.Flag) *cli.Command {
	names := flagNames(flags)
	return resourceCommand(name, collection, help, flags, func(command *cli.Command) map[string]any {
		return setFlags(command, names...)
	})
}

func printLine(format string, values ...any) {
	fmt.Fprintf(output, format+"\n", values...)
}
