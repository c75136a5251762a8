package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A stop stays within its grace period, and leaves running requests what is left of it.
func TestStopTimesFitIntoTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			is := is.New(t)
			times := newStopTimes(grace)
			is.True(times.close <= grace)
			is.True(times.ready <= readyGrace)
			is.True(times.answers <= times.close)
			is.True(times.answers-times.ready >= grace/4) // some time for requests, however short the grace period
			is.True(times.answers >= grace-grace/6)       // what a target works on in the last sixth may be broken off
		})
	}
}

// A view of the targets is no longer used while the last request sent by it still arrives in
// time.
func TestViewIsUsedForLessThanATargetServes(t *testing.T) {
	is := is.New(t)
	is.Equal(maxViewAge(3*time.Second), 2700*time.Millisecond)
	is.Equal(maxViewAge(0), time.Duration(0)) // no bound is known
}
