package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"

	"merlinhall/cli"
	"merlinhall/daemon"
	"merlinhall/platform"
)

// serveHosted runs a process on a managed platform, which tells it its settings
// and asks it to stop or to reload by signals.
func serveHosted() int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fail(cli.ExitUsage, errors.New("the variable "+platform.SettingsVariable+" is not set"))
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return fail(cli.ExitInvalid, err)
	}
	d, err := daemon.StartHosted(s)
	if err != nil {
		return fail(cli.ExitFailure, err)
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		s, err := platform.LoadSettings(path)
		if err != nil {
			d.Rejected(err)
			continue
		}
		d.Reload(s)
	}
	d.Shutdown()
	return cli.ExitOK
}
