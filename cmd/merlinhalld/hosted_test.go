package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"merlinhall/settings"
)

// Guards against missing a settings change that no signal announces, reloading the
// same change twice, and ignoring the signal to stop.
func TestSettingsAreTakenWithAndWithoutASignal(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	is.NoErr(os.WriteFile(path, []byte("first"), 0o600))
	watch := settings.NewWatch(path)
	stops, hangUps, ticks := make(chan os.Signal), make(chan os.Signal), make(chan time.Time)
	reloads := 0
	// follow runs followSettings until it has handled all events and a signal to stop.
	follow := func(events ...func()) {
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			followSettings(stops, hangUps, ticks, watch, func() { reloads++ })
		}()
		for _, event := range events {
			event()
		}
		stops <- syscall.SIGTERM
		<-stopped
	}
	tick := func() { ticks <- time.Now() }
	hangUp := func() { hangUps <- syscall.SIGHUP }

	follow(tick)
	is.Equal(reloads, 0)
	is.NoErr(os.WriteFile(path, []byte("the second"), 0o600))
	follow(tick, tick)
	is.Equal(reloads, 1)
	is.NoErr(os.WriteFile(path, []byte("the third one"), 0o600))
	follow(hangUp, tick)
	is.Equal(reloads, 2)
}

// Guards against a signal to stop that is lost behind a series of signals to reload, during
// a start or while the settings are read: the process would run until it is killed, and cut
// its requests off then. A second signal to stop changes nothing.
func TestStopIsNotLostBehindReloads(t *testing.T) {
	is := is.New(t)
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGHUP, syscall.SIGTERM)
	defer signal.Stop(handled)
	stops, hangUps := notifySignals()
	defer signal.Stop(stops)
	defer signal.Stop(hangUps)
	send := func(s syscall.Signal) {
		is.NoErr(syscall.Kill(os.Getpid(), s))
		<-handled
	}
	for range 8 {
		send(syscall.SIGHUP)
	}
	send(syscall.SIGTERM)
	send(syscall.SIGTERM)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		followSettings(stops, hangUps, nil, settings.NewWatch(filepath.Join(t.TempDir(), "node.toml")), func() {})
	}()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("the process does not stop")
	}
}
