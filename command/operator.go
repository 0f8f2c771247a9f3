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

// OperatorKeyEnv is the environment variable that holds the operator key.
const OperatorKeyEnv = "BRAMLEYGW_OPERATOR_KEY"

// OperatorURLEnv is the environment variable that holds the operator URL of a VM.
const OperatorURLEnv = "BRAMLEYGW_OPERATOR_URL"

var operatorFlags = []cli.Flag{
	&cli.StringFlag{Name: "operator-url", Usage: "`URL` of the operator API of a VM", Sources: cli.EnvVars(OperatorURLEnv)},
	formatFlag,
}

// withOperatorFlags appends the flags that all operator commands have in common.
func withOperatorFlags(flags ...cli.Flag) []cli.Flag {
	return append(flags, operatorFlags...)
}

// operatorAction is the action of an operator command.
type operatorAction func(client *operator.Client, command *cli.Command, wantJSON bool) error

// withClient returns a command action that creates a client and runs the operator
// action with it. The operator key is read from the environment, so that it appears
// neither in process lists nor in the shell history.
func withClient(action operatorAction) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		wantJSON, err := parseFormat(command)
		if err != nil {
			return err
		}
		key := os.Getenv(OperatorKeyEnv)
		if key == "" {
			return newUsageError("set " + OperatorKeyEnv + " to an operator key")
		}
		url := command.String("operator-url")
		if url == "" {
			return newUsageError("give --operator-url or set " + OperatorURLEnv)
		}
		client, err := operator.NewClient(url, key)
		if err != nil {
			return usageError{err}
		}
		return action(client, command, wantJSON)
	}
}

// namedAction is the action of an operator command on one object, whose name is the
// command's only argument.
type namedAction func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error

// withName returns a command action that runs the named action with the command's
// only argument. The kind of the object appears in the usage error.
func withName(kind string, action namedAction) cli.ActionFunc {
	return withClient(func(client *operator.Client, command *cli.Command, wantJSON bool) error {
		named, err := argument(command, kind)
		if err != nil {
			return err
		}
		return action(client, command, named, wantJSON)
	})
}

// argument returns the only argument of a command, or a usage error if the command
// does not have exactly one.
func argument(command *cli.Command, kind string) (string, error) {
	if command.Args().Len() != 1 {
		return "", newUsageError("name one " + kind)
	}
	return command.Args().First(), nil
}

// resourceCommand returns a command with the subcommands list, show, create, update
// and delete for a collection. spec returns the members of the object that the flags
// set.
func resourceCommand(name, collection, help string, flags []cli.Flag, spec func(*cli.Command) map[string]any) *cli.Command {
	kind := strings.ReplaceAll(name, "-", " ")
	return &cli.Command{
		Name:  name,
		Usage: help,
		Commands: []*cli.Command{
			{
				Name: "list", Usage: "list all", Flags: withOperatorFlags(),
				Action: withClient(func(client *operator.Client, _ *cli.Command, wantJSON bool) error {
					return listItems(client, collection, wantJSON)
				}),
			},
			{
				Name: "show", Usage: "show one", ArgsUsage: "NAME", Flags: withOperatorFlags(),
				Action: withName(kind, func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error {
					item, err := client.Get(collection, named)
					if err != nil {
						return err
					}
					return printItems([]operator.Item{item}, wantJSON)
				}),
			},
			{
				Name: "create", Usage: "create one", ArgsUsage: "NAME", Flags: withOperatorFlags(flags...),
				Action: withName(kind, func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error {
					item, err := client.Create(collection, named, spec(command))
					if err != nil {
						return err
					}
					return printItems([]operator.Item{item}, wantJSON)
				}),
			},
			{
				Name: "update", Usage: "change the members that the flags set", ArgsUsage: "NAME", Flags: withOperatorFlags(flags...),
				Action: withName(kind, func(client *operator.Client, command *cli.Command, named string, wantJSON bool) error {
					return updateItem(client, collection, named, spec(command), wantJSON)
				}),
			},
			{
				Name: "delete", Usage: "delete one", ArgsUsage: "NAME", Flags: withOperatorFlags(),
				Action: withName(kind, func(client *operator.Client, _ *cli.Command, named string, _ bool) error {
					return deleteItem(client, collection, named)
				}),
			},
		},
	}
}

// updateItem reads an object, applies the changes and writes it back, on condition
// that its version is unchanged.
func updateItem(client *operator.Client, collection, named string, changes map[string]any, wantJSON bool) error {
	item, err := client.Get(collection, named)
	if err != nil {
		return err
	}
	members := map[string]any{}
	if err := json.Unmarshal(item.Spec, &members); err != nil {
		return errors.Wrap(err, "decode the object")
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
			return errors.Wrap(err, "decode the object")
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

// flagMembers returns the values of those flags that were set, by member name.
func flagMembers(command *cli.Command, names ...string) map[string]any {
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

// plainResource returns a resource command whose flags correspond one to one to the
// members of the object.
func plainResource(name, collection, help string, flags ...cli.Flag) *cli.Command {
	names := flagNames(flags)
	return resourceCommand(name, collection, help, flags, func(command *cli.Command) map[string]any {
		return flagMembers(command, names...)
	})
}

func printLine(format string, values ...any) {
	fmt.Fprintf(output, format+"\n", values...)
}
