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

// Guards against settings that change without a signal and are not taken, and
// against a process that takes the same change twice or does not stop.
func TestSettingsAreTakenWithAndWithoutASignal(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	is.NoErr(os.WriteFile(path, []byte("first"), 0o600))
	watch := settings.NewWatch(path)
	signals, ticks := make(chan os.Signal), make(chan time.Time)
	reloads := make(chan struct{}, 10)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		followSettings(signals, ticks, watch, func() { reloads <- struct{}{} })
	}()
	// A second tick is received only after the first one was handled.
	tick := func() { ticks <- time.Now(); ticks <- time.Now() }
	tick()
	is.Equal(len(reloads), 0)
	is.NoErr(os.WriteFile(path, []byte("the second"), 0o600))
	tick()
	is.Equal(len(reloads), 1)
	is.NoErr(os.WriteFile(path, []byte("the third one"), 0o600))
	signals <- syscall.SIGHUP
	tick()
	is.Equal(len(reloads), 2)
	signals <- syscall.SIGTERM
	<-stopped
}
