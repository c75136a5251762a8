package connbudget

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1000, 0)
	one   = netip.MustParseAddr("10.0.0.1")
	two   = netip.MustParseAddr("10.0.0.2")
	three = netip.MustParseAddr("10.0.0.3")
)

// at returns a holder whose last progress was the given time before start.
func at(id uint64, address netip.Addr, s State, before time.Duration) Holder {
	return Holder{ID: id, Address: address, State: s, Since: start.Add(-before), Progress: start.Add(-before)}
}

// Guards against a request at work, or a link, that is ended for a new connection, and against
// new connections that push out ones which make progress.
func TestWhoGivesWay(t *testing.T) {
	l := Limits{StallTime: time.Second, Grace: 20 * time.Second, BodyRate: 1000}
	// Four bytes in four seconds.
	trickled := Holder{ID: 1, Address: one, State: Body, Since: start.Add(-4 * time.Second), Progress: start, Received: 4}
	for name, c := range map[string]struct {
		holders []Holder
		from    netip.Addr
		want    uint64 // 0: the new one
	}{
		"none":                       {nil, one, 0},
		"at work for long":           {[]Holder{at(1, one, Working, time.Hour), at(2, two, Kept, time.Hour)}, one, 0},
		"all make progress":          {[]Holder{at(1, one, Body, 900*time.Millisecond), at(2, two, Header, 0)}, one, 0},
		"least progress":             {[]Holder{at(1, one, Body, 2*time.Second), at(2, two, Response, 5*time.Second), at(3, three, Idle, 3*time.Second)}, one, 2},
		"trickled body":              {[]Holder{trickled, at(2, two, Header, 1100*time.Millisecond), at(3, three, Body, 0)}, one, 1},
		"one address":                {[]Holder{at(1, one, Body, 2*time.Second), at(2, one, Header, 3*time.Second)}, one, 2},
		"crowd of one address":       {[]Holder{at(1, one, Body, 400*time.Millisecond), at(2, one, Header, 0), at(3, two, Idle, time.Hour)}, two, 1},
		"crowd does not grow":        {[]Holder{at(1, one, Body, 400*time.Millisecond), at(2, one, Header, 0), at(3, two, Idle, time.Hour)}, one, 0},
		"half of all is not a crowd": {[]Holder{at(1, one, Body, 400*time.Millisecond), at(2, two, Idle, time.Hour)}, one, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, ok := Victim(c.holders, c.from, l, start)
			is.Equal(got, c.want)
			is.Equal(ok, c.want != 0)
		})
	}
}

// Guards against bodies without their last byte that hold the memory for all others, and against
// an idle connection that is ended although it holds no body.
func TestWhoGivesUpABody(t *testing.T) {
	is := is.New(t)
	l := DefaultLimits()
	got, ok := BodyVictim([]Holder{at(1, one, Idle, time.Hour), at(2, one, Body, 3*time.Second), at(3, one, Response, 4*time.Second), at(4, one, Working, time.Hour)}, l, start)
	is.True(ok)
	is.Equal(got, uint64(3))
	_, ok = BodyVictim([]Holder{at(1, one, Idle, time.Hour), at(2, one, Body, 100*time.Millisecond)}, l, start)
	is.True(!ok)
}

// Guards against slow clients that are cut off although they are honest, and against ones that
// send a byte a second and are kept without end.
func TestProgressIsRequired(t *testing.T) {
	l := DefaultLimits()
	for name, c := range map[string]struct {
		state State
		rate  float64 // bytes a second that the client sends, or takes every tenth second
		want  bool    // is cut off
	}{
		"slow body": {Body, 5000, false}, "trickled body": {Body, 1, true}, "stopped body": {Body, 0, true},
		"slow response": {Response, 5000, false}, "response not read": {Response, 0, true},
		"at work": {Working, 0, false}, "link": {Kept, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut := false
			for s := range 600 {
				elapsed := time.Duration(s) * time.Second
				h := Holder{State: c.state, Since: start, Progress: start, Received: int64(c.rate * float64(s))}
				if c.rate > 0 {
					h.Progress = start.Add(elapsed.Truncate(10 * time.Second))
				}
				cut = cut || Overdue(h, l, start.Add(elapsed))
				is.True(s > 19 || !cut) // within the grace
			}
			is.Equal(cut, c.want)
		})
	}
}

// Guards against settings that have no effect, or that exceed the descriptors.
func TestSharesFollowTheSettings(t *testing.T) {
	is := is.New(t)
	h := Host{MemoryBytes: 144 << 20, MaxFiles: 1000, ClientBytes: 16 << 20, Connections: 400}
	is.Equal(h.Share(4, 8), Share{Connections: 200, Bytes: 8 << 20})
	h.Connections = 1 << 20
	is.Equal(h.Share(4, 8).Connections, 400)
}

// Guards against a share in which a single request within the limits does not fit, and against
// shares that use the descriptors for files and connections of the process itself.
func TestShares(t *testing.T) {
	is := is.New(t)
	for _, h := range []Host{{MemoryBytes: 56 << 20, MaxFiles: 400}, {MemoryBytes: 144 << 20, MaxFiles: 3075}, {MemoryBytes: 424 << 20, MaxFiles: 10250}, {MemoryBytes: 144 << 20}, {MemoryBytes: 1, MaxFiles: 100}} {
		for _, n := range []int{1, 3, 4} {
			s := h.Share(n, 8)
			is.True(s.Connections >= 1)
			is.True(s.Bytes >= connBytes+headerCost(16384+4096, 4096))
			if h.MaxFiles > ReservedFiles {
				is.True(8*s.Connections <= n*(h.MaxFiles-ReservedFiles))
			}
		}
	}
}
