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

Prints the position of the last log entry of this stopped control replica. With
--force-new-group it makes the replica the only member of a new group. Use that
only if the disks of a majority are permanently lost: changes that only the lost
replicas had are lost. Run it on the replica with the highest position, give that
position to confirm, and empty the data folders of the others.
`

// recoverGroup prints the position of a stopped control replica's log, or makes the
// replica the only member of a new group after the loss of a majority.
func recoverGroup(args []string) int {
	fs := flag.NewFlagSet("merlinhalld recover", flag.ContinueOnError)
	fs.Usage = func() { fmt.Fprint(fs.Output(), recoverHelp) }
	path := fs.String("settings", "", "settings file of this process")
	force := fs.Bool("force-new-group", false, "make this replica the only member of a new group")
	position := fs.String("position", "", "position of this replica's last log entry, as printed without --force-new-group")
	if err := ff.Parse(fs, args); err != nil {
		return fail(cli.ExitUsage, err)
	}
	s, err := settings.Load(*path)
	if err != nil {
		return fail(cli.ExitInvalid, err)
	}
	if s.DataDir == "" {
		return fail(cli.ExitUsage, errors.New("data_dir is not set: these are not the settings of a control replica"))
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

func printFolder(name string, info replica.DataDirInfo) {
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
