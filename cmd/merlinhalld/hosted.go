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

// settingsCheckPeriod is the time between two checks for a changed settings file, in
// case no signal announces the change.
const settingsCheckPeriod = time.Second

// processStart is the time of package initialisation.
var processStart = time.Now()

// serveHosted runs a process on a managed platform. The platform writes the settings
// file and requests a reload or stop by a signal.
func serveHosted() int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return fail(cli.ExitUsage, errors.New("the variable "+platform.SettingsVariable+" is not set"))
	}
	stops, hangUps := notifySignals()
	watch := settings.NewWatch(path)
	s, err := platform.LoadSettings(path)
	if err != nil {
		return fail(cli.ExitInvalid, err)
	}
	d, err := daemon.StartHosted(s, processStart)
	if err != nil {
		return fail(cli.ExitFailure, err)
	}
	ticker := time.NewTicker(settingsCheckPeriod)
	defer ticker.Stop()
	followSettings(stops, hangUps, ticker.C, watch, func() {
		s, err := platform.LoadSettings(path)
		if err != nil {
			d.ReloadFailed(err)
			return
		}
		d.Reload(s)
	})
	d.Shutdown()
	return cli.ExitOK
}

// notifySignals returns channels for the signals to stop and to reload. Signals that find a
// channel full are dropped, so that a series of reloads must not fill that of the stops.
func notifySignals() (stops, hangUps chan os.Signal) {
	stops, hangUps = make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(hangUps, syscall.SIGHUP)
	return stops, hangUps
}

// followSettings calls reload on SIGHUP and when the file has changed without a signal.
// It returns on a signal to stop.
func followSettings(stops, hangUps <-chan os.Signal, ticks <-chan time.Time, watch *settings.Watch, reload func()) {
	for {
		select {
		case <-stops:
			return
		case <-hangUps:
			watch.Changed() // so that the next tick does not reload the same change
			reload()
		case <-ticks:
			if watch.Changed() {
				reload()
			}
		}
	}
}
