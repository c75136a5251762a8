package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"merlinhall/cli"
	"merlinhall/daemon"
	"merlinhall/platform"
	"merlinhall/settings"
)

// settingsCheck is how often the settings file is looked at for a change that no
// signal told of.
const settingsCheck = time.Second

// processStart is taken when the packages are initialised.
var processStart = time.Now()

// serveHosted runs a process on a managed platform, which tells it its settings
// and asks it to stop or to reload by signals.
func serveHosted() int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fail(cli.ExitUsage, errors.New("the variable "+platform.SettingsVariable+" is not set"))
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	watch := settings.NewWatch(path)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return fail(cli.ExitInvalid, err)
	}
	d, err := daemon.StartHosted(s, processStart)
	if err != nil {
		return fail(cli.ExitFailure, err)
	}
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	followSettings(signals, ticker.C, watch, func() {
		s, err := platform.LoadSettings(path)
		if err != nil {
			d.Rejected(err)
			return
		}
		d.Reload(s)
	})
	d.Shutdown()
	return cli.ExitOK
}

// followSettings calls reload on a hang-up signal and when the file has changed
// without one. It returns when the process is to stop.
func followSettings(signals <-chan os.Signal, ticks <-chan time.Time, watch *settings.Watch, reload func()) {
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return
			}
			watch.Changed() // this change is taken now
			reload()
		case <-ticks:
			if watch.Changed() {
				reload()
			}
		}
	}
}
