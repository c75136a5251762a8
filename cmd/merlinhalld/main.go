// Command merlinhalld is the merlinhall daemon. The settings assign one or more of the
// roles control, entry and agent to the process.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"merlinhall/cli"
	"merlinhall/daemon"
	"merlinhall/settings"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) > 0 && args[0] == "recover" {
		return recoverGroup(args[1:])
	}
	if len(args) > 0 && args[0] == "hosted" {
		return serveHosted()
	}
	fs := flag.NewFlagSet("merlinhalld", flag.ContinueOnError)
	path := fs.String("settings", "", "settings file of this process (TOML)")
	check := fs.Bool("check", false, "check the settings and exit")
	version := fs.Bool("version", false, "print the version and exit")
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("MERLINHALLD"))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return cli.ExitOK
	case err != nil:
		return fail(cli.ExitUsage, err)
	case *version:
		fmt.Println(cli.Version)
		return cli.ExitOK
	case *path == "":
		return fail(cli.ExitUsage, errors.New("the flag --settings is missing"))
	}
	s, err := settings.Load(*path)
	if err != nil {
		return fail(cli.ExitInvalid, err)
	}
	if *check {
		fmt.Println("settings are valid")
		return cli.ExitOK
	}
	return serve(s)
}

func serve(s *settings.Settings) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(s)
	if err != nil {
		return fail(cli.ExitFailure, err)
	}
	<-signals
	go func() {
		<-signals
		os.Exit(fail(cli.ExitFailure, errors.New("stopped by a second signal while requests were still running")))
	}()
	if err := d.Shutdown(); err != nil {
		return fail(cli.ExitFailure, err)
	}
	return cli.ExitOK
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "merlinhalld:", err)
	return code
}
