package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a heartbeat or a silence that is noticed late, and against
// heartbeats beside frames that come each HeartbeatPeriod.
func TestDue(t *testing.T) {
	is := is.New(t)
	check := func(sent, read time.Duration, inEvent, ping, silent bool, wait time.Duration) {
		t.Helper()
		p, s, w := due(sent, read, inEvent)
		is.Equal(p, ping)
		is.Equal(s, silent)
		if !s {
			is.Equal(w, wait)
		}
	}
	const ms = time.Millisecond
	check(HeartbeatPeriod, 0, false, false, false, heartbeatAfter-HeartbeatPeriod)
	check(heartbeatAfter, 0, false, true, false, heartbeatAfter)
	check(0, SilenceLimit-10*ms, false, false, false, 11*ms)
	check(0, SilenceLimit+ms, false, false, true, 0)
	check(0, SilenceLimit+ms, true, false, false, eventCheck)
	check(-time.Hour, -time.Hour, false, false, false, heartbeatAfter)
}
