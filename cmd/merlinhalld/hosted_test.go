package main

import (
	"os"
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
	signals, ticks := make(chan os.Signal), make(chan time.Time)
	reloads := 0
	// follow runs followSettings until it has handled all events and a signal to stop.
	follow := func(events ...func()) {
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			followSettings(signals, ticks, watch, func() { reloads++ })
		}()
		for _, event := range events {
			event()
		}
		signals <- syscall.SIGTERM
		<-stopped
	}
	tick := func() { ticks <- time.Now() }
	hangUp := func() { signals <- syscall.SIGHUP }

	follow(tick)
	is.Equal(reloads, 0)
	is.NoErr(os.WriteFile(path, []byte("the second"), 0o600))
	follow(tick, tick)
	is.Equal(reloads, 1)
	is.NoErr(os.WriteFile(path, []byte("the third one"), 0o600))
	follow(hangUp, tick)
	is.Equal(reloads, 2)
}
