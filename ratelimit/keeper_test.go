package ratelimit

import (
	"context"
	"testing"
	"time"

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

// Guards against a question to the leader for each response of a target whose limit changes all
// the time.
func TestChangingLimitsAreToldTogether(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 0, 1, 1, false)
	k := s.newKeeper("p")
	told := make(chan float64, 1000)
	k.Follow(func(_ context.Context, in *Ask, _ *Answers) error {
		told <- in.Limits[0].PerSecond
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go k.Run(ctx)
	began := time.Now()
	for i := 1; i <= 500; i++ {
		k.Note(Reading{Target: "t0", Limited: true, PerSecond: float64(i), SentAt: at(i), At: at(i)})
	}
	most := int(time.Since(began)/tellDelay) + 1
	questions := 1
	for <-told != 500 {
		questions++
	}
	is.True(questions <= most)
}
