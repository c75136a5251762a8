package main

import (
	"errors"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3"

	"merlinhall/cli"
	"merlinhall/observe"
	"merlinhall/replica"
	"merlinhall/settings"
	"merlinhall/storage"
)

const recoverHelp = `Usage: merlinhalld recover --settings FILE [--force-new-group --position TERM:INDEX]

Without --force-new-group it prints how far the log of this stopped control
replica reaches. With it, this replica becomes the only member of a new group.
Use it only when the disks of a majority are gone for good: changes that only the
lost replicas had are lost. Run it on the replica with the highest position, give
that position to confirm, and empty the data folders of the others.
`

// recoverGroup is the last resort after the loss of a majority.
func recoverGroup(args []string) int {
	fs := flag.NewFlagSet("merlinhalld recover", flag.ContinueOnError)
	fs.Usage = func() { fmt.Fprint(fs.Output(), recoverHelp) }
	path := fs.String("settings", "", "settings file of this process")
	force := fs.Bool("force-new-group", false, "make this replica the only member of a new group")
	position := fs.String("position", "", "position of this replica's log, as printed without --force-new-group")
	if err := ff.Parse(fs, args); err != nil {
		return fail(cli.ExitUsage, err)
	}
	s, err := settings.Load(*path)
	if err != nil {
		return fail(cli.ExitInvalid, err)
	}
	if s.DataDir == "" {
		return fail(cli.ExitUsage, errors.New("these settings are not those of a control replica: data_dir is not set"))
	}
	info, err := replica.Inspect(storage.Dir(s.DataDir))
	if err != nil {
		return fail(cli.ExitFailure, err)
	}
	printFolder(s.Name, info)
	if !*force {
		return cli.ExitOK
	}
	confirmed, err := parsePosition(*position)
	if err != nil {
		return fail(cli.ExitUsage, err)
	}
	info, err = replica.ForceNewGroup(storage.Dir(s.DataDir), s.Name, confirmed, observe.New(s.LogLevel).Logger("recover"))
	if err != nil {
		return fail(cli.ExitFailure, err)
	}
	printFolder(s.Name, info)
	return cli.ExitOK
}

func printFolder(name string, info replica.FolderInfo) {
	fmt.Printf("%s: id %016x, group %016x, position %d:%d, members", name, info.ID, info.Group, info.Last.Term, info.Last.Index)
	for _, m := range info.Members {
		fmt.Printf(" %s", m.Name)
	}
	fmt.Println()
}

func parsePosition(text string) (replica.Position, error) {
	term, index, ok := strings.Cut(text, ":")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	i, errIndex := strconv.ParseUint(index, 10, 64)
	if !ok || errTerm != nil || errIndex != nil {
		return replica.Position{}, fmt.Errorf("the flag --position is %q, want TERM:INDEX", text)
	}
	return replica.Position{Term: t, Index: i}, nil
}
