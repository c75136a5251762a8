package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a duty that handles messages out of order or concurrently.
func TestMessagesAreHandledInOrder(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	var got []int
	d := s.Start("order", 1000, HandlerFunc(func(m any) { got = append(got, m.(int)) }))
	for i := range 1000 {
		is.NoErr(d.Offer(i))
	}
	d.Stop()
	is.Equal(len(got), 1000)
	for i, v := range got {
		is.Equal(i, v)
	}
	is.Equal(d.Offer(1), ErrStopped)
}

// Guards against a full mailbox that blocks the sender or grows without bound.
func TestFullMailboxIsReported(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	release := make(chan struct{})
	started := make(chan struct{})
	d := s.Start("full", 4, HandlerFunc(func(m any) {
		if m == "block" {
			close(started)
			<-release
		}
	}))
	is.NoErr(d.Offer("block"))
	<-started
	for range 4 {
		is.NoErr(d.Offer("x"))
	}
	is.Equal(d.Offer("x"), ErrFull)
	close(release)
	d.Stop()
}

// Guards against a call that is answered to nobody.
func TestAsk(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	d := s.Start("ask", 4, HandlerFunc(func(m any) {
		c := m.(Call[int, string])
		c.Reply("answer")
		c.Reply("second answer")
	}))
	reply, err := Ask[int, string](d, 7)
	is.NoErr(err)
	select {
	case got := <-reply:
		is.Equal(got, "answer")
	case <-time.After(10 * time.Second):
		t.Fatal("no answer")
	}
	d.Stop()
}

// Guards against an alarm that is lost in a full mailbox, which would stop the
// deadlines of its duty.
func TestAlarmSurvivesFullMailbox(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	release := make(chan struct{})
	started := make(chan struct{})
	rang := make(chan struct{})
	d := s.Start("alarm", 1, HandlerFunc(func(m any) {
		switch m {
		case "block":
			close(started)
			<-release
		case "ring":
			close(rang)
		}
	}))
	a := d.NewAlarm("ring")
	is.NoErr(d.Offer("block"))
	<-started
	is.NoErr(d.Offer("x"))
	a.fire() // meets the full mailbox
	close(release)
	<-rang
	d.Stop()
}

// Guards against a later time that puts off an alarm.
func TestAlarmKeepsEarliestTime(t *testing.T) {
	is := is.New(t)
	s := NewSystem()
	d := s.Start("alarm", 1, HandlerFunc(func(any) {}))
	a := d.NewAlarm("ring")
	now := time.Now()
	a.Ring(now, now.Add(2*time.Hour))
	a.Ring(now, now.Add(time.Hour))
	a.Ring(now, now.Add(3*time.Hour))
	is.Equal(a.at, now.Add(time.Hour))
	a.Rang()
	a.Ring(now, now.Add(3*time.Hour))
	is.Equal(a.at, now.Add(3*time.Hour))
	d.Stop()
}
