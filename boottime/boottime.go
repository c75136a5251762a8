// Package boottime reads a clock that keeps running while the host is suspended, so that a
// process that was suspended sees how much time has passed.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"

	"merlinhall/actor"
)

// Now returns the time since the host was started, from CLOCK_BOOTTIME.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		actor.Invariant(false, "boottime: failed to read CLOCK_BOOTTIME: %v", err)
	}
	return time.Duration(t.Nano())
}
