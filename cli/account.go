package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/accounts"
	"merlinhall/config"
	"merlinhall/storage"
)

// account changes the client accounts in a configuration file. The change takes effect when
// the file is applied.
func (e *env) account(errOut io.Writer) *ffcli.Command {
	sub := func(name, usage, help string, run func(args []string) error) *ffcli.Command {
		return &ffcli.Command{Name: name, ShortUsage: "merlinhall account " + usage, ShortHelp: help, FlagSet: newFlags(name, errOut), Exec: func(_ context.Context, args []string) error { return run(args) }}
	}
	c := e.command(newFlags("account", errOut), "merlinhall account <command> <file> [arguments]", "list and change client accounts in a configuration file",
		func(context.Context, []string) error {
			return exitError(ExitUsage, eris.New("no command given; account --help lists the commands"))
		})
	c.Subcommands = []*ffcli.Command{
		sub("list", "list <file>", "list the accounts and the digests of their keys", e.listAccounts),
		sub("create", "create <file> <account>", "create an account without keys", e.createAccount),
		sub("add-key", "add-key <file> <account>", "create a key, print it once and add its digest", e.addKey),
		sub("remove-key", "remove-key <file> <digest>", "remove the key whose digest begins so", e.removeKey),
	}
	return c
}

func accountArgs(args []string, want int, usage string) error {
	if len(args) != want {
		return exitError(ExitUsage, eris.Errorf("got %d arguments, want %s", len(args), usage))
	}
	return nil
}

func (e *env) listAccounts(args []string) error {
	if err := accountArgs(args, 1, "a file"); err != nil {
		return err
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	c, err := config.Parse(args[0], text)
	if err != nil {
		return exitError(ExitInvalid, err)
	}
	type row struct {
		Account string   `json:"account"`
		Keys    []string `json:"key_digests"`
	}
	var rows []row
	out := ""
	for _, a := range c.Accounts {
		r := row{Account: a.Name, Keys: []string{}}
		for _, k := range a.Keys {
			r.Keys = append(r.Keys, k.String())
		}
		rows = append(rows, r)
		out += fmt.Sprintf("%s %v\n", a.Name, r.Keys)
	}
	return e.print(rows, out)
}

func (e *env) createAccount(args []string) error {
	if err := accountArgs(args, 2, "a file and the name of an account"); err != nil {
		return err
	}
	return changeConfig(args[0], func(text []byte) ([]byte, error) { return config.AddAccount(text, args[1]) })
}

func (e *env) addKey(args []string) error {
	if err := accountArgs(args, 2, "a file and the name of an account"); err != nil {
		return err
	}
	key := accounts.NewKey()
	err := changeConfig(args[0], func(text []byte) ([]byte, error) { return config.AddKey(text, args[1], accounts.DigestOf(key)) })
	if err != nil {
		return err
	}
	digest := accounts.DigestOf(key).String()
	return e.print(map[string]string{"key": key, "digest": digest}, fmt.Sprintf("key %s\ndigest %s\n", key, digest))
}

func (e *env) removeKey(args []string) error {
	if err := accountArgs(args, 2, "a file and the beginning of a digest"); err != nil {
		return err
	}
	return changeConfig(args[0], func(text []byte) ([]byte, error) { return config.RemoveKey(text, args[1]) })
}

// changeConfig rewrites a configuration file. A change that would make it invalid leaves it
// as it is.
func changeConfig(file string, change func([]byte) ([]byte, error)) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	info, err := os.Stat(file)
	if err != nil {
		return err
	}
	if text, err = change(text); err != nil {
		return exitError(ExitInvalid, err)
	}
	if _, err := config.Parse(file, text); err != nil {
		return exitError(ExitInvalid, err)
	}
	return storage.ReplaceFile(file, text, info.Mode().Perm())
}
