package ratelimit

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that gives grants as soon as the log has elected it, before it has
// been told so and waits until the turns of the former leader have ended.
func TestNoGrantsBeforeTheLeadershipBegins(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 0, 1, 1, false)
	k := s.newKeeper("p")
	k.Note(Reading{Target: "t0", Limited: true, PerSecond: 5, At: at(1)})
	want := &Ask{Process: "q", Wants: []Want{{Service: simService, Patience: bookingTime}}}
	s.now = at(10_000)
	_, ok := k.Handle(7, want)
	is.True(!ok)
	is.True(!k.Take("t0", 1))
	_, n, limited := k.Allowance("t0")
	is.Equal(n, 0)
	is.True(limited)
	is.True(k.Take("t1", 1)) // has no limit

	k.Lead(true, 7)
	out, ok := k.Handle(7, want)
	is.True(ok)
	is.True(out.Answers[0].Delay >= bookingTime-burstTime) // behind the turns of the former leader
	_, ok = k.Handle(8, want)
	is.True(!ok)
	k.Lead(false, 8)
	_, ok = k.Handle(7, want)
	is.True(!ok)
	is.True(!k.Take("t0", 1))
}
