package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a late heartbeat, a silence that is detected late, and heartbeats in
// addition to frames that are sent every HeartbeatPeriod.
func TestCheckHeartbeat(t *testing.T) {
	is := is.New(t)
	check := func(sent, read time.Duration, inHandler, ping, silent bool, wait time.Duration) {
		t.Helper()
		p, s, w := checkHeartbeat(sent, read, inHandler)
		is.Equal(p, ping)
		is.Equal(s, silent)
		if !s {
			is.Equal(w, wait)
		}
	}
	const ms = time.Millisecond
	check(HeartbeatPeriod, 0, false, false, false, heartbeatDelay-HeartbeatPeriod)
	check(heartbeatDelay, 0, false, true, false, heartbeatDelay)
	check(0, SilenceLimit-10*ms, false, false, false, 11*ms)
	check(0, SilenceLimit+ms, false, false, true, 0)
	check(0, SilenceLimit+ms, true, false, false, handlerCheckInterval)
	check(-time.Hour, -time.Hour, false, false, false, heartbeatDelay)
}
